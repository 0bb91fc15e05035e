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

/** Queries and events of the bucket writer. */
export interface BucketWriterEvents {
  isLeaseValid(): boolean;
  /** Verifies that this node still leads the shard; called after a condition of a transaction has failed. */
  verifyLeadership(shard: string): Promise<void>;
  /** Called when chunks were stored; the starts of their attempts may be sent. */
  stored(ownedShard: OwnedShard, chunks: Chunk[]): void;
}

/** The calls to the state service that the writers of records use. */
export type StateServiceAccess = Pick<
  StateClient,
  'transact' | 'get' | 'awaitWriteTurn' | 'writeRate' | 'writeDelay' | 'writeLoad' | 'operations'
>;
/** The calls to the state cache that the writers of records use. */
export type StateCacheAccess = Pick<StateCache, 'get' | 'note' | 'noteRemoved'>;

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
const TRANSACTIONS = 3;

/** Shares of a transaction's and of a record's size limit that are used: sizes are estimated, not measured. */
const TXN_SHARE = 0.8;
const VALUE_SHARE = 0.9;

/** Factor on the flush delay while other requests queue for the state service. */
const BUSY_PATIENCE = 4;

/** Demand, as a share of this node's write rate, above which writes count as scarce. */
const BUSY_LOAD = 1 / 2;

/** Share of this node's write rate that starts of batch work may use. */
const GATHER_SHARE = 0.4;

/** Writes the buckets of owned shards under the conditions of safety O3. */
export class BucketWriter {
  private named = 0;

  constructor(
    private readonly client: StateServiceAccess,
    private readonly stateCache: StateCacheAccess,
    private readonly clock: Clock,
    private readonly host: BucketWriterEvents,
    private readonly options: BucketWriterOptions,
  ) {}

