/**
 * Attempts that a worker was told to forget, and whether one of them comes back in a later report: a copy of its start was
 * carried out, which must not happen (safety, T3).
 */
import { attemptKey } from './endedAttempt.js';
import type { ReportedAttempts } from './reportedAttempts.js';

/** Forgotten attempts that are remembered for one machine: copies mostly come within seconds, and memory is short. */
const MOST_REMEMBERED = 16;

/** What one worker has been told to forget. */
export class AcknowledgedAttempts {
  /** Acknowledged, and still in the latest report. */
  private readonly pending = new Set<string>();
  /** Gone from the reports since, the latest last. */
  private readonly forgotten = new Set<string>();

  /** The worker is told to forget an attempt. */
  noteAcknowledged(task: string, attemptNumber: number): void {
    this.pending.add(attemptKey(task, attemptNumber));
  }

  /** Takes in a report; the keys of attempts that are back. */
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
    if (this.forgotten.size <= MOST_REMEMBERED) return;
    const [oldest] = this.forgotten;
    if (oldest !== undefined) this.forgotten.delete(oldest);
  }
}
