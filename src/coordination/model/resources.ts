/** Amounts of CPUs, accelerators and memory, and arithmetic on them. */

/** Resources that a task needs, that a machine has, or that are free on it. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tolerance for rounding errors in sums and differences of fractional amounts. */
const EPSILON = 1e-6;

/** Whether the resources in `need` are available. */
export const fits = (available: Resources, need: Resources): boolean =>
  available.cpus + EPSILON >= need.cpus &&
  available.gpus + EPSILON >= need.gpus &&
  available.memoryGb + EPSILON >= need.memoryGb;

/** Subtracts `need` from `available` in place, `times` times; -1 adds it back. */
export function subtractResources(available: Resources, need: Resources, times = 1): void {
  available.cpus -= times * need.cpus;
  available.gpus -= times * need.gpus;
  available.memoryGb -= times * need.memoryGb;
}

/** Tolerance for rounding errors when resources are divided. */
const DIVISION_EPSILON = 1e-9;

/** How many times `need` fits into the available resources, if each of them can be used `uses` times in succession. */
export function timesThatFit(available: Resources, need: Resources, uses = 1): number {
  const quotient = (amount: number, needed: number): number =>
    needed > 0 ? Math.floor((amount * uses) / needed + DIVISION_EPSILON) : Infinity;
  return Math.min(
    quotient(available.cpus, need.cpus),
    quotient(available.gpus, need.gpus),
    quotient(available.memoryGb, need.memoryGb),
  );
}
