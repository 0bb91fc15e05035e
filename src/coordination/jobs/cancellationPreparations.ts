/**
 * Before a cancellation is stored, all nodes are told of it, and each that has chunks of the job ends them and
 * starts nothing more. The record alone would not do: a node that the state service refuses can't read it, goes
 * on answering its workers, and would keep cancelled tasks alive for longer than they may be (safety, C1).
 */
import { DRIFT, type Clock } from '../../base/clock.js';
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import { keys, type JobRecord, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { Chunk } from '../model/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

/** What is needed of a node. */
export interface CancellationContext {
  settings: Pick<Settings, 'heartbeatInterval' | 'workerLease' | 'cancellationTimeout'>;
  clock: Pick<Clock, 'now'>;
  ownedShards: ReadonlyMap<string, OwnedShard>;
  stateCache: Pick<StateCache, 'get' | 'syncedAt'>;
  peers: Pick<PeerRegistry, 'prepareCancel'>;
  /** The job waits for others: nothing of it was started, nor is there any chunk of it. */
  isBlockedOnDependencies(job: string): boolean;
  requestSchedulingRound(): void;
}

/** Seconds in which a cancellation that was announced is stored or given up: its user waits no longer. */
const STORED_WITHIN = 5;

export class CancellationPreparations {
  /** Jobs whose cancellation was announced, and when. */
  private readonly jobs = new Map<string, number>();

  constructor(private readonly node: CancellationContext) {}

  has(id: string): boolean {
    return this.jobs.has(id);
  }

  /** A chunk that has just come here. */
  apply(ownedShard: OwnedShard, chunk: Chunk): void {
    if (this.has(chunk.spec.id)) ownedShard.shard.prepareCancel(chunk, this.node.clock.now());
  }

  /** Gives the chunks of a job that are here, end them, and can't be kept alive by anybody else. */
  prepare(id: string): PreparedChunk[] {
    const now = this.node.clock.now();
    this.jobs.set(id, now);
    const here: PreparedChunk[] = [];
    for (const ownedShard of this.node.ownedShards.values()) {
      for (const chunk of ownedShard.shard.chunksOf(id)) {
        ownedShard.shard.prepareCancel(chunk, now);
        // It may be at the part that it is on its way to.
        if (chunk.isMigrating || chunk.mayHaveMigrated) continue;
        if (!this.isOurs(ownedShard, chunk, now)) continue;
        here.push({
          index: chunk.index,
          shard: ownedShard.shard.label,
          fencingToken: ownedShard.fencingToken,
        });
      }
    }
    this.node.requestSchedulingRound();
    return here;
  }

  /** No earlier owner of the part answers the workers of its tasks for longer than a cancellation leaves. */
  private isOurs(ownedShard: OwnedShard, chunk: Chunk, now: number): boolean {
    const { cancellationTimeout: cancel, workerLease, heartbeatInterval } = this.node.settings;
    const allowance = Math.max(0, cancel - workerLease * (1 + 2 * DRIFT) - heartbeatInterval);
    if (now >= ownedShard.previousLeaderUntil - allowance) return true;
    for (const attempt of chunk.attempts.values()) {
      const machine = ownedShard.shard.machines.get(attempt.machine);
      if (machine !== undefined && machine.highestFencingToken < ownedShard.fencingTokenAtTakeover)
        return false;
    }
    return true;
  }

  /** True once every open chunk of a job is known to be prepared for its cancellation by the owner of its part. */
  async prepareEverywhere(id: string, record: JobRecord): Promise<boolean> {
    const missing = new Set<number>();
    for (let k = 0; k < record.createdChunks; k++)
      if (!record.doneChunks.includes(k)) missing.add(k);
    const note = (found: PreparedChunk[]): boolean => {
      for (const { index, shard, fencingToken } of found) {
        const owner = this.node.stateCache.get(keys.owner(shard))?.value as
          LeaderRecord | undefined;
        // One that has lost the part and does not know it speaks for nobody.
        if (owner !== undefined && owner.fencingToken <= fencingToken) missing.delete(index);
      }
      return missing.size === 0;
    };
    const here = this.prepare(id);
    // Should it be released from now on, its chunks are made as prepared ones, by this node.
    if (this.node.isBlockedOnDependencies(id) || note(here)) return true;
    return this.node.peers.prepareCancel(id, this.node.settings.heartbeatInterval / 12, note);
  }

  /**
   * Work of a job that is still open after all could have been stored goes on. Only a node that has read the
   * records since can tell.
   */
  sweep(): void {
    const { ownedShards: ownedParts, stateCache: replica } = this.node;
    for (const [id, at] of this.jobs) {
      if (replica.syncedAt <= at + STORED_WITHIN) continue;
      this.jobs.delete(id);
      const record = replica.get(keys.job(id))?.value as JobRecord | undefined;
      if (record?.state !== 'open') continue;
      for (const { shard } of ownedParts.values()) {
        for (const chunk of shard.chunksOf(id)) shard.abandonCancellation(chunk);
      }
    }
  }
}
