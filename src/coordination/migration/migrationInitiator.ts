/** Sender-initiated job migration (PAPER, III.A.1) of new chunks and of blocked chunks. */
import { describeError, log } from '../../base/log.js';
import { rankName, type JobSpec } from '../../protocol/job.js';
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';
import { keys } from '../../storage/records.js';
import type { Chunk } from '../model/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { MigrationContext } from './migrationContext.js';
import { chooseShard, turnaround } from './migrationPolicy.js';

/** The heartbeat interval divided by the timeout of the peers' answers at a submission. */
const SUBMISSION_TIMEOUT_DIVISOR = 40;

/**
 * Number of a shard's chunks that each review asks the peers about. It is small, since many controllers that act on the same
 * answers would overload one idle peer.
 */
const CHUNKS_PER_REVIEW = 2;

/** Chooses the shard for each chunk, and migrates chunks that would start sooner elsewhere. */
export class MigrationInitiator {
  /** Chunks with a pending request to the peers. */
  private readonly pendingChunks = new Set<Chunk>();

  constructor(private readonly node: MigrationContext) {}

  /** Wait in seconds below which a job stays in its home shard without a request to the peers. */
  private threshold(spec: JobSpec): number {
    // Users of a live service accept a wait of about a second, not of ten: the wait objective of its class sets the limit.
    const objectives = this.node.settings.objectives
      .filter(({ kind, jobClass }) => kind === 'wait' && jobClass === spec.jobClass)
      .map(({ within }) => within);
    return Math.min(this.node.tuning.threshold, ...objectives);
  }

  /**
   * Chooses the shard for a chunk: the home shard while the wait there is below the threshold, or its turnaround within the
   * factor of the shortest one; otherwise the shard with the shortest turnaround (DESIGN). A chunk that is bound to a zone is
   * started by a shard in that zone. `queued` is the chunk if it is in the queue already.
   */
  async chooseShard(
    homeShard: OwnedShard,
    spec: JobSpec,
    zone: string | null,
    count: number,
    queued?: Chunk,
  ): Promise<string> {
    const { tuning, peers, stateCache } = this.node;
    const { label, utilisation, waitEstimates } = homeShard.shard;
    const run = waitEstimates.expectedRun(spec);
    const now = this.node.clock.now();
    const wait = waitEstimates.estimateWait({ spec, zone, count, run }, now, queued);
    const fetch = waitEstimates.estimateFetch(spec, zone, now);
    const start = spec.isService ? Math.max(wait, fetch) : wait;
    if (start < this.threshold(spec) || !tuning.migrate) return label;
    const home = { shard: label, wait, turnaround: turnaround(wait, fetch, run), utilisation };
    const answers = await peers.requestEstimates(
      spec,
      zone,
      count,
      this.peerTimeout(queued !== undefined),
    );
    const local = this.estimateTurnarounds(spec, zone, count).filter(
      ({ shard }) => shard !== label,
    );
    const shard = chooseShard(home, [...answers, ...local], tuning);
    auditChoice(homeShard, spec, home, [...answers, ...local], shard);
    const hasLeader = stateCache.get(keys.leader(shard)) !== undefined;
    if (shard !== label && hasLeader) return shard;
    // No shard has suitable machines yet; they will be launched for a shard in the zone.
    if (zone === null || Number.isFinite(wait)) return label;
    return this.leastUsedPeerIn(zone, label, answers) ?? label;
  }

  /**
   * Timeout in seconds of the peers' answers. At a submission a user is waiting, so slow peers are ignored; once the job is
   * stored, the peers are asked again with the full timeout.
   */
  private peerTimeout(isQueued: boolean): number {
    const { tuning, settings } = this.node;
    if (isQueued) return tuning.peerTimeout;
    return Math.min(tuning.peerTimeout, settings.heartbeatInterval / SUBMISSION_TIMEOUT_DIVISOR);
  }

  /**
   * The peers' shard with the lowest utilisation in the zone; undefined if the home shard is in the zone, or no peer answered
   * for it.
   */
  private leastUsedPeerIn(
    zone: string,
    home: string,
    answers: TurnaroundEstimate[],
  ): string | undefined {
    const { zoneOf } = this.node;
    if (zoneOf.get(home) === zone) return undefined;
    const inZone = answers.filter(({ shard }) => zoneOf.get(shard) === zone);
    inZone.sort((a, b) => a.utilisation - b.utilisation);
    return inZone[0]?.shard;
  }

