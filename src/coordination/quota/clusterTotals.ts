/** Sums over all parts: those owned here by our own count, the others by their owners' last gossip. */
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { TeamResources, StarvedJob } from './teamUsage.js';

export class ClusterTotals {
  constructor(
    private readonly ownedParts: ReadonlyMap<string, OwnedShard>,
    private readonly peers: Pick<PeerRegistry, 'gossips'>,
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
    for (const { part } of this.ownedParts.values()) {
      if (part.label !== except) add(part.teams.usedBy(team));
    }
    for (const { used: entries } of this.peers.gossips()) {
      for (const entry of entries) if (entry.team === team) add(entry);
    }
    return used;
  }

  /** The first in the queue's order of a team's starved jobs, of all parts but one. */
  starvedElsewhere(team: string, except: string): StarvedJob | null {
    const here = [...this.ownedParts.values()].flatMap(({ part }) =>
      part.label === except ? [] : [...part.scheduler.starving.values()],
    );
    const there = this.peers.gossips().flatMap((gossip) => gossip.starving);
    let first: StarvedJob | null = null;
    for (const candidate of [...here, ...there]) {
      if (candidate.team !== team) continue;
      if (first === null || isAhead(candidate, first)) first = candidate;
    }
    return first;
  }

  /** Processors for live services in the parts of a zone. */
  liveRoomIn(zone: string): number {
    const isThere = (part: string): boolean => this.zoneOf.get(part) === zone;
    let cpus = 0;
    for (const { part } of this.ownedParts.values()) {
      if (isThere(part.label)) cpus += part.needs.liveRoom();
    }
    for (const gossip of this.peers.gossips()) {
      for (const host of gossip.hosts) {
        if (isThere(host.part) && !this.ownedParts.has(host.part)) cpus += host.liveRoom;
      }
    }
    return cpus;
  }
}

function isAhead(one: StarvedJob, other: StarvedJob): boolean {
  return one.rank > other.rank || (one.rank === other.rank && one.at < other.at);
}
