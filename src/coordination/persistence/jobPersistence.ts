/**
 * Writes changes of the shards to the records of jobs: finished chunks, finished jobs, created chunks and migrated chunks.
 * A transaction that got no answer is repeated under the same conditions, so that at most one of the copies is ever applied.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { keys, type FinalJobRecord, type JobRecord } from '../../storage/records.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { Chunk } from '../model/chunk.js';
import { totalChunks } from '../model/chunking.js';
import type { CancellationEvidence } from './cancellationEvidence.js';
import { ChunkCreator, type ChunkCreationContext } from './chunkCreator.js';
import { JobRecordWriter } from './jobRecordWriter.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import {
  BucketWriter,
  type BucketWriterEvents,
  type BucketWriterOptions,
  type StateCacheAccess,
  type StateServiceAccess,
} from './bucketWriter.js';

/** The parts of the controller that writing job records depends on. */
export interface JobPersistenceContext extends BucketWriterEvents, ChunkCreationContext {}

/**
 * Result of a cancellation. `ended`: the job is in a final state, which may be `done`; `outdated`: a leader has changed or
 * a chunk was created since the evidence was collected; `not-stored`: it could not be stored before the deadline.
 */
export type CancellationResult =
  { kind: 'ended'; state: FinalJobRecord['state'] } | { kind: 'outdated' } | { kind: 'not-stored' };

/** Writes the records of jobs and, through the bucket writer, their chunks. */
export class JobPersistence {
  private readonly bucketWriter: BucketWriter;
  private readonly jobRecords: JobRecordWriter;
  private readonly chunkCreator: ChunkCreator;

  constructor(
    client: StateServiceAccess,
    private readonly stateCache: StateCacheAccess,
    private readonly chunkIndex: Pick<ChunkIndex, 'entries' | 'find'>,
    private readonly clock: Clock,
    private readonly context: JobPersistenceContext,
    private readonly options: BucketWriterOptions,
  ) {
    this.bucketWriter = new BucketWriter(client, stateCache, clock, context, options);
    this.jobRecords = new JobRecordWriter(client, stateCache, this.bucketWriter, {
      verifyLeadership: (shard) => context.verifyLeadership(shard),
      onReread: (homeShard, job) => {
        this.createMissingChunks(homeShard, job);
      },
      retryDelay: options.retryDelay,
    });
    this.chunkCreator = new ChunkCreator(this.jobRecords, chunkIndex, clock, context);
  }

  /** Applies a transaction of a shard, under the condition that this node leads the shard. */
  get write(): BucketWriter['write'] {
    return this.bucketWriter.write.bind(this.bucketWriter);
  }

  /** Whether chunks wait to be created since the cluster has as many open tasks as its controllers can hold. */
  get isTaskLimitReached(): boolean {
    return this.chunkCreator.isTaskLimitReached;
  }

  /** Starts the writes that are due in all owned shards, without waiting for them. */
  writeDueBuckets(): void {
    if (!this.context.isLeaseValid()) return;
    for (const ownedShard of this.context.ownedShards.values()) {
      for (const chunk of [...ownedShard.shard.finishedChunks])
        this.settleFinishedChunk(ownedShard, chunk);
      this.bucketWriter.writeDueBuckets(ownedShard);
    }
  }

  /** Checks all jobs of the owned shards for finished chunks and for chunks to create, in case a change was missed. */
  reconcileJobs(): void {
    if (!this.context.isLeaseValid()) return;
    for (const [id, { shard, record }] of this.chunkIndex.entries()) {
      const { doneTasks, firstTask, endTask, homeShard: label } = record;
      if (doneTasks.length !== 2 || doneTasks[0] !== firstTask || doneTasks[1] !== endTask)
        continue;
      const homeShard = this.context.ownedShards.get(label);
      const job = homeShard?.jobs.get(record.spec.id);
      if (homeShard === undefined || job === undefined || this.context.ownedShards.has(shard))
        continue;
      void this.recordFinishedChunk(homeShard, job, Number(id.slice(id.lastIndexOf('/') + 1)));
    }
    this.chunkCreator.createNextChunks();
  }

  private settleFinishedChunk(ownedShard: OwnedShard, chunk: Chunk): void {
    if (chunk.isCancelled) {
      // The job's record says that it is cancelled, so no node will ever start a task of the chunk again.
      if (chunk.attempts.size === 0) ownedShard.shard.dropChunk(chunk);
      else ownedShard.shard.finishedChunks.delete(chunk);
      return;
    }
    if (!chunk.isJobStored) return;
    const homeShard = this.context.ownedShards.get(chunk.homeShard);
    const job = homeShard?.jobs.get(chunk.spec.id);
    if (homeShard !== undefined && job !== undefined) {
      void this.recordFinishedChunk(homeShard, job, chunk.index).then((isRecorded) => {
        if (isRecorded) ownedShard.shard.dropChunk(chunk);
      });
    } else if (chunk.storedVersion < chunk.version) {
      // The home shard has another leader, which learns from the chunk's record that it is complete.
      ownedShard.shard.unsavedChunks.add(chunk);
    }
  }

