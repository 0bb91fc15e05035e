/**
 * Inventory of the machines. They are stored in groups, one record per rental: with one record per machine, bookkeeping
 * would use up the write rate of the state service while a thousand machines boot.
 *
 * A machine should be in one group. If the records of several groups name it, all nodes must agree on its shard, in
 * whatever order they received the records. So every claim is kept, and the effective one is chosen by the records alone.
 */
import type { MachineGroupRecord, MachineRecord } from './records.js';

/** A machine as one group's record names it. */
interface Claim {
  readonly group: string;
  readonly record: MachineRecord;
}

/** The effect of a changed group record on the inventory. */
export interface InventoryChange {
  /** Machines whose effective record is new or may have changed. */
  present: [string, MachineRecord][];
  /** Machines that no group names any more. */
  gone: string[];
}

/** Whether a claim takes precedence over another: the earliest launch does, and then the lower group name. */
function takesPrecedence(claim: Claim, other: Claim): boolean {
  const difference = claim.record.launchedAt - other.record.launchedAt;
  return difference === 0 ? claim.group < other.group : difference < 0;
}

/** The machines by name, as recent as the state cache. */
export class MachineInventory {
  /** The effective claim to each machine. */
  private readonly effectiveClaims = new Map<string, Claim>();
  /** Further claims, for the few machines that have any. */
  private readonly otherClaims = new Map<string, Claim[]>();
  private readonly groups = new Map<string, MachineGroupRecord>();
  /** Number of machines by shard and type. */
  private readonly counts = new Map<string, Map<string, number>>();

  /** Number of machines. */
  get size(): number {
    return this.effectiveClaims.size;
  }

  /** Returns a machine by name. */
  get(name: string): MachineRecord | undefined {
    return this.effectiveClaims.get(name)?.record;
  }

  /** Returns the groups that name a machine, the one of its effective claim first. */
  groupsOf(name: string): string[] {
    return this.claimsOf(name).map(({ group }) => group);
  }

  /** Returns the names of all machines. */
  names(): IterableIterator<string> {
    return this.effectiveClaims.keys();
  }

  /** Returns the machines of a shard. */
  *machinesOf(shard: string): IterableIterator<[string, MachineRecord]> {
    for (const [name, { record }] of this.effectiveClaims)
      if (record.shard === shard) yield [name, record];
  }

  /** Returns the machines that groups of different shards name. */
  contested(): string[] {
    return [...this.otherClaims.keys()].filter((name) => {
      const shard = this.get(name)?.shard;
      return this.otherClaims.get(name)?.some(({ record }) => record.shard !== shard) === true;
    });
  }

  /** Whether a group is a rental that the cloud has not answered yet. */
  isPendingRental(group: string): boolean {
    return this.groups.get(group)?.requestedCount !== undefined;
  }

  /** Returns the current record of a group. */
  group(name: string): MachineGroupRecord | undefined {
    return this.groups.get(name);
  }

  /** Returns all groups by name. */
  entries(): IterableIterator<[string, MachineGroupRecord]> {
    return this.groups.entries();
  }

  /** Returns the number of machines of each type that a shard has. */
  countsOf(shard: string): ReadonlyMap<string, number> {
    return this.counts.get(shard) ?? new Map<string, number>();
  }

  /** Applies a changed group record; `value` is null if the record was removed. */
  update(group: string, value: MachineGroupRecord | null): InventoryChange {
    const before = this.groups.get(group);
    const change: InventoryChange = { present: [], gone: [] };
    if (value === null) this.groups.delete(group);
    else this.groups.set(group, value);
    for (const name of Object.keys(before?.machines ?? {})) {
      if (value?.machines[name] === undefined) this.setClaim(name, group, null, change);
    }
    if (value === null) return change;
    const { shard, type, zone, spot } = value;
    for (const [name, machine] of Object.entries(value.machines)) {
      const record: MachineRecord = { shard, type, zone, spot, ...machine };
      this.setClaim(name, group, { group, record }, change);
    }
    return change;
  }

  /** Replaces a group's claim to a machine, or removes it if `claim` is null. */
  private setClaim(
    name: string,
    group: string,
    claim: Claim | null,
    change: InventoryChange,
  ): void {
    const before = this.effectiveClaims.get(name);
    const claims = this.claimsOf(name).filter((other) => other.group !== group);
    if (claim !== null) claims.push(claim);
    claims.sort((a, b) => (takesPrecedence(a, b) ? -1 : 1));
    const [effective, ...others] = claims;
    if (others.length === 0) this.otherClaims.delete(name);
    else this.otherClaims.set(name, others);
    if (before !== undefined) this.count(before.record, -1);
    if (effective === undefined) {
      this.effectiveClaims.delete(name);
      if (before !== undefined) change.gone.push(name);
      return;
    }
    this.count(effective.record, 1);
    this.effectiveClaims.set(name, effective);
    if (effective !== before) change.present.push([name, effective.record]);
  }

  /** Returns all claims to a machine, the effective one first. */
  private claimsOf(name: string): Claim[] {
    const claim = this.effectiveClaims.get(name);
    return claim === undefined ? [] : [claim, ...(this.otherClaims.get(name) ?? [])];
  }

  private count({ shard, type }: MachineRecord, difference: number): void {
    const types = this.counts.get(shard) ?? new Map<string, number>();
    this.counts.set(shard, types);
    types.set(type, (types.get(type) ?? 0) + difference);
  }
}
