/** Amounts of processors, accelerators and memory, and the arithmetic on them. */

/** What a task needs, a machine has, or is left of one. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tolerated rounding error of sums and differences of fractional amounts. */
const EPSILON = 1e-6;

/** Whether `need` fits into what is available. */
export const fits = (available: Resources, need: Resources): boolean =>
  available.cpus + EPSILON >= need.cpus &&
  available.gpus + EPSILON >= need.gpus &&
  available.memoryGb + EPSILON >= need.memoryGb;

/** Takes `need` away `times` times, in place; -1 gives it back. */
export function subtractResources(available: Resources, need: Resources, times = 1): void {
  available.cpus -= times * need.cpus;
  available.gpus -= times * need.gpus;
  available.memoryGb -= times * need.memoryGb;
}
