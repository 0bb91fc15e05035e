/**
 * Decides where one task may run: constraints, best fit and the victims of preemption. All functions are pure; they work
 * on the state that machines last reported.
 */
import type { Random } from '../../base/random.js';
import type { JobSpec } from '../../protocol/job.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';

/** The properties of a machine that placement uses. */
export interface CandidateMachine {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Run time of a task as a ratio to its usual run time: 1 is the usual speed, 2 is half as fast. */
  slowness: number;
  /** CPUs allocated to live services on the machine. */
  serviceCpus: number;
  /** Whether the image is in the machine's cache. */
  hasImage(image: string): boolean;
}

/** Machines with a higher `slowness` are avoided while others have room. */
export const SLOWNESS_LIMIT = 1.5;

/**
 * Penalties of `bestFit`, in CPUs left over. Each one exceeds what the weaker criteria can add up to.
 */
const ON_DEMAND_PENALTY = 1e3;
const NO_SERVICE_PENALTY = 1e3;
const MISSING_IMAGE_PENALTY = 1e4;
const SLOW_MACHINE_PENALTY = 1e6;

/** Penalty for a live service, for each CPU that other live services use on the machine. */
const SERVICE_CPU_PENALTY = 10;

/** GB of leftover memory that weigh as much as one leftover CPU. */
const MEMORY_GB_PER_CPU = 1e3;

/** Whether a job's constraints allow a machine, regardless of its free resources. */
export function satisfiesConstraints(
  spec: JobSpec,
  zone: string | null,
  machine: { type: string; zone: string; spot: boolean },
): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(machine.type)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (zone === null || zone === machine.zone) &&
    (spec.allowsSpot || !machine.spot)
  );
}

/** Cached shapes: each scheduling round asks for them often. */
const shapes = new WeakMap<JobSpec, string>();

/** The shape of a job's tasks: a key of their resources and constraints. Tasks of the same shape fit the same machines. */
export function shapeOf(spec: JobSpec, zone: string | null): string {
  let shape = shapes.get(spec);
  if (shape === undefined) {
    const { cpus, gpus, memoryGb, machineTypes, allowsSpot } = spec;
    const types = machineTypes?.join(',') ?? '*';
    shape = [cpus, gpus, memoryGb, types, spec.zone ?? '*', allowsSpot].join(' ');
    shapes.set(spec, shape);
  }
  return zone === null ? shape : `${shape} ${zone}`;
}

/** Samples `count` of the machines with room; machines that have the image cached are always included (DESIGN). */
export function sampleCandidates<T extends CandidateMachine>(
  machines: T[],
  image: string,
  count: number,
  random: Random,
): T[] {
  if (machines.length <= count) return machines;
  const remaining = machines.filter((machine) => !machine.hasImage(image));
  const chosen = machines.filter((machine) => machine.hasImage(image));
  for (let i = 0; i < count && remaining.length > 0; i++) {
    const index = Math.floor(random() * remaining.length);
    const [picked] = remaining.splice(index, 1);
    if (picked !== undefined) chosen.push(picked);
  }
  return chosen;
}

/**
 * Best fit: the machine with the fewest resources left over. Spot machines come first if the job allows them, machines
 * without the image come later, and slow machines come last.
 */
export function bestFit<T extends CandidateMachine>(machines: T[], spec: JobSpec): T | null {
  let best: T | null = null;
  let bestScore = Infinity;
  for (const machine of machines) {
    const score = fitScore(machine, spec);
    if (score < bestScore) {
      best = machine;
      bestScore = score;
    }
  }
  return best;
}

/** Score of a machine for a task of the job; lower is better. */
function fitScore(machine: CandidateMachine, spec: JobSpec): number {
  const { free } = machine;
  const leftOver = free.cpus - spec.cpus + (free.memoryGb - spec.memoryGb) / MEMORY_GB_PER_CPU;
  const onDemand = spec.allowsSpot && !machine.spot ? ON_DEMAND_PENALTY : 0;
  const services = spec.isService ? serviceSpreadPenalty(machine) : 0;
  const image = machine.hasImage(spec.image) ? 0 : MISSING_IMAGE_PENALTY;
  const isSlow = machine.slowness > SLOWNESS_LIMIT;
  const slowness = isSlow ? SLOW_MACHINE_PENALTY * machine.slowness : 0;
  return leftOver + onDemand + services + image + slowness;
}

/**
 * Spreads live services over machines, so that the loss of one machine affects few of them. A machine without any gets a
 * higher penalty still: once a service runs there, it can't be released when batch work has ended.
 */
function serviceSpreadPenalty({ serviceCpus }: CandidateMachine): number {
  return serviceCpus > 0 ? SERVICE_CPU_PENALTY * serviceCpus : NO_SERVICE_PENALTY;
}

/** A running task that may be preempted. */
export interface Victim {
  readonly rank: number;
  /** Resources that it uses. */
  readonly resources: Resources;
  /** Seconds of work that are lost if it is stopped. */
  readonly loss: number;
}

/**
 * Selects lower-ranked tasks whose end makes room for a task on their machine, by rank and then by loss; null if stopping
 * all of them is not enough. Tasks of the same or a higher rank are never selected.
 */
export function selectVictims<T extends Victim>(
  free: Readonly<Resources>,
  resources: Resources,
  running: T[],
  rank: number,
): T[] | null {
  const candidates = running.filter((task) => task.rank < rank);
  candidates.sort((a, b) => a.rank - b.rank || a.loss - b.loss);
  const freed = { ...free };
  const chosen: T[] = [];
  for (const victim of candidates) {
    if (fits(freed, resources)) break;
    subtractResources(freed, victim.resources, -1);
    chosen.push(victim);
  }
  return fits(freed, resources) ? chosen : null;
}
