/**
 * What a rollout does next: a pure function of its stored record, its plan and what was seen of the controllers. The
 * driver stores the new record before it acts on it.
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

/** What the driver does once the record is stored. */
export type RolloutAction =
  | { kind: 'drain'; label: string }
  | { kind: 'replace'; label: string }
  /** Lets the cluster's level rise. */
  | { kind: 'finalize' };

/** The record to be stored, and what to do once it is. */
export interface AdvanceResult {
  record: DriverRecord;
  actions: RolloutAction[];
}

/** What one controller should become, or why the rollout stops at it. */
type Step =
  | { kind: 'stay'; reason: string; conditionSince?: number | null }
  | { kind: 'go'; to: ControllerState; process?: string }
  | { kind: 'fail'; reason: string };

/** One step of the rollout. */
export function advance(record: DriverRecord, plan: RolloutPlan, seen: Observation): AdvanceResult {
  if (record.phase !== 'running') return { record, actions: [] };
  return new StepPlanner(record, plan, seen).plan();
}

class StepPlanner {
  constructor(
    private record: DriverRecord,
    private readonly rollout: RolloutPlan,
    private readonly seen: Observation,
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
    return this.record.controllers[label] ?? initialProgress(this.seen.wall);
  }

  private set(label: string, changes: Partial<ControllerProgress>): void {
    const progress = { ...this.progressOf(label), ...changes };
    const controllers = { ...this.record.controllers, [label]: progress };
    this.record = { ...this.record, controllers };
  }

  private move(label: string, { to, process }: Extract<Step, { kind: 'go' }>): void {
    const kept = process === undefined ? {} : { process };
    this.set(label, { state: to, since: this.seen.wall, conditionSince: null, ...kept });
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
    const away = Object.keys(controllers).filter((other) => isInProgress(this.progressOf(other)));
    if (away.length >= this.rollout.concurrency) return { kind: 'stay', reason: '' };
    // One that has crashed is replaced as well, but no other is taken away beside it.
    const down = unreadyControllers(this.seen).filter(
      (other) => other !== label && !away.includes(other),
    );
    if (down.length + away.length >= this.rollout.concurrency) {
      const from = conditionSince ?? this.seen.wall;
      const reason = `waits until ${down.join(', ')} is ready`;
      if (this.isOver(from, this.rollout.startTimeout)) return { kind: 'fail', reason };
      return { kind: 'stay', reason, conditionSince: from };
    }
    this.record = { ...this.record, baseline: measureTotals(this.seen) };
    const before = this.seen.controllers.get(label) ?? null;
    const isDrained = this.rollout.drainsFirst && before !== null;
    return { kind: 'go', to: isDrained ? 'draining' : 'replacing', process: before?.process ?? '' };
  }

  private drain(label: string, { since }: ControllerProgress): Step {
    const health = this.seen.controllers.get(label) ?? null;
    // It went by itself: there is nothing left to be handed over.
    if (health === null || health.isDrained) return { kind: 'go', to: 'replacing' };
    if (this.isOver(since, this.rollout.drainTimeout)) {
      return {
        kind: 'fail',
        reason: `it still owns ${health.parts.join(', ') || 'a duty'} after the drain timeout`,
      };
    }
    return { kind: 'stay', reason: `gives up ${health.parts.join(', ') || 'its duties'}` };
  }

  private replace(label: string): Step {
    const result = this.seen.commands.get(label);
    if (result?.kind === 'ended') return { kind: 'go', to: 'starting' };
    if (result?.kind === 'failed')
      return { kind: 'fail', reason: `the command failed: ${result.reason}` };
    return { kind: 'stay', reason: 'its command is running' };
  }

  private start(label: string, progress: ControllerProgress): Step {
    const missing = this.missingAfterStart(label, progress);
    if (missing === null) return { kind: 'go', to: 'settling' };
    if (this.isOver(progress.since, this.rollout.startTimeout)) {
      return { kind: 'fail', reason: `${missing} after the start timeout` };
    }
    return { kind: 'stay', reason: missing };
  }

  private missingAfterStart(label: string, { process }: ControllerProgress): string | null {
    const health = this.seen.controllers.get(label) ?? null;
    if (health === null) return 'it does not answer';
    if (health.process === process) return 'it is still the process from before';
    if (this.wantedVersion !== null && health.version !== this.wantedVersion) {
      return `it runs ${health.version} and not ${this.wantedVersion}`;
    }
    if (!health.isReady) return 'it is not ready';
    return health.parts.includes(label) ? null : 'it does not have its part back';
  }

  private settle({ since, conditionSince }: ControllerProgress): Step {
    const { wall } = this.seen;
    const problem = describeDegradation(this.seen, this.record.baseline, this.rollout);
    if (problem === null) {
      const from = conditionSince ?? wall;
      if (wall - from >= this.rollout.soak) return { kind: 'go', to: 'done' };
      return { kind: 'stay', reason: 'the cluster is well; soaking', conditionSince: from };
    }
    if (this.isOver(since, this.rollout.startTimeout + this.rollout.soak)) {
      return { kind: 'fail', reason: `${problem} after the start timeout` };
    }
    return { kind: 'stay', reason: problem, conditionSince: null };
  }

  private isOver(since: number, seconds: number): boolean {
    return this.seen.wall - since > seconds;
  }

  private fail(cause: string): AdvanceResult {
    const { record, rollout, seen } = this;
    const obstacle = rollbackObstacle(record, rollout, seen.level);
    const isTurned =
      rollout.onFailure === 'rollback' && record.direction === 'forward' && obstacle === null;
    const next = isTurned
      ? startRollback(record, cause, seen.wall)
      : pauseRecord(record, cause, seen.wall);
    return { record: next, actions: [] };
  }

  private finish(reasons: string[]): AdvanceResult {
    const isOver = Object.values(this.record.controllers).every(({ state }) => state === 'done');
    if (isOver) {
      const phase = this.record.direction === 'forward' ? 'done' : 'rolled-back';
      const cause = {
        text: phase === 'done' ? 'all controllers were replaced' : 'all controllers are back',
        since: this.seen.wall,
      };
      const actions: RolloutAction[] = this.rollout.autoFinalize ? [{ kind: 'finalize' }] : [];
      return { record: { ...this.record, phase, cause }, actions };
    }
    const text = reasons.join('; ') || this.record.cause.text;
    if (text !== this.record.cause.text) {
      this.record = { ...this.record, cause: { text, since: this.seen.wall } };
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
