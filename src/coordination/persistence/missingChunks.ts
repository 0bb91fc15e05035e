/** Chunks of a home job that its record counts as created but that are not stored: no task of them was started. */
import type { JobRecord } from '../../storage/records.js';
import { Chunk } from '../model/chunk.js';
import { chunkRanges } from '../model/chunking.js';

/**
 * Creates the chunks that the home shard does not have. `record` is the stored record, which lists all chunks that have
 * ever migrated away.
 */
export function missingChunks(
  id: string,
  record: JobRecord,
  present: { has(chunk: string): boolean },
  now: number,
): Chunk[] {
  if (record.state !== 'open') return [];
  const {
    spec,
    chunkSize: size,
    zones,
    createdChunks: cut,
    doneChunks: finished,
    migratedChunks: away,
    submittedAt: at,
    homeShard,
  } = record;
  return chunkRanges(spec.taskCount, size, zones)
    .slice(0, cut)
    .flatMap(({ firstTask: from, endTask: to, zone }, index) => {
      const isElsewhere = finished.includes(index) || away.includes(index);
      if (isElsewhere || present.has(`${id}/${index}`)) return [];
      return [new Chunk(spec, index, homeShard, at, from, to, zone, now)];
    });
}
