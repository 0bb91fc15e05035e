/** Sends jobs on: the sender-initiated path of the paper, for new chunks and for those that wait. */
import { describe, log } from '../../base/log.js';
import { rankName, type JobSpec } from '../../protocol/job.js';
import type { TurnaroundEstimate } from '../../protocol/peerMessages.js';
import { keys } from '../../storage/records.js';
import type { Chunk } from '../model/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { MigrationContext } from './migrationContext.js';
import { chooseShard, turnaround } from './migrationPolicy.js';

export class MigrationInitiator {
  private readonly asking = new Set<Chunk>();

  constructor(private readonly node: MigrationContext) {}

  /** The wait that users of this class of job accept without a question to the peers. */
  private threshold(spec: JobSpec): number {
    // A live service's users wait for a second or so, not for ten: the objective says how long.
    const promised = this.node.settings.objectives
      .filter((o) => o.kind === 'wait' && o.jobClass === spec.jobClass)
      .map((o) => o.within);
    return Math.min(this.node.tuning.threshold, ...promised);
  }

  /**
   * Where a chunk goes: home while the wait there is short, or within the factor of the best; else
   * the peer with the smallest turnaround (DESIGN). A chunk held to a zone starts from a part there.
   */
  async choose(
    homeShard: OwnedShard,
    spec: JobSpec,
    zone: string | null,
    count: number,
    queued?: Chunk,
  ): Promise<string> {
    const { node } = this;
    const { tuning } = node;
    // A user waits for this answer. A peer that is slow to estimate is left out; once the job is stored
    // here the peers are asked again, with the full patience.
    const patience =
      queued === undefined
        ? Math.min(tuning.peerTimeout, node.settings.heartbeatInterval / 40)
        : tuning.peerTimeout;
    const run = homeShard.shard.waitEstimates.expectedRun(spec);
    const wait = homeShard.shard.waitEstimates.waitFor(
      { spec, zone, count, run },
      node.clock.now(),
      queued,
    );
    const fetch = homeShard.shard.waitEstimates.fetchFor(spec, zone);
    const start = spec.isService ? Math.max(wait, fetch) : wait;
    if (start < this.threshold(spec) || !tuning.migrate) return homeShard.shard.label;
    const estimate: TurnaroundEstimate = {
      shard: homeShard.shard.label,
      wait,
      turnaround: turnaround(wait, fetch, run),
      utilisation: homeShard.shard.utilisation,
    };
    const answers = await node.peers.ask(spec, zone, count, patience);
    const others = this.estimates(spec, zone, count).filter((e) => e.shard !== estimate.shard);
    const shard = chooseShard(estimate, [...answers, ...others], tuning);
    const known = node.stateCache.get(keys.owner(shard)) !== undefined;
    if (shard !== homeShard.shard.label && known) return shard;
    // Nobody has such machines yet: a part in the zone is the one that they will be rented for.
    if (
      zone !== null &&
      !Number.isFinite(wait) &&
      node.zoneOf.get(homeShard.shard.label) !== zone
    ) {
      const near = answers.filter((a) => node.zoneOf.get(a.shard) === zone);
      near.sort((a, b) => a.utilisation - b.utilisation);
      if (near[0] !== undefined) return near[0].shard;
    }
    return homeShard.shard.label;
  }

  /** Answers to a peer's question, one for each part owned here. */
  estimates(spec: JobSpec, zone: string | null, tasks: number): TurnaroundEstimate[] {
    if (!this.node.leadership.isLeaseValid) return [];
    const now = this.node.clock.now();
    return [...this.node.ownedShards.values()].map(({ shard }) => {
      const run = shard.waitEstimates.expectedRun(spec);
      const wait = shard.waitEstimates.waitFor({ spec, zone, count: tasks, run }, now);
      return {
        shard: shard.label,
        wait,
        turnaround: turnaround(wait, shard.waitEstimates.fetchFor(spec, zone), run),
        utilisation: shard.utilisation,
      };
    });
  }

  /**
   * Chunks that wait and have nothing running are asked for once more. DESIGN lets queued jobs stay
   * put; but room comes and goes with the machines here, and a job would wait beside an idle peer.
   */
  review(): void {
    const { node } = this;
    if (!node.leadership.isLeaseValid || !node.tuning.migrate) return;
    const now = node.clock.now();
    // A move costs changes at the state service, which users and starts wait for.
    if (node.stateClient.writeDelay('later') > node.settings.heartbeatInterval / 4) return;
    for (const ownedShard of node.ownedShards.values()) {
      // A few at a time: many senders reading the same answers would flood one idle peer. Live services
      // first, and then those that were asked for longest ago: else the first few would be asked for again
      // and again, and those behind them never.
      for (const chunk of nextMigrationCandidates(ownedShard.shard.chunks.values(), 2, (chunk) => {
        const pause = this.threshold(chunk.spec);
        if (chunk.isNewlyReleased) return chunk.isMigratable && !this.asking.has(chunk);
        if (chunk.blockedSince === null || now - chunk.blockedSince < pause) return false;
        if (now - chunk.peersAskedAt < Math.max(pause, node.settings.heartbeatInterval))
          return false;
        return chunk.isMigratable && !this.asking.has(chunk);
      })) {
        chunk.peersAskedAt = now;
        chunk.isNewlyReleased = false;
        void this.sendOn(ownedShard, chunk);
      }
    }
  }

  private async sendOn(ownedShard: OwnedShard, chunk: Chunk): Promise<void> {
    const { node } = this;
    this.asking.add(chunk);
    try {
      const zone = chunk.zone ?? chunk.spec.zone;
      const spec: JobSpec = { ...chunk.spec, rank: rankName(chunk.rank) };
      const shard = await this.choose(ownedShard, spec, zone, chunk.pendingCount, chunk);
      if (shard === ownedShard.shard.label || !ownedShard.isOwned || chunk.isDropped) return;
      if (!chunk.isMigratable) return;
      log.info(`sending ${chunk.id} from ${ownedShard.shard.label} to ${shard}`);
      await node.persistence.move(ownedShard, chunk, shard);
    } catch (error) {
      log.debug(`sending ${chunk.id}: ${describe(error)}`);
    } finally {
      this.asking.delete(chunk);
    }
  }
}

/** The first few of those that may be asked for: by rank, then by when they last were. */
export function nextMigrationCandidates(
  chunks: Iterable<Chunk>,
  most: number,
  due: (chunk: Chunk) => boolean,
): Chunk[] {
  const found = [...chunks].filter(due);
  return found.sort((a, b) => b.rank - a.rank || a.peersAskedAt - b.peersAskedAt).slice(0, most);
}
