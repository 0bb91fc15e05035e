/** Computes how much of the queued work fits on a shard's machines, without side effects on the shard. */
import type { JobSpec } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import { attemptBytesOf, reportableTasks } from '../model/reportRoom.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import { satisfiesConstraints, shapeOf } from '../scheduling/placement.js';

/** The room of one machine that is not allocated yet. */
interface MachineRoom {
  readonly machine: Machine;
  readonly room: Resources;
  /** Bytes that its worker's heartbeat has left. */
  reportRoomBytes: number;
}

/** Allocates room for up to `count` tasks; returns their number. Most machines have none, which must be found out cheaply. */
function allocateOn(machineRoom: MachineRoom, spec: JobSpec, count: number): number {
  const { room, reportRoomBytes } = machineRoom;
  if (!fits(room, spec)) return 0;
  const most = Math.min(count, reportableTasks(reportRoomBytes, spec));
  let allocated = 0;
  for (; allocated < most && fits(room, spec); allocated++) subtractResources(room, spec);
  machineRoom.reportRoomBytes -= allocated * attemptBytesOf(spec);
  return allocated;
}

/**
 * Room on machines for queued chunks, which are allocated in queue order. Placed tasks occupy their room only for chunks of
 * their rank or below: a service that can preempt tasks of a lower rank does not create a demand for a machine.
 */
export class CapacityByRank {
  private readonly rooms: MachineRoom[];
  /** Placed tasks by descending rank, each with the room of its machine. */
  private readonly placed: { spec: JobSpec; rank: number; room: Resources }[];
  /** Number of entries of `placed` that are subtracted from the room of their machines. */
  private subtractedCount = 0;
  /** Shapes that no longer fit on any machine. */
  private readonly shapesWithoutRoom = new Set<string>();

  constructor(machines: Machine[]) {
    this.rooms = machines.map((machine) => ({
      machine,
      room: { ...machine.capacity },
      reportRoomBytes: machine.reportRoomBytes,
    }));
    this.placed = this.rooms.flatMap(({ machine, room }) =>
      [...machine.placements.values()].map(({ chunk: { spec, rank } }) => ({
        spec,
        rank,
        room,
      })),
    );
    this.placed.sort((a, b) => b.rank - a.rank);
  }

  /**
   * Allocates room for a chunk's pending tasks. `unplaced`: the number of tasks without room; `hasSuitableMachine`: whether
   * some machine could hold a task if it were idle.
   */
  allocate(chunk: Chunk): { unplaced: number; hasSuitableMachine: boolean } {
    this.subtractPlacedDownTo(chunk.rank);
    const { spec, zone } = chunk;
    const shape = shapeOf(spec, zone);
    if (this.shapesWithoutRoom.has(shape))
      return { unplaced: chunk.pendingCount, hasSuitableMachine: true };
    let unplaced = chunk.pendingCount;
    let hasSuitableMachine = false;
    for (const machineRoom of this.rooms) {
      if (unplaced === 0) break;
      if (!satisfiesConstraints(spec, zone, machineRoom.machine)) continue;
      if (fits(machineRoom.machine.capacity, spec)) hasSuitableMachine = true;
      unplaced -= allocateOn(machineRoom, spec, unplaced);
    }
    if (unplaced > 0 && hasSuitableMachine) this.shapesWithoutRoom.add(shape);
    return { unplaced, hasSuitableMachine };
  }

  /** Subtracts the placed tasks of this rank and above. */
  private subtractPlacedDownTo(rank: number): void {
    for (; this.subtractedCount < this.placed.length; this.subtractedCount++) {
      const next = this.placed[this.subtractedCount];
      if (next === undefined || next.rank < rank) return;
      subtractResources(next.room, next.spec);
    }
  }
}
