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
    chunkSize,
    zones,
    createdChunks,
    doneChunks,
    migratedChunks,
    submittedAt,
    homeShard,
  } = record;
  return chunkRanges(spec.taskCount, chunkSize, zones)
    .slice(0, createdChunks)
    .flatMap(({ firstTask, endTask, zone }, index) => {
      const isDoneOrMigrated = doneChunks.includes(index) || migratedChunks.includes(index);
      if (isDoneOrMigrated || present.has(`${id}/${index}`)) return [];
      return [new Chunk(spec, index, homeShard, submittedAt, firstTask, endTask, zone, now)];
    });
}
