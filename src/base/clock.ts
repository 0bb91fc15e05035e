/** The steady clock of one process, in seconds. Passed in so that scheduling code stays pure. */
export interface Clock {
  now(): number;
  /** Time of day in seconds; only for display and for ordering arrivals, never for safety. */
  wall(): number;
}

/** The clocks of this machine: a steady one in seconds since some start, and the time of day. */
export const systemClock: Clock = {
  now: () => performance.now() / 1000,
  wall: () => Date.now() / 1000,
};

/** Resolves after so many seconds, by the timers of the event loop. */
export const sleep = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));

/** Bound on how far two steady clocks drift apart (PROTOCOL: 0.05 %), taken twice for good measure. */
export const MAX_CLOCK_DRIFT = 0.001;
