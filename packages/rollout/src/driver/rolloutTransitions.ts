/** Changes of a rollout's record by a driver or an operator: start, pause, resume and rollback. */
import type { ControllerProgress, DriverPermit, DriverRecord } from './driverRecord.js';
import type { RolloutPlan } from './plan.js';

/** The initial progress of a controller. */
export const initialProgress = (wallTime: number): ControllerProgress => ({
  state: 'waiting',
  since: wallTime,
  process: null,
  conditionSince: null,
});

/** The initial record of a rollout. */
export function startRecord(
  plan: RolloutPlan,
  permit: DriverPermit,
  level: number,
  wallTime: number,
): DriverRecord {
  return {
    name: plan.name,
    plan: plan.digest,
    order: plan.order,
    phase: 'running',
    direction: 'forward',
    cause: { text: 'it has just begun', since: wallTime },
    permit,
    baseline: null,
    levelAtStart: level,
    controllers: Object.fromEntries(plan.order.map((label) => [label, initialProgress(wallTime)])),
  };
}

/** Starts the rollback of all controllers whose replacement had begun, in reverse order. */
export function startRollback(record: DriverRecord, cause: string, wallTime: number): DriverRecord {
  const controllers = Object.entries(record.controllers).map(([label, progress]) => {
    const isUntouched = record.direction === 'forward' && progress.state === 'waiting';
    const next: ControllerProgress = {
      ...initialProgress(wallTime),
      state: isUntouched ? 'done' : 'waiting',
    };
    return [label, next] as const;
  });
  return {
    ...record,
    phase: 'running',
    direction: 'back',
    baseline: null,
    cause: { text: cause, since: wallTime },
    controllers: Object.fromEntries(controllers),
  };
}

/** Why a rollout cannot be rolled back; null if it can. */
export function rollbackObstacle(
  record: DriverRecord,
  plan: RolloutPlan,
  level: number | null,
): string | null {
  if (plan.rollbackCommand === null) return 'the plan has no rollback.command';
  if (level !== null && level > record.levelAtStart) {
    return `the cluster has gone from level ${record.levelAtStart} to ${level} since; lower it first (rollout lower)`;
  }
  return null;
}

/** Continues a paused rollout; the timeouts of steps in progress restart. */
export function resumeRecord(record: DriverRecord, wallTime: number): DriverRecord {
  const controllers = Object.entries(record.controllers).map(
    ([label, progress]) => [label, { ...progress, since: wallTime, conditionSince: null }] as const,
  );
  const cause = { text: 'it was resumed', since: wallTime };
  return { ...record, phase: 'running', cause, controllers: Object.fromEntries(controllers) };
}

/** Pauses a rollout for the given reason. */
export function pauseRecord(record: DriverRecord, reason: string, wallTime: number): DriverRecord {
  return { ...record, phase: 'paused', cause: { text: reason, since: wallTime } };
}
