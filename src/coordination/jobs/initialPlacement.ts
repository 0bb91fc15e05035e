/** Chooses the shards of the chunks that are created together with their job. */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { Chunk } from '../model/chunk.js';
import type { ChunkRange } from '../model/chunking.js';

/** Chooses the shard at which tasks would start soonest. */
export interface ShardChooser {
  /** Returns the shard for `taskCount` tasks of a job; `zone`: null allows any zone. */
  chooseShard(
    homeShard: OwnedShard,
    spec: JobSpec,
    zone: string | null,
    taskCount: number,
  ): Promise<string>;
}

/** A chunk that is created together with its job, and the shard that it is assigned to. */
export interface PlacedChunk {
  readonly shard: string;
  readonly chunk: Chunk;
}

/** Creates the first chunks of a job and assigns each to the shard that the chooser returns for it. */
export function placeInitialChunks(
  chooser: ShardChooser,
  homeShard: OwnedShard,
  { submittedAt }: JobRecord,
  spec: JobSpec,
  ranges: readonly ChunkRange[],
  now: number,
): Promise<PlacedChunk[]> {
  const { label } = homeShard.shard;
  // Most chunks of a job have the same size, so the chooser is asked once for each zone and size.
  const choices = new Map<string, Promise<string>>();
  const choose = (zone: string | null, taskCount: number): Promise<string> => {
    const choiceKey = `${zone ?? '*'} ${taskCount}`;
    const choice = choices.get(choiceKey) ?? chooser.chooseShard(homeShard, spec, zone, taskCount);
    choices.set(choiceKey, choice);
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
