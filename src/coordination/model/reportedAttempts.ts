/**
 * The attempts that a worker last reported for its machine. A report may contain several attempts of a task, in any order: an
 * ended attempt is reported until it is acknowledged, and the next attempt of the same task may run beside it.
 */
import type { ReportedAttempt } from '../../protocol/workerProtocol.js';

/** The attempts in a worker's latest heartbeat. */
export class ReportedAttempts {
  private readonly firstByTask = new Map<string, ReportedAttempt>();
  /** Further attempts of tasks with more than one attempt; null for nearly all reports. */
  private furtherByTask: Map<string, ReportedAttempt[]> | null = null;

  constructor(readonly all: readonly ReportedAttempt[] = []) {
    for (const reportedAttempt of all) this.add(reportedAttempt);
  }

  /** The report of one attempt; undefined if it was not reported. */
  find(task: string, attemptNumber: number): ReportedAttempt | undefined {
    const first = this.firstByTask.get(task);
    if (first === undefined || first.attemptNumber === attemptNumber) return first;
    return this.furtherByTask
      ?.get(task)
      ?.find((reportedAttempt) => reportedAttempt.attemptNumber === attemptNumber);
  }

  /** Whether a later report contains the same attempts in the same states. */
  isSameAs(attempts: readonly ReportedAttempt[]): boolean {
    return (
      attempts.length === this.all.length && attempts.every((attempt) => this.isUnchanged(attempt))
    );
  }

  private add(reportedAttempt: ReportedAttempt): void {
    if (!this.firstByTask.has(reportedAttempt.task)) {
      this.firstByTask.set(reportedAttempt.task, reportedAttempt);
      return;
    }
    this.furtherByTask ??= new Map();
    const further = this.furtherByTask.get(reportedAttempt.task) ?? [];
    this.furtherByTask.set(reportedAttempt.task, [...further, reportedAttempt]);
  }

  private isUnchanged({
    task,
    attemptNumber,
    state,
    cause,
    hasCheckpoint,
  }: ReportedAttempt): boolean {
    const known = this.find(task, attemptNumber);
    if (known?.state !== state) return false;
    return known.cause === cause && known.hasCheckpoint === hasCheckpoint;
  }
}
