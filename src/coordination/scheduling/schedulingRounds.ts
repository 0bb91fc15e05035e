/**
 * When scheduling rounds run: soon after a change, from time to time without one, since time alone
 * changes what is due, and never without a rest in between.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';

/** How long changes are gathered for one round, as a ratio to the heartbeat interval. */
const GATHER = 1 / 200;

/** The longest time between two rounds, as a ratio to the heartbeat interval. */
const PAUSE = 1 / 30;

/**
 * Rest after a round, as a ratio to its duration: on a small machine rounds would otherwise follow each
 * other without a break, and heartbeats, users and lease renewals would wait for them.
 */
const REST = 3;

/**
 * The longest rest, as a ratio to the heartbeat interval: after a process was suspended for seconds in
 * the middle of a round, nothing would be stored or started for three times as long otherwise.
 */
const LONGEST_REST = 1 / 2;

/** Runs scheduling rounds on request and from time to time, with a rest after each. */
export class SchedulingRounds {
  private isRequested = false;
  private isStopped = false;
  private lastEnd = -Infinity;
  /** Seconds that the last round took, including its wait for the CPU. */
  private duration = 0;

  constructor(
    private readonly clock: Clock,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
    private readonly runRound: () => void,
  ) {}

  /** Something has changed: runs a round soon, for all changes that come until then. */
  request(): void {
    if (this.isRequested) return;
    this.isRequested = true;
    const delay = Math.max(this.heartbeatInterval * GATHER, this.restLeft);
    setTimeout(() => {
      this.isRequested = false;
      this.perform();
    }, delay * 1000);
  }

  /** Runs rounds until `stop`. */
  async run(): Promise<void> {
    const pause = this.heartbeatInterval * PAUSE;
    while (!this.isStopped) {
      const isDue = this.clock.now() - this.lastEnd >= pause && this.restLeft <= 0;
      if (isDue) this.perform();
      await sleep(Math.max(pause, this.restLeft));
    }
  }

  /** Ends `run`; no further round begins. */
  stop(): void {
    this.isStopped = true;
  }

  /** Seconds until the next round may begin. */
  private get restLeft(): number {
    const rest = Math.min(this.duration * REST, this.heartbeatInterval * LONGEST_REST);
    return this.lastEnd + rest - this.clock.now();
  }

  private perform(): void {
    if (this.isStopped) return;
    const began = this.clock.now();
    try {
      this.runRound();
    } catch (error) {
      log.error(`round: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
    }
    this.lastEnd = this.clock.now();
    this.duration = this.lastEnd - began;
  }
}
