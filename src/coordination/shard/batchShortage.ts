/** Decides for how many queued batch tasks machines should be launched. */
import type { JobSpec } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import type { Machine, Placement } from '../model/machine.js';
import { shapeOf } from '../scheduling/placement.js';
import { BatchRoom } from './batchRoom.js';

/** The inputs of the decision. Times are monotonic, durations are in seconds. */
export interface BatchShortageContext {
  readonly chunks: Iterable<Chunk>;
  /** Machines that batch work may count on. */
  readonly machines: readonly Machine[];
  readonly now: number;
  /** Queued batch work should be completed within this time. */
  readonly scaleOutWindow: number;
  /** If queued batch work takes longer than this, on-demand machines are justified. */
  readonly onDemandWindow: number;
  /** Time within which a machine has to become free for work that waits for it. */
  readonly maxWait: number;
  /** CPUs that the average of arriving work needs. */
  readonly arrivingCpus: number;
  /** Expected run time of one task. */
  expectedRun(spec: JobSpec): number;
}

/** CPUs that some work lacks for its completion in the windows. */
interface MissingCpus {
  scaleOut: number;
  onDemand: number;
}

/** Tasks to launch machines for; on-demand machines may be launched for `onDemandCount` of them. */
export interface LaunchCounts {
  readonly count: number;
  readonly onDemandCount: number;
}

/**
 * The shortage of machines for a shard's batch work: of CPUs for all of it, and for the tasks of each shape of machines that they
 * may use. Short tasks end before a new machine has booted, so only a lasting shortage counts.
 */
export class BatchShortage {
  private readonly total: MissingCpus;
  private readonly missingByShape = new Map<string, MissingCpus>();
  /** Chunks of batch work, by shape. */
  private readonly chunksByShape = new Map<string, Chunk[]>();
  private readonly scaleOutRoom: BatchRoom;
  private readonly onDemandRoom: BatchRoom;

  constructor(private readonly context: BatchShortageContext) {
    const { scaleOutWindow, onDemandWindow, maxWait } = context;
    this.scaleOutRoom = this.roomWithin(maxWait);
    this.onDemandRoom = this.roomWithin(Math.max(maxWait, onDemandWindow));
    let backlog = 0;
    for (const chunk of context.chunks) {
      if (chunk.spec.isService || chunk.isCancelled) continue;
      const shape = shapeOf(chunk.spec, chunk.zone);
      const ofShape = this.chunksByShape.get(shape) ?? [];
      ofShape.push(chunk);
      this.chunksByShape.set(shape, ofShape);
      backlog += workOf(chunk, context.expectedRun(chunk.spec));
    }
    const availableCpus = availableToBatch(context.machines);
    const neededCpus = Math.max(backlog / scaleOutWindow, context.arrivingCpus);
    this.total = {
      scaleOut: Math.max(0, neededCpus - availableCpus),
      // On-demand machines are justified by the backlog only, not by the average of arriving work.
      onDemand: Math.max(0, backlog / onDemandWindow - availableCpus),
    };
  }

  /**
   * Takes the share of the shortage that launches for some of the chunk's tasks make up for. `unplaced`: number of tasks that no
   * machine has room for now; `hasSuitableMachine`: whether some machine could hold one if it were idle.
   */
  take(chunk: Chunk, unplaced: number, hasSuitableMachine: boolean): LaunchCounts {
    const { cpus } = chunk.spec;
    const ofShape = this.missingFor(chunk);
    const tasks = (missing: number): number => Math.min(unplaced, Math.ceil(missing / cpus));
    const count = hasSuitableMachine
      ? tasks(Math.max(this.total.scaleOut, ofShape.scaleOut))
      : unplaced;
    const onDemandCount = Math.min(count, tasks(Math.max(this.total.onDemand, ofShape.onDemand)));
    // Machines for work that none of the present ones can hold add nothing to the room of other work.
    if (hasSuitableMachine) deduct(this.total, 'scaleOut', count * cpus);
    deduct(this.total, 'onDemand', onDemandCount * cpus);
    deduct(ofShape, 'scaleOut', count * cpus);
    deduct(ofShape, 'onDemand', onDemandCount * cpus);
    return { count, onDemandCount };
  }

  private roomWithin(seconds: number): BatchRoom {
    const { machines, now } = this.context;
    return new BatchRoom(machines, (placement) => this.expectedEnd(placement), now + seconds);
  }

  private missingFor(chunk: Chunk): MissingCpus {
    const { scaleOutWindow, onDemandWindow } = this.context;
    const shape = shapeOf(chunk.spec, chunk.zone);
    const known = this.missingByShape.get(shape);
    if (known !== undefined) return known;
    const missing = {
      scaleOut: this.missingCpus(chunk, shape, this.scaleOutRoom, scaleOutWindow),
      onDemand: this.missingCpus(chunk, shape, this.onDemandRoom, onDemandWindow),
    };
    this.missingByShape.set(shape, missing);
    return missing;
  }

  /** CPUs that work of the chunk's shape lacks: tasks that keep their room beyond the window are neither work nor room. */
  private missingCpus(chunk: Chunk, shape: string, room: BatchRoom, window: number): number {
    let backlog = 0;
    for (const other of this.chunksByShape.get(shape) ?? []) {
      const run = this.context.expectedRun(other.spec);
      backlog += workOf(other, run, room.keptTasksOf(other));
    }
    return Math.max(0, backlog / window - room.slotsFor(chunk) * chunk.spec.cpus);
  }

  /** When a placed task is expected to end. One that is late is expected to take as long again as it is late already. */
  private expectedEnd({ chunk, attempt }: Placement): number {
    if (chunk.spec.isService) return Infinity;
    const { now } = this.context;
    const usualEnd = (attempt.runningSince ?? now) + this.context.expectedRun(chunk.spec);
    return now + Math.abs(usualEnd - now);
  }
}

function deduct(missing: MissingCpus, kind: keyof MissingCpus, cpus: number): void {
  missing[kind] = Math.max(0, missing[kind] - cpus);
}

/**
 * Queued and running work of a batch chunk in CPU-seconds; running tasks are half done on average. `keptTasks`: number of running
 * tasks that are not counted.
 */
export function workOf(
  { spec, pendingCount, attempts }: Chunk,
  expectedRun: number,
  keptTasks = 0,
): number {
  return (pendingCount + (attempts.size - keptTasks) * 0.5) * expectedRun * spec.cpus;
}

/** CPUs that batch work uses or may use on these machines. */
export function availableToBatch(machines: readonly Machine[]): number {
  let cpus = 0;
  for (const machine of machines) cpus += machine.capacity.cpus - machine.serviceCpus;
  return cpus;
}
