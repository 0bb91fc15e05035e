/**
 * Announces cancellations to all nodes before they are stored. Each node that has chunks of the job stops them and starts
 * no more of its tasks. The stored record alone does not suffice: a node that the state service refuses cannot read it,
 * continues to answer its workers, and would keep cancelled tasks alive for longer than allowed (safety, C1).
 */
import { MAX_CLOCK_DRIFT, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import { keys } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { AcknowledgementWithheldReason } from '../audit/cancellationEvent.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import { advanceFencingToken, type HomeJob, type OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { Chunk } from '../model/chunk.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { CancellationEvidence } from '../persistence/cancellationEvidence.js';
import type { JobCancellationState } from '../quota/teamUsage.js';
import { CancellationAcknowledgements } from './cancellationAcknowledgements.js';

/** Dependencies of `CancellationPreparations`. */
export interface CancellationContext {
  readonly settings: Pick<Settings, 'heartbeatInterval' | 'workerLease' | 'cancellationTimeout'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly stateCache: Pick<StateCache, 'get' | 'applyPut' | 'syncedAt' | 'revision'>;
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly leadership: Pick<ShardLeadership, 'advanceFencingToken' | 'isLeaseValid'>;
  readonly peers: Pick<PeerRegistry, 'prepareCancel'>;
  readonly audit: Pick<AuditTrail, 'note'>;
  /** Whether the job is blocked on dependencies, so that it has no chunks and none of its tasks was started. */
  isBlockedOnDependencies(job: string): boolean;
  /** Requests a scheduling round soon. */
  requestSchedulingRound(): void;
}

/** An announced cancellation that is neither known to be stored nor known to be impossible to store. */
interface Announcement {
  /** Monotonic time of the last announcement. */
  readonly announcedAt: number;
  /** Revisions of the leader records under which this node has acknowledged the cancellation, by shard. */
  readonly acknowledgedUnder: ReadonlyMap<string, number>;
}

/** Seconds within which an announced cancellation is stored or abandoned: its user waits no longer. */
const STORE_TIMEOUT_SECONDS = 5;

/** The timeout for peers to prepare a cancellation is the heartbeat interval divided by this. */
const PEERS_TIMEOUT_DIVISOR = 12;

/** Tracks the cancellations that were announced to this node and are not known to be stored or abandoned. */
export class CancellationPreparations {
  private readonly announcements = new Map<string, Announcement>();

  constructor(private readonly context: CancellationContext) {}

  /** Whether a job's cancellation is stored or announced; all code that has to know asks this method. */
  stateOf(job: string): JobCancellationState {
    if (cachedJob(this.context.stateCache, job)?.state === 'cancelled') return 'stored';
    return this.announcements.has(job) ? 'announced' : 'none';
  }

  /**
   * Stops the chunks of a job at this node's shards. Returns those whose tasks certainly no other node can keep alive.
   */
  prepare(job: string): PreparedChunk[] {
    return this.announce(job, null);
  }

  /** `homeShard`: the job's home shard if this node leads it; chunks that it creates later count as acknowledged, too. */
  private announce(job: string, homeShard: OwnedShard | null): PreparedChunk[] {
    const now = this.context.clock.now();
    // Earlier acknowledgements are kept, since they may still be counted.
    const acknowledgedUnder = new Map(this.announcements.get(job)?.acknowledgedUnder);
    if (homeShard !== null) acknowledgedUnder.set(homeShard.shard.label, homeShard.revision);
    this.announcements.set(job, { announcedAt: now, acknowledgedUnder });
    const prepared: PreparedChunk[] = [];
    const withheld: string[] = [];
    for (const ownedShard of this.context.ownedShards.values()) {
      const { shard, fencingToken } = ownedShard;
      for (const chunk of shard.chunksOf(job)) {
        shard.prepareCancel(chunk, now);
        const reason = this.withholdingReason(ownedShard, chunk, now);
        if (reason !== null) {
          withheld.push(`${chunk.index}=${reason}`);
          continue;
        }
        prepared.push({ index: chunk.index, shard: shard.label, fencingToken });
        acknowledgedUnder.set(shard.label, ownedShard.revision);
      }
    }
    this.auditAnnounced(job, prepared.length, withheld);
    this.context.requestSchedulingRound();
    return prepared;
  }

  /** Why another node might be able to keep the chunk's tasks alive; null if none can. */
  private withholdingReason(
    ownedShard: OwnedShard,
    chunk: Chunk,
    now: number,
  ): AcknowledgementWithheldReason | null {
    // The chunk may already be at the shard that it is migrating to.
    if (chunk.isMigrating || chunk.mayHaveMigrated) return 'migrating';
    return this.isUnderSoleControl(ownedShard, chunk, now) ? null : 'previous-leader';
  }

  private auditAnnounced(job: string, acknowledged: number, withheld: string[]): void {
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

  /** Whether no earlier leader of the shard can answer the chunk's workers for longer than a cancellation may take. */
  private isUnderSoleControl(ownedShard: OwnedShard, chunk: Chunk, now: number): boolean {
    const { cancellationTimeout, workerLease, heartbeatInterval } = this.context.settings;
    const allowance = Math.max(
      0,
      cancellationTimeout - workerLease * (1 + 2 * MAX_CLOCK_DRIFT) - heartbeatInterval,
    );
    if (now >= ownedShard.previousLeaderMayAnswerUntil - allowance) return true;
    for (const attempt of chunk.attempts.values()) {
      const machine = ownedShard.shard.machines.get(attempt.machine);
      if (machine === undefined) continue;
      if (machine.highestFencingToken < ownedShard.fencingTokenAtTakeover) return false;
    }
    return true;
  }

  /** Has all nodes prepare the cancellation; returns null if some chunk may be at a leader that has not prepared it. */
  async prepareOnAllNodes(
    homeShard: OwnedShard,
    job: HomeJob,
  ): Promise<CancellationEvidence | null> {
    const { id, record } = job;
    const { fencingToken, revision } = homeShard;
    const home = { fencingToken, revision };
    const acknowledgements = new CancellationAcknowledgements(
      record,
      home,
      this.context.stateCache,
    );
    const ownChunks = this.announce(id, homeShard);
    const evidence = this.context.isBlockedOnDependencies(id)
      ? acknowledgements.evidenceOfBlockedJob
      : await this.collect(id, acknowledgements, ownChunks);
    this.context.audit.note({
      event: 'cancellation-prepared',
      job: id,
      shard: record.homeShard,
      jobRevision: job.revision,
      missing: evidence === null ? acknowledgements.missing.join(',') : '',
      leaders: acknowledgements.description,
    });
    return evidence;
  }

  private async collect(
    job: string,
    acknowledgements: CancellationAcknowledgements,
    ownChunks: PreparedChunk[],
  ): Promise<CancellationEvidence | null> {
    const { peers, settings } = this.context;
    const timeout = settings.heartbeatInterval / PEERS_TIMEOUT_DIVISOR;
    if (!acknowledgements.add(ownChunks)) {
      await peers.prepareCancel(job, timeout, (prepared) => acknowledgements.add(prepared));
    }
    if (acknowledgements.evidence === null && acknowledgements.shardsToRead.length > 0) {
      await Promise.all(acknowledgements.shardsToRead.map((shard) => this.readLeader(shard)));
      acknowledgements.retryDeferred();
    }
    return acknowledgements.evidence;
  }

  /** Refreshes a cached leader record. */
  private async readLeader(shard: string): Promise<void> {
    try {
      const item = await this.context.stateClient.get(keys.leader(shard));
      if (item !== null) this.context.stateCache.applyPut(item.key, item.value, item.revision);
    } catch (error) {
      log.debug(`cannot read the leader record of shard ${shard}: ${describeError(error)}`);
    }
  }

  /**
   * Resumes jobs that are still open although their cancellations should have been stored by now. An unanswered transaction
   * may be applied late, so a job is resumed only once that is impossible: the leader record under which the cancellation
   * was acknowledged must have changed, and this node's cache must show everything stored before that change.
   */
  sweep(): void {
    const { stateCache } = this.context;
    this.reportUnmarkedChunks();
    for (const [job, announcement] of this.announcements) {
      if (stateCache.syncedAt <= announcement.announcedAt + STORE_TIMEOUT_SECONDS) continue;
      if (cachedJob(stateCache, job)?.state !== 'open') {
        this.announcements.delete(job);
        continue;
      }
      const pending = this.shardsWithUnchangedLeaderRecord(announcement);
      for (const ownedShard of pending) this.replaceLeaderRecord(ownedShard);
      if (pending.length > 0 || !this.isCacheNewerThanLeaderRecords(announcement)) continue;
      this.resume(job, announcement);
    }
  }

  /** Shards of this node whose leader records have not changed since it acknowledged the cancellation. */
  private shardsWithUnchangedLeaderRecord({ acknowledgedUnder }: Announcement): OwnedShard[] {
    return [...acknowledgedUnder].flatMap(([label, revision]) => {
      const ownedShard = this.context.ownedShards.get(label);
      return ownedShard?.revision === revision ? [ownedShard] : [];
    });
  }

  /** Whether the cache shows everything that was stored before the leader records changed. */
  private isCacheNewerThanLeaderRecords({ acknowledgedUnder }: Announcement): boolean {
    const { ownedShards, stateCache } = this.context;
    return [...acknowledgedUnder.keys()].every(
      (label) => (ownedShards.get(label)?.revision ?? 0) <= stateCache.revision,
    );
  }

  private resume(job: string, { announcedAt }: Announcement): void {
    const { audit, clock, ownedShards, stateCache } = this.context;
    this.announcements.delete(job);
    const age = clock.now() - announcedAt;
    audit.note({ event: 'cancellation-abandoned', job, age, copyRevision: stateCache.revision });
    for (const { shard } of ownedShards.values()) {
      for (const chunk of shard.chunksOf(job)) shard.abandonCancellation(chunk);
    }
  }

  /**
   * Replaces the leader record of a shard. All workers of the shard then have to report the higher fencing token, so this
   * happens at most once in half a worker lease; no user waits for a job to be resumed.
   */
  private replaceLeaderRecord(ownedShard: OwnedShard): void {
    const { clock, leadership, settings } = this.context;
    const now = clock.now();
    if (!leadership.isLeaseValid) return;
    if (now - ownedShard.fencingTokenAdvancedAt < settings.workerLease / 2) return;
    ownedShard.fencingTokenAdvancedAt = now;
    advanceFencingToken(leadership, ownedShard).catch((error: unknown) => {
      log.debug(
        `cannot advance the fencing token of shard ${ownedShard.shard.label}: ${describeError(error)}`,
      );
    });
  }

  /** Reports unmarked chunks of jobs being cancelled; none may exist, since a chunk is marked when it is added to a shard. */
  private reportUnmarkedChunks(): void {
    for (const { shard } of this.context.ownedShards.values()) {
      for (const chunk of shard.chunks.values()) {
        if (chunk.isCancelRequested || this.stateOf(chunk.spec.id) === 'none') continue;
        shard.reportInvariantViolation('unmarked-cancelled-chunk', chunk.id);
      }
    }
  }
}
