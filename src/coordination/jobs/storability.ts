/** Whether the records of a job can be stored, in whatever state the job comes to. */
import { keys, type OpenJobRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { Chunk } from '../model/chunk.js';
import { totalChunks } from '../model/chunking.js';

/** Factor for the quotes of attempts in a record that is stored in fragments, where they are escaped. */
const ESCAPE_FACTOR = 1.2;

/** Whether the job's own record and that of each of its chunks stay within the limits of a transaction until the job ends. */
export function isStorable(recordFormat: RecordFormat, record: OpenJobRecord): boolean {
  // The leader's record may be written in the same transaction.
  const limit = recordFormat.maxRecordBytes(1);
  return maxJobBytes(recordFormat, record) <= limit && maxChunkBytes(recordFormat, record) <= limit;
}

/** Bytes of the job's record once each of its chunks is listed as done and as migrated. */
function maxJobBytes(recordFormat: RecordFormat, record: OpenJobRecord): number {
  const chunks = totalChunks(record);
  const numberBytes = String(chunks).length + ','.length;
  return recordFormat.storedBytes(keys.job(record.spec.id), record) + 2 * chunks * numberBytes;
}

/** Bytes of a bucket with nothing but the job's largest chunk, all of whose tasks have attempts. */
function maxChunkBytes(recordFormat: RecordFormat, record: OpenJobRecord): number {
  const { spec, homeShard, submittedAt, chunkSize, zones } = record;
  const size = Math.min(spec.taskCount, chunkSize);
  const chunk = new Chunk(spec, 0, homeShard, submittedAt, 0, size, zones[0] ?? null, 0);
  const bucket = { chunks: { [chunk.id]: chunk.toRecord() } };
  const key = keys.bucket(homeShard, chunk.id);
  const taskBytes = recordFormat.sizes.taskBytes * size * ESCAPE_FACTOR;
  return recordFormat.storedBytes(key, bucket) + taskBytes;
}
