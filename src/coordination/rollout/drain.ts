/** Taking a node out of service: it gives up what it owns, and takes nothing until the drain is cancelled. */
import type { ShardLeadership } from '../leadership/shardLeadership.js';

/** Whether this node is being drained, and how far that has come. */
export class Drain {
  /** It was asked for and not cancelled. */
  isActive = false;

  constructor(
    private readonly leadership: Pick<
      ShardLeadership,
      'relinquishAll' | 'resumeClaiming' | 'isIdle'
    >,
  ) {}

  /** Nothing is owned any more, and nothing on its way to be given up. */
  get isDone(): boolean {
    return this.isActive && this.leadership.isIdle;
  }

  /** Gives up all that the node leads, and claims nothing more. */
  begin(): void {
    this.isActive = true;
    this.leadership.relinquishAll();
  }

  /** Takes the node back into service. */
  cancel(): void {
    this.isActive = false;
    this.leadership.resumeClaiming();
  }
}
