/** The clocks of one process, in seconds. Injected so that scheduling code is deterministic in tests. */
export interface Clock {
  /** Monotonic time; for durations, deadlines and leases. */
  now(): number;
  /** Wall-clock time; only for display and for ordering arrivals, never for safety. */
  wall(): number;
}

/** The clocks of this machine: monotonic time since the start of the process, and wall-clock time. */
export const systemClock: Clock = {
  now: () => performance.now() / 1000,
  wall: () => Date.now() / 1000,
};

/** Resolves after the given number of seconds; a negative value counts as 0. */
export const sleep = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));

/** Upper bound on the relative drift of two monotonic clocks: twice the 0.05 % that PROTOCOL states, as a margin. */
export const MAX_CLOCK_DRIFT = 0.001;