  /** Applies a transaction of a shard, under the condition of its leader record and only while the lease is valid. */
  async write(
    ownedShard: OwnedShard,
    transaction: Transaction,
    urgency: RequestPriority | 'granted' = 'later',
  ): Promise<TransactionResult> {
    if (!ownedShard.isOwned || !this.host.isLeaseValid()) return { kind: 'refused' };
    const owner = { key: keys.leader(ownedShard.shard.label), revision: ownedShard.revision };
    const others = transaction.conditions.filter(
      ({ key, revision }) => key !== owner.key || revision !== owner.revision,
    );
    return this.client.transact({ ...transaction, conditions: [owner, ...others] }, urgency);
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
      if (bucket.chunks.size < 2 || bucket.maxStoredBytes <= this.room) continue;
      for (const chunk of [...bucket.chunks]) {
        ownedShard.shard.noteChunkChanged(chunk, this.clock.now());
        bucket.retire(chunk);
      }
    }
  }

  /** Bytes that chunks may take of one record. */
  private get room(): number {
    return (
      Math.min(this.options.recordFormat.valueBytes, MAX_TRANSACTION_CHANGE_BYTES * TXN_SHARE) *
      VALUE_SHARE
    );
  }

  /** Returns the buckets to be written now, with the priority of each. */
  private dueBuckets(ownedShard: OwnedShard): Map<Bucket, RequestPriority> {
    const now = this.clock.now();
    // Terminated attempts can wait while users and starts need the write rate: after a crash the workers still report
    // them. Waiting also avoids repeated writes of a chunk whose tasks end one by one.
    const { flushDelay: linger } = this.options;
    const isBusy =
      this.client.writeDelay('later') > linger / 2 || this.client.writeLoad > BUSY_LOAD;
    const maxDelay = linger * (isBusy ? BUSY_PATIENCE : 1);
    const isGathering = now < ownedShard.batchStartsDeferredUntil;
    const due = new Map<Bucket, RequestPriority>();
    for (const chunk of ownedShard.shard.unsavedChunks) {
      const bucket = bucketOf(chunk);
      if (bucket === null || bucket.isWriteInFlight || due.get(bucket) === 'urgent') continue;
      const isOld = chunk.dirtySince !== null && now - chunk.dirtySince >= maxDelay;
      if (isAwaited(chunk) && (chunk.spec.isService || !isGathering)) due.set(bucket, 'urgent');
      else if (isOld) due.set(bucket, 'later');
    }
    if (isBusy) return due;
    for (const bucket of ownedShard.buckets.values()) {
      const isEmpty = bucket.chunks.size === 0 && !bucket.hasUnstoredRetiredChunks;
      if (isEmpty && bucket.isDirty && !bucket.isWriteInFlight) due.set(bucket, 'later');
    }
    return due;
  }

  /** Writes buckets, as many in one transaction as fit its limits. */
  private flushAll(ownedShard: OwnedShard, due: Map<Bucket, RequestPriority>): void {
    const most = Math.max(1, this.options.txnOps - 1);
    let batch: Bucket[] = [];
    let bytes = 0;
    let operations = 0;
    let priority: RequestPriority = 'later';
    const send = (): void => {
      if (batch.length === 0) return;
      void this.flush(ownedShard, batch, priority);
      [batch, bytes, operations, priority] = [[], 0, 0, 'later'];
    };
    for (const [bucket, how] of due) {
      if (ownedShard.writesInFlight >= TRANSACTIONS) break;
      const size = bucket.estimatedBytes;
      const cost = this.operationsFor(ownedShard, bucket, size);
      const isFull =
        operations + cost > most || bytes + size > MAX_TRANSACTION_CHANGE_BYTES * TXN_SHARE;
      if (batch.length > 0 && isFull) send();
      batch.push(bucket);
      bytes += size;
      operations += cost;
      if (how === 'urgent') priority = 'urgent';
    }
    if (ownedShard.writesInFlight < TRANSACTIONS) send();
  }

  /** Returns the operations that a write of a bucket of this size takes: a large one is stored in fragments. */
  private operationsFor(ownedShard: OwnedShard, bucket: Bucket, bytes: number): number {
    const { recordFormat } = this.options;
    if (!recordFormat.isCompact) return 1;
    // The record is encoded only when its write is due, and may be slightly larger by then.
    const most = Math.ceil(bytes / (recordFormat.valueBytes * VALUE_SHARE));
    return Math.max(most, this.client.operations(this.key(ownedShard, bucket), null));
  }

  /**
   * Adds a chunk to the fullest bucket of its kind that is certain to have room for it, or to a new one. An empty bucket
   * whose record is still stored is reused: that takes one write, and removing it and creating another takes two.
   */
  private assignBucket(ownedShard: OwnedShard, chunk: Chunk): void {
    const { recordFormat, process } = this.options;
    const { room } = this;
    const need = maxStoredBytes(chunk, recordFormat);
    let best: Bucket | null = null;
    let most = -1;
    for (const bucket of ownedShard.buckets.values()) {
      if (bucket.isWriteInFlight) continue;
      // Services change seldom and batch tasks often: separate buckets avoid rewriting one for changes of the other.
      const [first] = bucket.chunks;
      if (first !== undefined && first.spec.isService !== chunk.spec.isService) continue;
      if (bucket === chunk.retiredFrom || bucket.hasUnstoredRetiredChunks) continue;
      const used = bucket.maxStoredBytes;
      if (used + need <= room && used > most) [best, most] = [bucket, used];
    }
    if (best === null) {
      best = new Bucket(`${process}-${++this.named}`, 0, recordFormat);
      ownedShard.buckets.set(best.name, best);
    }
    best.add(chunk);
  }

  private key(ownedShard: OwnedShard, bucket: Bucket): string {
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
    const pause = buckets.length / (this.client.writeRate * GATHER_SHARE);
    ownedShard.batchStartsDeferredUntil =
      Math.max(ownedShard.batchStartsDeferredUntil, this.clock.now()) + pause;
    try {
      await this.client.awaitWriteTurn(buckets.length, priority);
      const stored = buckets.flatMap((s) =>
        [...s.chunks].map((c) => ({ chunk: c, at: c.version })),
      );
      const puts: Transaction['puts'] = [];
      const removes: string[] = [];
      for (const bucket of buckets) {
        if (bucket.chunks.size > 0 || bucket.mayBeRecreated) {
          puts.push({ key: this.key(ownedShard, bucket), value: bucket.toRecord() });
          if (bucket.revision === 0) bucket.mayBeRecreated = true;
        } else if (bucket.revision > 0) removes.push(this.key(ownedShard, bucket));
        bucket.isDirty = false;
      }
      for (const { chunk } of stored) chunk.dirtySince = null;
      const when = buckets.map((s) => ({ key: this.key(ownedShard, s), revision: s.revision }));
      const result = await this.write(
        ownedShard,
        { conditions: when, puts, deletes: removes },
        'granted',
      );
      if (result.kind === 'applied') {
        this.applied(ownedShard, buckets, stored, puts, result.revision);
        return;
      }
      for (const { chunk } of stored) chunk.dirtySince ??= this.clock.now();
      for (const bucket of buckets) {
        bucket.isDirty = true;
      }
      if (result.kind === 'conflict') await this.resolveConflict(ownedShard, buckets);
      // Repeated at once it would be rejected again and delay other writes.
      else if (result.kind === 'malformed') await sleep(this.options.flushDelay);
      else await sleep(this.options.retryDelay);
    } catch (error) {
      log.debug(`store: ${describeError(error)}`);
      await sleep(this.options.retryDelay);
    } finally {
      for (const bucket of buckets) bucket.isWriteInFlight = false;
      ownedShard.writesInFlight--;
    }
  }

  private applied(
    ownedShard: OwnedShard,
    buckets: Bucket[],
    stored: { chunk: Chunk; at: number }[],
    puts: Transaction['puts'],
    revision: number,
  ): void {
    for (const { chunk, at } of stored) {
      chunk.storedVersion = Math.max(chunk.storedVersion, at);
      // The bucket's revision has changed, so a transaction that migrates the chunk away can no longer be applied.
      chunk.mayHaveMigrated = false;
      if (chunk.version === chunk.storedVersion) ownedShard.shard.unsavedChunks.delete(chunk);
      else chunk.dirtySince ??= this.clock.now();
    }
    for (const put of puts) this.stateCache.note(put.key, put.value, revision);
    for (const bucket of buckets) {
      const key = this.key(ownedShard, bucket);
      bucket.clearRetiredChunks();
      if (puts.some((p) => p.key === key)) bucket.revision = revision;
      else {
        this.stateCache.noteRemoved(key, revision);
        bucket.revision = 0;
        if (bucket.chunks.size === 0) ownedShard.buckets.delete(bucket.name);
      }
    }
    this.host.stored(
      ownedShard,
      stored.map((s) => s.chunk),
    );
  }

  /** Rereads buckets after a conflict: transactions of this node that got no answer may have been applied. */
  async resolveConflict(ownedShard: OwnedShard, buckets: Bucket[]): Promise<void> {
    await this.host.verifyLeadership(ownedShard.shard.label);
    for (const bucket of buckets) {
      const item = await this.client.get(this.key(ownedShard, bucket));
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
      if (item !== null) this.stateCache.note(item.key, item.value, item.revision);
      else this.stateCache.noteRemoved(this.key(ownedShard, bucket), Infinity);
    }
  }

  /**
   * Migrates a chunk without attempts to another shard in one transaction. `extra` holds further changes of that
   * transaction: the home shard records that the chunk has left.
   */
  async move(
    ownedShard: OwnedShard,
    chunk: Chunk,
    to: string,
    extra: Pick<Transaction, 'conditions' | 'puts'>,
  ): Promise<TransactionResult> {
    const bucket = bucketOf(chunk);
    const owner = this.stateCache.get(keys.leader(to));
    if (bucket === null || owner === undefined || !chunk.isMigratable) return { kind: 'refused' };
    const name = `${chunk.id.replace('/', '-')}-${chunk.migrationCount + 1}`;
    const key = keys.bucket(to, name);
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
      const others = [...bucket.chunks]
        .filter((other) => other !== chunk)
        .map((other) => ({ chunk: other, at: other.version }));
      const { puts, deletes } = this.withoutChunk(ownedShard, bucket, chunk);
      const conditions = [
        { key: this.key(ownedShard, bucket), revision: bucket.revision },
        { key: keys.leader(to), revision: owner.revision },
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
        this.applied(ownedShard, [bucket], others, puts, result.revision);
        this.stateCache.note(key, value, result.revision);
      } else if (result.kind === 'conflict') await this.resolveConflict(ownedShard, [bucket]);
      // Until its bucket is written again the chunk may have migrated, and none of its tasks can be started.
      else if (result.kind === 'unknown') {
        chunk.mayHaveMigrated = true;
        bucket.isDirty = true;
      }
      return result;
    } finally {
      chunk.isMigrating = false;
      bucket.isWriteInFlight = false;
      ownedShard.writesInFlight--;
    }
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
    const key = this.key(ownedShard, bucket);
    if (bucket.chunks.size === 1 && !bucket.mayBeRecreated) return { puts: [], deletes: [key] };
    const others = Object.entries(bucket.toRecord().chunks).filter(([id]) => id !== chunk.id);
    const value: BucketRecord = { chunks: Object.fromEntries(others) };
    return { puts: [{ key, value }], deletes: [] };
  }
}

/** Whether starts, or the completion of the chunk in its job, wait until the chunk is stored. */
const isAwaited = (chunk: Chunk): boolean =>
  hasStarts(chunk) || (chunk.isComplete && !chunk.isCancelled);

/** Whether the chunk has placements that are not stored yet; their starts wait for that. */
function hasStarts(chunk: Chunk): boolean {
  for (const attempt of chunk.attempts.values()) {
    if (attempt.chunkVersion > chunk.storedVersion && attempt.stop === null) return true;
  }
  return false;
}
