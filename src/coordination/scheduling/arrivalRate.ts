/** How much work arrives at a shard, on average. */

/** CPUs that arriving work needs, averaged over time with exponential decay. */
export class ArrivalRate {
  /** CPU-seconds that have arrived, decayed to `updatedAt`. */
  private level = 0;
  private updatedAt = 0;
  /** When the first work arrived; null: none yet. */
  private since: number | null = null;

  /** `window` is the time constant of the decay, in seconds. */
  constructor(private readonly window: number) {}

  /** Records that work of so many CPU-seconds has arrived. */
  note(work: number, now: number): void {
    this.decay(now);
    this.since ??= now;
    this.level += work;
  }

  /** Starts as if work had arrived at a steady rate of `cpus` CPUs for one window. */
  seed(cpus: number, now: number): void {
    this.updatedAt = now;
    this.since = now - this.window;
    this.level = cpus * this.window * (1 - Math.exp(-1));
  }

  /** CPUs that arriving work keeps busy on average. */
  rate(now: number): number {
    this.decay(now);
    if (this.since === null) return 0;
    // Until a full window has been seen, the average is over the time that has.
    const seen = 1 - Math.exp(-Math.max(this.window / 4, now - this.since) / this.window);
    return Math.max(0, this.level) / (this.window * seen);
  }

  private decay(now: number): void {
    this.level *= Math.exp(-Math.max(0, now - this.updatedAt) / this.window);
    this.updatedAt = now;
  }
}
