/**
 * Before a cancellation is stored, all nodes are told of it, and each that has chunks of the job ends them and
 * starts nothing more. The record alone would not do: a node that the state service refuses can't read it, goes
 * on answering its workers, and would keep cancelled tasks alive for longer than they may be (safety, C1).
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

/** What preparing cancellations needs of a node. */
export interface CancellationContext {
  readonly settings: Pick<Settings, 'heartbeatInterval' | 'workerLease' | 'cancellationTimeout'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly stateCache: Pick<StateCache, 'get' | 'note' | 'syncedAt' | 'revision'>;
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly leadership: Pick<ShardLeadership, 'advanceFencingToken' | 'isLeaseValid'>;
  readonly peers: Pick<PeerRegistry, 'prepareCancel'>;
  readonly audit: Pick<AuditTrail, 'note'>;
  /** The job waits for others: nothing of it was started, nor is there any chunk of it. */
  isBlockedOnDependencies(job: string): boolean;
  /** Asks for a scheduling round soon. */
  requestSchedulingRound(): void;
}

/** An announced cancellation that is not known to be stored, nor to be impossible. */
interface Announcement {
  /** Steady time at which it was announced last. */
  readonly at: number;
  /** Revisions of the leader records that this node has acknowledged it under, by shard. */
  readonly acknowledgedUnder: ReadonlyMap<string, number>;
}

/** Seconds in which an announced cancellation is stored or given up: its user waits no longer. */
const STORE_TIMEOUT_SECONDS = 5;

/** Peers have this fraction of the time between two heartbeats to prepare a cancellation. */
const PEERS_TIMEOUT_DIVISOR = 12;

/** Cancellations that were announced to this node and are not known to be stored or given up. */
export class CancellationPreparations {
  private readonly announcements = new Map<string, Announcement>();

  constructor(private readonly context: CancellationContext) {}

  /** Whether a job is cancelled, or is about to be: the one place that says so. */
  stateOf(job: string): JobCancellationState {
    if (cachedJob(this.context.stateCache, job)?.state === 'cancelled') return 'stored';
    return this.announcements.has(job) ? 'announced' : 'none';
  }

  /**
   * Ends the chunks of a job at this node's shards. Gives those of which it is sure that no other node can keep
   * them alive.
   */
  prepare(job: string): PreparedChunk[] {
    return this.announce(job, null);
  }

