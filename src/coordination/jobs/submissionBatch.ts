/**
 * Batches of submitted jobs, each stored in one transaction. The chunks that a batch assigns to a peer's shard share one
 * bucket there, so that a burst of jobs does not use up the writes that the state service allows.
 */
import { MAX_TRANSACTION_CHANGE_BYTES, type Transaction } from '../../protocol/stateProtocol.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { keys, type BucketRecord, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { maxStoredBytes } from '../model/bucket.js';
import type { JobReply } from './replies.js';
import type { PlacedChunk } from './initialPlacement.js';

/** Shares of the size limits of a transaction and of a value that a batch may use, since sizes are estimated, not measured. */
const TRANSACTION_SHARE = 0.8;
const VALUE_SHARE = 0.9;

/** A job to be stored, and the chunks that are created together with it. */
export interface Submission {
  readonly id: string;
  readonly record: JobRecord;
  readonly initialChunks: readonly PlacedChunk[];
}

/** A submission whose user waits for the answer. */
export interface QueuedSubmission extends Submission {
  readonly homeShard: OwnedShard;
  /** Monotonic time by which its user is answered. */
  readonly deadline: number;
  /** Answers its user. */
  readonly settle: (reply: JobReply) => void;
  /** It is stored by a transaction of its own, since one with other jobs was rejected as malformed. */
  isStoredAlone: boolean;
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
  /** Transfers by the keys of their buckets. */
  readonly transfers: Map<string, Transfer>;
  /** Its transaction was sent and not answered: it may have been applied, or may still be. */
  mayBeStored: boolean;
}

/** Dependencies of `SubmissionBatcher`. */
export interface SubmissionBatchContext {
  /** Identifies this run of the process; makes the names of its buckets unique. */
  readonly process: string;
  readonly shards: readonly string[];
  readonly settings: { readonly txnOps: number };
  readonly recordFormat: RecordFormat;
}

/** Forms batches of queued submissions. */
export class SubmissionBatcher {
  private transferCount = 0;

  constructor(private readonly context: SubmissionBatchContext) {}

  /** Removes the first submission and those that fit into its transaction from the queue; null if the queue is empty. */
  takeBatch(queue: QueuedSubmission[]): SubmissionBatch | null {
    const homeShard = queue[0]?.homeShard;
    if (homeShard === undefined) return null;
    const jobs: QueuedSubmission[] = [];
    const size = new BatchSize(this.context, homeShard.shard.label);
    for (let i = 0; i < queue.length; i++) {
      const next = queue[i];
      if (next?.homeShard !== homeShard) continue;
      const mustBeFirst = next.isStoredAlone || !size.add(next);
      if (mustBeFirst && jobs.length > 0) break;
      jobs.push(next);
      queue.splice(i--, 1);
      if (next.isStoredAlone) break;
    }
    const batch = { homeShard, jobs, transfers: new Map(), mayBeStored: false };
    this.assignTransfers(batch);
    return batch;
  }

  /** Puts the chunks for each peer's shard into one bucket, under a name that is used only once. */
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
 * Checks a batch against the limits of a transaction and of each transfer's record. The state service rejects a transaction
 * beyond them as malformed, and every retry as well, which would refuse all users of the batch together.
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
    // One operation is reserved for the transfer to each peer.
    this.maxOperations = Math.max(1, settings.txnOps - (shards.length - 1));
  }

  /** Adds a submission; returns false if the batch exceeds a limit with it. */
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
 * Creates the transaction that stores a batch, on the conditions that none of its jobs is stored yet and that the cached
 * leader records of all shards that receive chunks are current.
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
