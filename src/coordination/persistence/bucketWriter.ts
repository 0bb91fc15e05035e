/**
 * Writes the chunks of owned shards to the state service, in buckets. Each transaction is conditional on the shard's
 * leader record and on the revision of each bucket that it changes. A bucket is encoded only when its write is due, so
 * that the record includes all changes up to then.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { MAX_TRANSACTION_CHANGE_BYTES, type Transaction } from '../../protocol/stateProtocol.js';
import type { RequestPriority } from '../../storage/rateLimiter.js';
import { keys, type BucketRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { Chunk } from '../model/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { maxStoredBytes, Bucket, bucketOf } from '../model/bucket.js';
import { dueBuckets } from './dueBuckets.js';
import { RejectedWrites } from './rejectedWrites.js';

/** Queries and events of the bucket writer. */
export interface BucketWriterEvents {
  isLeaseValid(): boolean;
  /** Verifies that this node still leads the shard; called after a condition of a transaction has failed. */
  verifyLeadership(shard: string): Promise<void>;
  /** Called when chunks were stored; the starts of their attempts may be sent. */
  onChunksStored(ownedShard: OwnedShard, chunks: Chunk[]): void;
}

/** The calls to the state service that the writers of records use. */
export type StateServiceAccess = Pick<
  StateClient,
  'transact' | 'get' | 'awaitWriteTurn' | 'writeRate' | 'writeDelay' | 'writeLoad' | 'operations'
>;
/** The calls to the state cache that the writers of records use. */
export type StateCacheAccess = Pick<StateCache, 'get' | 'applyPut' | 'applyRemoval'>;

/** Limits of a transaction, and delays in seconds. */
export interface BucketWriterOptions {
  txnOps: number;
  recordFormat: RecordFormat;
  /** Seconds for which changes that nobody waits for are batched. */
  flushDelay: number;
  retryDelay: number;
  /** Prefix that makes the names of this process's buckets unique. */
  process: string;
}

/** Maximum number of transactions of a shard in flight. */
const MAX_TRANSACTIONS_IN_FLIGHT = 3;

/** Shares of a transaction's and of a record's size limit that are used: sizes are estimated, not measured. */
const TRANSACTION_FILL_RATIO = 0.8;
const VALUE_FILL_RATIO = 0.9;

/** Factor on the flush delay while other requests queue for the state service. */
const BUSY_DELAY_FACTOR = 4;

/** Pause before a write that was rejected as malformed is tried again, as a ratio to the flush delay. */
const REJECTED_RETRY_RATIO = 20;

/** Demand, as a share of this node's write rate, above which writes count as scarce. */
const BUSY_WRITE_LOAD = 1 / 2;

/** Share of this node's write rate that starts of batch work may use. */
const BATCH_START_WRITE_SHARE = 0.4;

/** Writes the buckets of owned shards under the conditions of safety O3. */
export class BucketWriter {
  private createdBuckets = 0;
  private readonly rejectedWrites: RejectedWrites;

  constructor(
    private readonly client: StateServiceAccess,
    private readonly stateCache: StateCacheAccess,
    private readonly clock: Clock,
    private readonly events: BucketWriterEvents,
    private readonly options: BucketWriterOptions,
  ) {
    this.rejectedWrites = new RejectedWrites(clock, options.flushDelay * REJECTED_RETRY_RATIO);
  }

  /** Applies a transaction of a shard, under the condition of its leader record and only while the lease is valid. */
  async write(
    ownedShard: OwnedShard,
    transaction: Transaction,
    priority: RequestPriority | 'granted' = 'later',
  ): Promise<TransactionResult> {
    if (!ownedShard.isOwned || !this.events.isLeaseValid()) return { kind: 'refused' };
    const leaderCondition = {
      key: keys.leader(ownedShard.shard.label),
      revision: ownedShard.revision,
    };
    const others = transaction.conditions.filter(
      ({ key, revision }) => key !== leaderCondition.key || revision !== leaderCondition.revision,
    );
    return this.client.transact(
      { ...transaction, conditions: [leaderCondition, ...others] },
      priority,
    );
  }

  /** Starts the writes of all buckets that are due. */
  writeDueBuckets(ownedShard: OwnedShard): void {
    if (this.options.recordFormat.isCompact) this.retireLargeBuckets(ownedShard);
    for (const chunk of ownedShard.shard.unsavedChunks) {
      if (chunk.isJobStored && chunk.bucket === null) this.assignBucket(ownedShard, chunk);
    }
    this.flushAll(ownedShard, this.dueBuckets(ownedShard));
  }

