/** Run times: what owners say, corrected per class by what was seen. */
// Its index loads the formatters, the log reader and WebAssembly too: a third of the time of a start.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js';

const Int32Histogram = histograms.default;
type Histogram = InstanceType<typeof Int32Histogram>;

const SCALE = 100;
const ENOUGH = 5;

export class RunTimes {
  private readonly ratios = new Map<string, Histogram>();
  /** Medians as of the last end of a task: a round asks for them thousands of times. */
  private readonly medians = new Map<string, number>();

  /** Notes that a task said to take `expect` took `actual` seconds. */
  note(jobClass: string, expect: number, actual: number): void {
    if (expect <= 0 || actual <= 0) return;
    let histogram = this.ratios.get(jobClass);
    if (histogram === undefined) {
      histogram = new Int32Histogram(1, 100 * SCALE, 1);
      this.ratios.set(jobClass, histogram);
    }
    const ratio = Math.round((actual / expect) * SCALE);
    histogram.recordValue(Math.min(100 * SCALE, Math.max(1, ratio)));
    this.medians.delete(jobClass);
  }

  /** Owners are often mostly too high or too low on a day; the median ratio takes that out. */
  expected(jobClass: string, expect: number): number {
    let median = this.medians.get(jobClass);
    if (median === undefined) {
      const histogram = this.ratios.get(jobClass);
      const known = histogram !== undefined && histogram.totalCount >= ENOUGH;
      median = known ? histogram.getValueAtPercentile(50) / SCALE : 1;
      this.medians.set(jobClass, median);
    }
    return expect * median;
  }
}

/** Work that arrives, in processors, averaged over a window that forgets slowly. */
export class ArrivalRate {
  private level = 0;
  private at = 0;
  private since: number | null = null;

  constructor(private readonly window: number) {}

  note(work: number, now: number): void {
    this.decay(now);
    this.since ??= now;
    this.level += work;
  }

  seed(cpus: number, now: number): void {
    this.at = now;
    this.since = now - this.window;
    this.level = cpus * this.window * (1 - Math.exp(-1));
  }

  rate(now: number): number {
    this.decay(now);
    if (this.since === null) return 0;
    // Before the window is full the average is over the time that has been seen.
    const seen = 1 - Math.exp(-Math.max(this.window / 4, now - this.since) / this.window);
    return Math.max(0, this.level) / (this.window * seen);
  }

  private decay(now: number): void {
    this.level *= Math.exp(-Math.max(0, now - this.at) / this.window);
    this.at = now;
  }
}
