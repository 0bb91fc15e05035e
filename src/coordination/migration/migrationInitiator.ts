/** Sender-initiated job migration (PAPER, III.A.1), for new chunks and for those that are blocked. */
import { describeError, log } from '../../base/log.js';
import { rankName, type JobSpec } from '../../protocol/job.js';
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';
import { keys } from '../../storage/records.js';
import type { Chunk } from '../model/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { MigrationContext } from './migrationContext.js';
import { chooseShard, turnaround } from './migrationPolicy.js';

/** The heartbeat interval divided by the peers' time to answer at a submission. */
const SUBMISSION_TIMEOUT_DIVISOR = 40;

/**
 * Chunks of a shard that a review asks the peers about. A few at a time: many senders that read the same
 * answers would flood one idle peer.
 */
const CHUNKS_PER_REVIEW = 2;

/** Chooses the shard for each chunk, and migrates chunks that would start sooner elsewhere. */
export class MigrationInitiator {
  /** Chunks about which the peers are being asked. */
  private readonly asking = new Set<Chunk>();

  constructor(private readonly node: MigrationContext) {}

  /** The wait in seconds up to which a job stays home without the peers being asked. */
  private threshold(spec: JobSpec): number {
    // A live service's users wait for a second or so, not for ten: its objective says how long.
    const objectives = this.node.settings.objectives
      .filter(({ kind, jobClass }) => kind === 'wait' && jobClass === spec.jobClass)
      .map(({ within }) => within);
    return Math.min(this.node.tuning.threshold, ...objectives);
  }

  /**
   * The shard that a chunk goes to: home while the wait there is below the threshold or within the factor
   * of the best; otherwise the peer with the shortest turnaround (DESIGN). A chunk tied to a zone starts
   * from a shard there. `queued` is the chunk where it is in the queue already.
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
    noteChoice(homeShard, spec, home, [...answers, ...local], shard);
    const hasLeader = stateCache.get(keys.leader(shard)) !== undefined;
    if (shard !== label && hasLeader) return shard;
    // No shard has such machines yet: they will be launched for a shard in the zone.
    if (zone === null || Number.isFinite(wait)) return label;
    return this.leastUsedPeerIn(zone, label, answers) ?? label;
  }

  /**
   * Seconds for the peers' answers. At a submission a user waits, and slow peers are left out; once the
   * job is stored the peers are asked again with the full timeout.
   */
  private peerTimeout(isQueued: boolean): number {
    const { tuning, settings } = this.node;
    if (isQueued) return tuning.peerTimeout;
    return Math.min(tuning.peerTimeout, settings.heartbeatInterval / SUBMISSION_TIMEOUT_DIVISOR);
  }

  /** The peers' least used shard in the zone; undefined if home is there itself, or none answered. */
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

  /** Answers to a peer's question: an estimate for each shard that this controller leads. */
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
   * Asks the peers again about blocked chunks of which nothing runs. DESIGN lets queued jobs stay where
   * they are; but machines are launched and released here, and a job would wait beside an idle peer.
   */
  reviewBlockedChunks(): void {
    const { node } = this;
    if (!node.leadership.isLeaseValid || !node.tuning.migrate) return;
    const now = node.clock.now();
    // A migration costs changes at the state service, which users and starts wait for.
    if (node.stateClient.writeDelay('later') > node.settings.heartbeatInterval / 4) return;
    for (const ownedShard of node.ownedShards.values()) {
      const chunks = ownedShard.shard.chunks.values();
      for (const chunk of nextMigrationCandidates(chunks, CHUNKS_PER_REVIEW, (candidate) =>
        this.isDue(candidate, now),
      )) {
        chunk.peersAskedAt = now;
        chunk.isNewlyReleased = false;
        void this.migrateIfBetter(ownedShard, chunk);
      }
    }
  }

  /** Whether the peers should be asked about the chunk: newly released, or blocked for long. */
  private isDue(chunk: Chunk, now: number): boolean {
    const threshold = this.threshold(chunk.spec);
    if (!chunk.isNewlyReleased) {
      if (chunk.blockedSince === null || now - chunk.blockedSince < threshold) return false;
      const pause = Math.max(threshold, this.node.settings.heartbeatInterval);
      if (now - chunk.peersAskedAt < pause) return false;
    }
    return chunk.isMigratable && !this.asking.has(chunk);
  }

  private async migrateIfBetter(ownedShard: OwnedShard, chunk: Chunk): Promise<void> {
    const { node } = this;
    this.asking.add(chunk);
    try {
      const zone = chunk.zone ?? chunk.spec.zone;
      const spec: JobSpec = { ...chunk.spec, rank: rankName(chunk.rank) };
      const shard = await this.chooseShard(ownedShard, spec, zone, chunk.pendingCount, chunk);
      if (shard === ownedShard.shard.label || !ownedShard.isOwned || chunk.isDropped) return;
      if (!chunk.isMigratable) return;
      log.info(`sending ${chunk.id} from ${ownedShard.shard.label} to ${shard}`);
      await node.persistence.move(ownedShard, chunk, shard);
    } catch (error) {
      log.debug(`sending ${chunk.id}: ${describeError(error)}`);
    } finally {
      this.asking.delete(chunk);
    }
  }
}

/** Notes on which estimates work stays or goes. */
function noteChoice(
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
 * The first `most` chunks that are due, by rank and then by when the peers were last asked: otherwise the
 * first few would be asked about again and again, and those behind them never.
 */
export function nextMigrationCandidates(
  chunks: Iterable<Chunk>,
  most: number,
  isDue: (chunk: Chunk) => boolean,
): Chunk[] {
  const due = [...chunks].filter(isDue);
  return due.sort((a, b) => b.rank - a.rank || a.peersAskedAt - b.peersAskedAt).slice(0, most);
}
