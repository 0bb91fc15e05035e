/**
 * When rounds of decisions take place: soon after something has changed, now and then without a reason, since
 * time alone changes what is due, and never without a rest in between.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';

/** How long changes are gathered for one round, as a ratio to the time between reports. */
const GATHER = 1 / 200;

/** The longest time between two rounds, as a ratio to the time between reports. */
const PAUSE = 1 / 30;

/**
 * Rest after a round, as a ratio to the time that it took: on a small machine rounds would else follow each
 * other without a break, and reports, users and renewals of the lease would wait for them.
 */
const REST = 3;

/**
 * The longest rest, as a ratio to the time between reports: a process that stood still for seconds in the middle of
 * a round would else rest for three times that, and nothing would be stored or started meanwhile.
 */
const LONGEST_REST = 1 / 2;

export class SchedulingRounds {
  private isRequested = false;
  private isStopped = false;
  private lastEnd = -Infinity;
  /** Seconds that the last round took, its waiting for the processor included. */
  private duration = 0;

  constructor(
    private readonly clock: Clock,
    /** Seconds between two reports of a worker. */
    private readonly heartbeatInterval: number,
    private readonly runRound: () => void,
  ) {}

  /** Something has changed: a round soon, gathered with what else comes meanwhile. */
  request(): void {
    if (this.isRequested) return;
    this.isRequested = true;
    const delay = Math.max(this.heartbeatInterval * GATHER, this.restLeft);
    setTimeout(() => {
      this.isRequested = false;
      this.perform();
    }, delay * 1000);
  }

  /** Goes on until `stop`. */
  async run(): Promise<void> {
    const pause = this.heartbeatInterval * PAUSE;
    while (!this.isStopped) {
      const isDue = this.clock.now() - this.lastEnd >= pause && this.restLeft <= 0;
      if (isDue) this.perform();
      await sleep(Math.max(pause, this.restLeft));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Seconds until the next round may begin, whoever asks for it. */
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
