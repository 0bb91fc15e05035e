/** A shard as its scheduler sees it. */
import type { Attempt, Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import type { TeamUsage } from '../quota/teamUsage.js';
import type { WaitEstimates } from './waitEstimates.js';

/** What preemption uses of a shard. */
export interface PreemptibleShard {
  /** The shard's machines, by name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** The shard's chunks, by id. */
  readonly chunks: ReadonlyMap<string, Chunk>;
  /** Stops a running attempt; the task gets `gracePeriod` seconds to save its work. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void;
}

/** What scheduling rounds use of a shard. */
export interface SchedulableShard extends PreemptibleShard {
  readonly label: string;
  readonly teamUsage: TeamUsage;
  readonly waitEstimates: Pick<WaitEstimates, 'endOf' | 'invalidate'>;
  /** Chunks with pending tasks, in the order of the queue. */
  queuedChunks(): Chunk[];
  /** The chunk has changed and has to be stored. */
  noteChunkChanged(chunk: Chunk, now: number): void;
}

/** Settings of the scheduler. */
export interface SchedulerOptions {
  /** Seconds between two heartbeats of a worker. */
  readonly heartbeatInterval: number;
  /** How many candidate machines are looked at for one task. */
  readonly sample: number;
}
