/**
 * Batches of submitted jobs that are stored in one transaction. The chunks that a batch sends to one peer share a
 * bucket there, so that a burst of jobs does not use up the changes that the state service allows.
 */
import { MAX_TRANSACTION_CHANGE_BYTES, type Transaction } from '../../protocol/stateProtocol.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { keys, type BucketRecord, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { maxStoredBytes } from '../model/bucket.js';
import type { JobReply } from './replies.js';
import type { PlacedChunk } from './initialPlacement.js';

/** Of the limits of a transaction and of a value, what a batch may use: sizes are worked out, not measured. */
const TRANSACTION_SHARE = 0.8;
const VALUE_SHARE = 0.9;

/** A job to be stored, with the chunks that are created with it. */
export interface Submission {
  readonly id: string;
  readonly record: JobRecord;
  readonly initialChunks: readonly PlacedChunk[];
}

/** A submission whose user waits for the answer. */
export interface QueuedSubmission extends Submission {
  readonly homeShard: OwnedShard;
  /** Steady time at which its user is answered at the latest. */
  readonly deadline: number;
  /** Answers its user. */
  readonly settle: (reply: JobReply) => void;
}

/** A bucket of chunks that a batch creates at a peer's shard. */
export interface Transfer {
  readonly shard: string;
  readonly value: BucketRecord;
}

/** Jobs of one home shard that are stored in one transaction. */
export interface SubmissionBatch {
  readonly homeShard: OwnedShard;
  jobs: QueuedSubmission[];
  /** By the keys of their buckets. */
  readonly transfers: Map<string, Transfer>;
  /** A copy of its transaction got no answer: it may have been applied, or may still be. */
  mayBeStored: boolean;
}

/** What making batches needs of a node. */
export interface SubmissionBatchContext {
  /** Tells the names of this process's buckets from all others. */
  readonly process: string;
  readonly shards: readonly string[];
  readonly settings: { readonly txnOps: number };
  readonly recordFormat: RecordFormat;
}

/** Makes batches of what is queued. */
export class SubmissionBatcher {
  private transferCount = 0;

  constructor(private readonly context: SubmissionBatchContext) {}

  /** Takes the first of the queue, and the others that fit into its transaction. Null when nothing is queued. */
  takeBatch(queue: QueuedSubmission[]): SubmissionBatch | null {
    const homeShard = queue[0]?.homeShard;
    if (homeShard === undefined) return null;
    const jobs: QueuedSubmission[] = [];
    const size = new BatchSize(this.context, homeShard.shard.label);
    for (let i = 0; i < queue.length; i++) {
      const next = queue[i];
      if (next?.homeShard !== homeShard) continue;
      if (!size.add(next) && jobs.length > 0) break;
      jobs.push(next);
      queue.splice(i--, 1);
    }
    const batch = { homeShard, jobs, transfers: new Map(), mayBeStored: false };
    this.assignTransfers(batch);
    return batch;
  }

  /** Puts the chunks that go to each peer into one bucket, under a name that is used once. */
  assignTransfers(batch: SubmissionBatch): void {
    batch.transfers.clear();
    const bucketsByShard = new Map<string, BucketRecord>();
    for (const { initialChunks } of batch.jobs) {
      for (const { shard, chunk } of initialChunks) {
        if (shard === batch.homeShard.shard.label) continue;
        const bucket = bucketsByShard.get(shard) ?? { chunks: {} };
        bucketsByShard.set(shard, bucket);
        bucket.chunks[chunk.id] = chunk.toRecord();
      }
    }
    for (const [shard, value] of bucketsByShard) {
      const name = `${this.context.process}-a${++this.transferCount}`;
      batch.transfers.set(keys.bucket(shard, name), { shard, value });
    }
  }
}

/**
 * What a batch takes of the limits of a transaction and of each transfer's record. Beyond them the state
 * service calls it malformed, and all of its users would be turned away together, again and again.
 */
class BatchSize {
  private totalBytes = 0;
  private operations = 0;
  private readonly transferBytes = new Map<string, number>();
  private readonly maxOperations: number;

  constructor(
    private readonly context: SubmissionBatchContext,
    private readonly homeShard: string,
  ) {
    const { settings, shards } = context;
    // One operation is kept for the transfer to each peer.
    this.maxOperations = Math.max(1, settings.txnOps - (shards.length - 1));
  }

  /** Counts one more submission; false when the batch is beyond a limit with it. */
  add({ id, record, initialChunks }: Submission): boolean {
    const { recordFormat } = this.context;
    this.totalBytes += recordFormat.encodedBytes(keys.job(id), record);
    this.operations += recordFormat.operations(keys.job(id), record);
    let fits = this.operations <= this.maxOperations;
    for (const { shard, chunk } of initialChunks) {
      if (shard === this.homeShard) continue;
      const bytes = maxStoredBytes(chunk, recordFormat);
      const transferBytes = (this.transferBytes.get(shard) ?? 0) + bytes;
      this.transferBytes.set(shard, transferBytes);
      this.totalBytes += bytes;
      fits &&= transferBytes <= recordFormat.valueBytes * VALUE_SHARE;
    }
    return fits && this.totalBytes <= MAX_TRANSACTION_CHANGE_BYTES * TRANSACTION_SHARE;
  }
}

/**
 * The transaction that stores a batch: on condition that none of its jobs is known, and that the shards which get
 * chunks are led by the nodes known here.
 */
export function batchTransaction(
  { jobs, transfers }: SubmissionBatch,
  stateCache: Pick<StateCache, 'get'>,
): Transaction {
  const conditions: Transaction['conditions'] = jobs.map(({ id }) => ({
    key: keys.job(id),
    revision: 0,
  }));
  for (const shard of new Set([...transfers.values()].map((transfer) => transfer.shard))) {
    const key = keys.leader(shard);
    conditions.push({ key, revision: stateCache.get(key)?.revision ?? 0 });
  }
  for (const key of transfers.keys()) conditions.push({ key, revision: 0 });
  const jobPuts: Transaction['puts'] = jobs.map(({ id, record }) => ({
    key: keys.job(id),
    value: record,
  }));
  const transferPuts = [...transfers].map(([key, { value }]) => ({ key, value }));
  return { conditions, puts: [...jobPuts, ...transferPuts], deletes: [] };
}
