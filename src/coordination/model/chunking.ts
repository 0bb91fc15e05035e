/** How a job is cut into chunks: pure, and the same on every node. */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';

/** The tasks of one chunk, and the zone that it is held to. */
export interface ChunkRange {
  firstTask: number;
  endTask: number;
  zone: string | null;
}

/**
 * Chunk K of a job. A spread job is cut into two halves that are held to different zones, so that at
 * most half of its tasks, rounded up, can ever be in one zone, whoever runs them and whatever is
 * still unreachable. A job that must share a zone has the same zone for all chunks.
 */
export function chunkRanges(tasks: number, size: number, zones: string[]): ChunkRange[] {
  const half = zones.length > 1 ? Math.ceil(tasks / 2) : tasks;
  const ranges: ChunkRange[] = [];
  for (const [start, end, zone] of [
    [0, half, zones[0] ?? null],
    [half, tasks, zones[1] ?? null],
  ] as const) {
    for (let from = start; from < end; from += size) {
      ranges.push({ firstTask: from, endTask: Math.min(end, from + size), zone });
    }
  }
  return ranges;
}

/** How many ranges `chunkRanges` gives, without making them: it is asked of every job in each review. */
export function totalChunks({ spec, chunkSize: size, zones }: JobRecord): number {
  if (spec === null) return 0;
  const half = zones.length > 1 ? Math.ceil(spec.taskCount / 2) : spec.taskCount;
  return Math.ceil(half / size) + Math.ceil((spec.taskCount - half) / size);
}

/**
 * Where only one zone can run a spread job, its second half waits until all of the first is over:
 * until then a task of it would be one too many in that zone.
 */
export function mayCreateChunk(record: JobRecord, index: number): boolean {
  const { spec, chunkSize: size, zones, doneChunks: finished } = record;
  if (spec === null || zones.length < 2 || zones[0] !== zones[1]) return true;
  const firstHalf = Math.ceil(Math.ceil(spec.taskCount / 2) / size);
  if (index < firstHalf) return true;
  return finished.filter((k) => k < firstHalf).length === firstHalf;
}

/** Zones that a job is held to from the start; empty when any will do. */
export function zonesFor(spec: JobSpec, byRoom: string[]): string[] {
  if (spec.isGang && !spec.sameZone && !spec.spreadZones) return [];
  const allowed = spec.zone === null ? byRoom : byRoom.filter((z) => z === spec.zone);
  const first = allowed[0];
  if (first === undefined) return [];
  // Sharing one zone and being spread over several leaves half of the tasks, in one zone.
  if (spec.spreadZones) return [first, spec.sameZone ? first : (allowed[1] ?? first)];
  if (spec.sameZone) return [first];
  return [];
}

/**
 * Tasks a chunk: what a part of this size can run at once, within bounds of a record's size. Each chunk
 * costs changes at the state service, so a job has no more chunks than two for each shard, and a shard
 * that has no machines yet gets it whole: they are rented for it.
 */
export function chunkSize(
  spec: JobSpec,
  partCpus: number,
  /** The most tasks whose entries a record holds. */
  mostTasks: number,
  shards: number,
): number {
  // A gang starts whole, so one shard must hold it whole.
  if (spec.isGang) return spec.taskCount;
  const fits = partCpus > 0 ? Math.floor(partCpus / spec.cpus) : spec.taskCount;
  const least = Math.max(8, Math.ceil(spec.taskCount / (2 * shards)));
  const most = Math.max(8, mostTasks);
  return Math.max(1, Math.min(Math.max(fits, least), most));
}
