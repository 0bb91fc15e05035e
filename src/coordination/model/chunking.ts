/** Splits a job into chunks. All functions are pure and give the same result on every node. */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';

/** The tasks of one chunk, and the zone that it is bound to; null for any zone. */
export interface ChunkRange {
  firstTask: number;
  endTask: number;
  zone: string | null;
}

/** Maximum number of chunks of a job that are created and not done. */
export const MAX_OPEN_CHUNKS = 4;

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
  const { spec, chunkSize: size, zones, doneChunks } = record;
  if (spec === null || zones.length < 2 || zones[0] !== zones[1]) return true;
  const firstHalfChunks = Math.ceil(Math.ceil(spec.taskCount / 2) / size);
  if (index < firstHalfChunks) return true;
  return doneChunks.filter((k) => k < firstHalfChunks).length === firstHalfChunks;
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
