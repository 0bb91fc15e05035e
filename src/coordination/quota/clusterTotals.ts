/** Sums over all parts: those owned here by our own count, the others by their owners' last gossip. */
import type { Gossip } from '../../protocol/peerMessages.js';
import type { OwnedQuotaShard } from './quotaContext.js';
import type { TeamResources, StarvedJob } from './teamUsage.js';

export class ClusterTotals {
  constructor(
    private readonly ownedShards: ReadonlyMap<string, OwnedQuotaShard>,
    private readonly peers: { gossips(): Gossip[] },
    /** The zone of each part's node. */
    private readonly zoneOf: ReadonlyMap<string, string>,
  ) {}

  /** What a team's tasks take at all parts but one. */
  usedElsewhere(team: string, except: string): TeamResources {
    const used = { cpus: 0, gpus: 0 };
    const add = (amount: TeamResources): void => {
      used.cpus += amount.cpus;
      used.gpus += amount.gpus;
    };
    for (const { shard } of this.ownedShards.values()) {
      if (shard.label !== except) add(shard.teamUsage.usedBy(team));
    }
    for (const { teamUsage: entries } of this.peers.gossips()) {
      for (const entry of entries) if (entry.team === team) add(entry);
    }
    return used;
  }

  /** The first in the queue's order of a team's starved jobs, of all parts but one. */
  starvedElsewhere(team: string, except: string): StarvedJob | null {
    const here = [...this.ownedShards.values()].flatMap(({ shard }) =>
      shard.label === except ? [] : [...shard.scheduler.starvedJobs.values()],
    );
    const there = this.peers.gossips().flatMap((gossip) => gossip.starvedJobs);
    let first: StarvedJob | null = null;
    for (const candidate of [...here, ...there]) {
      if (candidate.team !== team) continue;
      if (first === null || isAhead(candidate, first)) first = candidate;
    }
    return first;
  }

  /** Processors for live services in the parts of a zone. */
  serviceHeadroomIn(zone: string): number {
    const isThere = (shard: string): boolean => this.zoneOf.get(shard) === zone;
    let cpus = 0;
    for (const { shard } of this.ownedShards.values()) {
      if (isThere(shard.label)) cpus += shard.demand.serviceHeadroom();
    }
    for (const gossip of this.peers.gossips()) {
      for (const host of gossip.shards) {
        if (isThere(host.shard) && !this.ownedShards.has(host.shard)) cpus += host.serviceHeadroom;
      }
    }
    return cpus;
  }
}

function isAhead(one: StarvedJob, other: StarvedJob): boolean {
  return one.rank > other.rank || (one.rank === other.rank && one.submittedAt < other.submittedAt);
}
