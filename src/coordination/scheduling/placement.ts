/** Where one task may go: pure functions over what machines last reported. */
import type { Random } from '../../base/random.js';
import type { JobSpec } from '../../protocol/job.js';
import { fits, type Resources } from '../model/resources.js';

export interface CandidateMachine {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Time per unit of work against the usual; 1 is usual, 2 is half as fast. */
  slowness: number;
  /** Processors that live services have there. */
  serviceCpus: number;
  hasImage(image: string): boolean;
}

/** Whether a job's constraints allow a machine, whatever room it has. */
export function satisfiesConstraints(
  spec: JobSpec,
  zone: string | null,
  host: { type: string; zone: string; spot: boolean },
): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(host.type)) &&
    (spec.zone === null || spec.zone === host.zone) &&
    (zone === null || zone === host.zone) &&
    (spec.allowsSpot || !host.spot)
  );
}

/** What two jobs must have in common to fit the same machines; kept per job, since it is asked for often. */
const shapes = new WeakMap<JobSpec, string>();

export function shapeOf(spec: JobSpec, zone: string | null): string {
  let shape = shapes.get(spec);
  if (shape === undefined) {
    const { cpus, gpus, memoryGb, machineTypes, allowsSpot: spot } = spec;
    shape = [cpus, gpus, memoryGb, machineTypes?.join(',') ?? '*', spec.zone ?? '*', spot].join(
      ' ',
    );
    shapes.set(spec, shape);
  }
  return zone === null ? shape : `${shape} ${zone}`;
}

/** Samples a few of the machines that have room; those that hold the image are always looked at. */
export function sampleCandidates<T extends CandidateMachine>(
  hosts: T[],
  image: string,
  count: number,
  random: Random,
): T[] {
  if (hosts.length <= count) return hosts;
  const pool = hosts.filter((h) => !h.hasImage(image));
  const chosen = hosts.filter((h) => h.hasImage(image));
  for (let i = 0; i < count && pool.length > 0; i++) {
    const at = Math.floor(random() * pool.length);
    const [picked] = pool.splice(at, 1);
    if (picked !== undefined) chosen.push(picked);
  }
  return chosen;
}

/**
 * Best fit: the least that is left of the scarcer of processors and memory. Slow machines and, where
 * the fetch would hold the task up, machines without the image come last.
 */
export function bestFit<T extends CandidateMachine>(hosts: T[], spec: JobSpec): T | null {
  let best: T | null = null;
  let bestScore = Infinity;
  for (const host of hosts) {
    const left = host.free.cpus - spec.cpus + (host.free.memoryGb - spec.memoryGb) / 1e3;
    const spotFirst = spec.allowsSpot && !host.spot ? 1e3 : 0;
    // Live services keep apart: the loss of one machine should take few of them.
    // But one more machine with a live service on it can't be returned once batch work is through.
    const apart = spec.isService ? (host.serviceCpus > 0 ? 10 * host.serviceCpus : 1e3) : 0;
    const imageFirst = host.hasImage(spec.image) ? 0 : 1e4;
    const slow = host.slowness > 1.5 ? 1e6 * host.slowness : 0;
    const score = left + spotFirst + apart + imageFirst + slow;
    if (score < bestScore) {
      best = host;
      bestScore = score;
    }
  }
  return best;
}

export interface Victim {
  rank: number;
  need: Resources;
  /** Seconds of work that stopping it would lose. */
  loss: number;
}

/**
 * The cheapest set of lower-ranked tasks whose end makes room for a task on this machine, or null.
 * Work of the same or a higher rank is never in it.
 */
export function victimsFor<T extends Victim>(
  free: Resources,
  resources: Resources,
  running: T[],
  rank: number,
): T[] | null {
  const candidates = running.filter((v) => v.rank < rank);
  candidates.sort((a, b) => a.rank - b.rank || a.loss - b.loss);
  const room = { ...free };
  const chosen: T[] = [];
  for (const victim of candidates) {
    if (fits(room, resources)) break;
    room.cpus += victim.need.cpus;
    room.gpus += victim.need.gpus;
    room.memoryGb += victim.need.memoryGb;
    chosen.push(victim);
  }
  return fits(room, resources) ? chosen : null;
}
