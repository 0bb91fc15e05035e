/** Whether the records of a job can be stored, in whatever state the job comes to. */
import { keys, type OpenJobRecord } from '../../storage/records.js';
import { FRAGMENT_ESCAPE_RATIO, type RecordFormat } from '../../storage/recordFormat.js';
import { Chunk } from '../model/chunk.js';
import { MAX_OPEN_CHUNKS, totalChunks } from '../model/chunking.js';

/** Whether the job's own record and that of each of its chunks stay within the limits of a transaction until the job ends. */
export function isStorable(recordFormat: RecordFormat, record: OpenJobRecord): boolean {
  // The leader's record may be written in the same transaction.
  const limit = recordFormat.maxRecordBytes(1);
  return maxJobBytes(recordFormat, record) <= limit && maxChunkBytes(recordFormat, record) <= limit;
}

/**
 * Bytes of the job's record with the longest lists of done and of migrated chunks: only a few chunks are open at a time, so that the
 * lists consist of a few ranges.
 */
function maxJobBytes(recordFormat: RecordFormat, record: OpenJobRecord): number {
  const numberBytes = String(totalChunks(record)).length + ','.length;
  const listBytes = 2 * (MAX_OPEN_CHUNKS + 1) * numberBytes;
  return recordFormat.storedBytes(keys.job(record.spec.id), record) + 2 * listBytes;
}

/** Bytes of a bucket with nothing but the job's largest chunk, all of whose tasks have attempts. */
function maxChunkBytes(recordFormat: RecordFormat, record: OpenJobRecord): number {
  const { spec, homeShard, submittedAt, chunkSize, zones } = record;
  const size = Math.min(spec.taskCount, chunkSize);
  const chunk = new Chunk(spec, 0, homeShard, submittedAt, 0, size, zones[0] ?? null, 0);
  const bucket = { chunks: { [chunk.id]: chunk.toRecord() } };
  const key = keys.bucket(homeShard, chunk.id);
  const attemptBytes = recordFormat.sizes.taskBytes * size;
  const isFragmented =
    recordFormat.encodedBytes(key, bucket) + attemptBytes > recordFormat.valueBytes;
  const escapeRatio = isFragmented ? FRAGMENT_ESCAPE_RATIO : 1;
  return recordFormat.storedBytes(key, bucket) + attemptBytes * escapeRatio;
}
