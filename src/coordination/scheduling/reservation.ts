/**
 * Reservations of EASY backfilling (DESIGN: first come first served with backfilling): the machine where the first blocked
 * chunk of the queue can start soonest is reserved for it, and later work may run there only if it is expected to end before
 * that chunk starts.
 */
import type { Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import { fits, subtractResources } from '../model/resources.js';
import { satisfiesConstraints } from './placement.js';
import type { SchedulableShard } from './schedulableShard.js';

/** The machine that is reserved for the first blocked chunk. */
export interface Reservation {
  readonly machine: Machine;
  /** Monotonic time at which the machine is expected to have room for the chunk. */
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
    // Most machines are skipped here: none of their tasks ends before the best shadow time so far.
    const hasRoomNow = fits(machine.free, chunk.spec);
    if (best !== null && !hasRoomNow && earliestEnd(shard, machine, now) >= best.shadowTime) {
      continue;
    }
    const shadowTime = shadowTimeOn(shard, machine, chunk, now);
    if (shadowTime < (best?.shadowTime ?? Infinity)) best = { machine, shadowTime };
  }
  return best;
}

/** Whether the machine could hold a task of the chunk if nothing else ran there. */
function couldHold(machine: Machine, { spec, zone }: Chunk, now: number): boolean {
  return (
    machine.isSchedulable(now) &&
    satisfiesConstraints(spec, zone, machine) &&
    fits(machine.capacity, spec)
  );
}

/** Monotonic time at which enough of the machine's tasks are expected to have ended; Infinity if that never happens. */
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
