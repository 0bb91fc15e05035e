/** Chooses the shards of the chunks that are created with their job. */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { Chunk } from '../model/chunk.js';
import type { ChunkRange } from '../model/chunking.js';

/** Chooses the shard where tasks would start soonest. */
export interface ShardChooser {
  /** The shard for so many tasks of a job, in a zone or in any (null). */
  chooseShard(
    homeShard: OwnedShard,
    spec: JobSpec,
    zone: string | null,
    taskCount: number,
  ): Promise<string>;
}

/** A chunk that is created with its job, and the shard that it goes to. */
export interface PlacedChunk {
  readonly shard: string;
  readonly chunk: Chunk;
}

/** Creates the first chunks of a job, each for the shard that is chosen for it. */
export function placeInitialChunks(
  chooser: ShardChooser,
  homeShard: OwnedShard,
  { submittedAt }: JobRecord,
  spec: JobSpec,
  ranges: readonly ChunkRange[],
  now: number,
): Promise<PlacedChunk[]> {
  const { label } = homeShard.shard;
  // Most chunks of a job are of one size, and the same question has the same answer: it is asked once.
  const choices = new Map<string, Promise<string>>();
  const choose = (zone: string | null, taskCount: number): Promise<string> => {
    const question = `${zone ?? '*'} ${taskCount}`;
    const choice = choices.get(question) ?? chooser.chooseShard(homeShard, spec, zone, taskCount);
    choices.set(question, choice);
    return choice;
  };
  return Promise.all(
    ranges.map(async ({ firstTask, endTask, zone }, index) => {
      const shard = await choose(zone ?? spec.zone, endTask - firstTask);
      const chunk = new Chunk(spec, index, label, submittedAt, firstTask, endTask, zone, now);
      if (shard !== label) chunk.migrationCount = 1;
      return { shard, chunk };
    }),
  );
}
