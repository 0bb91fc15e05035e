/** The policy of sender-initiated migration (PAPER, III.A.1), with the changes of DESIGN. */
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';

/** Turnaround in seconds: the longer of wait and image fetch, plus the run time. There is no output transfer. */
export const turnaround = (wait: number, fetch: number, run: number): number =>
  Math.max(wait, fetch) + run;

/** Parameters of the migration policy. */
export interface MigrationPolicyOptions {
  /** The home shard is kept while its turnaround is at most this many times the shortest. */
  readonly factor: number;
  /** Turnarounds that exceed the shortest by at most this ratio count as equal to it. */
  readonly tolerance: number;
}

/**
 * Chooses the home shard while its turnaround is within `factor` of the shortest; otherwise the shard with the shortest
 * turnaround. Turnarounds within `tolerance` count as equal, and of these shards the one with the lowest utilisation wins.
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