  /**
   * Empties buckets that were stored under larger limits and whose records can no longer be written: their chunks move
   * to other buckets as the state service permits (safety, V5). A single chunk that is too large is stored in fragments.
   */
  private retireLargeBuckets(ownedShard: OwnedShard): void {
    for (const bucket of ownedShard.buckets.values()) {
      if (bucket.isSizeChecked || bucket.isWriteInFlight) continue;
      bucket.isSizeChecked = true;
      if (bucket.chunks.size < 2 || bucket.maxStoredBytes <= this.maxRecordBytes) continue;
      for (const chunk of [...bucket.chunks]) {
        ownedShard.shard.noteChunkChanged(chunk, this.clock.now());
        bucket.retire(chunk);
      }
    }
  }

  /** Bytes that chunks may take of one record. */
  private get maxRecordBytes(): number {
    return (
      Math.min(
        this.options.recordFormat.valueBytes,
        MAX_TRANSACTION_CHANGE_BYTES * TRANSACTION_FILL_RATIO,
      ) * VALUE_FILL_RATIO
    );
  }

  /**
   * Returns the buckets to be written now. Terminated attempts can wait while users and starts need the write rate: after a crash
   * the workers still report them.
   */
  private dueBuckets(ownedShard: OwnedShard): Map<Bucket, RequestPriority> {
    const { flushDelay } = this.options;
    const isBusy =
      this.client.writeDelay('later') > flushDelay / 2 || this.client.writeLoad > BUSY_WRITE_LOAD;
    const maxDelay = flushDelay * (isBusy ? BUSY_DELAY_FACTOR : 1);
    return dueBuckets(ownedShard, this.clock.now(), { isBusy, maxDelay });
  }

  /** Writes buckets, as many in one transaction as fit its limits. */
  private flushAll(ownedShard: OwnedShard, due: Map<Bucket, RequestPriority>): void {
    const maxOperations = Math.max(1, this.options.txnOps - 1);
    let batch: Bucket[] = [];
    let bytes = 0;
    let operations = 0;
    let priority: RequestPriority = 'later';
    const send = (): void => {
      if (batch.length === 0) return;
      void this.flush(ownedShard, batch, priority);
      [batch, bytes, operations, priority] = [[], 0, 0, 'later'];
    };
    for (const [bucket, bucketPriority] of due) {
      if (ownedShard.writesInFlight >= MAX_TRANSACTIONS_IN_FLIGHT) break;
      const size = bucket.estimatedBytes;
      const cost = this.operationsFor(ownedShard, bucket, size);
      const isFull =
        operations + cost > maxOperations ||
        bytes + size > MAX_TRANSACTION_CHANGE_BYTES * TRANSACTION_FILL_RATIO ||
        bucket.isWrittenAlone ||
        batch[0]?.isWrittenAlone === true;
      if (batch.length > 0 && isFull) send();
      batch.push(bucket);
      bytes += size;
      operations += cost;
      if (bucketPriority === 'urgent') priority = 'urgent';
    }
    if (ownedShard.writesInFlight < MAX_TRANSACTIONS_IN_FLIGHT) send();
  }

  /** Returns the operations that a write of a bucket of this size takes: a large one is stored in fragments. */
  private operationsFor(ownedShard: OwnedShard, bucket: Bucket, bytes: number): number {
    const { recordFormat } = this.options;
    if (!recordFormat.isCompact) return 1;
    // The record is encoded only when its write is due, and may be slightly larger by then.
    const expectedPuts = Math.ceil(bytes / (recordFormat.valueBytes * VALUE_FILL_RATIO));
    return Math.max(expectedPuts, this.client.operations(this.keyOf(ownedShard, bucket), null));
  }

  /**
   * Adds a chunk to the fullest bucket of its kind that is certain to have room for it, or to a new one. An empty bucket
   * whose record is still stored is reused: that takes one write, and removing it and creating another takes two.
   */
  private assignBucket(ownedShard: OwnedShard, chunk: Chunk): void {
    const { recordFormat, process } = this.options;
    const { maxRecordBytes } = this;
    const neededBytes = maxStoredBytes(chunk, recordFormat);
    let fullest: Bucket | null = null;
    let mostUsed = -1;
    for (const bucket of ownedShard.buckets.values()) {
      if (bucket.isWriteInFlight) continue;
      // Services change seldom and batch tasks often: separate buckets avoid rewriting one for changes of the other.
      const [firstChunk] = bucket.chunks;
      if (firstChunk !== undefined && firstChunk.spec.isService !== chunk.spec.isService) continue;
      if (chunk.needsOwnBucket || firstChunk?.needsOwnBucket === true) continue;
      if (bucket === chunk.retiredFrom || bucket.hasUnstoredRetiredChunks) continue;
      const usedBytes = bucket.maxStoredBytes;
      if (usedBytes + neededBytes <= maxRecordBytes && usedBytes > mostUsed)
        [fullest, mostUsed] = [bucket, usedBytes];
    }
    if (fullest === null) {
      fullest = new Bucket(`${process}-${++this.createdBuckets}`, 0, recordFormat);
      ownedShard.buckets.set(fullest.name, fullest);
    }
    fullest.add(chunk);
  }

