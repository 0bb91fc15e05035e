/** Draining a node: it relinquishes all shards and roles that it leads, and claims none until the drain is cancelled. */
import type { ShardLeadership } from '../leadership/shardLeadership.js';

/** The state of the drain of this node. */
export class Drain {
  /** True from the request until the drain is cancelled. */
  isActive = false;

  constructor(
    private readonly leadership: Pick<
      ShardLeadership,
      'relinquishAll' | 'resumeClaiming' | 'isIdle'
    >,
  ) {}

  /** True when the node leads nothing any more and no relinquishment is in progress. */
  get isDone(): boolean {
    return this.isActive && this.leadership.isIdle;
  }

  /** Relinquishes all leaderships of the node and stops claiming new ones. */
  begin(): void {
    this.isActive = true;
    this.leadership.relinquishAll();
  }

  /** Lets the node claim shards again. */
  cancel(): void {
    this.isActive = false;
    this.leadership.resumeClaiming();
  }
}
