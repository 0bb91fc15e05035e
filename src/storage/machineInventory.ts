/**
 * The machines, by name. They are stored in groups, one for each rental: with a record a machine, the
 * state service's changes would be used up by bookkeeping while a thousand of them come up.
 *
 * A machine should be in one group. Where the records of several name it, all nodes have to agree on its shard, whatever
 * order they heard of the records in: every claim is kept, and a rule on the records alone chooses the one that counts.
 */
import type { MachineGroupRecord, MachineRecord } from './records.js';

/** A group's record names a machine. */
interface Claim {
  readonly group: string;
  readonly record: MachineRecord;
}

/** What a change of one group's record did to the inventory. */
export interface InventoryChange {
  /** Machines with a record that is new, or may have changed. */
  present: [string, MachineRecord][];
  /** Machines that no record names any more. */
  gone: string[];
}

/** The claim that counts is the one of the earliest launch; group names decide between equal ones. */
function comesFirst(claim: Claim, other: Claim): boolean {
  const difference = claim.record.launchedAt - other.record.launchedAt;
  return difference === 0 ? claim.group < other.group : difference < 0;
}

/** The machines by name, as far as the state cache has followed. */
export class MachineInventory {
  /** The claims that count. */
  private readonly machines = new Map<string, Claim>();
  /** The other claims, for the few machines that have any. */
  private readonly otherClaims = new Map<string, Claim[]>();
  private readonly groups = new Map<string, MachineGroupRecord>();
  /** Machines of each type, by shard. */
  private readonly counts = new Map<string, Map<string, number>>();

  /** How many machines there are. */
  get size(): number {
    return this.machines.size;
  }

  /** One machine, by its name. */
  get(name: string): MachineRecord | undefined {
    return this.machines.get(name)?.record;
  }

  /** The groups that name a machine, that of its shard first. */
  groupsOf(name: string): string[] {
    return this.claimsOf(name).map(({ group }) => group);
  }

  /** The names of all machines. */
  names(): IterableIterator<string> {
    return this.machines.keys();
  }

  /** The machines of a shard. */
  *of(shard: string): IterableIterator<[string, MachineRecord]> {
    for (const [name, { record }] of this.machines)
      if (record.shard === shard) yield [name, record];
  }

  /** Machines that groups of different shards name. */
  contested(): string[] {
    return [...this.otherClaims.keys()].filter((name) => {
      const shard = this.get(name)?.shard;
      return this.otherClaims.get(name)?.some(({ record }) => record.shard !== shard) === true;
    });
  }

  /** The group is a rental that has not been answered yet. */
  isIntention(group: string): boolean {
    return this.groups.get(group)?.requestedCount !== undefined;
  }

  /** One group's record, as it is now. */
  group(name: string): MachineGroupRecord | undefined {
    return this.groups.get(name);
  }

  /** All groups by their names. */
  entries(): IterableIterator<[string, MachineGroupRecord]> {
    return this.groups.entries();
  }

  /** How many machines of each type a shard has. */
  countsOf(shard: string): ReadonlyMap<string, number> {
    return this.counts.get(shard) ?? new Map<string, number>();
  }

  /** Follows one group's record; null: it has been removed. */
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

  /** Replaces a group's claim to a machine; null: it has none any more. */
  private setClaim(
    name: string,
    group: string,
    claim: Claim | null,
    change: InventoryChange,
  ): void {
    const before = this.machines.get(name);
    const claims = this.claimsOf(name).filter((other) => other.group !== group);
    if (claim !== null) claims.push(claim);
    claims.sort((a, b) => (comesFirst(a, b) ? -1 : 1));
    const [first, ...others] = claims;
    if (others.length === 0) this.otherClaims.delete(name);
    else this.otherClaims.set(name, others);
    if (before !== undefined) this.count(before.record, -1);
    if (first === undefined) {
      this.machines.delete(name);
      if (before !== undefined) change.gone.push(name);
      return;
    }
    this.count(first.record, 1);
    this.machines.set(name, first);
    if (first !== before) change.present.push([name, first.record]);
  }

  /** All claims to a machine, the one that counts first. */
  private claimsOf(name: string): Claim[] {
    const claim = this.machines.get(name);
    return claim === undefined ? [] : [claim, ...(this.otherClaims.get(name) ?? [])];
  }

  private count({ shard, type }: MachineRecord, by: number): void {
    const types = this.counts.get(shard) ?? new Map<string, number>();
    this.counts.set(shard, types);
    types.set(type, (types.get(type) ?? 0) + by);
  }
}