  private keyOf(ownedShard: OwnedShard, bucket: Bucket): string {
    return keys.bucket(ownedShard.shard.label, bucket.name);
  }

  private async flush(
    ownedShard: OwnedShard,
    buckets: Bucket[],
    priority: RequestPriority,
  ): Promise<void> {
    ownedShard.writesInFlight++;
    for (const bucket of buckets) bucket.isWriteInFlight = true;
    // Starts of batch work are written in spaced rounds, each with all starts since the last one; the rest of the write
    // rate is left for users' requests.
    const pause = buckets.length / (this.client.writeRate * BATCH_START_WRITE_SHARE);
    ownedShard.batchStartsDeferredUntil =
      Math.max(ownedShard.batchStartsDeferredUntil, this.clock.now()) + pause;
    try {
      await this.client.awaitWriteTurn(buckets.length, priority);
      const stored = buckets.flatMap((bucket) =>
        [...bucket.chunks].map((chunk) => ({ chunk, version: chunk.version })),
      );
      const puts: Transaction['puts'] = [];
      const deletes: string[] = [];
      for (const bucket of buckets) {
        if (bucket.chunks.size > 0 || bucket.mayBeRecreated) {
          puts.push({ key: this.keyOf(ownedShard, bucket), value: bucket.toRecord() });
          if (bucket.revision === 0) bucket.mayBeRecreated = true;
        } else if (bucket.revision > 0) deletes.push(this.keyOf(ownedShard, bucket));
        bucket.isDirty = false;
      }
      for (const { chunk } of stored) chunk.dirtySince = null;
      const conditions = buckets.map((bucket) => ({
        key: this.keyOf(ownedShard, bucket),
        revision: bucket.revision,
      }));
      const result = await this.write(ownedShard, { conditions, puts, deletes }, 'granted');
      if (result.kind === 'applied') {
        this.onApplied(ownedShard, buckets, stored, puts, result.revision);
        return;
      }
      for (const { chunk } of stored) chunk.dirtySince ??= this.clock.now();
      for (const bucket of buckets) {
        bucket.isDirty = true;
      }
      if (result.kind === 'conflict') await this.resolveConflict(ownedShard, buckets);
      else if (result.kind === 'malformed') this.rejectedWrites.handle(ownedShard, buckets);
      else await sleep(this.options.retryDelay);
    } catch (error) {
      log.debug(`writing buckets failed: ${describeError(error)}`);
      await sleep(this.options.retryDelay);
    } finally {
      for (const bucket of buckets) bucket.isWriteInFlight = false;
      ownedShard.writesInFlight--;
    }
  }

  private onApplied(
    ownedShard: OwnedShard,
    buckets: Bucket[],
    stored: { chunk: Chunk; version: number }[],
    puts: Transaction['puts'],
    revision: number,
  ): void {
    for (const { chunk, version } of stored) {
      chunk.storedVersion = Math.max(chunk.storedVersion, version);
      chunk.isUnstorable = false;
      // The bucket's revision has changed, so a transaction that migrates the chunk away can no longer be applied.
      chunk.mayHaveMigrated = false;
      if (chunk.version === chunk.storedVersion) ownedShard.shard.unsavedChunks.delete(chunk);
      else chunk.dirtySince ??= this.clock.now();
    }
    for (const put of puts) this.stateCache.applyPut(put.key, put.value, revision);
    for (const bucket of buckets) {
      const key = this.keyOf(ownedShard, bucket);
      bucket.clearRetiredChunks();
      if (puts.some((put) => put.key === key)) bucket.revision = revision;
      else {
        this.stateCache.applyRemoval(key, revision);
        bucket.revision = 0;
        if (bucket.chunks.size === 0) ownedShard.buckets.delete(bucket.name);
      }
    }
    this.events.onChunksStored(
      ownedShard,
      stored.map((entry) => entry.chunk),
    );
  }

