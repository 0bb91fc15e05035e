/** Computes how much queued batch work the machines of a shard will have room for soon, without side effects on the shard. */
import type { Chunk } from '../model/chunk.js';
import type { Machine, Placement } from '../model/machine.js';
import { attemptBytesOf, reportableTasks } from '../model/reportRoom.js';
import { fits, subtractResources, timesThatFit, type Resources } from '../model/resources.js';
import { satisfiesConstraints, shapeOf } from '../scheduling/placement.js';

/** A machine, with the placed tasks that keep their room for longer than queued work should wait. */
interface MachineOutlook {
  readonly machine: Machine;
  readonly kept: readonly Chunk[];
  /** Bytes that its worker's heartbeat has left once all other placed tasks have ended. */
  readonly reportRoomBytes: number;
}

/** The machines, and the number of kept tasks by chunk. */
interface ShardOutlook {
  readonly machines: readonly MachineOutlook[];
  readonly keptTasks: ReadonlyMap<Chunk, number>;
}

/**
 * Room that queued work may use within a stated time: that of machines which it may use, less what live services and long tasks
 * keep. A sum of CPUs over all machines would count room that some work can never use.
 */
export class BatchRoom {
  /** Created when it is needed: each placed task is visited for it. */
  private lazyOutlook: ShardOutlook | null = null;
  private readonly slotsByShape = new Map<string, number>();

  /** `endOf`: monotonic time at which a placed task is expected to end; room that is free at `deadline` counts. */
  constructor(
    private readonly machines: readonly Machine[],
    private readonly endOf: (placement: Placement) => number,
    private readonly deadline: number,
  ) {}

  /** Number of tasks like the chunk's that the machines can run at the same time, from the deadline on at the latest. */
  slotsFor(chunk: Chunk): number {
    const { spec, zone, rank } = chunk;
    const key = `${shapeOf(spec, zone)} ${rank}`;
    const known = this.slotsByShape.get(key);
    if (known !== undefined) return known;
    let slots = 0;
    for (const machine of this.outlook.machines) slots += slotsOn(machine, chunk);
    this.slotsByShape.set(key, slots);
    return slots;
  }

  /** Number of the chunk's placed tasks that keep their room beyond the deadline. */
  keptTasksOf(chunk: Chunk): number {
    return this.outlook.keptTasks.get(chunk) ?? 0;
  }

  private get outlook(): ShardOutlook {
    this.lazyOutlook ??= this.createOutlook();
    return this.lazyOutlook;
  }

  private createOutlook(): ShardOutlook {
    const machines = this.machines.map((machine) => this.outlookOf(machine));
    const keptTasks = new Map<Chunk, number>();
    for (const chunk of machines.flatMap(({ kept }) => kept)) {
      keptTasks.set(chunk, (keptTasks.get(chunk) ?? 0) + 1);
    }
    return { machines, keptTasks };
  }

  private outlookOf(machine: Machine): MachineOutlook {
    const kept: Chunk[] = [];
    let { reportRoomBytes } = machine;
    for (const placement of machine.placements.values()) {
      if (this.endOf(placement) > this.deadline) kept.push(placement.chunk);
      else reportRoomBytes += attemptBytesOf(placement.chunk.spec);
    }
    return { machine, kept, reportRoomBytes };
  }
}

/** Number of tasks like the chunk's that one machine can hold beside what it keeps; tasks of a lower rank can be preempted. */
function slotsOn({ machine, kept, reportRoomBytes }: MachineOutlook, chunk: Chunk): number {
  const { spec, zone, rank } = chunk;
  if (!satisfiesConstraints(spec, zone, machine) || !fits(machine.capacity, spec)) return 0;
  const room: Resources = { ...machine.capacity };
  for (const other of kept) if (other.rank >= rank) subtractResources(room, other.spec);
  if (!fits(room, spec)) return 0;
  return Math.min(timesThatFit(room, spec), reportableTasks(reportRoomBytes, spec));
}
