/** Builds the view of a job that users get, from its record and chunks. */
import type { JobView } from '../../protocol/job.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { ChunkRecord, FinalJobRecord, OpenJobRecord } from '../../storage/records.js';
import type { Chunk } from '../model/chunk.js';
import { chunkRanges } from '../model/chunking.js';
import { waitReason, type WaitReasonContext } from './waitReasons.js';

/** Dependencies of `openView`. */
export interface JobViewContext extends WaitReasonContext {
  readonly chunkIndex: Pick<ChunkIndex, 'find'>;
}

/** The view of a job that is done or cancelled. */
export function finalView({ state: status, taskCount }: FinalJobRecord): JobView {
  return { status, done: status === 'done' ? taskCount : 0, running: 0, reason: null };
}

/** The view of an open job; counts come from the chunks at this node and from stored records of the others. */
export function openView(context: JobViewContext, record: OpenJobRecord): JobView {
  const { spec } = record;
  const ranges = chunkRanges(spec.taskCount, record.chunkSize, record.zones);
  let done = 0;
  let running = 0;
  const localChunks: Chunk[] = [];
  for (const [index, range] of ranges.slice(0, record.createdChunks).entries()) {
    if (record.doneChunks.includes(index)) {
      done += range.endTask - range.firstTask;
      continue;
    }
    const id = `${spec.id}/${index}`;
    const local = localChunk(context, id);
    const stored = context.chunkIndex.find(id)?.record;
    if (local !== undefined) {
      done += local.doneTasks.size;
      running += local.runningCount;
      localChunks.push(local);
    } else if (stored !== undefined) {
      done += storedDoneTasks(stored);
      running += stored.attempts.length;
    }
  }
  // A job counts as done only once that is stored, even if its last tasks have terminated already.
  const isComplete = done + running >= spec.taskCount;
  const reason = isComplete ? null : waitReason(context, record, localChunks);
  return { status: running > 0 ? 'running' : 'queued', done, running, reason };
}

/** Finds a chunk at the shards of this node. */
function localChunk(context: JobViewContext, id: string): Chunk | undefined {
  for (const { shard } of context.ownedShards.values()) {
    const chunk = shard.chunks.get(id);
    if (chunk !== undefined) return chunk;
  }
  return undefined;
}

/** Number of done tasks of a stored chunk, whose record holds them as ranges: pairs of first and end index. */
function storedDoneTasks({ doneTasks }: ChunkRecord): number {
  let count = 0;
  for (let i = 0; i + 1 < doneTasks.length; i += 2) {
    count += (doneTasks[i + 1] ?? 0) - (doneTasks[i] ?? 0);
  }
  return count;
}
