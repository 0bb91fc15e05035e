/**
 * Team limits across parts: shares of each limit are handed out in the state service, and their sum
 * never passes the limit. A part uses no more than its share, whatever may still run included.
 */
import { describe, log } from '../../base/log.js';
import type { Team } from '../../protocol/settings.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type QuotaRecord } from '../../storage/records.js';
import type { OwnedQuotaShard, QuotaContext } from './quotaContext.js';
import { noTeamResources, type TeamResources } from './teamUsage.js';

const LIMITS = ['cpus', 'gpus'] as const;

/** 0 in the settings means that there is no limit. */
export const limitOf = (team: Team): TeamResources => ({
  cpus: team.cpusMax > 0 ? team.cpusMax : Infinity,
  gpus: team.gpusMax > 0 ? team.gpusMax : Infinity,
});

/**
 * The shares after one part has taken what it needs, from what is unshared only. What is used may be more than
 * the part's share: an adopter counts tasks whose ends its predecessor had not stored, and a share raised to
 * that would be the room for others once the ends are known, beyond the limit. Pure, so that the sum can be
 * tested.
 */
export function reshare(
  shares: QuotaRecord,
  shard: string,
  used: TeamResources,
  want: TeamResources,
  limit: TeamResources,
): QuotaRecord {
  const before = shares[shard] ?? noTeamResources();
  const mine = noTeamResources();
  for (const kind of LIMITS) {
    if (!Number.isFinite(limit[kind])) continue;
    let others = 0;
    for (const [label, share] of Object.entries(shares)) if (label !== shard) others += share[kind];
    const kept = Math.min(used[kind], before[kind]);
    mine[kind] = Math.max(kept, Math.min(limit[kind] - others, used[kind] + want[kind]));
  }
  return { ...shares, [shard]: mine };
}

/** A smaller share that may be stored already: binds until the record has a higher stamp than `stamp`. */
interface PendingReduction {
  share: TeamResources;
  revision: number;
}

export class QuotaShares<Owned extends OwnedQuotaShard = OwnedQuotaShard> {
  private busy = false;
  /** By team and part. */
  private readonly reductions = new Map<string, PendingReduction>();

  constructor(private readonly node: QuotaContext<Owned>) {}

  /** How much of a team's limit a part may use; null: there is no limit. */
  allowance(shard: string, name: string): TeamResources | null {
    const team = this.node.settings.teams.find((t) => t.name === name);
    if (team === undefined) return null;
    const limit = limitOf(team);
    if (!isLimited(limit)) return null;
    const share = this.usableShare(shard, name);
    return {
      cpus: Number.isFinite(limit.cpus) ? share.cpus : Infinity,
      gpus: Number.isFinite(limit.gpus) ? share.gpus : Infinity,
    };
  }

  /** The stored share, or less where a reduction of it is on its way. */
  private usableShare(shard: string, team: string): TeamResources {
    const stored = this.node.stateCache.get(keys.quota(team));
    const share = (stored?.value as QuotaRecord | undefined)?.[shard] ?? noTeamResources();
    const reduction = this.reductions.get(reductionKey(shard, team));
    if (reduction === undefined || (stored?.revision ?? 0) > reduction.revision) return share;
    return smaller(share, reduction.share);
  }

  /** Takes share for what waits here, and gives back what others are short of. */
  async balance(): Promise<void> {
    if (this.busy || !this.node.leadership.isLeaseValid) return;
    this.busy = true;
    try {
      for (const team of this.node.settings.teams) {
        const limit = limitOf(team);
        if (!isLimited(limit)) continue;
        for (const label of this.node.ownedShards.keys())
          await this.balanceTeam(team, label, limit);
      }
    } catch (error) {
      log.debug(`quotas: ${describe(error)}`);
    } finally {
      this.busy = false;
    }
  }

  private async balanceTeam(team: Team, label: string, limit: TeamResources): Promise<void> {
    const ownedShard = this.node.ownedShards.get(label);
    if (ownedShard === undefined) return;
    const { shard } = ownedShard;
    const key = keys.quota(team.name);
    const stored = this.node.stateCache.get(key);
    const revision = stored?.revision ?? 0;
    const shares = (stored?.value ?? {}) as QuotaRecord;
    const used = shard.teamUsage.usedBy(team.name);
    const want = shard.scheduler.wanted(team.name);
    const wanted = reshare(shares, label, used, want, limit);
    const before = this.usableShare(label, team.name);
    const after = wanted[label] ?? before;
    const isMore = after.cpus > before.cpus || after.gpus > before.gpus;
    const isLess = after.cpus < before.cpus || after.gpus < before.gpus;
    if (!isMore && !(isLess && this.isThrottledElsewhere(team.name))) return;
    // What shrinks binds at once, before it is stored; what grows may be used only once it is stored.
    this.reductions.set(reductionKey(label, team.name), {
      share: smaller(before, after),
      revision,
    });
    const transaction: Transaction = {
      conditions: [{ key, revision }],
      puts: [{ key, value: wanted }],
      deletes: [],
    };
    const result = await this.node.persistence.write(ownedShard, transaction);
    if (result.kind === 'applied') {
      this.node.stateCache.note(key, wanted, result.revision);
      return;
    }
    const item = await this.node.stateClient.get(key);
    if (item !== null) this.node.stateCache.note(key, item.value, item.revision);
  }

  private isThrottledElsewhere(team: string): boolean {
    return this.node.peers.gossips().some((gossip) => gossip.throttledTeams.includes(team));
  }
}

const isLimited = (limit: TeamResources): boolean =>
  Number.isFinite(limit.cpus) || Number.isFinite(limit.gpus);

const reductionKey = (shard: string, team: string): string => `${shard} ${team}`;

const smaller = (one: TeamResources, other: TeamResources): TeamResources => ({
  cpus: Math.min(one.cpus, other.cpus),
  gpus: Math.min(one.gpus, other.gpus),
});
