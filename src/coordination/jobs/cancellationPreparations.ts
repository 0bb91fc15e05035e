/**
 * Before a cancellation is stored, all nodes are told of it, and each that has chunks of the job ends them and
 * starts nothing more. The record alone would not do: a node that the state service refuses can't read it, goes
 * on answering its workers, and would keep cancelled tasks alive for longer than they may be (safety, C1).
 */
import { DRIFT, type Clock } from '../../base/clock.js';
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import { keys, type JobRecord, type LeaderRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { AcknowledgementWithheldReason } from '../audit/cancellationEvent.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import type { Chunk } from '../model/chunk.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

/** What preparing cancellations needs of a node. */
export interface CancellationContext {
  readonly settings: Pick<Settings, 'heartbeatInterval' | 'workerLease' | 'cancellationTimeout'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly stateCache: Pick<StateCache, 'get' | 'syncedAt' | 'revision'>;
  readonly peers: Pick<PeerRegistry, 'prepareCancel'>;
  readonly audit: Pick<AuditTrail, 'note'>;
  /** The job waits for others: nothing of it was started, nor is there any chunk of it. */
  isBlockedOnDependencies(job: string): boolean;
  /** Asks for a scheduling round soon. */
  requestSchedulingRound(): void;
}

/** Seconds in which an announced cancellation is stored or given up: its user waits no longer. */
const STORE_TIMEOUT_SECONDS = 5;

/** Peers have this fraction of the time between two heartbeats to prepare a cancellation. */
const PEERS_TIMEOUT_DIVISOR = 12;

/** Cancellations that were announced to this node and are not known to be stored or given up. */
export class CancellationPreparations {
  /** By job: the steady time at which its cancellation was announced. */
  private readonly announcedAt = new Map<string, number>();

  constructor(private readonly context: CancellationContext) {}

  /** The cancellation of the job was announced. */
  has(job: string): boolean {
    return this.announcedAt.has(job);
  }

  /** Prepares a chunk that has just come to a shard of this node. */
  apply(ownedShard: OwnedShard, chunk: Chunk): void {
    if (!this.has(chunk.spec.id)) return;
    ownedShard.shard.prepareCancel(chunk, this.context.clock.now());
  }

  /**
   * Ends the chunks of a job at this node's shards. Gives those of which it is sure that no other node can keep
   * them alive.
   */
  prepare(job: string): PreparedChunk[] {
    const now = this.context.clock.now();
    this.announcedAt.set(job, now);
    const prepared: PreparedChunk[] = [];
    const withheld: string[] = [];
    for (const ownedShard of this.context.ownedShards.values()) {
      const { shard, fencingToken } = ownedShard;
      for (const chunk of shard.chunksOf(job)) {
        shard.prepareCancel(chunk, now);
        const reason = this.whyWithheld(ownedShard, chunk, now);
        if (reason === null)
          prepared.push({ index: chunk.index, shard: shard.label, fencingToken });
        else withheld.push(`${chunk.index}=${reason}`);
      }
    }
    this.noteAnnounced(job, prepared.length, withheld);
    this.context.requestSchedulingRound();
    return prepared;
  }

  /** Why this node is not sure that nobody else can keep the chunk's tasks alive; null: it is. */
  private whyWithheld(
    ownedShard: OwnedShard,
    chunk: Chunk,
    now: number,
  ): AcknowledgementWithheldReason | null {
    // It may be at the shard that it is on its way to.
    if (chunk.isMigrating || chunk.mayHaveMigrated) return 'migrating';
    return this.isUnderOurControl(ownedShard, chunk, now) ? null : 'previous-leader';
  }

  private noteAnnounced(job: string, acknowledged: number, withheld: string[]): void {
    const { audit, clock, stateCache } = this.context;
    audit.note({
      event: 'cancellation-announced',
      job,
      chunks: acknowledged + withheld.length,
      acknowledged,
      withheld: withheld.join(','),
      copyRevision: stateCache.revision,
      copyAge: clock.now() - stateCache.syncedAt,
    });
  }

  /** No earlier leader of the shard answers the workers of its tasks for longer than a cancellation may take. */
  private isUnderOurControl(ownedShard: OwnedShard, chunk: Chunk, now: number): boolean {
    const { cancellationTimeout, workerLease, heartbeatInterval } = this.context.settings;
    const allowance = Math.max(
      0,
      cancellationTimeout - workerLease * (1 + 2 * DRIFT) - heartbeatInterval,
    );
    if (now >= ownedShard.previousLeaderUntil - allowance) return true;
    for (const attempt of chunk.attempts.values()) {
      const machine = ownedShard.shard.machines.get(attempt.machine);
      if (machine === undefined) continue;
      if (machine.highestFencingToken < ownedShard.fencingTokenAtTakeover) return false;
    }
    return true;
  }

  /** True once the leaders of all open chunks of a job are known to have prepared its cancellation. */
  async prepareEverywhere({ id, record, revision }: HomeJob): Promise<boolean> {
    const unprepared = openChunks(record);
    const counted = new Map<string, string>();
    /** Takes what a node has prepared; true once no chunk is left. */
    const acknowledge = (prepared: PreparedChunk[]): boolean => {
      for (const { index, shard, fencingToken } of prepared) {
        const leader = this.leaderRecord(shard);
        // A node that has lost the shard and does not know it must not be counted.
        if (leader === undefined || leader.value.fencingToken > fencingToken) continue;
        unprepared.delete(index);
        counted.set(shard, `${shard}=${fencingToken}@${leader.revision}`);
      }
      return unprepared.size === 0;
    };
    const prepared = this.prepare(id);
    const timeout = this.context.settings.heartbeatInterval / PEERS_TIMEOUT_DIVISOR;
    // Should it be released from now on, its chunks are made as prepared ones, by this node.
    const isPrepared =
      this.context.isBlockedOnDependencies(id) ||
      acknowledge(prepared) ||
      (await this.context.peers.prepareCancel(id, timeout, acknowledge));
    this.context.audit.note({
      event: 'cancellation-prepared',
      job: id,
      shard: record.homeShard,
      jobRevision: revision,
      missing: isPrepared ? '' : [...unprepared].join(','),
      leaders: [...counted.values()].join(','),
    });
    return isPrepared;
  }

  private leaderRecord(shard: string): { value: LeaderRecord; revision: number } | undefined {
    const cached = this.context.stateCache.get(keys.owner(shard));
    if (cached === undefined) return undefined;
    return { value: cached.value as LeaderRecord, revision: cached.revision };
  }

  /**
   * Resumes jobs that are still open after their cancellations must have been stored or given up. Only a node that
   * has read the records since can tell.
   */
  sweep(): void {
    const { ownedShards, stateCache } = this.context;
    for (const [job, announcedAt] of this.announcedAt) {
      if (stateCache.syncedAt <= announcedAt + STORE_TIMEOUT_SECONDS) continue;
      this.announcedAt.delete(job);
      if (cachedJob(stateCache, job)?.state !== 'open') continue;
      this.context.audit.note({
        event: 'cancellation-abandoned',
        job,
        age: this.context.clock.now() - announcedAt,
        copyRevision: stateCache.revision,
      });
      for (const { shard } of ownedShards.values()) {
        for (const chunk of shard.chunksOf(job)) shard.abandonCancellation(chunk);
      }
    }
  }
}

/** Indices of a job's chunks that are created and not done. */
function openChunks({ createdChunks, doneChunks }: JobRecord): Set<number> {
  const open = new Set<number>();
  for (let index = 0; index < createdChunks; index++) {
    if (!doneChunks.includes(index)) open.add(index);
  }
  return open;
}
