/**
 * What a worker last reported of the attempts on its machine. A task may stand in it more than once, in any order: an attempt
 * that has ended stays until it is reaped, and the next one of the same task may run beside it.
 */
import type { ReportedAttempt } from '../../protocol/workerProtocol.js';

export class ReportedAttempts {
  private readonly firstOf = new Map<string, ReportedAttempt>();
  /** Further attempts of tasks that stand more than once; null in nearly all reports. */
  private furtherOf: Map<string, ReportedAttempt[]> | null = null;

  constructor(readonly all: readonly ReportedAttempt[] = []) {
    for (const report of all) this.add(report);
  }

  find(task: string, attempt: number): ReportedAttempt | undefined {
    const first = this.firstOf.get(task);
    if (first === undefined || first.attempt === attempt) return first;
    return this.furtherOf?.get(task)?.find((report) => report.attempt === attempt);
  }

  /** Whether a later report says the same. */
  isSameAs(tasks: readonly ReportedAttempt[]): boolean {
    return tasks.length === this.all.length && tasks.every((task) => this.isKnown(task));
  }

  private add(report: ReportedAttempt): void {
    if (!this.firstOf.has(report.task)) {
      this.firstOf.set(report.task, report);
      return;
    }
    this.furtherOf ??= new Map();
    const further = this.furtherOf.get(report.task) ?? [];
    this.furtherOf.set(report.task, [...further, report]);
  }

  private isKnown({ task, attempt, state, cause, saved }: ReportedAttempt): boolean {
    const known = this.find(task, attempt);
    if (known === undefined || known.state !== state) return false;
    return known.cause === cause && known.saved === saved;
  }
}
