/**
 * Work that is spread over turns of the event loop.
 *
 * libuv accepts a single connection in each turn. A turn that handles all requests that have arrived lasts
 * for tenths of a second on a small processor, so after a restart hundreds of workers, each with a new
 * connection, would be let in at a few a second and lose their leases in the listen queue.
 */

type Work = () => void;

/** How much work of each kind starts in one turn of the event loop. */
export interface TurnLimits {
  /** Urgent items that one turn takes at most. */
  urgent: number;
  /** Ordinary items that one turn takes besides: they go on, however much urgent work there is. */
  ordinary: number;
}

/** Work that is spread over turns of the event loop. */
export class TurnQueue {
  private readonly urgent: Work[] = [];
  private readonly ordinary: Work[] = [];
  private scheduled = false;

  constructor(
    private readonly limits: TurnLimits,
    /** Runs something in the next turn of the event loop. */
    private readonly defer: (turn: () => void) => void = setImmediate,
  ) {}

  /** Items that wait. */
  get size(): number {
    return this.urgent.length + this.ordinary.length;
  }

  /** Queues work for a coming turn. */
  add(work: Work, isUrgent: boolean): void {
    (isUrgent ? this.urgent : this.ordinary).push(work);
    this.schedule();
  }

  private schedule(): void {
    if (this.scheduled || this.size === 0) return;
    this.scheduled = true;
    this.defer(() => {
      this.scheduled = false;
      this.run();
    });
  }

  private run(): void {
    const due = [
      ...this.urgent.splice(0, this.limits.urgent),
      ...this.ordinary.splice(0, this.limits.ordinary),
    ];
    this.schedule();
    for (const work of due) work();
  }
}
