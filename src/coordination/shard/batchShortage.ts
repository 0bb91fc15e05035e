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
  private readonly byShape = new Map<string, MissingCpus>();
  /** Queued and running work in CPU-seconds, by shape. */
  private readonly backlogByShape = new Map<string, number>();
  /** Created when it is needed: it visits each placed task. */
  private lazyRoom: BatchRoom | null = null;

  constructor(private readonly context: BatchShortageContext) {
    let backlog = 0;
    for (const chunk of context.chunks) {
      if (chunk.spec.isService || chunk.isCancelled) continue;
      const work = workOf(chunk, context.expectedRun(chunk.spec));
      const shape = shapeOf(chunk.spec, chunk.zone);
      this.backlogByShape.set(shape, (this.backlogByShape.get(shape) ?? 0) + work);
      backlog += work;
    }
    const availableCpus = availableToBatch(context.machines);
    this.total = this.missingCpus(backlog, availableCpus);
    // On-demand machines are justified by the backlog only, not by the average of arriving work.
    this.total.scaleOut = Math.max(this.total.scaleOut, context.arrivingCpus - availableCpus);
  }

  /** Number of tasks like the chunk's that its machines can run at the same time, within the time that work may wait. */
  slotsFor(chunk: Chunk): number {
    return this.room.slotsFor(chunk);
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

  private get room(): BatchRoom {
    const { machines, now, maxWait } = this.context;
    this.lazyRoom ??= new BatchRoom(
      machines,
      (placement) => this.expectedEnd(placement),
      now + maxWait,
    );
    return this.lazyRoom;
  }

  private missingFor(chunk: Chunk): MissingCpus {
    const shape = shapeOf(chunk.spec, chunk.zone);
    const known = this.byShape.get(shape);
    if (known !== undefined) return known;
    const backlog = this.backlogByShape.get(shape) ?? 0;
    const missing = this.missingCpus(backlog, this.room.slotsFor(chunk) * chunk.spec.cpus);
    this.byShape.set(shape, missing);
    return missing;
  }

  private missingCpus(backlog: number, availableCpus: number): MissingCpus {
    const { scaleOutWindow, onDemandWindow } = this.context;
    return {
      scaleOut: Math.max(0, backlog / scaleOutWindow - availableCpus),
      onDemand: Math.max(0, backlog / onDemandWindow - availableCpus),
    };
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

/** Queued and running work of a batch chunk in CPU-seconds; running tasks are half done on average. */
export function workOf({ spec, pendingCount, attempts }: Chunk, expectedRun: number): number {
  return (pendingCount + attempts.size * 0.5) * expectedRun * spec.cpus;
}

/** CPUs that batch work uses or may use on these machines. */
export function availableToBatch(machines: readonly Machine[]): number {
  let cpus = 0;
  for (const machine of machines) cpus += machine.capacity.cpus - machine.serviceCpus;
  return cpus;
}
