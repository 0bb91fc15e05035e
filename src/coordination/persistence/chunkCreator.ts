/** Creates the chunks of home jobs: the next ones of jobs with many, and those that no longer are in memory nor stored. */
import type { Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { JobRecord, OpenJobRecord } from '../../storage/records.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import { withKnownMachineTypes } from '../model/allowedMachineTypes.js';
import type { Chunk } from '../model/chunk.js';
import { creatableChunks, type ChunkProgress } from '../model/chunking.js';
import type { JobRecordWriter } from './jobRecordWriter.js';
import { missingChunks } from './missingChunks.js';
import { MAX_OPEN_TASKS, OpenTaskBudget } from './openTaskBudget.js';

/** The parts of the controller that creating chunks depends on. */
export interface ChunkCreationContext {
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  /** Whether a cancellation of the job is in progress. */
  isBeingCancelled(job: string): boolean;
  /** Whether the job waits for its dependencies; it has no chunks before these are done. */
  isBlockedOnDependencies(job: string): boolean;
  /** The machine types of the cloud, by name; empty while they are not known. */
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  /** Whether a stored bucket cannot be read; tasks of its chunks may be running unknown to any node. */
  readonly hasUnreadableChunks: boolean;
}

/** Creates chunks at the home shard of their job. */
export class ChunkCreator {
  private isAtTaskLimit = false;

  constructor(
    private readonly jobRecords: Pick<JobRecordWriter, 'write'>,
    private readonly chunkIndex: Pick<ChunkIndex, 'entries' | 'find'>,
    private readonly clock: Clock,
    private readonly context: ChunkCreationContext,
  ) {}

  /** Whether chunks wait to be created since the cluster has as many open tasks as its controllers can hold. */
  get isTaskLimitReached(): boolean {
    return this.isAtTaskLimit;
  }

  /**
   * Creates the chunks of a home job that are neither in memory nor stored; no task of them was started. There are such
   * chunks after a shard is loaded, after the write that created a chunk got no answer, and after a job is released.
   */
  createMissing(homeShard: OwnedShard, job: HomeJob): void {
    const { context } = this;
    const isBlocked = context.isBlockedOnDependencies(job.id) || context.hasUnreadableChunks;
    if (!homeShard.isOwned || isBlocked) return;
    this.addMissing(homeShard, job, 0);
  }

  /** Creates the next chunks of all jobs of the owned shards, as many as may be created now, without waiting for them. */
  createNextChunks(): void {
    const { ownedShards } = this.context;
    const budget = new OpenTaskBudget(this.chunkIndex, ownedShards);
    for (const ownedShard of ownedShards.values()) {
      for (const job of ownedShard.jobs.values()) this.createNext(ownedShard, job, budget);
    }
    if (budget.isExceeded && !this.isAtTaskLimit)
      log.info(`no further chunks are created: the cluster has ${MAX_OPEN_TASKS} open tasks`);
    this.isAtTaskLimit = budget.isExceeded;
  }

  private createNext(homeShard: OwnedShard, job: HomeJob, budget: OpenTaskBudget): void {
    const { record } = job;
    if (job.isWriteInFlight || record.state !== 'open') return;
    const creatable = creatableChunks(record, (index) => this.progressOf(record, index));
    if (creatable === 0 || this.context.isBlockedOnDependencies(job.id)) return;
    if (this.context.isBeingCancelled(job.id)) return;
    const count = budget.takeChunks(record, creatable);
    if (count === 0) return;
    void this.recordCreated(homeShard, job, record.createdChunks + count);
  }

  /** The progress of a created chunk, at whichever shard it is. */
  private progressOf({ spec, doneChunks }: OpenJobRecord, index: number): ChunkProgress {
    if (doneChunks.includes(index)) return 'done';
    const id = `${spec.id}/${index}`;
    const chunk = this.chunkInMemory(id);
    if (chunk !== undefined) {
      if (chunk.storedVersion === 0) return 'unstored';
      return chunk.attempts.size > 0 || chunk.isComplete ? 'started' : 'unstarted';
    }
    const stored = this.chunkIndex.find(id)?.record;
    return (stored?.attempts.length ?? 0) > 0 ? 'started' : 'unstarted';
  }

  private chunkInMemory(id: string): Chunk | undefined {
    for (const { shard } of this.context.ownedShards.values()) {
      const chunk = shard.chunks.get(id);
      if (chunk !== undefined) return chunk;
    }
    return undefined;
  }

  /** Stores that the job has `createdChunks` chunks, and then adds those that are new to the home shard. */
  private async recordCreated(
    homeShard: OwnedShard,
    job: HomeJob,
    createdChunks: number,
  ): Promise<void> {
    const firstNewChunk = job.record.createdChunks;
    job.isWriteInFlight = true;
    try {
      if (!(await this.jobRecords.write(homeShard, job, { ...job.record, createdChunks }))) return;
      const areCreated = job.record.state === 'open' && job.record.createdChunks === createdChunks;
      if (!areCreated || !homeShard.isOwned) return;
      this.addMissing(homeShard, job, firstNewChunk);
    } catch (error) {
      log.debug(`recording created chunks failed: ${describeError(error)}`);
    } finally {
      job.isWriteInFlight = false;
    }
  }

  /** Adds the missing chunks from `firstIndex` on to the home shard. */
  private addMissing({ shard }: OwnedShard, job: HomeJob, firstIndex: number): void {
    const now = this.clock.now();
    const record = this.withKnownMachineTypes(job.record);
    for (const chunk of missingChunks(job.id, record, shard.chunks, now)) {
      if (chunk.index < firstIndex) continue;
      chunk.isNewlyCreated = true;
      shard.acceptNewChunk(chunk, now);
    }
  }

  /** The record as the job's chunks are created from it: an earlier version accepted descriptions that no chunk can hold. */
  private withKnownMachineTypes(record: JobRecord): JobRecord {
    if (record.state !== 'open') return record;
    const spec = withKnownMachineTypes(record.spec, this.context.machineTypes);
    return spec === record.spec ? record : { ...record, spec };
  }
}
