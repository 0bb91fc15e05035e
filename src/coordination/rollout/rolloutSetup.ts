/** What a start of the process brings along for staged upgrades. */
import { ROLLOUT } from './featureNames.js';

/** The process ends with this code when the cluster's records are at a level that this node cannot read. */
export const EXIT_REFUSED = 4;

/** The modules that are loaded only where rollouts are on. */
export type RolloutModules = typeof import('./rolloutModules.js');

/** What is switched on at this start, and what is done where the node must not serve. */
export interface RolloutSetup {
  /** Names of the features that are on. */
  features: ReadonlySet<string>;
  /** Null while rollouts are off: then nothing of them is loaded. */
  modules: RolloutModules | null;
  /** Called when this node must not serve: it has written nothing, and has to end. */
  onRefused: (reason: string) => void;
}

/** Everything off, as where there is no features file. */
export const rolloutDisabled = (refused: RolloutSetup['onRefused']): RolloutSetup => ({
  features: new Set(),
  modules: null,
  onRefused: refused,
});

/** Loads what the switches need. */
export async function setUpRollout(
  names: readonly string[],
  refused: RolloutSetup['onRefused'],
): Promise<RolloutSetup> {
  if (!names.includes(ROLLOUT)) return rolloutDisabled(refused);
  return {
    features: new Set(names),
    modules: await import('./rolloutModules.js'),
    onRefused: refused,
  };
}