  /** Answers a peer's request: an estimate for each shard that this controller leads. */
  estimateTurnarounds(spec: JobSpec, zone: string | null, tasks: number): TurnaroundEstimate[] {
    if (!this.node.leadership.isLeaseValid) return [];
    const now = this.node.clock.now();
    return [...this.node.ownedShards.values()].map(({ shard }) => {
      const run = shard.waitEstimates.expectedRun(spec);
      const wait = shard.waitEstimates.estimateWait({ spec, zone, count: tasks, run }, now);
      return {
        shard: shard.label,
        wait,
        turnaround: turnaround(wait, shard.waitEstimates.estimateFetch(spec, zone, now), run),
        utilisation: shard.utilisation,
      };
    });
  }

  /**
   * Asks the peers again about blocked chunks without attempts. In DESIGN queued jobs stay where they are; here machines are
   * launched and released, and a job could be left waiting while a peer is idle.
   */
  reviewBlockedChunks(): void {
    const { node } = this;
    if (!node.leadership.isLeaseValid || !node.tuning.migrate) return;
    const now = node.clock.now();
    // Each migration needs writes to the state service, which delay users' requests and starts.
    if (node.stateClient.writeDelay('later') > node.settings.heartbeatInterval / 4) return;
    for (const ownedShard of node.ownedShards.values()) {
      const chunks = ownedShard.shard.chunks.values();
      for (const chunk of nextMigrationCandidates(chunks, CHUNKS_PER_REVIEW, (candidate) =>
        this.isDue(candidate, now),
      )) {
        chunk.peersAskedAt = now;
        void this.migrateIfBetter(ownedShard, chunk);
      }
    }
  }

  /** Whether the peers should be asked about the chunk: it is newly created, or has been blocked for long enough. */
  private isDue(chunk: Chunk, now: number): boolean {
    const threshold = this.threshold(chunk.spec);
    if (!chunk.isNewlyCreated) {
      if (chunk.blockedSince === null || now - chunk.blockedSince < threshold) return false;
      const pause = Math.max(threshold, this.node.settings.heartbeatInterval);
      if (now - chunk.peersAskedAt < pause) return false;
    }
    return chunk.isMigratable && !this.pendingChunks.has(chunk);
  }

  private async migrateIfBetter(ownedShard: OwnedShard, chunk: Chunk): Promise<void> {
    const { isNewlyCreated } = chunk;
    this.pendingChunks.add(chunk);
    chunk.isNewlyCreated = false;
    try {
      const shard = await this.chooseShardFor(ownedShard, chunk);
      if (shard === ownedShard.shard.label || !ownedShard.isOwned || chunk.isDropped) return;
      // Another chunk of the same bucket or job may be migrating at the moment.
      const wasTried = chunk.isMigratable && (await this.migrate(ownedShard, chunk, shard));
      if (!wasTried) chunk.isNewlyCreated = isNewlyCreated;
    } catch (error) {
      log.debug(`migrating chunk ${chunk.id} failed: ${describeError(error)}`);
    } finally {
      this.pendingChunks.delete(chunk);
    }
  }

  private chooseShardFor(ownedShard: OwnedShard, chunk: Chunk): Promise<string> {
    const zone = chunk.zone ?? chunk.spec.zone;
    const spec: JobSpec = { ...chunk.spec, rank: rankName(chunk.rank) };
    return this.chooseShard(ownedShard, spec, zone, chunk.pendingCount, chunk);
  }

  private migrate(ownedShard: OwnedShard, chunk: Chunk, shard: string): Promise<boolean> {
    log.info(`migrating chunk ${chunk.id} from shard ${ownedShard.shard.label} to ${shard}`);
    return this.node.persistence.migrate(ownedShard, chunk, shard);
  }
}

/** Records in the audit trail the estimates on which a shard was chosen. */
function auditChoice(
  { shard: { audit } }: OwnedShard,
  { id }: JobSpec,
  home: TurnaroundEstimate,
  answers: TurnaroundEstimate[],
  chosen: string,
): void {
  audit.note({
    event: 'shard-chosen',
    job: id,
    home: home.shard,
    chosen,
    wait: home.wait,
    turnaround: home.turnaround,
    answers: answers.map((peer) => `${peer.shard}=${peer.turnaround.toFixed(1)}`).join(','),
  });
}

/**
 * The first `limit` chunks that are due, by rank and then by the time of the last request to the peers: otherwise the requests
 * would always be for the first few chunks, and never for those behind them.
 */
export function nextMigrationCandidates(
  chunks: Iterable<Chunk>,
  limit: number,
  isDue: (chunk: Chunk) => boolean,
): Chunk[] {
  const due = [...chunks].filter(isDue);
  return due.sort((a, b) => b.rank - a.rank || a.peersAskedAt - b.peersAskedAt).slice(0, limit);
}
