/**
 * Team limits across shards: each shard has a stored share of each limit, and the sum of the shares never exceeds the limit.
 * A shard uses no more than its share, counting attempts that may still run.
 */
import { describeError, log } from '../../base/log.js';
import type { Team } from '../../protocol/settings.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type QuotaRecord } from '../../storage/records.js';
import type { OwnedQuotaShard, QuotaContext } from './quotaContext.js';
import { zeroTeamResources, type TeamResources } from './teamUsage.js';

const RESOURCE_KINDS = ['cpus', 'gpus'] as const;

/** A team's limit from its settings, where 0 means no limit. */
export const limitOf = (team: Team): TeamResources => ({
  cpus: team.cpusMax > 0 ? team.cpusMax : Infinity,
  gpus: team.gpusMax > 0 ? team.gpusMax : Infinity,
});

/**
 * The shares after one shard has taken what it wants of the unallocated part of the limit. Its usage may exceed its share:
 * after a failover the new leader counts tasks whose ends the previous leader had not stored. Once those ends are known, a
 * share raised to that usage could make the tasks of all shards exceed the limit. This is a pure function, so that the sum
 * can be tested.
 */
export function rebalanceShares(
  shares: QuotaRecord,
  shard: string,
  used: TeamResources,
  want: TeamResources,
  limit: TeamResources,
): QuotaRecord {
  const before = shares[shard] ?? zeroTeamResources();
  const newShare = zeroTeamResources();
  for (const kind of RESOURCE_KINDS) {
    if (!Number.isFinite(limit[kind])) continue;
    let others = 0;
    for (const [label, share] of Object.entries(shares)) if (label !== shard) others += share[kind];
    const kept = Math.min(used[kind], before[kind]);
    newShare[kind] = Math.max(kept, Math.min(limit[kind] - others, used[kind] + want[kind]));
  }
  return { ...shares, [shard]: newShare };
}

/** A reduced share that may be stored already: it is in force until the record's revision exceeds `revision`. */
interface PendingReduction {
  share: TeamResources;
  revision: number;
}

/** The usable quota shares of the shards that this controller leads, and their rebalancing. */
export class QuotaShares<Owned extends OwnedQuotaShard = OwnedQuotaShard> {
  private isRebalancing = false;
  /** By `reductionKey`. */
  private readonly reductions = new Map<string, PendingReduction>();

  constructor(private readonly node: QuotaContext<Owned>) {}

  /** Resources that a shard may use of a team's limit; null if the team has no limit. */
  allowance(shard: string, teamName: string): TeamResources | null {
    const team = this.node.settings.teams.find(({ name }) => name === teamName);
    if (team === undefined) return null;
    const limit = limitOf(team);
    if (!isLimited(limit)) return null;
    const share = this.usableShare(shard, teamName);
    return {
      cpus: Number.isFinite(limit.cpus) ? share.cpus : Infinity,
      gpus: Number.isFinite(limit.gpus) ? share.gpus : Infinity,
    };
  }

  /** The stored share, or less while a reduction of it is being stored. */
  private usableShare(shard: string, team: string): TeamResources {
    const stored = this.node.stateCache.get(keys.quota(team));
    const share = (stored?.value as QuotaRecord | undefined)?.[shard] ?? zeroTeamResources();
    const reduction = this.reductions.get(reductionKey(shard, team));
    if (reduction === undefined || (stored?.revision ?? 0) > reduction.revision) return share;
    return minimum(share, reduction.share);
  }

  /** Increases shares for work that is queued here, and reduces those that other shards need. */
  async rebalance(): Promise<void> {
    if (this.isRebalancing || !this.node.leadership.isLeaseValid) return;
    this.isRebalancing = true;
    try {
      for (const team of this.node.settings.teams) {
        const limit = limitOf(team);
        if (!isLimited(limit)) continue;
        for (const label of this.node.ownedShards.keys())
          await this.rebalanceTeam(team, label, limit);
      }
    } catch (error) {
      log.debug(`rebalancing quota shares failed: ${describeError(error)}`);
    } finally {
      this.isRebalancing = false;
    }
  }

  private async rebalanceTeam(team: Team, label: string, limit: TeamResources): Promise<void> {
    const ownedShard = this.node.ownedShards.get(label);
    if (ownedShard === undefined) return;
    const { teamUsage, scheduler } = ownedShard.shard;
    const key = keys.quota(team.name);
    const stored = this.node.stateCache.get(key);
    const revision = stored?.revision ?? 0;
    const shares = (stored?.value ?? {}) as QuotaRecord;
    const used = teamUsage.usedBy(team.name);
    const newShares = rebalanceShares(
      shares,
      label,
      used,
      scheduler.pendingDemand(team.name),
      limit,
    );
    const before = this.usableShare(label, team.name);
    const after = newShares[label] ?? before;
    // Compared with the stored share: a reduction that was not stored is sent again.
    const isReduction = isBelow(after, shares[label] ?? zeroTeamResources());
    const mayReduce = isReduction && this.isThrottledElsewhere(team.name);
    if (!isBelow(before, after) && !mayReduce) return;
    // A reduction takes effect at once, before it is stored; an increase only once it is stored.
    this.reductions.set(reductionKey(label, team.name), {
      share: minimum(before, after),
      revision,
    });
    await this.store(ownedShard, key, newShares, revision);
  }

  /** Stores new shares if the record is unchanged; otherwise reads it again. */
  private async store(
    ownedShard: Owned,
    key: string,
    shares: QuotaRecord,
    revision: number,
  ): Promise<void> {
    const { persistence, stateCache, stateClient } = this.node;
    const transaction: Transaction = {
      conditions: [{ key, revision }],
      puts: [{ key, value: shares }],
      deletes: [],
    };
    const result = await persistence.write(ownedShard, transaction);
    if (result.kind === 'applied') {
      stateCache.applyPut(key, shares, result.revision);
      return;
    }
    const item = await stateClient.get(key);
    if (item !== null) stateCache.applyPut(key, item.value, item.revision);
  }

  private isThrottledElsewhere(team: string): boolean {
    return this.node.peers.gossips().some((gossip) => gossip.throttledTeams.includes(team));
  }
}

const isLimited = (limit: TeamResources): boolean =>
  Number.isFinite(limit.cpus) || Number.isFinite(limit.gpus);

/** Whether one amount is below the other in at least one resource. */
const isBelow = (one: TeamResources, other: TeamResources): boolean =>
  one.cpus < other.cpus || one.gpus < other.gpus;

const reductionKey = (shard: string, team: string): string => `${shard} ${team}`;

const minimum = (one: TeamResources, other: TeamResources): TeamResources => ({
  cpus: Math.min(one.cpus, other.cpus),
  gpus: Math.min(one.gpus, other.gpus),
});