  /** Rereads buckets after a conflict: transactions of this node that got no answer may have been applied. */
  async resolveConflict(ownedShard: OwnedShard, buckets: Bucket[]): Promise<void> {
    await this.events.verifyLeadership(ownedShard.shard.label);
    for (const bucket of buckets) {
      const item = await this.client.get(this.keyOf(ownedShard, bucket));
      if (!ownedShard.isOwned) return;
      const revision = item?.revision ?? 0;
      if (revision === bucket.revision) continue;
      const record = item?.value as BucketRecord | undefined;
      for (const chunk of [...bucket.chunks]) {
        if (!chunk.mayHaveMigrated) continue;
        // The revision has changed, so the transaction that migrates the chunk was applied or never will be.
        if (record?.chunks[chunk.id] === undefined)
          ownedShard.shard.migrateAway(chunk, this.clock.now());
        else chunk.mayHaveMigrated = false;
      }
      bucket.revision = revision;
      if (item !== null) this.stateCache.applyPut(item.key, item.value, item.revision);
      else this.stateCache.applyRemoval(this.keyOf(ownedShard, bucket), Infinity);
    }
  }

  /**
   * Migrates a chunk without attempts to another shard in one transaction. `extra` holds further changes of that
   * transaction: the home shard records that the chunk has left.
   */
  async migrate(
    ownedShard: OwnedShard,
    chunk: Chunk,
    targetShard: string,
    extra: Pick<Transaction, 'conditions' | 'puts'>,
  ): Promise<TransactionResult> {
    const bucket = bucketOf(chunk);
    const leader = this.stateCache.get(keys.leader(targetShard));
    if (bucket === null || leader === undefined || !chunk.isMigratable) return { kind: 'refused' };
    const name = `${chunk.id.replace('/', '-')}-${chunk.migrationCount + 1}`;
    const key = keys.bucket(targetShard, name);
    bucket.isWriteInFlight = true;
    ownedShard.writesInFlight++;
    try {
      await this.client.awaitWriteTurn(2 + extra.puts.length, 'later');
      if (chunk.attempts.size > 0 || chunk.isDropped || chunk.isCancelRequested)
        return { kind: 'refused' };
      chunk.isMigrating = true;
      const value: BucketRecord = {
        chunks: { [chunk.id]: { ...chunk.toRecord(), migrationCount: chunk.migrationCount + 1 } },
      };
      const otherChunks = [...bucket.chunks]
        .filter((other) => other !== chunk)
        .map((other) => ({ chunk: other, version: other.version }));
      const { puts, deletes } = this.withoutChunk(ownedShard, bucket, chunk);
      const conditions = [
        { key: this.keyOf(ownedShard, bucket), revision: bucket.revision },
        { key: keys.leader(targetShard), revision: leader.revision },
        { key, revision: 0 },
        ...extra.conditions,
      ];
      const transaction = {
        conditions,
        puts: [{ key, value }, ...puts, ...extra.puts],
        deletes,
      };
      const result = await this.write(ownedShard, transaction, 'granted');
      if (result.kind === 'applied') {
        ownedShard.shard.migrateAway(chunk, this.clock.now());
        this.onApplied(ownedShard, [bucket], otherChunks, puts, result.revision);
        this.stateCache.applyPut(key, value, result.revision);
      } else if (result.kind === 'conflict') await this.resolveConflict(ownedShard, [bucket]);
      else if (result.kind === 'unknown') this.noteMigrationUnanswered(ownedShard, chunk);
      else if (result.kind === 'malformed') chunk.isMigrationRejected = true;
      return result;
    } finally {
      chunk.isMigrating = false;
      bucket.isWriteInFlight = false;
      ownedShard.writesInFlight--;
    }
  }

  /**
   * Until its bucket is written again the chunk may have migrated: it can't start, migrate or be cancelled. The chunk counts as
   * changed, since a bucket is written only if a chunk in it has changed (safety, T25).
   */
  private noteMigrationUnanswered({ shard }: OwnedShard, chunk: Chunk): void {
    log.info(`no answer to the migration of chunk ${chunk.id} from shard ${shard.label}`);
    if (chunk.isDropped) return;
    chunk.mayHaveMigrated = true;
    shard.noteChunkChanged(chunk, this.clock.now());
  }

  /**
   * Returns the change of a bucket that a chunk leaves. A bucket that becomes empty is deleted, unless a late copy of the
   * transaction that creates it could then be applied.
   */
  private withoutChunk(
    ownedShard: OwnedShard,
    bucket: Bucket,
    chunk: Chunk,
  ): Pick<Transaction, 'puts' | 'deletes'> {
    const key = this.keyOf(ownedShard, bucket);
    if (bucket.chunks.size === 1 && !bucket.mayBeRecreated) return { puts: [], deletes: [key] };
    const remaining = Object.entries(bucket.toRecord().chunks).filter(([id]) => id !== chunk.id);
    const value: BucketRecord = { chunks: Object.fromEntries(remaining) };
    return { puts: [{ key, value }], deletes: [] };
  }
}
