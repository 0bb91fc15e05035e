/** The paper's sender-initiated choice (PAPER, III.A.1), with DESIGN's changes. */
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';

/** The larger of wait and image fetch, plus the run; output transfer is nothing here. */
export const turnaround = (wait: number, fetch: number, run: number): number =>
  Math.max(wait, fetch) + run;

export interface MigrationPolicyOptions {
  factor: number;
  tolerance: number;
}

/**
 * Home, while its turnaround is within `factor` of the smallest; else the smallest, where answers
 * within `tolerance` of it count as equal and go to the lowest utilisation.
 */
export function chooseShard(
  home: TurnaroundEstimate,
  answers: TurnaroundEstimate[],
  options: MigrationPolicyOptions,
): string {
  const finite = answers.filter((a) => Number.isFinite(a.turnaround));
  const least = Math.min(home.turnaround, ...finite.map((a) => a.turnaround));
  if (!Number.isFinite(least) || home.turnaround <= least * options.factor) return home.shard;
  const close = finite.filter((a) => a.turnaround <= least * (1 + options.tolerance));
  close.sort((a, b) => a.utilisation - b.utilisation || a.turnaround - b.turnaround);
  return close[0]?.shard ?? home.shard;
}
