/** Splits a job into chunks. All functions are pure and give the same result on every node. */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord, OpenJobRecord } from '../../storage/records.js';

/** The tasks of one chunk, and the zone that it is bound to; null for any zone. */
export interface ChunkRange {
  firstTask: number;
  endTask: number;
  zone: string | null;
}

/** Maximum number of chunks of an array that are created and of which no task has been started. */
export const MAX_UNSTARTED_CHUNKS = 4;

/** Maximum number of chunks of an array that are created and not done. It bounds the lists of chunks in the job's record. */
export const MAX_OPEN_ARRAY_CHUNKS = 128;

/** Maximum number of chunks of a service: all of them stay open, and each needs a record of its own. */
export const MAX_SERVICE_CHUNKS = 1024;

/** Maximum number of a service's chunks that are created and not stored yet. */
const MAX_UNSTORED_CHUNKS = 16;

/** What has become of a created chunk. `unstored`: it is only in memory; `unstarted`: none of its tasks has an attempt. */
export type ChunkProgress = 'unstored' | 'unstarted' | 'started' | 'done';

/**
 * The ranges of all chunks of a job, by chunk index. A spread job is split into two halves that are bound to different zones,
 * so that at most half of its tasks, rounded up, can ever be in one zone, whichever shards run them and whichever machines are
 * unreachable. All chunks of a job that must share a zone are bound to the same zone.
 */
export function chunkRanges(tasks: number, size: number, zones: string[]): ChunkRange[] {
  const half = zones.length > 1 ? Math.ceil(tasks / 2) : tasks;
  const ranges: ChunkRange[] = [];
  for (const [start, end, zone] of [
    [0, half, zones[0] ?? null],
    [half, tasks, zones[1] ?? null],
  ] as const) {
    for (let firstTask = start; firstTask < end; firstTask += size) {
      ranges.push({ firstTask, endTask: Math.min(end, firstTask + size), zone });
    }
  }
  return ranges;
}

/** Number of ranges that `chunkRanges` returns, without creating them: each review calls this for every job. */
export function totalChunks({ spec, chunkSize: size, zones }: JobRecord): number {
  if (spec === null) return 0;
  const half = zones.length > 1 ? Math.ceil(spec.taskCount / 2) : spec.taskCount;
  return Math.ceil(half / size) + Math.ceil((spec.taskCount - half) / size);
}

/**
 * Whether a chunk may be created now. If only one zone can run a spread job, its second half waits until the first half has
 * finished: before that, more than half of the job's tasks could be in that zone.
 */
export function mayCreateChunk(record: JobRecord, index: number): boolean {
  const { spec, zones, doneChunks } = record;
  if (spec === null || zones.length < 2 || zones[0] !== zones[1]) return true;
  const firstHalf = firstHalfChunks(record);
  if (index < firstHalf) return true;
  return doneChunks.filter((k) => k < firstHalf).length === firstHalf;
}

/** Number of chunks that the first half of a spread job is split into; those of any other job are all in its first half. */
function firstHalfChunks({ taskCount, chunkSize: size, zones }: JobRecord): number {
  const firstHalfTasks = zones.length > 1 ? Math.ceil(taskCount / 2) : taskCount;
  return Math.ceil(firstHalfTasks / size);
}

/**
 * Number of further chunks of a job that should be created now. Every limit here is on something that comes to an end without
 * the end of a task, or is certain to be below the limit: replicas of a service run for as long as the service does, and the
 * tasks of an array may run for long beside idle machines.
 */
export function creatableChunks(
  record: OpenJobRecord,
  progressOf: (index: number) => ChunkProgress,
): number {
  const remaining = totalChunks(record) - record.createdChunks;
  if (remaining <= 0 || !mayCreateChunk(record, record.createdChunks)) return 0;
  return record.spec.isService
    ? creatableServiceChunks(record, remaining, progressOf)
    : creatableArrayChunks(record, progressOf);
}

/** All chunks of a service are created at once, as fast as they can be stored: machines are demanded for created chunks only. */
function creatableServiceChunks(
  record: OpenJobRecord,
  remaining: number,
  progressOf: (index: number) => ChunkProgress,
): number {
  const firstHalf = firstHalfChunks(record);
  const isInFirstHalf = record.createdChunks < firstHalf;
  const allowed =
    isInFirstHalf && !mayCreateChunk(record, firstHalf)
      ? firstHalf - record.createdChunks
      : remaining;
  const unstored = countChunks(
    0,
    record.createdChunks,
    (index) => progressOf(index) === 'unstored',
  );
  return Math.max(0, Math.min(allowed, MAX_UNSTORED_CHUNKS - unstored));
}

/** The chunks of an array are created one by one, as the tasks of earlier ones start, so that no shard holds more than it can run. */
function creatableArrayChunks(
  record: OpenJobRecord,
  progressOf: (index: number) => ChunkProgress,
): number {
  const { createdChunks, doneChunks, zones } = record;
  if (createdChunks - doneChunks.length >= MAX_OPEN_ARRAY_CHUNKS) return 0;
  const firstHalf = firstHalfChunks(record);
  // The second half is bound to another zone, which may have room while the first half waits.
  const isSpread = zones.length > 1 && zones[0] !== zones[1];
  if (isSpread && createdChunks < firstHalf) return 1;
  const isUnstarted = (index: number): boolean => {
    const progress = progressOf(index);
    return progress === 'unstarted' || progress === 'unstored';
  };
  const start = isSpread ? firstHalf : 0;
  return countChunks(start, createdChunks, isUnstarted) < MAX_UNSTARTED_CHUNKS ? 1 : 0;
}

/** Number of chunk indices in a half-open range for which `test` holds. */
function countChunks(start: number, end: number, test: (index: number) => boolean): number {
  let count = 0;
  for (let index = start; index < end; index++) if (test(index)) count++;
  return count;
}

/** Zones that a job is bound to, of `zonesByRoom` in order of available room; empty if any zone is allowed. */
export function zonesFor(spec: JobSpec, zonesByRoom: string[]): string[] {
  if (spec.isGang && !spec.sameZone && !spec.spreadZones) return [];
  const allowed = spec.zone === null ? zonesByRoom : zonesByRoom.filter((z) => z === spec.zone);
  const first = allowed[0];
  if (first === undefined) return [];
  // A job with both constraints has both halves bound to one zone, so only half of its tasks are there at a time.
  if (spec.spreadZones) return [first, spec.sameZone ? first : (allowed[1] ?? first)];
  if (spec.sameZone) return [first];
  return [];
}

/**
 * Number of tasks per chunk: as many as a shard of this size can run at once, within the limits of a record's size. Each chunk
 * needs writes to the state service, so a job has at most two chunks per shard. A shard that has no machines yet gets the whole
 * job, and machines are launched for it.
 */
export function chunkSize(
  spec: JobSpec,
  shardCpus: number,
  /** Maximum number of tasks whose attempts fit into a record. */
  maxTasks: number,
  shards: number,
): number {
  // A gang starts as a whole, so one shard must hold all of it.
  if (spec.isGang) return spec.taskCount;
  const concurrentTasks = shardCpus > 0 ? Math.floor(shardCpus / spec.cpus) : spec.taskCount;
  const minSize = Math.max(8, Math.ceil(spec.taskCount / (2 * shards)));
  const maxSize = Math.max(8, maxTasks);
  return Math.max(1, Math.min(Math.max(concurrentTasks, minSize), maxSize));
}
