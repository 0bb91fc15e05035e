/** What a driver sees of the controllers, and whether the cluster is as well as before. */
import type { Baseline, ControllerHealth } from './driverRecord.js';
import type { RolloutPlan } from './plan.js';

/** How the command that replaces a controller is getting on, at this driver. */
export type CommandResult =
  { kind: 'running' } | { kind: 'ended' } | { kind: 'failed'; reason: string };

/** One look at all controllers of the plan. */
export interface Observation {
  /** Null: it does not answer. */
  controllers: ReadonlyMap<string, ControllerHealth | null>;
  commands: ReadonlyMap<string, CommandResult>;
  /** The cluster's level; null: nobody tells. */
  level: number | null;
  /** Time of day in seconds. */
  wall: number;
}

/** Labels of the controllers that are down or not ready. */
export const unreadyControllers = ({ controllers }: Pick<Observation, 'controllers'>): string[] =>
  [...controllers].filter(([, health]) => health?.isReady !== true).map(([label]) => label);

/** Live replicas and waiting tasks of all controllers that answer. */
export function measureTotals({ controllers }: Pick<Observation, 'controllers'>): Baseline {
  const healths = [...controllers.values()].flatMap((health) => health ?? []);
  const sum = (amountOf: (health: ControllerHealth) => number): number =>
    healths.reduce((total, health) => total + amountOf(health), 0);
  return {
    liveReplicas: sum((health) => health.liveReplicas),
    waitingTasks: sum((health) => health.waitingTasks),
  };
}

/** How the cluster is worse off than at the baseline; null: it is not. */
export function describeDegradation(
  seen: Pick<Observation, 'controllers'>,
  baseline: Baseline | null,
  limits: Pick<RolloutPlan, 'replicaShare' | 'waitingFactor'>,
): string | null {
  const unready = unreadyControllers(seen);
  if (unready.length > 0) return `${unready.join(', ')} is not ready`;
  if (baseline === null) return null;
  const now = measureTotals(seen);
  if (now.liveReplicas < baseline.liveReplicas * limits.replicaShare) {
    return `${now.liveReplicas} of ${baseline.liveReplicas} live replicas are up`;
  }
  const most = Math.max(baseline.waitingTasks, baseline.liveReplicas) * limits.waitingFactor;
  if (now.waitingTasks > most && now.waitingTasks > baseline.waitingTasks) {
    return `${now.waitingTasks} tasks wait, ${baseline.waitingTasks} did before`;
  }
  return null;
}
