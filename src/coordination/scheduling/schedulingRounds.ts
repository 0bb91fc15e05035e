/**
 * Decides when scheduling rounds run: soon after a change, and periodically without one, since retries and timeouts become
 * due as time passes. There is always a pause between two rounds.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';

/** Delay during which changes are collected for one round, as a ratio to the heartbeat interval. */
const BATCH_DELAY = 1 / 200;

/** Interval between rounds without a request, as a ratio to the heartbeat interval. */
const ROUND_INTERVAL = 1 / 30;

/**
 * Pause after a round, as a ratio to its duration: on a small machine rounds would otherwise follow each other without a
 * break, and delay heartbeats, users' requests and lease renewals.
 */
const PAUSE_RATIO = 3;

/**
 * Upper limit of the pause, as a ratio to the heartbeat interval: if the process was suspended for seconds in the middle of a
 * round, nothing would otherwise be stored or started for three times as long.
 */
const MAX_PAUSE = 1 / 2;

/** Runs scheduling rounds on request and periodically, with a pause after each. */
export class SchedulingRounds {
  private isRequested = false;
  private isStopped = false;
  private lastEndedAt = -Infinity;
  /** Seconds that the last round took, including its wait for the CPU. */
  private duration = 0;

  constructor(
    private readonly clock: Clock,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
    private readonly runRound: () => void,
  ) {}

  /** Requests a round after a change; one round handles all changes that arrive before it starts. */
  request(): void {
    if (this.isRequested) return;
    this.isRequested = true;
    const delay = Math.max(this.heartbeatInterval * BATCH_DELAY, this.pauseLeft);
    setTimeout(() => {
      this.isRequested = false;
      this.perform();
    }, delay * 1000);
  }

  /** Runs periodic rounds until `stop` is called. */
  async run(): Promise<void> {
    const interval = this.heartbeatInterval * ROUND_INTERVAL;
    while (!this.isStopped) {
      const isDue = this.clock.now() - this.lastEndedAt >= interval && this.pauseLeft <= 0;
      if (isDue) this.perform();
      await sleep(Math.max(interval, this.pauseLeft));
    }
  }

  /** Ends `run`; no further round starts. */
  stop(): void {
    this.isStopped = true;
  }

  /** Seconds until the next round may start. */
  private get pauseLeft(): number {
    const pause = Math.min(this.duration * PAUSE_RATIO, this.heartbeatInterval * MAX_PAUSE);
    return this.lastEndedAt + pause - this.clock.now();
  }

  private perform(): void {
    if (this.isStopped) return;
    const startedAt = this.clock.now();
    try {
      this.runRound();
    } catch (error) {
      log.error(
        `scheduling round failed: ${error instanceof Error ? (error.stack ?? '') : String(error)}`,
      );
    }
    this.lastEndedAt = this.clock.now();
    this.duration = this.lastEndedAt - startedAt;
  }
}
