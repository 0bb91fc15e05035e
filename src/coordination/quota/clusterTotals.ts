/**
 * Totals over all shards. The shards that this controller leads contribute their own state, the others their leaders' last
 * gossip.
 */
import type { Clock } from '../../base/clock.js';
import type { Gossip } from '../../protocol/peerMessages.js';
import type { OwnedQuotaShard } from './quotaContext.js';
import type { TeamResources, StarvedJob } from './teamUsage.js';

/** Resource usage, starved jobs and headroom of the whole cluster. */
export class ClusterTotals {
  constructor(
    private readonly ownedShards: ReadonlyMap<string, OwnedQuotaShard>,
    private readonly peers: { gossips(): Gossip[] },
    /** The zone of each shard, by the shard's label. */
    private readonly zoneOf: ReadonlyMap<string, string>,
    private readonly clock: Pick<Clock, 'now'>,
  ) {}

  /** Resources that a team's tasks use in all shards but `except`. */
  usedElsewhere(team: string, except: string): TeamResources {
    const used = { cpus: 0, gpus: 0 };
    const add = (amount: TeamResources): void => {
      used.cpus += amount.cpus;
      used.gpus += amount.gpus;
    };
    for (const { shard } of this.ownedShards.values()) {
      if (shard.label !== except) add(shard.teamUsage.usedBy(team));
    }
    for (const { teamUsage } of this.peers.gossips()) {
      for (const entry of teamUsage) if (entry.team === team) add(entry);
    }
    return used;
  }

  /** The first in queue order of a team's starved jobs in all shards but `except`; null if there is none. */
  starvedElsewhere(team: string, except: string): StarvedJob | null {
    const led = [...this.ownedShards.values()].flatMap(({ shard }) =>
      shard.label === except ? [] : [...shard.scheduler.starvedJobs.values()],
    );
    const remote = this.peers.gossips().flatMap((gossip) => gossip.starvedJobs);
    let first: StarvedJob | null = null;
    for (const candidate of [...led, ...remote]) {
      if (candidate.team !== team) continue;
      if (first === null || isAhead(candidate, first)) first = candidate;
    }
    return first;
  }

  /** CPUs that are available to live services in the shards of a zone. */
  serviceHeadroomIn(zone: string): number {
    const isInZone = (shard: string): boolean => this.zoneOf.get(shard) === zone;
    const now = this.clock.now();
    let cpus = 0;
    for (const { shard } of this.ownedShards.values()) {
      if (isInZone(shard.label)) cpus += shard.demand.serviceHeadroom(now);
    }
    for (const gossip of this.peers.gossips()) {
      for (const gossiped of gossip.shards) {
        if (isInZone(gossiped.shard) && !this.ownedShards.has(gossiped.shard))
          cpus += gossiped.serviceHeadroom;
      }
    }
    return cpus;
  }
}

function isAhead(one: StarvedJob, other: StarvedJob): boolean {
  return one.rank > other.rank || (one.rank === other.rank && one.submittedAt < other.submittedAt);
}
