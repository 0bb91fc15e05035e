/**
 * Keeps the stored chunks in line with what the parts know. Each transaction is conditional on the
 * part's ownership key and on the bucket it changes; a bucket's record is made from memory when its turn
 * comes, so that it holds all that has changed meanwhile.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import { TRANSACTION_BYTES, type Transaction } from '../../protocol/stateProtocol.js';
import type { RequestPriority } from '../../storage/rateLimiter.js';
import { keys, type BucketRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { Chunk } from '../shard/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { maxStoredBytes, Bucket } from './bucket.js';

export interface BucketWriterEvents {
  valid(): boolean;
  /** An ownership key was not as we thought. */
  verifyOwner(part: string): Promise<void>;
  /** Chunks were stored: their starts may go out. */
  stored(host: OwnedShard, chunks: Chunk[]): void;
}

/** What is needed of the state service and of our copy of the records. */
export type Store = Pick<
  StateClient,
  'txn' | 'get' | 'turn' | 'writeRate' | 'writeDelay' | 'writeLoad' | 'operations'
>;
export type Copy = Pick<StateCache, 'get' | 'note' | 'noteRemoved'>;

export interface BucketWriterOptions {
  txnOps: number;
  layout: RecordFormat;
  /** Seconds that changes which nobody waits for are gathered. */
  linger: number;
  retry: number;
  /** Tells the names of this process's buckets from all others. */
  process: string;
}

/** Transactions of a part that may be on their way. */
const TRANSACTIONS = 3;

/** Of a transaction's and of a record's limit, what is used: sizes are worked out, not measured. */
const TXN_SHARE = 0.8;
const VALUE_SHARE = 0.9;

/** How much longer changes that nobody waits for are gathered while others queue for the state service. */
const BUSY_PATIENCE = 4;

/** Of the changes that are ours, what is asked for when they are counted as scarce. */
const BUSY_LOAD = 1 / 2;

/** Of the changes that are ours, what starts of batch work may use. */
const GATHER_SHARE = 0.4;

export class BucketWriter {
  private named = 0;

  constructor(
    private readonly client: Store,
    private readonly replica: Copy,
    private readonly clock: Clock,
    private readonly host: BucketWriterEvents,
    private readonly options: BucketWriterOptions,
  ) {}

  /** Every write of a part goes through here: under its ownership, and only while that is valid. */
  async write(
    host: OwnedShard,
    txn: Transaction,
    urgency: RequestPriority | 'granted' = 'later',
  ): Promise<TransactionResult> {
    if (!host.alive || !this.host.valid()) return { kind: 'refused' };
    const owner = { key: keys.owner(host.part.label), stamp: host.stamp };
    return this.client.txn({ ...txn, when: [owner, ...txn.when] }, urgency);
  }

  /** Starts the storing of what is due. */
  pass(host: OwnedShard): void {
    if (this.options.layout.isCompact) this.retireLargeBuckets(host);
    for (const chunk of host.part.dirty) {
      if (chunk.accepted && chunk.bucket === null) this.assignBucket(host, chunk);
    }
    this.flushAll(host, this.dueBuckets(host));
  }

  /**
   * Buckets from before the present limits, whose records may not be written any more: their chunks go to others, as
   * the state service allows (safety, V5). A single chunk that is too large is stored in pieces.
   */
  private retireLargeBuckets(host: OwnedShard): void {
    for (const bucket of host.buckets.values()) {
      if (bucket.isMeasured || bucket.busy) continue;
      bucket.isMeasured = true;
      if (bucket.chunks.size < 2 || bucket.potential <= this.room) continue;
      for (const chunk of [...bucket.chunks]) {
        host.part.changed(chunk, this.clock.now());
        bucket.retire(chunk);
      }
    }
  }

  /** What chunks may take of one record. */
  private get room(): number {
    return Math.min(this.options.layout.valueBytes, TRANSACTION_BYTES * TXN_SHARE) * VALUE_SHARE;
  }

