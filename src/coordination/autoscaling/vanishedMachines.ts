/**
 * Finds recorded machines that are gone according to the cloud's list. A machine stays listed until it is gone, but a list
 * may be up to `LONGEST_LAG` times its usual lag old, and older than the previous list. So a machine is gone only if it is
 * missing from a list that was requested more than that lag after a moment at which the machine certainly existed. This
 * terminates no attempt: the machine is released, and only the confirmed release does (safety, T2).
 */

/** The longest lag of a list, as a ratio to the usual lag (PROTOCOL, GET /rentals). */
const LONGEST_LAG = 2;

/** Allowance for the drift of this clock against the cloud's, as a ratio. */
const CLOCK_MARGIN = 1.01;

/** Finds recorded machines that are gone, according to the cloud's lists. */
export class VanishedMachines {
  /** Monotonic time at which each recorded machine certainly existed: its record was read, or a list named it. */
  private readonly existedAt = new Map<string, number>();
  private gone: string[] = [];

  /** `listLag`: the usual lag of the cloud's list, in seconds. */
  constructor(private readonly listLag: number) {}

  /** The machines that are gone according to the last list. */
  get names(): readonly string[] {
    return this.gone;
  }

  /**
   * Processes a complete list.
   * @param recorded names of all machines that are recorded, without those of unanswered launches.
   * @param isListed whether the list names a machine, in whatever state.
   * @param requestedAt monotonic time at which the list was requested.
   * @param now monotonic time at which it was received.
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

  /** Whether a list requested at that time certainly describes a moment after `existedAt`. */
  private isLaterThan(requestedAt: number, existedAt: number): boolean {
    return requestedAt - existedAt > this.listLag * LONGEST_LAG * CLOCK_MARGIN;
  }
}
