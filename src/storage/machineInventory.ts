/**
 * The machines, by name. They are stored in groups, one for each rental: with a record a machine, the
 * state service's changes would be used up by bookkeeping while a thousand of them come up.
 */
import type { MachineGroupRecord, MachineRecord } from './records.js';

interface InventoryEntry {
  group: string;
  record: MachineRecord;
}

/** What a change of one group's record did to the inventory. */
export interface InventoryChange {
  present: [string, MachineRecord][];
  gone: string[];
}

/** The machines by name, as far as the state cache has followed. */
export class MachineInventory {
  private readonly machines = new Map<string, InventoryEntry>();
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

  /** The group that a machine is in. */
  groupOf(name: string): string | undefined {
    return this.machines.get(name)?.group;
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

  /** The group is a rental that has not been answered yet. */
  isIntention(group: string): boolean {
    return this.groups.get(group)?.requestedCount !== undefined;
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
  note(group: string, value: MachineGroupRecord | null): InventoryChange {
    const before = this.groups.get(group);
    const change: InventoryChange = { present: [], gone: [] };
    if (value === null) this.groups.delete(group);
    else this.groups.set(group, value);
    for (const name of Object.keys(before?.machines ?? {})) {
      // A machine is in one group only; a late word of another group does not take it away.
      if (value?.machines[name] !== undefined || this.groupOf(name) !== group) continue;
      const known = this.machines.get(name);
      if (known !== undefined) this.count(known.record, -1);
      this.machines.delete(name);
      change.gone.push(name);
    }
    if (value === null) return change;
    const { shard, type, zone, spot } = value;
    for (const [name, machine] of Object.entries(value.machines)) {
      const known = this.machines.get(name);
      if (known !== undefined && known.group !== group) continue;
      if (known !== undefined) this.count(known.record, -1);
      const record: MachineRecord = { shard, type, zone, spot, ...machine };
      this.count(record, 1);
      this.machines.set(name, { group, record });
      change.present.push([name, record]);
    }
    return change;
  }

  private count({ shard, type }: MachineRecord, by: number): void {
    const types = this.counts.get(shard) ?? new Map<string, number>();
    this.counts.set(shard, types);
    types.set(type, (types.get(type) ?? 0) + by);
  }
}
