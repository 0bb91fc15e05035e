/**
 * Where one task may run: constraints, best fit and victims of preemption, as pure functions of what
 * machines last reported.
 */
import type { Random } from '../../base/random.js';
import type { JobSpec } from '../../protocol/job.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';

/** What placement uses of a machine. */
export interface CandidateMachine {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Run time of a task as a ratio to the usual; 1 is usual, 2 is half as fast. */
  slowness: number;
  /** CPUs that live services use there. */
  serviceCpus: number;
  /** Whether the image is in the machine's cache. */
  hasImage(image: string): boolean;
}

/** Machines slower than this are avoided where others have room. */
export const SLOW_MACHINE = 1.5;

/**
 * Penalties of `bestFit`, each above what the weaker criteria can add up to. The unit is CPUs that would
 * be left over.
 */
const ON_DEMAND_PENALTY = 1e3;
const NO_SERVICE_THERE_PENALTY = 1e3;
const MISSING_IMAGE_PENALTY = 1e4;
const SLOW_MACHINE_PENALTY = 1e6;

/** Weight of each CPU that other live services use on a machine, for a live service. */
const SERVICE_CPU_PENALTY = 10;

/** GB of memory left over that count as much as one CPU left over. */
const MEMORY_GB_PER_CPU = 1e3;

/** Whether a job's constraints allow a machine, whatever resources are free there. */
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

/** Shapes that have been worked out: each round asks for them often. */
const shapes = new WeakMap<JobSpec, string>();

/** The shape of a job's tasks: those of the same shape fit the same machines. */
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

/** Samples `count` of the machines with room; those that have the image are always added (DESIGN). */
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
 * Best fit: the machine with the fewest resources left over. Spot machines come first where the job
 * allows them, machines without the image come later, and slow machines last.
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

/** The lower, the better the machine suits a task of the job. */
function fitScore(machine: CandidateMachine, spec: JobSpec): number {
  const { free } = machine;
  const leftOver = free.cpus - spec.cpus + (free.memoryGb - spec.memoryGb) / MEMORY_GB_PER_CPU;
  const onDemand = spec.allowsSpot && !machine.spot ? ON_DEMAND_PENALTY : 0;
  const services = spec.isService ? serviceSpreadPenalty(machine) : 0;
  const image = machine.hasImage(spec.image) ? 0 : MISSING_IMAGE_PENALTY;
  const isSlow = machine.slowness > SLOW_MACHINE;
  const slowness = isSlow ? SLOW_MACHINE_PENALTY * machine.slowness : 0;
  return leftOver + onDemand + services + image + slowness;
}

/**
 * Live services are kept apart, so that the loss of one machine takes few of them; but a machine
 * without any comes later still, since with one it can't be released once batch work has ended.
 */
function serviceSpreadPenalty({ serviceCpus }: CandidateMachine): number {
  return serviceCpus > 0 ? SERVICE_CPU_PENALTY * serviceCpus : NO_SERVICE_THERE_PENALTY;
}

/** A running task that may be preempted. */
export interface Victim {
  readonly rank: number;
  /** What it uses. */
  readonly need: Resources;
  /** Seconds of work that stopping it would lose. */
  readonly loss: number;
}

/**
 * The cheapest set of lower-ranked tasks whose end makes room for a task on their machine; null if even
 * all of them don't. Work of the same or a higher rank is never in it.
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
    subtractResources(freed, victim.need, -1);
    chosen.push(victim);
  }
  return fits(freed, resources) ? chosen : null;
}
