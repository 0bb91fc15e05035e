/**
 * What a worker last reported of the attempts on its machine. A task may stand in it more than once, in any order: an attempt
 * that has ended stays until it is acknowledged, and the next one of the same task may run beside it.
 */
import type { ReportedAttempt } from '../../protocol/workerProtocol.js';

/** The attempts in a worker's latest heartbeat. */
export class ReportedAttempts {
  private readonly firstOf = new Map<string, ReportedAttempt>();
  /** Further attempts of tasks that stand more than once; null in nearly all reports. */
  private furtherOf: Map<string, ReportedAttempt[]> | null = null;

  constructor(readonly all: readonly ReportedAttempt[] = []) {
    for (const reportedAttempt of all) this.add(reportedAttempt);
  }

  /** What was reported of one attempt. */
  find(task: string, attemptNumber: number): ReportedAttempt | undefined {
    const first = this.firstOf.get(task);
    if (first === undefined || first.attemptNumber === attemptNumber) return first;
    return this.furtherOf
      ?.get(task)
      ?.find((reportedAttempt) => reportedAttempt.attemptNumber === attemptNumber);
  }

  /** Whether a later report says the same. */
  isSameAs(tasks: readonly ReportedAttempt[]): boolean {
    return tasks.length === this.all.length && tasks.every((task) => this.isKnown(task));
  }

  private add(reportedAttempt: ReportedAttempt): void {
    if (!this.firstOf.has(reportedAttempt.task)) {
      this.firstOf.set(reportedAttempt.task, reportedAttempt);
      return;
    }
    this.furtherOf ??= new Map();
    const further = this.furtherOf.get(reportedAttempt.task) ?? [];
    this.furtherOf.set(reportedAttempt.task, [...further, reportedAttempt]);
  }

  private isKnown({ task, attemptNumber, state, cause, hasCheckpoint }: ReportedAttempt): boolean {
    const known = this.find(task, attemptNumber);
    if (known?.state !== state) return false;
    return known.cause === cause && known.hasCheckpoint === hasCheckpoint;
  }
}
