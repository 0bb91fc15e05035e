/**
 * The state machine of a rollout: computes the next record and the actions from the stored record, the plan and an
 * observation of the controllers. The driver stores the new record before it executes the actions.
 */
import {
  describeDegradation,
  measureTotals,
  unreadyControllers,
  type Observation,
} from './observation.js';
import {
  isInProgress,
  type ControllerProgress,
  type ControllerState,
  type DriverRecord,
} from './driverRecord.js';
import type { RolloutPlan } from './plan.js';
import {
  initialProgress,
  pauseRecord,
  rollbackObstacle,
  startRollback,
} from './rolloutTransitions.js';

/** An action that the driver executes after the record is stored. */
export type RolloutAction =
  | { kind: 'drain'; label: string }
  | { kind: 'replace'; label: string }
  /** Ends the hold, so that the cluster's level may rise. */
  | { kind: 'finalize' };

/** The record to store, and the actions to execute afterwards. */
export interface AdvanceResult {
  record: DriverRecord;
  actions: RolloutAction[];
}

/** The decision for one controller: keep its state, change it, or fail the rollout. */
type Step =
  | { kind: 'stay'; reason: string; conditionSince?: number | null }
  | { kind: 'go'; to: ControllerState; process?: string }
  | { kind: 'fail'; reason: string };

/** Plans one step of the rollout. */
export function advance(
  record: DriverRecord,
  plan: RolloutPlan,
  observation: Observation,
): AdvanceResult {
  if (record.phase !== 'running') return { record, actions: [] };
  return new StepPlanner(record, plan, observation).plan();
}

class StepPlanner {
  constructor(
    private record: DriverRecord,
    private readonly rollout: RolloutPlan,
    private readonly observation: Observation,
  ) {}

  plan(): AdvanceResult {
    const reasons: string[] = [];
    for (const label of this.inOrder()) {
      const step = this.stepOf(label);
      if (step.kind === 'fail') return this.fail(`${label}: ${step.reason}`);
      if (step.kind === 'go') this.move(label, step);
      else {
        if (step.conditionSince !== undefined)
          this.set(label, { conditionSince: step.conditionSince });
        if (step.reason !== '') reasons.push(`${label}: ${step.reason}`);
      }
    }
    return this.finish(reasons);
  }

  private inOrder(): string[] {
    const { order, direction } = this.record;
    return direction === 'forward' ? order : [...order].reverse();
  }

  private progressOf(label: string): ControllerProgress {
    return this.record.controllers[label] ?? initialProgress(this.observation.wallTime);
  }

  private set(label: string, changes: Partial<ControllerProgress>): void {
    const progress = { ...this.progressOf(label), ...changes };
    const controllers = { ...this.record.controllers, [label]: progress };
    this.record = { ...this.record, controllers };
  }

  private move(label: string, { to, process }: Extract<Step, { kind: 'go' }>): void {
    const processChange = process === undefined ? {} : { process };
    this.set(label, {
      state: to,
      since: this.observation.wallTime,
      conditionSince: null,
      ...processChange,
    });
  }

  private get wantedVersion(): string | null {
    return this.record.direction === 'forward'
      ? this.rollout.version
      : this.rollout.rollbackVersion;
  }

  private stepOf(label: string): Step {
    const progress = this.progressOf(label);
    switch (progress.state) {
      case 'waiting':
        return this.begin(label, progress);
      case 'draining':
        return this.drain(label, progress);
      case 'replacing':
        return this.replace(label);
      case 'starting':
        return this.start(label, progress);
      case 'settling':
        return this.settle(progress);
      case 'done':
        return { kind: 'stay', reason: '' };
    }
  }

  private begin(label: string, { conditionSince }: ControllerProgress): Step {
    const { controllers } = this.record;
    const inProgress = Object.keys(controllers).filter((other) =>
      isInProgress(this.progressOf(other)),
    );
    if (inProgress.length >= this.rollout.concurrency) return { kind: 'stay', reason: '' };
    // Other controllers that are down count against the concurrency limit; a controller that is down itself is replaced.
    const down = unreadyControllers(this.observation).filter(
      (other) => other !== label && !inProgress.includes(other),
    );
    if (down.length + inProgress.length >= this.rollout.concurrency) {
      const since = conditionSince ?? this.observation.wallTime;
      const reason = `waits until ${down.join(', ')} is ready`;
      if (this.hasElapsed(since, this.rollout.startTimeout)) return { kind: 'fail', reason };
      return { kind: 'stay', reason, conditionSince: since };
    }
    this.record = { ...this.record, baseline: measureTotals(this.observation) };
    const before = this.observation.controllers.get(label) ?? null;
    const needsDrain = this.rollout.drainsFirst && before !== null;
    return {
      kind: 'go',
      to: needsDrain ? 'draining' : 'replacing',
      process: before?.process ?? '',
    };
  }

