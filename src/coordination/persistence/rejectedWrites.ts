/**
 * Buckets whose write the state service rejects as malformed, as it does beyond its limits. A write that is repeated as it is would
 * be rejected for ever and hold up others, so the buckets are written apart, then their chunks, and a single chunk that can't be
 * stored is set aside.
 */
import type { Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Bucket } from '../model/bucket.js';
import type { Chunk } from '../model/chunk.js';
import { AttemptTermination } from '../reconciliation/attemptTermination.js';
import type { Shard } from '../shard/shard.js';

/** Divides rejected writes until each can be stored or is set aside. */
export class RejectedWrites {
  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    /** Seconds after which a chunk that was set aside is tried again. */
    private readonly retryDelay: number,
  ) {}

  /** Handles a rejected transaction with these buckets; none of them was changed by it. */
  handle({ shard }: OwnedShard, buckets: readonly Bucket[]): void {
    const [bucket] = buckets;
    if (bucket === undefined) return;
    if (buckets.length > 1) {
      for (const each of buckets) each.isWrittenAlone = true;
      return;
    }
    const chunks = [...bucket.chunks];
    const [chunk] = chunks;
    if (chunks.length > 1) this.separate(shard, bucket, chunks);
    else if (chunk !== undefined) this.setAside(shard, bucket, chunk);
    else bucket.notWrittenBefore = this.clock.now() + this.retryDelay;
  }

  /** Gives each chunk a bucket of its own. */
  private separate(shard: Shard, bucket: Bucket, chunks: readonly Chunk[]): void {
    for (const chunk of chunks) {
      shard.noteChunkChanged(chunk, this.clock.now());
      chunk.needsOwnBucket = true;
      bucket.retire(chunk);
    }
  }

  /** Sets a chunk aside for a while: its tasks can't start before it is stored, and must not take room until then. */
  private setAside(shard: Shard, bucket: Bucket, chunk: Chunk): void {
    const now = this.clock.now();
    bucket.notWrittenBefore = now + this.retryDelay;
    chunk.retryNotBefore = Math.max(chunk.retryNotBefore, bucket.notWrittenBefore);
    chunk.isUnstorable = true;
    for (const attempt of [...chunk.attempts.values()]) {
      const machine = shard.machines.get(attempt.machine);
      if (chunk.isDurable(attempt) || machine === undefined) continue;
      const termination = AttemptTermination.byStartNeverSent(machine, attempt, now);
      if (termination !== null)
        shard.terminateAttempt(machine, { chunk, attempt }, termination, now);
    }
    log.error(
      `shard ${shard.label}: the state service rejects chunk ${chunk.id} as malformed; ` +
        `it is set aside for ${this.retryDelay} s`,
    );
  }
}