  /**
   * Migrates a chunk without attempts to another shard. Returns false if the migration was not tried, since another write of the
   * job's record is in flight.
   */
  async migrate(ownedShard: OwnedShard, chunk: Chunk, targetShard: string): Promise<boolean> {
    if (chunk.homeShard !== ownedShard.shard.label) {
      await this.bucketWriter.migrate(ownedShard, chunk, targetShard, { conditions: [], puts: [] });
      return true;
    }
    const job = ownedShard.jobs.get(chunk.spec.id);
    if (job === undefined || job.isWriteInFlight) return false;
    job.isWriteInFlight = true;
    try {
      const key = keys.job(job.id);
      const migratedChunks = [...new Set([...job.record.migratedChunks, chunk.index])];
      const value: JobRecord = { ...job.record, migratedChunks };
      const conditions = [{ key, revision: job.revision }];
      const result = await this.bucketWriter.migrate(ownedShard, chunk, targetShard, {
        conditions,
        puts: [{ key, value }],
      });
      if (result.kind === 'applied') this.jobRecords.apply(ownedShard, job, value, result.revision);
      else if (result.kind === 'conflict') {
        await this.jobRecords.reread(ownedShard, job, job.isOutcomeUnknown === true);
      }
      return true;
    } finally {
      job.isWriteInFlight = false;
    }
  }

  /** Records a complete chunk in its job, and the job as done with its last chunk. Returns true once that is stored. */
  private async recordFinishedChunk(
    homeShard: OwnedShard,
    job: HomeJob,
    index: number,
  ): Promise<boolean> {
    if (job.isWriteInFlight) return false;
    const { record } = job;
    if (record.state !== 'open' || record.doneChunks.includes(index)) return true;
    job.isWriteInFlight = true;
    try {
      const doneChunks = [...record.doneChunks, index];
      const next: JobRecord =
        doneChunks.length >= totalChunks(record)
          ? { ...record, spec: null, state: 'done', zones: [], doneChunks: [], migratedChunks: [] }
          : {
              ...record,
              doneChunks,
              migratedChunks: record.migratedChunks.filter((chunk) => !doneChunks.includes(chunk)),
            };
      await this.jobRecords.write(homeShard, job, next);
      // Judge by the record: the write may have conflicted with an unrelated change.
      return job.record.state !== 'open' || job.record.doneChunks.includes(index);
    } catch (error) {
      log.debug(`recording a finished chunk failed: ${describeError(error)}`);
      return false;
    } finally {
      job.isWriteInFlight = false;
    }
  }

  /** Rewrites an unchanged job record in the form that is written now. Returns true once it is stored. */
  async rewrite(homeShard: OwnedShard, job: HomeJob): Promise<boolean> {
    if (job.isWriteInFlight || job.record.state !== 'open') return false;
    job.isWriteInFlight = true;
    try {
      return await this.jobRecords.write(homeShard, job, job.record);
    } finally {
      job.isWriteInFlight = false;
    }
  }

  /** Creates the chunks of a home job that are neither in memory nor stored. */
  createMissingChunks(homeShard: OwnedShard, job: HomeJob): void {
    this.chunkCreator.createMissing(homeShard, job);
  }

  /** Stores a cancellation, provided that the evidence that the job's tasks are being stopped is still current. */
  async cancel(
    homeShard: OwnedShard,
    job: HomeJob,
    evidence: CancellationEvidence,
    deadline: number,
  ): Promise<CancellationResult> {
    const startedAt = this.clock.now();
    const mayTry = (): boolean =>
      this.clock.now() < deadline && homeShard.isOwned && this.context.isLeaseValid();
    while (mayTry()) {
      if (job.record.state !== 'open') return { kind: 'ended', state: job.record.state };
      if (job.isWriteInFlight) {
        await sleep(this.options.retryDelay / 4);
        continue;
      }
      if (!evidence.covers(job.record) || !evidence.isCurrent(this.stateCache)) {
        return { kind: 'outdated' };
      }
      await this.tryToCancel(homeShard, job, evidence, startedAt);
    }
    const { state } = job.record;
    return state === 'open' ? { kind: 'not-stored' } : { kind: 'ended', state };
  }

  private async tryToCancel(
    homeShard: OwnedShard,
    job: HomeJob,
    evidence: CancellationEvidence,
    startedAt: number,
  ): Promise<void> {
    job.isWriteInFlight = true;
    const { id, revision } = job;
    const { shard, fencingToken } = homeShard;
    try {
      await this.jobRecords.write(homeShard, job, cancelledRecord(job.record), {
        conditions: evidence.conditions,
        onOutcome: (outcome) => {
          shard.audit.note({
            event: 'cancellation-write',
            ...{ job: id, shard: shard.label, fencingToken, outcome },
            ...{ jobRevision: revision, age: this.clock.now() - startedAt },
          });
        },
      });
    } catch (error) {
      log.debug(`storing a cancellation failed: ${describeError(error)}`);
    } finally {
      job.isWriteInFlight = false;
    }
  }
}

/** Returns the record of a cancelled job, without its description and its lists of chunks. */
function cancelledRecord(record: JobRecord): JobRecord {
  return { ...record, spec: null, state: 'cancelled', doneChunks: [], migratedChunks: [] };
}
