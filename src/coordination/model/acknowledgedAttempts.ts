/**
 * Tracks attempts that have been acknowledged to a worker, to detect one that returns in a later report: then a copy of its
 * start was executed, which must not happen (safety, T3).
 */
import { attemptKey } from './endedAttempt.js';
import type { ReportedAttempts } from './reportedAttempts.js';

/** Maximum number of forgotten attempts per machine: copies mostly arrive within seconds, and the limit bounds memory. */
const MAX_FORGOTTEN_ATTEMPTS = 16;

/** The acknowledged attempts of one worker. */
export class AcknowledgedAttempts {
  /** Keys of attempts that are acknowledged, but still in the latest report. */
  private readonly pending = new Set<string>();
  /** Keys of acknowledged attempts that the worker no longer reports, the most recent last. */
  private readonly forgotten = new Set<string>();

  /** Records that an acknowledgement of the attempt, which lets the worker forget it, is sent. */
  noteAcknowledged(task: string, attemptNumber: number): void {
    this.pending.add(attemptKey(task, attemptNumber));
  }

  /** Processes a report, and returns the keys of forgotten attempts that it contains again. */
  applyReport({ all }: ReportedAttempts): string[] {
    if (this.pending.size === 0 && this.forgotten.size === 0) return [];
    const reported = new Set(all.map(({ task, attemptNumber }) => attemptKey(task, attemptNumber)));
    const returned = [...reported].filter((key) => this.forgotten.delete(key));
    for (const key of this.pending) if (!reported.has(key)) this.noteForgotten(key);
    return returned;
  }

  private noteForgotten(key: string): void {
    this.pending.delete(key);
    this.forgotten.add(key);
    if (this.forgotten.size <= MAX_FORGOTTEN_ATTEMPTS) return;
    const [oldest] = this.forgotten;
    if (oldest !== undefined) this.forgotten.delete(oldest);
  }
}