  private drain(label: string, { since }: ControllerProgress): Step {
    const health = this.observation.controllers.get(label) ?? null;
    // A controller that is down has no leaderships left to relinquish.
    if (health === null || health.isDrained) return { kind: 'go', to: 'replacing' };
    if (this.hasElapsed(since, this.rollout.drainTimeout)) {
      return {
        kind: 'fail',
        reason: `it still owns ${health.parts.join(', ') || 'a duty'} after the drain timeout`,
      };
    }
    return { kind: 'stay', reason: `gives up ${health.parts.join(', ') || 'its duties'}` };
  }

  private replace(label: string): Step {
    const result = this.observation.commands.get(label);
    if (result?.kind === 'ended') return { kind: 'go', to: 'starting' };
    if (result?.kind === 'failed')
      return { kind: 'fail', reason: `the command failed: ${result.reason}` };
    return { kind: 'stay', reason: 'its command is running' };
  }

  private start(label: string, progress: ControllerProgress): Step {
    const problem = this.startProblem(label, progress);
    if (problem === null) return { kind: 'go', to: 'settling' };
    if (this.hasElapsed(progress.since, this.rollout.startTimeout)) {
      return { kind: 'fail', reason: `${problem} after the start timeout` };
    }
    return { kind: 'stay', reason: problem };
  }

  private startProblem(label: string, { process }: ControllerProgress): string | null {
    const health = this.observation.controllers.get(label) ?? null;
    if (health === null) return 'it does not answer';
    if (health.process === process) return 'it is still the process from before';
    if (this.wantedVersion !== null && health.version !== this.wantedVersion) {
      return `it runs ${health.version} and not ${this.wantedVersion}`;
    }
    if (!health.isReady) return 'it is not ready';
    return health.parts.includes(label) ? null : 'it does not have its part back';
  }

  private settle({ since, conditionSince }: ControllerProgress): Step {
    const { wallTime } = this.observation;
    const problem = describeDegradation(this.observation, this.record.baseline, this.rollout);
    if (problem === null) {
      const from = conditionSince ?? wallTime;
      if (wallTime - from >= this.rollout.soak) return { kind: 'go', to: 'done' };
      return { kind: 'stay', reason: 'the cluster is well; soaking', conditionSince: from };
    }
    if (this.hasElapsed(since, this.rollout.startTimeout + this.rollout.soak)) {
      return { kind: 'fail', reason: `${problem} after the start timeout` };
    }
    return { kind: 'stay', reason: problem, conditionSince: null };
  }

  private hasElapsed(since: number, seconds: number): boolean {
    return this.observation.wallTime - since > seconds;
  }

  private fail(cause: string): AdvanceResult {
    const { record, rollout, observation } = this;
    const obstacle = rollbackObstacle(record, rollout, observation.level);
    const startsRollback =
      rollout.onFailure === 'rollback' && record.direction === 'forward' && obstacle === null;
    const next = startsRollback
      ? startRollback(record, cause, observation.wallTime)
      : pauseRecord(record, cause, observation.wallTime);
    return { record: next, actions: [] };
  }

  private finish(reasons: string[]): AdvanceResult {
    const isFinished = Object.values(this.record.controllers).every(
      ({ state }) => state === 'done',
    );
    if (isFinished) {
      const phase = this.record.direction === 'forward' ? 'done' : 'rolled-back';
      const cause = {
        text: phase === 'done' ? 'all controllers were replaced' : 'all controllers are back',
        since: this.observation.wallTime,
      };
      const actions: RolloutAction[] = this.rollout.autoFinalize ? [{ kind: 'finalize' }] : [];
      return { record: { ...this.record, phase, cause }, actions };
    }
    const text = reasons.join('; ') || this.record.cause.text;
    if (text !== this.record.cause.text) {
      this.record = { ...this.record, cause: { text, since: this.observation.wallTime } };
    }
    return { record: this.record, actions: this.actions() };
  }

  private actions(): RolloutAction[] {
    return Object.entries(this.record.controllers).flatMap(
      ([label, { state }]): RolloutAction[] => {
        if (state === 'draining') return [{ kind: 'drain', label }];
        if (state === 'replacing') return [{ kind: 'replace', label }];
        return [];
      },
    );
  }
}
