/**
 * Reservations of EASY backfilling (DESIGN: first come first served with backfilling): the first
 * blocked chunk of the queue has the machine reserved where it can start soonest, and later work may
 * run there only if it is expected to end before that.
 */
import type { Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import { fits, subtractResources } from '../model/resources.js';
import { satisfiesConstraints } from './placement.js';
import type { SchedulableShard } from './schedulableShard.js';

/** A machine kept for the first blocked chunk. */
export interface Reservation {
  readonly machine: Machine;
  /** The shadow time: steady time at which the machine is expected to have room for the chunk. */
  readonly shadowTime: number;
}

type ReservableShard = Pick<SchedulableShard, 'machines' | 'waitEstimates'>;

/** The machine on which a task of the chunk can start soonest; null if none could ever hold it. */
export function findReservation(
  shard: ReservableShard,
  chunk: Chunk,
  now: number,
): Reservation | null {
  let best: Reservation | null = null;
  for (const machine of shard.machines.values()) {
    if (!couldHold(machine, chunk, now)) continue;
    // Most machines are skipped here: nothing on them ends sooner than the best shadow time so far.
    const hasRoomNow = fits(machine.free, chunk.spec);
    if (best !== null && !hasRoomNow && earliestEnd(shard, machine, now) >= best.shadowTime) {
      continue;
    }
    const shadowTime = shadowTimeOn(shard, machine, chunk, now);
    if (shadowTime < (best?.shadowTime ?? Infinity)) best = { machine, shadowTime };
  }
  return best;
}

/** Whether the machine would hold a task of the chunk if nothing else ran there. */
function couldHold(machine: Machine, { spec, zone }: Chunk, now: number): boolean {
  return (
    machine.isSchedulable(now) &&
    satisfiesConstraints(spec, zone, machine) &&
    fits(machine.capacity, spec)
  );
}

/** When enough of the machine's tasks are expected to have ended; Infinity if that is never so. */
function shadowTimeOn(
  { waitEstimates }: ReservableShard,
  machine: Machine,
  { spec }: Chunk,
  now: number,
): number {
  const free = { ...machine.free };
  const ends = [...machine.placements.values()]
    .map((placement) => ({
      at: waitEstimates.endOf(placement, now),
      resources: placement.chunk.spec,
    }))
    .sort((a, b) => a.at - b.at);
  let shadowTime = now;
  for (const end of ends) {
    if (fits(free, spec)) break;
    subtractResources(free, end.resources, -1);
    shadowTime = end.at;
  }
  return fits(free, spec) ? shadowTime : Infinity;
}

function earliestEnd({ waitEstimates }: ReservableShard, machine: Machine, now: number): number {
  let earliest = Infinity;
  for (const placement of machine.placements.values()) {
    earliest = Math.min(earliest, waitEstimates.endOf(placement, now));
  }
  return earliest;
}
