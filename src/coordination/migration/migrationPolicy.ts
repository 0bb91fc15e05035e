/** The paper's sender-initiated choice (PAPER, III.A.1), with DESIGN's changes. */
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';

/** Turnaround in seconds: the longer of wait and image fetch, plus the run; there is no output transfer. */
export const turnaround = (wait: number, fetch: number, run: number): number =>
  Math.max(wait, fetch) + run;

/** Parameters of the choice. */
export interface MigrationPolicyOptions {
  /** Home is kept while its turnaround is at most this many times the shortest. */
  readonly factor: number;
  /** Answers within this share above the shortest turnaround count as equal. */
  readonly tolerance: number;
}

/**
 * The home shard, while its turnaround is within `factor` of the shortest; otherwise the shard with the
 * shortest turnaround, where answers within `tolerance` count as equal and the least used one wins.
 */
export function chooseShard(
  home: TurnaroundEstimate,
  answers: TurnaroundEstimate[],
  options: MigrationPolicyOptions,
): string {
  const finite = answers.filter((answer) => Number.isFinite(answer.turnaround));
  const shortest = Math.min(home.turnaround, ...finite.map((answer) => answer.turnaround));
  if (!Number.isFinite(shortest) || home.turnaround <= shortest * options.factor) return home.shard;
  const close = finite.filter((answer) => answer.turnaround <= shortest * (1 + options.tolerance));
  close.sort((a, b) => a.utilisation - b.utilisation || a.turnaround - b.turnaround);
  return close[0]?.shard ?? home.shard;
}
