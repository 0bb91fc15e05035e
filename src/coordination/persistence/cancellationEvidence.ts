/**
 * Evidence that permits a cancellation to be stored: the leader of each chunk's shard has stopped the chunk, under a leader
 * record that has not changed since (safety, C1). Only the state service knows whether a record has changed, so the
 * revisions of these records are conditions of the transaction.
 */
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';

/** Returns the indices of a job's chunks that are created and not done. */
export function openChunkIndices({ createdChunks, doneChunks }: JobRecord): Set<number> {
  const open = new Set<number>();
  for (let index = 0; index < createdChunks; index++) {
    if (!doneChunks.includes(index)) open.add(index);
  }
  return open;
}

/** Proof that all tasks of a job are being stopped, on whichever shards they are. */
export class CancellationEvidence {
  private constructor(
    /** Indices of the acknowledged chunks; null if the job has no chunks and can get some only at its home shard. */
    private readonly chunks: ReadonlySet<number> | null,
    /** Revisions of the leader records that the evidence relies on, by shard. */
    private readonly revisionByShard: ReadonlyMap<string, number>,
  ) {}

  /** Evidence from the chunks that leaders have acknowledged and the revisions of those leaders' records, by shard. */
  static acknowledged(
    chunks: ReadonlySet<number>,
    revisionByShard: ReadonlyMap<string, number>,
  ): CancellationEvidence {
    return new CancellationEvidence(chunks, revisionByShard);
  }

  /**
   * Evidence for a job that waits for its dependencies and so has no chunks. If the job is released, its home shard
   * creates the chunks as cancelled ones, as long as that shard's leader record has the revision in `revisionByShard`.
   */
  static ofBlockedJob(revisionByShard: ReadonlyMap<string, number>): CancellationEvidence {
    return new CancellationEvidence(null, revisionByShard);
  }

  /** Evidence for a job that depends on a cancelled one: it is never released. */
  static ofUnreleasableJob(): CancellationEvidence {
    return new CancellationEvidence(null, new Map());
  }

  /** Whether every open chunk of the record was acknowledged; chunks may have been created since the evidence was collected. */
  covers(record: JobRecord): boolean {
    const { chunks } = this;
    return chunks === null || [...openChunkIndices(record)].every((index) => chunks.has(index));
  }

  /** Whether the leader records still have the revisions of the evidence, as far as the cache shows. */
  isCurrent(stateCache: Pick<StateCache, 'get'>): boolean {
    return [...this.revisionByShard].every(
      ([shard, revision]) => stateCache.get(keys.leader(shard))?.revision === revision,
    );
  }

  /** Conditions of the transaction that stores the cancellation. */
  get conditions(): Transaction['conditions'] {
    return [...this.revisionByShard].map(([shard, revision]) => ({
      key: keys.leader(shard),
      revision,
    }));
  }
}