  /** Buckets that should be stored now. */
  private dueBuckets(host: OwnedShard): Map<Bucket, RequestPriority> {
    const now = this.clock.now();
    // Ends can wait while users and starts need the state service's changes: a crash meanwhile loses nothing
    // that the workers do not still report. A chunk whose tasks end one by one would be written for each few.
    const { linger } = this.options;
    const isBusy =
      this.client.writeDelay('later') > linger / 2 || this.client.writeLoad > BUSY_LOAD;
    const patience = linger * (isBusy ? BUSY_PATIENCE : 1);
    const isGathering = now < host.gatherUntil;
    const due = new Map<Bucket, RequestPriority>();
    for (const chunk of host.part.dirty) {
      const { bucket } = chunk;
      if (bucket === null || bucket.busy || due.get(bucket) === 'urgent') continue;
      const isOld = chunk.dirtySince !== null && now - chunk.dirtySince >= patience;
      if (isAwaited(chunk) && (chunk.spec.service || !isGathering)) due.set(bucket, 'urgent');
      else if (isOld) due.set(bucket, 'later');
    }
    if (isBusy) return due;
    for (const bucket of host.buckets.values()) {
      const isEmpty = bucket.chunks.size === 0 && !bucket.holdsRetired;
      if (isEmpty && bucket.stale && !bucket.busy) due.set(bucket, 'later');
    }
    return due;
  }

  /** Stores buckets, as many in one transaction as fit it. */
  private flushAll(host: OwnedShard, due: Map<Bucket, RequestPriority>): void {
    const most = Math.max(1, this.options.txnOps - 1);
    let batch: Bucket[] = [];
    let bytes = 0;
    let operations = 0;
    let urgency: RequestPriority = 'later';
    const send = (): void => {
      if (batch.length === 0) return;
      void this.flush(host, batch, urgency);
      [batch, bytes, operations, urgency] = [[], 0, 0, 'later'];
    };
    for (const [bucket, how] of due) {
      if (host.writing >= TRANSACTIONS) break;
      const size = bucket.bytes;
      const cost = this.operationsFor(host, bucket, size);
      const isFull = operations + cost > most || bytes + size > TRANSACTION_BYTES * TXN_SHARE;
      if (batch.length > 0 && isFull) send();
      batch.push(bucket);
      bytes += size;
      operations += cost;
      if (how === 'urgent') urgency = 'urgent';
    }
    if (host.writing < TRANSACTIONS) send();
  }

  /** Puts that a bucket of this size takes: a large one is stored in pieces. */
  private operationsFor(host: OwnedShard, bucket: Bucket, bytes: number): number {
    const { layout } = this.options;
    if (!layout.isCompact) return 1;
    // The record is made when its turn comes, and may be a little larger by then.
    const most = Math.ceil(bytes / (layout.valueBytes * VALUE_SHARE));
    return Math.max(most, this.client.operations(this.key(host, bucket), null));
  }

  /**
   * Onto the fullest bucket of its kind that is sure to hold it, or a new one. An empty bucket whose record is still
   * stored serves as well: it takes one change, where removing it and creating another takes two.
   */
  private assignBucket(host: OwnedShard, chunk: Chunk): void {
    const { layout, process } = this.options;
    const { room } = this;
    const need = maxStoredBytes(chunk, layout);
    let best: Bucket | null = null;
    let most = -1;
    for (const bucket of host.buckets.values()) {
      if (bucket.busy) continue;
      // Replicas seldom change, tasks often: apart, so that the ones are not written for the others.
      const [first] = bucket.chunks;
      if (first !== undefined && first.spec.service !== chunk.spec.service) continue;
      if (bucket === chunk.retiredFrom || bucket.holdsRetired) continue;
      const used = bucket.potential;
      if (used + need <= room && used > most) [best, most] = [bucket, used];
    }
    if (best === null) {
      best = new Bucket(`${process}-${++this.named}`, 0, layout);
      host.buckets.set(best.name, best);
    }
    best.add(chunk);
  }

