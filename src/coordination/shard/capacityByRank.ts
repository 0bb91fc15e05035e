/** Which of the work that waits finds room on a shard's machines: pure. */
import type { JobSpec } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import { satisfiesConstraints, shapeOf } from '../scheduling/placement.js';

/**
 * Room on machines for what waits, in the order of the queue: what is placed takes its room before lower
 * ranks do, so work that would be stopped for a waiting service does not make it ask for a machine.
 */
export class CapacityByRank {
  private readonly rooms: { machine: Machine; room: Resources }[];
  /** What is placed, by falling rank, and the room that it takes. */
  private readonly placed: { spec: JobSpec; rank: number; room: Resources }[];
  private settled = 0;
  /** Shapes of work for which no room is left. */
  private readonly full = new Set<string>();

  constructor(machines: Machine[]) {
    this.rooms = machines.map((machine) => ({ machine, room: { ...machine.capacity } }));
    this.placed = this.rooms.flatMap(({ machine, room: resources }) =>
      [...machine.placements.values()].map(({ chunk: { spec, rank } }) => ({
        spec,
        rank,
        room: resources,
      })),
    );
    this.placed.sort((a, b) => b.rank - a.rank);
  }

  /** Gives how many of a chunk's tasks find no room, and whether some machine could ever hold one. */
  allocate(chunk: Chunk): { left: number; hasSuitableMachine: boolean } {
    this.settleDownTo(chunk.rank);
    const { spec, zone } = chunk;
    const shape = shapeOf(spec, zone);
    if (this.full.has(shape)) return { left: chunk.pendingCount, hasSuitableMachine: true };
    let left = chunk.pendingCount;
    let hasSuited = false;
    for (const { machine, room: resources } of this.rooms) {
      if (left === 0) break;
      if (!satisfiesConstraints(spec, zone, machine)) continue;
      if (fits(machine.capacity, spec)) hasSuited = true;
      for (; left > 0 && fits(resources, spec); left--) subtractResources(resources, spec);
    }
    if (left > 0 && hasSuited) this.full.add(shape);
    return { left, hasSuitableMachine: hasSuited };
  }

  private settleDownTo(rank: number): void {
    for (; this.settled < this.placed.length; this.settled++) {
      const next = this.placed[this.settled];
      if (next === undefined || next.rank < rank) return;
      subtractResources(next.room, next.spec);
    }
  }
}
