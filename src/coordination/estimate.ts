/** Run times: what owners say, corrected per class by what was seen. */
import { build, type Histogram } from 'hdr-histogram-js';

const SCALE = 100;
const ENOUGH = 5;

export class RunTimes {
  private readonly ratios = new Map<string, Histogram>();

  /** Notes that a task said to take `expect` took `actual` seconds. */
  note(jobClass: string, expect: number, actual: number): void {
    if (expect <= 0 || actual <= 0) return;
    let histogram = this.ratios.get(jobClass);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 100 * SCALE,
        numberOfSignificantValueDigits: 1,
        bitBucketSize: 32,
        useWebAssembly: false,
      });
      this.ratios.set(jobClass, histogram);
    }
    const ratio = Math.round((actual / expect) * SCALE);
    histogram.recordValue(Math.min(100 * SCALE, Math.max(1, ratio)));
  }

  /** Owners are often mostly too high or too low on a day; the median ratio takes that out. */
  expected(jobClass: string, expect: number): number {
    const histogram = this.ratios.get(jobClass);
    if (histogram === undefined || histogram.totalCount < ENOUGH) return expect;
    return (expect * histogram.getValueAtPercentile(50)) / SCALE;
  }
}
