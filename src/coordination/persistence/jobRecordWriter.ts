/**
 * Writes the record of a job, under the condition that it is as this node thinks and that this node leads the job's home
 * shard. In memory a job changes only after the state service has stored it.
 */
import { sleep } from '../../base/clock.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { TransactionResult } from '../../storage/stateClient.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import type { BucketWriter, StateCacheAccess, StateServiceAccess } from './bucketWriter.js';

/** Further conditions of a job's change, and who is told of its outcome. */
export interface JobWriteOptions {
  conditions?: Transaction['conditions'];
  onOutcome?: (outcome: TransactionResult['kind']) => void;
}

/** What the writer asks and tells its owner. */
export interface JobRecordWriterOptions {
  /** A leader key was not as we thought. */
  verifyLeadership(shard: string): Promise<void>;
  /** A job's record was read anew, and was not as we thought. */
  onReread(homeShard: OwnedShard, job: HomeJob): void;
  /** Seconds after which a change that was not stored may be tried again. */
  readonly retryDelay: number;
}

/** Writes jobs' records; whoever calls it has marked the job as being written. */
export class JobRecordWriter {
  constructor(
    private readonly client: Pick<StateServiceAccess, 'get' | 'awaitWriteTurn'>,
    private readonly stateCache: StateCacheAccess,
    private readonly bucketWriter: Pick<BucketWriter, 'write'>,
    private readonly options: JobRecordWriterOptions,
  ) {}

  /** Stores a job's new record; in memory it changes only after that. */
  async write(
    homeShard: OwnedShard,
    job: HomeJob,
    next: JobRecord,
    { conditions = [], onOutcome }: JobWriteOptions = {},
  ): Promise<boolean> {
    const key = keys.job(job.id);
    const transaction: Transaction = {
      conditions: [{ key, revision: job.revision }, ...conditions],
      puts: [{ key, value: next }],
      deletes: [],
    };
    await this.client.awaitWriteTurn(1, 'urgent');
    const wasUnsettled = job.isOutcomeUnknown === true;
    // From now on others may read a final state and tell users of it, before its answer gets here.
    if (next.state !== 'open') job.isOutcomeUnknown = true;
    const result = await this.bucketWriter.write(homeShard, transaction, 'granted');
    onOutcome?.(result.kind);
    if (result.kind === 'applied') {
      this.apply(homeShard, job, next, result.revision);
      return true;
    }
    if (result.kind === 'conflict') {
      // Somebody has changed the record, or an earlier copy of ours did: others may know more than this node.
      job.isOutcomeUnknown = true;
      await this.options.verifyLeadership(homeShard.shard.label);
      await this.readAgain(conditions.filter((condition) => result.failed.includes(condition.key)));
      return this.reread(homeShard, job, wasUnsettled);
    }
    job.isOutcomeUnknown = wasUnsettled || result.kind === 'unknown';
    await sleep(this.options.retryDelay);
    return false;
  }

  /** Brings records of which a condition has failed up to date in this node's copy. */
  private async readAgain(failed: Transaction['conditions']): Promise<void> {
    for (const { key } of failed) {
      const item = await this.client.get(key);
      if (item === null) this.stateCache.noteRemoved(key, Infinity);
      else this.stateCache.note(item.key, item.value, item.revision);
    }
  }

  /** True when the stored record was not as we thought, and is now. */
  async reread(homeShard: OwnedShard, job: HomeJob, wasUnsettled: boolean): Promise<boolean> {
    const item = await this.client.get(keys.job(job.id));
    if (!homeShard.isOwned || item === null) return false;
    if (item.revision === job.revision) {
      job.isOutcomeUnknown = wasUnsettled;
      return false;
    }
    this.apply(homeShard, job, item.value as JobRecord, item.revision);
    this.options.onReread(homeShard, job);
    return true;
  }

  /** Takes a record in that is known to be stored under this revision. */
  apply(homeShard: OwnedShard, job: HomeJob, record: JobRecord, revision: number): void {
    job.record = record;
    job.revision = revision;
    job.isOutcomeUnknown = false;
    if (record.state !== 'open') homeShard.jobs.delete(job.id);
    this.stateCache.note(keys.job(job.id), record, revision);
  }
}
