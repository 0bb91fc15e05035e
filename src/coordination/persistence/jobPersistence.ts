/**
 * Writes changes of the shards to the records of jobs: finished chunks, finished jobs, created chunks and migrated chunks.
 * A transaction that got no answer is repeated under the same conditions, so that at most one of the copies is ever applied.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { keys, type FinalJobRecord, type JobRecord } from '../../storage/records.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { withKnownMachineTypes } from '../model/allowedMachineTypes.js';
import { Chunk } from '../model/chunk.js';
import { chunkRanges, MAX_OPEN_CHUNKS, mayCreateChunk, totalChunks } from '../model/chunking.js';
import type { CancellationEvidence } from './cancellationEvidence.js';
import { JobRecordWriter } from './jobRecordWriter.js';
import { missingChunks } from './missingChunks.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import {
  BucketWriter,
  type BucketWriterEvents,
  type BucketWriterOptions,
  type StateCacheAccess,
  type StateServiceAccess,
} from './bucketWriter.js';

/** The parts of the controller that writing job records depends on. */
export interface JobPersistenceContext extends BucketWriterEvents {
  ownedShards: ReadonlyMap<string, OwnedShard>;
  /** Whether a cancellation of the job is in progress. */
  isBeingCancelled(job: string): boolean;
  /** Whether the job waits for its dependencies; it has no chunks before these are done. */
  isBlockedOnDependencies(job: string): boolean;
  /** The machine types of the cloud, by name; empty while they are not known. */
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  /** Whether a stored bucket cannot be read; tasks of its chunks may be running unknown to any node. */
  readonly hasUnreadableChunks: boolean;
}

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

  constructor(
    client: StateServiceAccess,
    private readonly stateCache: StateCacheAccess,
    private readonly chunkIndex: Pick<ChunkIndex, 'entries'>,
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
  }

  /** Applies a transaction of a shard, under the condition that this node leads the shard. */
  get write(): BucketWriter['write'] {
    return this.bucketWriter.write.bind(this.bucketWriter);
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
    for (const ownedShard of this.context.ownedShards.values()) {
      for (const job of ownedShard.jobs.values()) this.createNextChunk(ownedShard, job);
    }
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

  /** Migrates a chunk without attempts to another shard. */
  async migrate(ownedShard: OwnedShard, chunk: Chunk, targetShard: string): Promise<void> {
    if (chunk.homeShard !== ownedShard.shard.label) {
      await this.bucketWriter.migrate(ownedShard, chunk, targetShard, { conditions: [], puts: [] });
      return;
    }
    const job = ownedShard.jobs.get(chunk.spec.id);
    if (job === undefined || job.isWriteInFlight) return;
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

  /**
   * Creates the chunks of a home job that are neither in memory nor stored; no task of them was started. There are such
   * chunks after a shard is loaded, after the write that created a chunk got no answer, and after a job is released.
   */
  createMissingChunks(homeShard: OwnedShard, job: HomeJob): void {
    if (
      !homeShard.isOwned ||
      this.context.isBlockedOnDependencies(job.id) ||
      this.context.hasUnreadableChunks
    )
      return;
    const now = this.clock.now();
    const isReleased = (job.record.spec?.dependencies.length ?? 0) > 0;
    for (const chunk of missingChunks(
      job.id,
      this.withKnownMachineTypes(job.record),
      homeShard.shard.chunks,
      now,
    )) {
      chunk.isNewlyReleased = isReleased;
      homeShard.shard.acceptNewChunk(chunk, now);
    }
  }

  /** The record as the job's chunks are created from it: an earlier version accepted descriptions that no chunk can hold. */
  private withKnownMachineTypes(record: JobRecord): JobRecord {
    if (record.state !== 'open') return record;
    const spec = withKnownMachineTypes(record.spec, this.context.machineTypes);
    return spec === record.spec ? record : { ...record, spec };
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

  /** Creates the next chunk of a job. Chunks of large jobs are created gradually, so no shard holds more than it can run. */
  private createNextChunk(homeShard: OwnedShard, job: HomeJob): void {
    const { record } = job;
    if (job.isWriteInFlight || record.state !== 'open') return;
    if (this.context.isBlockedOnDependencies(job.id)) return;
    const openChunks = record.createdChunks - record.doneChunks.length;
    if (
      openChunks >= MAX_OPEN_CHUNKS ||
      record.createdChunks >= totalChunks(record) ||
      !mayCreateChunk(record, record.createdChunks)
    )
      return;
    if (this.context.isBeingCancelled(job.id)) return;
    const range = chunkRanges(record.spec.taskCount, record.chunkSize, record.zones)[
      record.createdChunks
    ];
    if (range === undefined) return;
    const spec = withKnownMachineTypes(record.spec, this.context.machineTypes);
    const { label } = homeShard.shard;
    const { submittedAt, createdChunks: index } = record;
    const now = this.clock.now();
    const chunk = new Chunk(
      spec,
      index,
      label,
      submittedAt,
      range.firstTask,
      range.endTask,
      range.zone,
      now,
    );
    void this.recordCreatedChunk(homeShard, job, chunk);
  }

  private async recordCreatedChunk(
    homeShard: OwnedShard,
    job: HomeJob,
    chunk: Chunk,
  ): Promise<void> {
    job.isWriteInFlight = true;
    try {
      const next: JobRecord = {
        ...job.record,
        createdChunks: job.record.createdChunks + 1,
      };
      if (!(await this.jobRecords.write(homeShard, job, next))) return;
      const isCreated =
        job.record.state === 'open' && job.record.createdChunks === next.createdChunks;
      if (!isCreated || !homeShard.isOwned || homeShard.shard.chunks.has(chunk.id)) return;
      homeShard.shard.acceptNewChunk(chunk, this.clock.now());
    } catch (error) {
      log.debug(`recording a created chunk failed: ${describeError(error)}`);
    } finally {
      job.isWriteInFlight = false;
    }
  }
}

/** Returns the record of a cancelled job, without its description and its lists of chunks. */
function cancelledRecord(record: JobRecord): JobRecord {
  return { ...record, spec: null, state: 'cancelled', doneChunks: [], migratedChunks: [] };
}
