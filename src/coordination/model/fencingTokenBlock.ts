/**
 * The fencing tokens of one leadership. The transaction that writes the leader key increments the counter at the state service
 * by a whole block; within the block the leader raises the token of a single machine without a write (safety, O2).
 */

/**
 * Number of fencing tokens that one leadership may use. A machine needs one for each acknowledgement, at most two per second,
 * so a block lasts for three months. The counter stays exact, below 2^53, for half a billion leaderships.
 */
export const TOKENS_PER_LEADERSHIP = 2 ** 24;

/** The consecutive fencing tokens from `first` to `last`. */
export class FencingTokenBlock {
  constructor(
    readonly first: number,
    readonly last: number,
  ) {}

  /** The block of the leadership whose record names `first`. */
  static startingAt(first: number): FencingTokenBlock {
    return new FencingTokenBlock(first, first + TOKENS_PER_LEADERSHIP - 1);
  }

  /** Whether a worker that has seen this token has received a command of a later leadership. */
  isSurpassedBy(seenToken: number): boolean {
    return seenToken > this.last;
  }
}

/** The block of a shard that has no leader yet. */
export const NO_LEADERSHIP = new FencingTokenBlock(0, Infinity);
