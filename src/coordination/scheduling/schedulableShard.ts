/** The interfaces of a shard that its scheduler uses. */
import type { Attempt, Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import type { TeamUsage } from '../quota/teamUsage.js';
import type { WaitEstimates } from './waitEstimates.js';

/** The part of a shard that preemption uses. */
export interface PreemptibleShard {
  /** The shard's machines, by name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** The shard's chunks, by id. */
  readonly chunks: ReadonlyMap<string, Chunk>;
  /** Stops a running attempt; the task gets `gracePeriod` seconds to save its work. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void;
}

/** The part of a shard that scheduling rounds use. */
export interface SchedulableShard extends PreemptibleShard {
  readonly label: string;
  readonly teamUsage: TeamUsage;
  readonly waitEstimates: Pick<WaitEstimates, 'endOf' | 'invalidate'>;
  /** Chunks with pending tasks, in queue order. */
  queuedChunks(): Chunk[];
  /** Marks the chunk as changed, so that it is stored. */
  noteChunkChanged(chunk: Chunk, now: number): void;
}

/** Settings of the scheduler. */
export interface SchedulerOptions {
  /** Seconds between two heartbeats of a worker. */
  readonly heartbeatInterval: number;
  /** Number of candidate machines that are sampled for each task. */
  readonly sample: number;
}
