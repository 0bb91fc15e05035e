/**
 * Recorded machines that the cloud's list shows to be gone. A machine stays listed until it is gone, but a list may be up to
 * `LONGEST_LAG` times its usual lag old, and older than the one before it. So a machine is gone only if a list that was asked for so
 * much later than a moment at which it certainly existed does not name it. This ends no attempt: the machine is released, and only
 * the confirmed release does (safety, T2).
 */

/** The most that a list lags behind, as a ratio to the usual lag (PROTOCOL, GET /rentals). */
const LONGEST_LAG = 2;

/** Allowance for the drift of our clock against the cloud's, as a ratio. */
const CLOCK_MARGIN = 1.01;

/** Finds recorded machines that are gone by the cloud's lists. */
export class VanishedMachines {
  /** Steady time at which each recorded machine certainly existed: its record was seen, or a list named it. */
  private readonly existedAt = new Map<string, number>();
  private gone: string[] = [];

  /** `listLag`: how far the cloud's list usually lags behind, in seconds. */
  constructor(private readonly listLag: number) {}

  /** The machines that the last list has shown to be gone. */
  get names(): readonly string[] {
    return this.gone;
  }

  /**
   * Takes in a whole list.
   * @param recorded names of all machines that are recorded, without those of rentals under way.
   * @param isListed whether the list names a machine, in whatever state.
   * @param requestedAt steady time at which the list was asked for.
   * @param now steady time at which it was received.
   * @returns machines that have just been found to be gone.
   */
  noteList(
    recorded: Iterable<string>,
    isListed: (machine: string) => boolean,
    requestedAt: number,
    now: number,
  ): string[] {
    const before = new Set(this.gone);
    const isRecorded = new Set(recorded);
    this.gone = [];
    for (const machine of isRecorded) {
      const existedAt = this.existedAt.get(machine);
      if (existedAt === undefined || isListed(machine)) this.existedAt.set(machine, now);
      else if (this.isLaterThan(requestedAt, existedAt)) this.gone.push(machine);
    }
    for (const machine of this.existedAt.keys())
      if (!isRecorded.has(machine)) this.existedAt.delete(machine);
    return this.gone.filter((machine) => !before.has(machine));
  }

  /** Whether a list that was asked for then surely describes a later moment. */
  private isLaterThan(requestedAt: number, existedAt: number): boolean {
    return requestedAt - existedAt > this.listLag * LONGEST_LAG * CLOCK_MARGIN;
  }
}
