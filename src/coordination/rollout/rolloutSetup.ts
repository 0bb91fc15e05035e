/** Setup of the rollout subsystem at the start of the process. */
import { ROLLOUT } from './featureNames.js';

/** Exit code of a process that cannot read the level of the cluster's records. */
export const EXIT_REFUSED = 4;

/** The modules that are loaded only if rollouts are on. */
export type RolloutModules = typeof import('./rolloutModules.js');

/** The enabled features, and the handler for a node that must not serve. */
export interface RolloutSetup {
  /** The names of the enabled features. */
  features: ReadonlySet<string>;
  /** Null if rollouts are off; the modules are not loaded then. */
  modules: RolloutModules | null;
  /** Called if this node must not serve; it has written nothing and must exit. */
  onRefused: (reason: string) => void;
}

/** The setup with all features off, as without a features file. */
export const rolloutDisabled = (onRefused: RolloutSetup['onRefused']): RolloutSetup => ({
  features: new Set(),
  modules: null,
  onRefused,
});

/** Loads the modules that the enabled features need. */
export async function setUpRollout(
  names: readonly string[],
  onRefused: RolloutSetup['onRefused'],
): Promise<RolloutSetup> {
  if (!names.includes(ROLLOUT)) return rolloutDisabled(onRefused);
  return {
    features: new Set(names),
    modules: await import('./rolloutModules.js'),
    onRefused,
  };
}
