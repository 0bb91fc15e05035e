/** The home shard of one job, of whose chunks some are created, with an in-memory state service. */
import { Chunk } from '../../src/coordination/model/chunk.js';
import { chunkRanges } from '../../src/coordination/model/chunking.js';
import { JobPersistence } from '../../src/coordination/persistence/jobPersistence.js';
import {
  createOwnedShard,
  type HomeJob,
  type OwnedShard,
} from '../../src/coordination/leadership/ownedShard.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { ChunkIndex } from '../../src/storage/chunkIndex.js';
import { keys, type JobRecord, type OpenJobRecord } from '../../src/storage/records.js';
import { StateCache } from '../../src/storage/stateCache.js';
import { recordFormatFor } from './recordFormat.js';
import { emptyShard, m8 } from './emptyShard.js';
import { jobSpec } from './jobSpec.js';
import { MemoryStore } from './memoryStore.js';

/** The job's id. */
export const ID = 'wk-1';
const KEY = keys.job(ID);

/** Number of tasks of a chunk. */
const CHUNK_SIZE = 8;

/** The home shard of one job with chunks of eight tasks: an array with three of them unless `changes` say otherwise. */
export class HomeShardFixture {
  readonly store = new MemoryStore();
  readonly ownedShard: OwnedShard;
  readonly job: HomeJob;
  readonly persistence: JobPersistence;
  readonly stateCache: StateCache;
  readonly chunkIndex = new ChunkIndex();
  now = 100;

  constructor(
    createdChunks: number,
    changes: Partial<JobSpec> = {},
    private readonly zones: string[] = [],
  ) {
    const spec = jobSpec({ id: ID, taskCount: 3 * CHUNK_SIZE, ...changes });
    const shard = emptyShard(3);
    this.ownedShard = createOwnedShard(shard, { fencingToken: 5, revision: 1 }, 0);
    this.store.rows.set(keys.leader('p'), { key: keys.leader('p'), value: {}, revision: 1 });
    const clock = { now: () => this.now, wall: () => this.now };
    const unreachable = {
      readRange: () => Promise.reject(new Error()),
      readChanges: () => Promise.reject(new Error()),
    };
    const stateCache = new StateCache(
      unreachable,
      'b/',
      clock,
      { hold: 1, pause: 1 },
      () => undefined,
    );
    this.stateCache = stateCache;
    const ownedShards = new Map([['p', this.ownedShard]]);
    this.persistence = new JobPersistence(
      this.store,
      stateCache,
      this.chunkIndex,
      clock,
      {
        ownedShards,
        isBeingCancelled: () => false,
        isBlockedOnDependencies: () => false,
        hasUnreadableChunks: false,
        machineTypes: new Map([['m8', m8]]),
        isLeaseValid: () => true,
        verifyLeadership: () => Promise.resolve(),
        onChunksStored: () => undefined,
      },
      {
        txnOps: 16,
        recordFormat: recordFormatFor(),
        flushDelay: 2,
        retryDelay: 0.001,
        process: 'x',
      },
    );
    const record: OpenJobRecord = {
      spec,
      homeShard: 'p',
      state: 'open',
      taskCount: spec.taskCount,
      submittedAt: 1,
      chunkSize: CHUNK_SIZE,
      zones,
      createdChunks,
      doneChunks: [],
      migratedChunks: [],
    };
    this.store.rows.set(KEY, { key: KEY, value: record, revision: 3 });
    this.store.revision = 3;
    this.job = { id: ID, record, revision: 3, isWriteInFlight: false };
    this.ownedShard.jobs.set(ID, this.job);
    for (let index = 0; index < createdChunks; index++) this.accept(spec, index);
  }

  private accept(spec: JobSpec, index: number): void {
    const range = chunkRanges(spec.taskCount, CHUNK_SIZE, this.zones)[index];
    if (range === undefined) throw new Error('no such chunk');
    const { firstTask, endTask, zone } = range;
    const chunk = new Chunk(spec, index, 'p', 1, firstTask, endTask, zone, 0);
    this.ownedShard.shard.acceptNewChunk(chunk, this.now);
  }

  /** The chunk with this index, which must be in memory. */
  chunk(index: number): Chunk {
    const chunk = this.ownedShard.shard.chunks.get(`${ID}/${index}`);
    if (chunk === undefined) throw new Error('no such chunk');
    return chunk;
  }

  /** Marks all tasks of a chunk as done. */
  complete(index: number): void {
    const chunk = this.chunk(index);
    for (let task = chunk.firstTask; task < chunk.endTask; task++) chunk.doneTasks.add(task);
    this.ownedShard.shard.noteChunkChanged(chunk, this.now);
  }

  /** Runs write passes and waits for the answers of each. */
  async runPasses(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this.now += 3;
      this.persistence.writeDueBuckets();
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  get stored(): JobRecord {
    return this.store.rows.get(KEY)?.value as JobRecord;
  }

  get chunks(): string[] {
    return [...this.ownedShard.shard.chunks.keys()].sort();
  }
}
