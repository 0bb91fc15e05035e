/**
 * Team limits across parts: shares of each limit are handed out in the state service, and their sum
 * never passes the limit. A part uses no more than its share, whatever may still run included.
 */
import { describe, log } from '../base/log.js';
import type { Team } from '../protocol/settings.js';
import { keys, type QuotaRecord } from '../storage/records.js';
import type { Controller } from './controller.js';
import type { Amount } from './teamUsage.js';

const LIMITS = ['cpus', 'gpus'] as const;

/** 0 in the settings means that there is no limit. */
export const limitOf = (team: Team): Amount => ({
  cpus: team.cpusMax > 0 ? team.cpusMax : Infinity,
  gpus: team.gpusMax > 0 ? team.gpusMax : Infinity,
});

/**
 * The shares after one part has taken what it needs: from what is unshared first, and only that; a
 * part gives back what it does not use. Pure, so that the sum can be tested.
 */
export function reshare(
  shares: QuotaRecord,
  part: string,
  used: Amount,
  want: Amount,
  limit: Amount,
): QuotaRecord {
  const mine = { cpus: 0, gpus: 0 };
  for (const kind of LIMITS) {
    if (!Number.isFinite(limit[kind])) continue;
    let others = 0;
    for (const [label, share] of Object.entries(shares)) if (label !== part) others += share[kind];
    mine[kind] = Math.max(used[kind], Math.min(limit[kind] - others, used[kind] + want[kind]));
  }
  return { ...shares, [part]: mine };
}

export class Quotas {
  private busy = false;

  constructor(private readonly node: Controller) {}

  allowance(part: string, name: string): Amount | null {
    const team = this.node.settings.teams.find((t) => t.name === name);
    if (team === undefined) return null;
    const limit = limitOf(team);
    if (!Number.isFinite(limit.cpus) && !Number.isFinite(limit.gpus)) return null;
    const record = this.node.replica.get(keys.quota(name))?.value as QuotaRecord | undefined;
    const share = record?.[part] ?? { cpus: 0, gpus: 0 };
    return {
      cpus: Number.isFinite(limit.cpus) ? share.cpus : Infinity,
      gpus: Number.isFinite(limit.gpus) ? share.gpus : Infinity,
    };
  }

  /** Takes share for what waits here, and gives back what others are short of. */
  async balance(): Promise<void> {
    if (this.busy || !this.node.ownership.valid) return;
    this.busy = true;
    try {
      for (const team of this.node.settings.teams) {
        const limit = limitOf(team);
        if (!Number.isFinite(limit.cpus) && !Number.isFinite(limit.gpus)) continue;
        for (const label of this.node.ownedParts.keys()) await this.balanceTeam(team, label, limit);
      }
    } catch (error) {
      log.debug(`quotas: ${describe(error)}`);
    } finally {
      this.busy = false;
    }
  }

  private async balanceTeam(team: Team, label: string, limit: Amount): Promise<void> {
    const host = this.node.ownedParts.get(label);
    if (host === undefined) return;
    const { part } = host;
    const want = part.scheduler.wanted(team.name);
    const key = keys.quota(team.name);
    const stored = this.node.replica.get(key);
    const shares = (stored?.value ?? {}) as QuotaRecord;
    const wanted = reshare(shares, label, part.teams.usedBy(team.name), want, limit);
    const before = shares[label] ?? { cpus: 0, gpus: 0 };
    const after = wanted[label] ?? before;
    const throttledElsewhere = this.node.peers
      .gossips()
      .some((g) => g.throttled.includes(team.name));
    const more = after.cpus > before.cpus || after.gpus > before.gpus;
    const less = after.cpus < before.cpus || after.gpus < before.gpus;
    if (!more && !(less && throttledElsewhere)) return;
    // A smaller share binds at once, before it is stored: nothing new may be placed above it.
    if (less && stored !== undefined) stored.value = { ...shares, [label]: after };
    const txn = {
      when: [{ key, stamp: stored?.stamp ?? 0 }],
      puts: [{ key, value: wanted }],
      removes: [],
    };
    const result = await this.node.commits.write(host, txn);
    if (result.kind === 'applied') this.node.replica.note(key, wanted, result.stamp);
    else {
      const item = await this.node.state.get(key);
      if (item !== null) this.node.replica.note(key, item.value, item.stamp);
    }
  }
}