  private key(host: OwnedShard, bucket: Bucket): string {
    return keys.run(host.part.label, bucket.name);
  }

  private async flush(
    host: OwnedShard,
    buckets: Bucket[],
    urgency: RequestPriority,
  ): Promise<void> {
    host.writing++;
    for (const bucket of buckets) bucket.busy = true;
    // A round of starts every so often, each with all that has come up; users have the rest.
    const pause = buckets.length / (this.client.writeRate * GATHER_SHARE);
    host.gatherUntil = Math.max(host.gatherUntil, this.clock.now()) + pause;
    try {
      await this.client.turn(buckets.length, urgency);
      const stored = buckets.flatMap((s) =>
        [...s.chunks].map((c) => ({ chunk: c, at: c.version })),
      );
      const puts: Transaction['puts'] = [];
      const removes: string[] = [];
      for (const bucket of buckets) {
        if (bucket.chunks.size > 0 || bucket.unsettled)
          puts.push({ key: this.key(host, bucket), value: bucket.record() });
        else if (bucket.stamp > 0) removes.push(this.key(host, bucket));
        bucket.stale = false;
      }
      for (const { chunk } of stored) chunk.dirtySince = null;
      const when = buckets.map((s) => ({ key: this.key(host, s), stamp: s.stamp }));
      const result = await this.write(host, { when, puts, removes }, 'granted');
      if (result.kind === 'applied') {
        this.applied(host, buckets, stored, puts, result.stamp);
        return;
      }
      for (const { chunk } of stored) chunk.dirtySince ??= this.clock.now();
      for (const bucket of buckets) {
        bucket.stale = true;
        if (result.kind === 'unknown' && bucket.stamp === 0) bucket.unsettled = true;
      }
      if (result.kind === 'conflict') await this.resolve(host, buckets);
      // Sent again at once it would be refused again, and keep others from their turn.
      else if (result.kind === 'malformed') await sleep(this.options.linger);
      else await sleep(this.options.retry);
    } catch (error) {
      log.debug(`store: ${describe(error)}`);
      await sleep(this.options.retry);
    } finally {
      for (const bucket of buckets) bucket.busy = false;
      host.writing--;
    }
  }

  private applied(
    host: OwnedShard,
    buckets: Bucket[],
    stored: { chunk: Chunk; at: number }[],
    puts: Transaction['puts'],
    stamp: number,
  ): void {
    for (const { chunk, at } of stored) {
      chunk.stored = Math.max(chunk.stored, at);
      // Written under the stamp that a move of it would have needed: that can't be applied any more.
      chunk.leaving = false;
      if (chunk.version === chunk.stored) host.part.dirty.delete(chunk);
      else chunk.dirtySince ??= this.clock.now();
    }
    for (const put of puts) this.replica.note(put.key, put.value, stamp);
    for (const bucket of buckets) {
      const key = this.key(host, bucket);
      bucket.forgetRetired();
      if (puts.some((p) => p.key === key)) bucket.stamp = stamp;
      else {
        this.replica.noteRemoved(key, stamp);
        bucket.stamp = 0;
        if (bucket.chunks.size === 0) host.buckets.delete(bucket.name);
      }
    }
    this.host.stored(
      host,
      stored.map((s) => s.chunk),
    );
  }

