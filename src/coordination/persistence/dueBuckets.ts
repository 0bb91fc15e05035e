/** Selects the buckets of a shard whose records should be written now. */
import type { RequestPriority } from '../../storage/rateLimiter.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { bucketOf, type Bucket } from '../model/bucket.js';
import type { Chunk } from '../model/chunk.js';

/** The demand for writes, on which it depends how long others may wait. */
export interface WritePressure {
  /** Requests queue for the state service, or the write rate is scarce. */
  readonly isBusy: boolean;
  /** Seconds for which changes that nobody waits for are batched. */
  readonly maxDelay: number;
}

/**
 * The buckets that are due, with the priority of each. Changes that nobody waits for are delayed, which avoids repeated writes of a
 * chunk whose tasks end one by one.
 */
export function dueBuckets(
  ownedShard: OwnedShard,
  now: number,
  { isBusy, maxDelay }: WritePressure,
): Map<Bucket, RequestPriority> {
  const due = new Map<Bucket, RequestPriority>();
  for (const chunk of ownedShard.shard.unsavedChunks) {
    const bucket = bucketOf(chunk);
    if (bucket === null || !isWritable(bucket, now) || due.get(bucket) === 'urgent') continue;
    const priority = priorityOf(chunk, now < ownedShard.batchStartsDeferredUntil);
    if (priority === 'urgent' || isOverdue(chunk, now, maxDelay)) due.set(bucket, priority);
  }
  if (!isBusy) addUntidyBuckets(due, ownedShard, now);
  return due;
}

function addUntidyBuckets(
  due: Map<Bucket, RequestPriority>,
  { buckets }: OwnedShard,
  now: number,
): void {
  for (const bucket of buckets.values()) {
    if (bucket.isDirty && bucket.mustBeTidied && isWritable(bucket, now)) due.set(bucket, 'later');
  }
}

const priorityOf = (chunk: Chunk, areBatchStartsDeferred: boolean): RequestPriority => {
  const mayStart = chunk.spec.isService || !areBatchStartsDeferred;
  return mayStart && isWriteUrgent(chunk) ? 'urgent' : 'later';
};

const isWritable = (bucket: Bucket, now: number): boolean =>
  !bucket.isWriteInFlight && now >= bucket.notWrittenBefore;

const isOverdue = ({ dirtySince }: Chunk, now: number, maxDelay: number): boolean =>
  dirtySince !== null && now - dirtySince >= maxDelay;

/** Whether starts, or the completion of the chunk in its job, wait until the chunk is stored. */
const isWriteUrgent = (chunk: Chunk): boolean =>
  hasUnstoredStarts(chunk) || (chunk.isComplete && !chunk.isCancelled);

/** Whether the chunk has placements that are not stored yet; their starts wait for that. */
function hasUnstoredStarts(chunk: Chunk): boolean {
  for (const attempt of chunk.attempts.values()) {
    if (attempt.chunkVersion > chunk.storedVersion && attempt.stop === null) return true;
  }
  return false;
}
