/**
 * What a cancellation may be stored on: each chunk of the job has been stopped by the leader of its shard, under a leader record
 * that has not changed since (safety, C1). Only the state service can tell whether it has, so the revisions of these records
 * are conditions of the transaction.
 */
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';

/** Indices of a job's chunks that are created and not done. */
export function openChunkIndices({ createdChunks, doneChunks }: JobRecord): Set<number> {
  const open = new Set<number>();
  for (let index = 0; index < createdChunks; index++) {
    if (!doneChunks.includes(index)) open.add(index);
  }
  return open;
}

/** The proof that a job's tasks are being ended wherever they may be. */
export class CancellationEvidence {
  private constructor(
    /** Indices of the chunks that were acknowledged; null: the job has none, nor gets any but at its home. */
    private readonly chunks: ReadonlySet<number> | null,
    /** Revisions of the leader records that counted, by shard. */
    private readonly revisionByShard: ReadonlyMap<string, number>,
  ) {}

  /** Chunks that leaders have acknowledged, and the revisions of these leaders' records, by shard. */
  static acknowledged(
    chunks: ReadonlySet<number>,
    revisionByShard: ReadonlyMap<string, number>,
  ): CancellationEvidence {
    return new CancellationEvidence(chunks, revisionByShard);
  }

  /**
   * The job waits for others, and so has no chunk. Should it be released, its home creates its chunks as cancelled ones for as long
   * as its leader record is that of `revisionByShard`.
   */
  static ofBlockedJob(revisionByShard: ReadonlyMap<string, number>): CancellationEvidence {
    return new CancellationEvidence(null, revisionByShard);
  }

  /** The job needs one that is cancelled: it is never released. */
  static ofUnreleasableJob(): CancellationEvidence {
    return new CancellationEvidence(null, new Map());
  }

  /** Whether each open chunk of the record was acknowledged: others may have been created since. */
  covers(record: JobRecord): boolean {
    const { chunks } = this;
    return chunks === null || [...openChunkIndices(record)].every((index) => chunks.has(index));
  }

  /** Whether the leader records are still those that counted, as far as this copy shows. */
  isCurrent(stateCache: Pick<StateCache, 'get'>): boolean {
    return [...this.revisionByShard].every(
      ([shard, revision]) => stateCache.get(keys.leader(shard))?.revision === revision,
    );
  }

  /** The conditions under which the cancellation may be stored. */
  get conditions(): Transaction['conditions'] {
    return [...this.revisionByShard].map(([shard, revision]) => ({
      key: keys.leader(shard),
      revision,
    }));
  }
}
