/** A driver's observation of the controllers, and its comparison with the baseline. */
import type { Baseline, ControllerHealth } from './driverRecord.js';
import type { RolloutPlan } from './plan.js';

/** The state of the command that replaces a controller. */
export type CommandResult =
  { kind: 'running' } | { kind: 'ended' } | { kind: 'failed'; reason: string };

/** The state of all controllers of the plan at one time. */
export interface Observation {
  /** The health by label; null if the controller does not respond. */
  controllers: ReadonlyMap<string, ControllerHealth | null>;
  commands: ReadonlyMap<string, CommandResult>;
  /** The cluster's level; null if no controller responds. */
  level: number | null;
  /** Wall-clock time in seconds. */
  wallTime: number;
}

/** Labels of the controllers that are down or not ready. */
export const unreadyControllers = ({ controllers }: Pick<Observation, 'controllers'>): string[] =>
  [...controllers].filter(([, health]) => health?.isReady !== true).map(([label]) => label);

/** Sums of live replicas and waiting tasks over all controllers that respond. */
export function measureTotals({ controllers }: Pick<Observation, 'controllers'>): Baseline {
  const healths = [...controllers.values()].flatMap((health) => health ?? []);
  const sum = (amountOf: (health: ControllerHealth) => number): number =>
    healths.reduce((total, health) => total + amountOf(health), 0);
  return {
    liveReplicas: sum((health) => health.liveReplicas),
    waitingTasks: sum((health) => health.waitingTasks),
  };
}

/** How the cluster is degraded compared to the baseline; null if it is not. */
export function describeDegradation(
  observation: Pick<Observation, 'controllers'>,
  baseline: Baseline | null,
  limits: Pick<RolloutPlan, 'minReplicaRatio' | 'maxWaitingRatio'>,
): string | null {
  const unready = unreadyControllers(observation);
  if (unready.length > 0) return `${unready.join(', ')} is not ready`;
  if (baseline === null) return null;
  const totals = measureTotals(observation);
  if (totals.liveReplicas < baseline.liveReplicas * limits.minReplicaRatio) {
    return `${totals.liveReplicas} of ${baseline.liveReplicas} live replicas are up`;
  }
  const maxWaiting =
    Math.max(baseline.waitingTasks, baseline.liveReplicas) * limits.maxWaitingRatio;
  if (totals.waitingTasks > maxWaiting && totals.waitingTasks > baseline.waitingTasks) {
    return `${totals.waitingTasks} tasks wait, ${baseline.waitingTasks} did before`;
  }
  return null;
}
