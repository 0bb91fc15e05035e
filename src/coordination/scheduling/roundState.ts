/** What one scheduling round knows about the shard's machines, and learns while it goes through the queue. */
import type { Machine } from '../model/machine.js';
import type { Reservation } from './reservation.js';

/** The state of one scheduling round; discarded at its end. */
export interface RoundState {
  /** Monotonic time at which the round began. */
  readonly now: number;
  /**
   * Machines that accepted work and had free resources when the round began. Free resources only shrink within a round, so
   * no other machine has to be examined.
   */
  readonly machinesWithRoom: readonly Machine[];
  /** The machine reserved for the first blocked chunk of the queue; null while there is none. */
  reservation: Reservation | null;
  /**
   * Shapes that found no machine in this round: since free resources only shrink, other chunks of the same shape need not be
   * tried.
   */
  readonly shapesWithoutRoom: Set<string>;
  /** Shapes that no machine of the shard could hold even if it were idle. */
  readonly unschedulableShapes: Set<string>;
}

/** The state at the beginning of a round. */
export function createRoundState(machines: Iterable<Machine>, now: number): RoundState {
  const machinesWithRoom: Machine[] = [];
  for (const machine of machines) {
    // Every task needs some CPU, but not every task needs memory.
    if (machine.free.cpus > 0 && machine.isSchedulable(now)) machinesWithRoom.push(machine);
  }
  return {
    now,
    machinesWithRoom,
    reservation: null,
    shapesWithoutRoom: new Set(),
    unschedulableShapes: new Set(),
  };
}
