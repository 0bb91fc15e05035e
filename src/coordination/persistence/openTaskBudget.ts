/** Limits the tasks that the controllers keep in memory: any one of them may have to lead all shards. */
import type { Chunk } from '../model/chunk.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { OpenJobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';

/**
 * Maximum number of tasks of all open chunks of the cluster above which no further chunk is created. A controller that leads every
 * shard holds an attempt of each in its heap, whose size the deploy file sets.
 */
export const MAX_OPEN_TASKS = 40_000;

/**
 * Number of open chunks that each job may have whatever the others have: without it, one service that uses up the limit would hold
 * back all other jobs for as long as it runs.
 */
const GUARANTEED_CHUNKS = 4;

/** Tasks for which chunks may still be created, at the moment when the first ones are taken and less what was taken since. */
export class OpenTaskBudget {
  /** Null until the first tasks are taken: few reviews create a chunk, and each open chunk is visited. */
  private remaining: number | null = null;
  private wasExceeded = false;

  constructor(
    private readonly chunkIndex: Pick<ChunkIndex, 'entries'>,
    private readonly ownedShards: ReadonlyMap<string, OwnedShard>,
    private readonly limit = MAX_OPEN_TASKS,
  ) {}

  /** Whether more was wanted than is left. */
  get isExceeded(): boolean {
    return this.wasExceeded;
  }

  /** Takes the tasks of up to `count` further chunks of a job; returns the number of chunks that may be created. */
  takeChunks(job: OpenJobRecord, count: number): number {
    this.remaining ??= this.limit - this.openTasks();
    const chunkSize = Math.min(job.chunkSize, job.taskCount);
    const openChunks = job.createdChunks - job.doneChunks.length;
    const guaranteed = Math.max(0, GUARANTEED_CHUNKS - openChunks);
    const affordable = Math.max(0, Math.floor(this.remaining / chunkSize));
    const allowed = Math.min(count, Math.max(guaranteed, affordable));
    if (allowed < count) this.wasExceeded = true;
    this.remaining -= allowed * chunkSize;
    return allowed;
  }

  /** Tasks of all stored chunks, and of those that are only in the memory of this node. */
  private openTasks(): number {
    let tasks = 0;
    for (const [, { record }] of this.chunkIndex.entries())
      tasks += record.endTask - record.firstTask;
    for (const { shard } of this.ownedShards.values()) {
      for (const chunk of shard.chunks.values()) if (isUnstored(chunk)) tasks += chunk.size;
    }
    return tasks;
  }
}

const isUnstored = ({ storedVersion }: Chunk): boolean => storedVersion === 0;