  /** `homeShard`: the job's, where this node leads it; chunks that it creates later count as acknowledged as well. */
  private announce(job: string, homeShard: OwnedShard | null): PreparedChunk[] {
    const now = this.context.clock.now();
    // An earlier acknowledgement may still be counted.
    const acknowledgedUnder = new Map(this.announcements.get(job)?.acknowledgedUnder);
    if (homeShard !== null) acknowledgedUnder.set(homeShard.shard.label, homeShard.revision);
    this.announcements.set(job, { at: now, acknowledgedUnder });
    const prepared: PreparedChunk[] = [];
    const withheld: string[] = [];
    for (const ownedShard of this.context.ownedShards.values()) {
      const { shard, fencingToken } = ownedShard;
      for (const chunk of shard.chunksOf(job)) {
        shard.prepareCancel(chunk, now);
        const reason = this.whyWithheld(ownedShard, chunk, now);
        if (reason !== null) {
          withheld.push(`${chunk.index}=${reason}`);
          continue;
        }
        prepared.push({ index: chunk.index, shard: shard.label, fencingToken });
        acknowledgedUnder.set(shard.label, ownedShard.revision);
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

  /** Has all nodes prepare; null where some chunk may be at a leader that has not. */
  async prepareEverywhere(
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
    const own = this.announce(id, homeShard);
    const evidence = this.context.isBlockedOnDependencies(id)
      ? acknowledgements.evidenceOfBlockedJob
      : await this.collect(id, acknowledgements, own);
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
    own: PreparedChunk[],
  ): Promise<CancellationEvidence | null> {
    const { peers, settings } = this.context;
    const timeout = settings.heartbeatInterval / PEERS_TIMEOUT_DIVISOR;
    if (!acknowledgements.add(own)) {
      await peers.prepareCancel(job, timeout, (prepared) => acknowledgements.add(prepared));
    }
    if (acknowledgements.evidence === null && acknowledgements.shardsToRead.length > 0) {
      await Promise.all(acknowledgements.shardsToRead.map((shard) => this.readLeader(shard)));
      acknowledgements.retryDeferred();
    }
    return acknowledgements.evidence;
  }

  /** Brings a leader record of this node's copy up to date. */
  private async readLeader(shard: string): Promise<void> {
    try {
      const item = await this.context.stateClient.get(keys.leader(shard));
      if (item !== null) this.context.stateCache.note(item.key, item.value, item.revision);
    } catch (error) {
      log.debug(`leader of ${shard}: ${describeError(error)}`);
    }
  }

  /**
   * Resumes jobs that are still open although their cancellations should have been stored by now. A transaction that got no
   * answer may be applied late, so nothing is resumed before that has become impossible: the leader record under which the
   * cancellation was acknowledged must have changed, and this node must have read what was stored until then.
   */
  sweep(): void {
    const { stateCache } = this.context;
    this.assertMarked();
    for (const [job, announcement] of this.announcements) {
      if (stateCache.syncedAt <= announcement.at + STORE_TIMEOUT_SECONDS) continue;
      if (cachedJob(stateCache, job)?.state !== 'open') {
        this.announcements.delete(job);
        continue;
      }
      const pending = this.shardsThatMayStillBeCounted(announcement);
      for (const ownedShard of pending) this.advance(ownedShard);
      if (pending.length > 0 || !this.hasReadOwnLeaderRecords(announcement)) continue;
      this.resume(job, announcement);
    }
  }

  /** Shards of this node whose leader records are still those that its acknowledgements were given under. */
  private shardsThatMayStillBeCounted({ acknowledgedUnder }: Announcement): OwnedShard[] {
    return [...acknowledgedUnder].flatMap(([label, revision]) => {
      const ownedShard = this.context.ownedShards.get(label);
      return ownedShard?.revision === revision ? [ownedShard] : [];
    });
  }

  /** The copy shows all that was stored before the leader records changed. */
  private hasReadOwnLeaderRecords({ acknowledgedUnder }: Announcement): boolean {
    const { ownedShards, stateCache } = this.context;
    return [...acknowledgedUnder.keys()].every(
      (label) => (ownedShards.get(label)?.revision ?? 0) <= stateCache.revision,
    );
  }

  private resume(job: string, { at }: Announcement): void {
    const { audit, clock, ownedShards, stateCache } = this.context;
    this.announcements.delete(job);
    const age = clock.now() - at;
    audit.note({ event: 'cancellation-abandoned', job, age, copyRevision: stateCache.revision });
    for (const { shard } of ownedShards.values()) {
      for (const chunk of shard.chunksOf(job)) shard.abandonCancellation(chunk);
    }
  }

  /**
   * Gets a new leader record for a shard. All its workers report a higher fencing token, at most once in half of their
   * lease; nobody waits for what is resumed.
   */
  private advance(ownedShard: OwnedShard): void {
    const { clock, leadership, settings } = this.context;
    const now = clock.now();
    if (!leadership.isLeaseValid) return;
    if (now - ownedShard.fencingTokenAdvancedAt < settings.workerLease / 2) return;
    ownedShard.fencingTokenAdvancedAt = now;
    advanceFencingToken(leadership, ownedShard).catch((error: unknown) => {
      log.debug(`advance ${ownedShard.shard.label}: ${describeError(error)}`);
    });
  }

  /** Each chunk is asked about as it comes to a shard; none may be here as if its job were open. */
  private assertMarked(): void {
    for (const { shard } of this.context.ownedShards.values()) {
      for (const chunk of shard.chunks.values()) {
        if (chunk.isCancelRequested || this.stateOf(chunk.spec.id) === 'none') continue;
        shard.reportInvariantViolation('unmarked-cancelled-chunk', chunk.id);
      }
    }
  }
}