  /** Copies of ours that got no answer may have been applied: take what they left. */
  async resolve(host: OwnedShard, buckets: Bucket[]): Promise<void> {
    await this.host.verifyOwner(host.part.label);
    for (const bucket of buckets) {
      const item = await this.client.get(this.key(host, bucket));
      if (!host.alive) return;
      const stamp = item?.stamp ?? 0;
      if (stamp === bucket.stamp) continue;
      const record = item?.value as BucketRecord | undefined;
      for (const chunk of [...bucket.chunks]) {
        if (!chunk.leaving) continue;
        // Its move was applied after all, or never will be, since the stamp has changed.
        if (record?.chunks[chunk.id] === undefined) host.part.sendAway(chunk, this.clock.now());
        else chunk.leaving = false;
      }
      bucket.stamp = stamp;
      if (item !== null) this.replica.note(item.key, item.value, item.stamp);
      else this.replica.noteRemoved(this.key(host, bucket), Infinity);
    }
  }

  /**
   * Hands a chunk, of which nothing is on any machine, to another part, in one transaction. `extra` are
   * changes that belong to it: its home notes that it has left.
   */
  async move(
    host: OwnedShard,
    chunk: Chunk,
    to: string,
    extra: Pick<Transaction, 'when' | 'puts'>,
  ): Promise<TransactionResult> {
    const { bucket } = chunk;
    const owner = this.replica.get(keys.owner(to));
    if (bucket === null || owner === undefined || !chunk.movable) return { kind: 'refused' };
    const name = `${chunk.id.replace('/', '-')}-${chunk.moves + 1}`;
    const key = keys.run(to, name);
    bucket.busy = true;
    host.writing++;
    try {
      await this.client.turn(2 + extra.puts.length, 'later');
      if (chunk.entries.size > 0 || chunk.dropped || chunk.unwanted) return { kind: 'refused' };
      chunk.moving = true;
      const value: BucketRecord = {
        chunks: { [chunk.id]: { ...chunk.record(), moves: chunk.moves + 1 } },
      };
      const others = [...bucket.chunks]
        .filter((other) => other !== chunk)
        .map((other) => ({ chunk: other, at: other.version }));
      const { puts, removes } = this.withoutChunk(host, bucket, chunk);
      const when = [
        { key: this.key(host, bucket), stamp: bucket.stamp },
        { key: keys.owner(to), stamp: owner.stamp },
        { key, stamp: 0 },
        ...extra.when,
      ];
      const txn = { when, puts: [{ key, value }, ...puts, ...extra.puts], removes };
      const result = await this.write(host, txn, 'granted');
      if (result.kind === 'applied') {
        host.part.sendAway(chunk, this.clock.now());
        this.applied(host, [bucket], others, puts, result.stamp);
        this.replica.note(key, value, result.stamp);
      } else if (result.kind === 'conflict') await this.resolve(host, [bucket]);
      // Until its bucket is written again it may have gone, and nothing of it can be started.
      else if (result.kind === 'unknown') {
        chunk.leaving = true;
        bucket.stale = true;
      }
      return result;
    } finally {
      chunk.moving = false;
      bucket.busy = false;
      host.writing--;
    }
  }

  /** The change of a bucket that loses a chunk; one that is empty then goes, unless it may be created late. */
  private withoutChunk(
    host: OwnedShard,
    bucket: Bucket,
    chunk: Chunk,
  ): Pick<Transaction, 'puts' | 'removes'> {
    const key = this.key(host, bucket);
    if (bucket.chunks.size === 1 && !bucket.unsettled) return { puts: [], removes: [key] };
    const others = Object.entries(bucket.record().chunks).filter(([id]) => id !== chunk.id);
    const value: BucketRecord = { chunks: Object.fromEntries(others) };
    return { puts: [{ key, value }], removes: [] };
  }
}

/** Starts or the end of its job wait for it to be stored. */
const isAwaited = (chunk: Chunk): boolean =>
  hasStarts(chunk) || (chunk.complete && !chunk.cancelled);

/** Placements of it are not stored yet, and their starts wait for that. */
function hasStarts(chunk: Chunk): boolean {
  for (const entry of chunk.entries.values()) {
    if (entry.version > chunk.stored && entry.stop === null) return true;
  }
  return false;
}
