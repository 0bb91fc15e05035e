/** Whether the records of a job can be stored, in whatever state the job comes to, and how large its chunks may be for that. */
import type { JobSpec } from '../../protocol/job.js';
import { keys, type OpenJobRecord } from '../../storage/records.js';
import { FRAGMENT_ESCAPE_RATIO, type RecordFormat } from '../../storage/recordFormat.js';
import { Chunk } from '../model/chunk.js';
import { MAX_OPEN_ARRAY_CHUNKS, MAX_SERVICE_CHUNKS, totalChunks } from '../model/chunking.js';

/**
 * Maximum bytes of the copies of a service's description, one of which is in the record of each of its chunks: all of these
 * records exist for as long as the service, and each controller has them in memory.
 */
const MAX_SERVICE_DESCRIPTION_BYTES = 4 * 1024 * 1024;

/**
 * Maximum number of tasks of one chunk of the job, by the size of the chunk's record. It fits into one value, but for a service
 * that would have too many chunks: their records are stored in fragments.
 */
export function maxTasksPerChunk(recordFormat: RecordFormat, spec: JobSpec): number {
  const maxTasks = recordFormat.maxTasksPerChunk(spec);
  if (!spec.isService) return maxTasks;
  const chunksPerHalf = MAX_SERVICE_CHUNKS / 2;
  const neededTasks = Math.ceil(Math.ceil(spec.taskCount / 2) / chunksPerHalf);
  const maxFragmentedTasks = recordFormat.maxTasksPerFragmentedChunk(spec);
  return Math.max(maxTasks, Math.min(neededTasks, maxFragmentedTasks));
}

/** Whether the job's own record and those of its chunks stay within all limits until the job ends. */
export function isStorable(recordFormat: RecordFormat, record: OpenJobRecord): boolean {
  // The leader's record may be written in the same transaction.
  const limit = recordFormat.maxRecordBytes(1);
  return (
    maxJobBytes(recordFormat, record) <= limit &&
    maxChunkBytes(recordFormat, record) <= limit &&
    mayHaveAllChunks(recordFormat, record)
  );
}

/** Whether all chunks of a service can exist at the same time; those of an array never do if they are many. */
function mayHaveAllChunks(recordFormat: RecordFormat, record: OpenJobRecord): boolean {
  const { spec } = record;
  if (!spec.isService) return true;
  const chunks = totalChunks(record);
  const descriptionBytes = chunks * recordFormat.specBytes(spec);
  return chunks <= MAX_SERVICE_CHUNKS && descriptionBytes <= MAX_SERVICE_DESCRIPTION_BYTES;
}

/**
 * Bytes of the job's record with the longest lists of done and of migrated chunks. A list holds ranges, each of two numbers, and
 * is longest if every other chunk of the job is in it, or if all open chunks of an array are apart. No task of a service is ever done.
 */
function maxJobBytes(recordFormat: RecordFormat, record: OpenJobRecord): number {
  const { spec } = record;
  const chunks = totalChunks(record);
  const numberBytes = String(chunks).length + ','.length;
  const openRanges = spec.isService ? chunks : MAX_OPEN_ARRAY_CHUNKS;
  const listNumbers = Math.min(2 * (openRanges + 1), chunks + 1);
  const lists = spec.isService ? 1 : 2;
  const listBytes = lists * listNumbers * numberBytes;
  return recordFormat.storedBytes(keys.job(spec.id), record) + listBytes;
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
