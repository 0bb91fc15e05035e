/** Expected run times of tasks: the users' estimates, corrected per job class by measured run times. */
// The package's index also loads formatters, the log reader and WebAssembly, which takes a third of the process's startup time.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js';

const Int32Histogram = histograms.default;
type Histogram = InstanceType<typeof Int32Histogram>;

/** Histograms hold integers, so ratios are recorded in hundredths. */
const RATIO_SCALE = 100;

/** Larger ratios are recorded as this one. */
const MAX_RATIO = 100;

const SIGNIFICANT_DIGITS = 1;

/** Number of measured run times of a class that are required before its estimates are corrected. */
const MIN_SAMPLES = 5;

/**
 * Corrects estimated run times (docs/design.md, "Run times are corrected per class"): the paper assumes estimates that can
 * be replayed, but on a given day users' estimates are mostly too high or mostly too low.
 */
export class RunTimes {
  /** By job class, the ratios of measured to estimated run times. */
  private readonly ratios = new Map<string, Histogram>();
  /** Cached medians by job class: a scheduling round asks for them thousands of times. */
  private readonly medians = new Map<string, number>();

  /** Records that a task estimated at `estimate` seconds ran for `actual` seconds. */
  record(jobClass: string, estimate: number, actual: number): void {
    if (estimate <= 0 || actual <= 0) return;
    const largest = MAX_RATIO * RATIO_SCALE;
    let histogram = this.ratios.get(jobClass);
    if (histogram === undefined) {
      histogram = new Int32Histogram(1, largest, SIGNIFICANT_DIGITS);
      this.ratios.set(jobClass, histogram);
    }
    const ratio = Math.round((actual / estimate) * RATIO_SCALE);
    histogram.recordValue(Math.min(largest, Math.max(1, ratio)));
    this.medians.delete(jobClass);
  }

  /** Seconds that a task estimated at `estimate` seconds is expected to run. */
  expected(jobClass: string, estimate: number): number {
    let median = this.medians.get(jobClass);
    if (median === undefined) {
      median = this.medianRatio(jobClass);
      this.medians.set(jobClass, median);
    }
    return estimate * median;
  }

  private medianRatio(jobClass: string): number {
    const histogram = this.ratios.get(jobClass);
    if (histogram === undefined || histogram.totalCount < MIN_SAMPLES) return 1;
    return histogram.getValueAtPercentile(50) / RATIO_SCALE;
  }
}
