/**
 * Writes the record of a job, under the conditions that its revision is the one this node knows and that this node leads
 * the job's home shard. The job in memory changes only after the state service has stored the record.
 */
import { sleep } from '../../base/clock.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { TransactionResult } from '../../storage/stateClient.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import type { BucketWriter, StateCacheAccess, StateServiceAccess } from './bucketWriter.js';

/** Further conditions of a write, and a callback for its outcome. */
export interface JobWriteOptions {
  conditions?: Transaction['conditions'];
  onOutcome?: (outcome: TransactionResult['kind']) => void;
}

/** Events and delays of the writer. */
export interface JobRecordWriterOptions {
  /** Verifies that this node still leads the shard; called after a condition of a transaction has failed. */
  verifyLeadership(shard: string): Promise<void>;
  /** Called when a job's record was read again and had changed. */
  onReread(homeShard: OwnedShard, job: HomeJob): void;
  /** Seconds after which a write that was not applied may be retried. */
  readonly retryDelay: number;
}

/** Pause after a write that was rejected as malformed, as a ratio to the retry delay. */
const REJECTED_PAUSE_RATIO = 10;

/** Writes job records. The caller sets the job's `isWriteInFlight` first. */
export class JobRecordWriter {
  constructor(
    private readonly client: Pick<StateServiceAccess, 'get' | 'awaitWriteTurn'>,
    private readonly stateCache: StateCacheAccess,
    private readonly bucketWriter: Pick<BucketWriter, 'write'>,
    private readonly options: JobRecordWriterOptions,
  ) {}

  /** Stores a job's new record and then applies it in memory. Returns true if the record in memory changed. */
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
    const wasOutcomeUnknown = job.isOutcomeUnknown === true;
    // From now on other nodes may read a final state and tell users of it, before the answer arrives here.
    if (next.state !== 'open') job.isOutcomeUnknown = true;
    const result = await this.bucketWriter.write(homeShard, transaction, 'granted');
    onOutcome?.(result.kind);
    if (result.kind === 'applied') {
      this.apply(homeShard, job, next, result.revision);
      return true;
    }
    if (result.kind === 'conflict') {
      // Another writer, or an earlier copy of this write, has changed the record: other nodes may know a newer state.
      job.isOutcomeUnknown = true;
      await this.options.verifyLeadership(homeShard.shard.label);
      await this.rereadFailedConditions(
        conditions.filter((condition) => result.failed.includes(condition.key)),
      );
      return this.reread(homeShard, job, wasOutcomeUnknown);
    }
    job.isOutcomeUnknown = wasOutcomeUnknown || result.kind === 'unknown';
    // Repeated at once it would be rejected again.
    const pauseRatio = result.kind === 'malformed' ? REJECTED_PAUSE_RATIO : 1;
    await sleep(this.options.retryDelay * pauseRatio);
    return false;
  }

  /** Rereads records whose condition has failed into the state cache. */
  private async rereadFailedConditions(failed: Transaction['conditions']): Promise<void> {
    for (const { key } of failed) {
      const item = await this.client.get(key);
      if (item === null) this.stateCache.applyRemoval(key, Infinity);
      else this.stateCache.applyPut(item.key, item.value, item.revision);
    }
  }

  /** Rereads a job's record. Returns true if the stored record had changed and was applied in memory. */
  async reread(homeShard: OwnedShard, job: HomeJob, wasOutcomeUnknown: boolean): Promise<boolean> {
    const item = await this.client.get(keys.job(job.id));
    if (!homeShard.isOwned || item === null) return false;
    if (item.revision === job.revision) {
      job.isOutcomeUnknown = wasOutcomeUnknown;
      return false;
    }
    this.apply(homeShard, job, item.value as JobRecord, item.revision);
    this.options.onReread(homeShard, job);
    return true;
  }

  /** Applies a record in memory that is known to be stored at this revision. */
  apply(homeShard: OwnedShard, job: HomeJob, record: JobRecord, revision: number): void {
    job.record = record;
    job.revision = revision;
    job.isOutcomeUnknown = false;
    if (record.state !== 'open') homeShard.jobs.delete(job.id);
    this.stateCache.applyPut(keys.job(job.id), record, revision);
  }
}
