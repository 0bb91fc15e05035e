/** How much work arrives at a shard, on average. */

/** CPUs that arriving work needs, averaged over time with exponential decay. */
export class ArrivalRate {
  /** CPU-seconds that have arrived, decayed to `updatedAt`. */
  private decayedWork = 0;
  private updatedAt = 0;
  /** When the first work arrived; null: none yet. */
  private firstArrivalAt: number | null = null;

  /** `window` is the time constant of the decay, in seconds. */
  constructor(private readonly window: number) {}

  /** Records that work of so many CPU-seconds has arrived. */
  record(work: number, now: number): void {
    this.decay(now);
    this.firstArrivalAt ??= now;
    this.decayedWork += work;
  }

  /** Starts as if work had arrived at a steady rate of `cpus` CPUs for one window. */
  seed(cpus: number, now: number): void {
    this.updatedAt = now;
    this.firstArrivalAt = now - this.window;
    this.decayedWork = cpus * this.window * (1 - Math.exp(-1));
  }

  /** CPUs that arriving work keeps busy on average. */
  rate(now: number): number {
    this.decay(now);
    if (this.firstArrivalAt === null) return 0;
    // Until a full window has been seen, the average is over the time that has.
    const seen = 1 - Math.exp(-Math.max(this.window / 4, now - this.firstArrivalAt) / this.window);
    return Math.max(0, this.decayedWork) / (this.window * seen);
  }

  private decay(now: number): void {
    this.decayedWork *= Math.exp(-Math.max(0, now - this.updatedAt) / this.window);
    this.updatedAt = now;
  }
}
