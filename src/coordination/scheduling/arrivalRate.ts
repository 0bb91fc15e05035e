/** Moving average of the work that arrives at a shard. */

/** Average number of CPUs that arriving work keeps busy, with exponential decay over time. */
export class ArrivalRate {
  /** CPU-seconds that have arrived, decayed to `updatedAt`. */
  private decayedWork = 0;
  private updatedAt = 0;
  /** Time of the first arrival; null before it. */
  private firstArrivalAt: number | null = null;

  /** `window` is the time constant of the decay, in seconds. */
  constructor(private readonly window: number) {}

  /** Records the arrival of `work` CPU-seconds. */
  record(work: number, now: number): void {
    this.decay(now);
    this.firstArrivalAt ??= now;
    this.decayedWork += work;
  }

  /** Initializes the average as if work for `cpus` CPUs had arrived at a steady rate for one window. */
  seed(cpus: number, now: number): void {
    this.updatedAt = now;
    this.firstArrivalAt = now - this.window;
    this.decayedWork = cpus * this.window * (1 - Math.exp(-1));
  }

  /** Average number of CPUs that arriving work keeps busy. */
  rate(now: number): number {
    this.decay(now);
    if (this.firstArrivalAt === null) return 0;
    // Before one window has elapsed, the average covers the elapsed time only, but at least a quarter of the window.
    const observedFraction =
      1 - Math.exp(-Math.max(this.window / 4, now - this.firstArrivalAt) / this.window);
    return Math.max(0, this.decayedWork) / (this.window * observedFraction);
  }

  private decay(now: number): void {
    this.decayedWork *= Math.exp(-Math.max(0, now - this.updatedAt) / this.window);
    this.updatedAt = now;
  }
}
