/** Changes of a rollout's record that a driver or an operator makes: begin, pause, resume, roll back. */
import type { ControllerProgress, DriverPermit, DriverRecord } from './driverRecord.js';
import type { RolloutPlan } from './plan.js';

/** The progress of a controller that nothing was done with yet. */
export const initialProgress = (wall: number): ControllerProgress => ({
  state: 'waiting',
  since: wall,
  process: null,
  conditionSince: null,
});

/** The record of a rollout that has done nothing yet. */
export function startRecord(
  plan: RolloutPlan,
  permit: DriverPermit,
  level: number,
  wall: number,
): DriverRecord {
  return {
    name: plan.name,
    plan: plan.digest,
    order: plan.order,
    phase: 'running',
    direction: 'forward',
    cause: { text: 'it has just begun', since: wall },
    permit,
    baseline: null,
    levelAtStart: level,
    controllers: Object.fromEntries(plan.order.map((label) => [label, initialProgress(wall)])),
  };
}

/** Starts the rollback: the controllers that were touched are put back, the last one first. */
export function startRollback(record: DriverRecord, cause: string, wall: number): DriverRecord {
  const controllers = Object.entries(record.controllers).map(([label, progress]) => {
    const isUntouched = record.direction === 'forward' && progress.state === 'waiting';
    const next: ControllerProgress = {
      ...initialProgress(wall),
      state: isUntouched ? 'done' : 'waiting',
    };
    return [label, next] as const;
  });
  return {
    ...record,
    phase: 'running',
    direction: 'back',
    baseline: null,
    cause: { text: cause, since: wall },
    controllers: Object.fromEntries(controllers),
  };
}

/** Why a rollout cannot be rolled back; null: it can. */
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

/** Goes on after a pause; the times of what is under way count anew. */
export function resumeRecord(record: DriverRecord, wall: number): DriverRecord {
  const controllers = Object.entries(record.controllers).map(
    ([label, progress]) => [label, { ...progress, since: wall, conditionSince: null }] as const,
  );
  const cause = { text: 'it was resumed', since: wall };
  return { ...record, phase: 'running', cause, controllers: Object.fromEntries(controllers) };
}

/** Pauses a rollout; the text says why. */
export function pauseRecord(record: DriverRecord, text: string, wall: number): DriverRecord {
  return { ...record, phase: 'paused', cause: { text, since: wall } };
}
