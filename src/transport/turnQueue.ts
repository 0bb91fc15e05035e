/**
 * A queue that spreads tasks over turns of the event loop.
 *
 * libuv accepts a single connection per turn. On a small processor a turn that handles all requests that have arrived
 * takes tenths of a second. After a restart, hundreds of workers reconnect; at a few accepted connections a second their
 * leases would expire while they wait in the listen queue.
 */

type Task = () => void;

/** Maximum number of tasks of each kind that start in one turn of the event loop. */
export interface TurnLimits {
  /** Maximum number of urgent tasks per turn. */
  urgent: number;
  /** Maximum number of ordinary tasks per turn, in addition to the urgent ones, so that they are never starved. */
  ordinary: number;
}

/** Runs queued tasks in bounded batches, one batch per turn of the event loop. */
export class TurnQueue {
  private readonly urgent: Task[] = [];
  private readonly ordinary: Task[] = [];
  private isScheduled = false;

  constructor(
    private readonly limits: TurnLimits,
    /** Schedules a callback for the next turn of the event loop. */
    private readonly defer: (turn: () => void) => void = setImmediate,
  ) {}

  /** Number of queued tasks. */
  get size(): number {
    return this.urgent.length + this.ordinary.length;
  }

  /** Queues a task for a later turn. */
  add(task: Task, isUrgent: boolean): void {
    (isUrgent ? this.urgent : this.ordinary).push(task);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.size === 0) return;
    this.isScheduled = true;
    this.defer(() => {
      this.isScheduled = false;
      this.run();
    });
  }

  private run(): void {
    const batch = [
      ...this.urgent.splice(0, this.limits.urgent),
      ...this.ordinary.splice(0, this.limits.ordinary),
    ];
    this.schedule();
    for (const task of batch) task();
  }
}
