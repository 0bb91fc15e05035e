/** Pure functions that choose the shard of a machine and limit the number of machines in a record. */
import { MAX_RENTAL_COUNT } from '../../protocol/cloudProtocol.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import type { MachineGroupRecord } from '../../storage/records.js';

/** Bytes of a machine's name, launch time and address in its group's record, with room for long ones. */
const MACHINE_BYTES = 120;

/** Share of a record's size limit that the machines of a group may use. */
const RECORD_SHARE = 0.8;

/** Most machines that a group may have, so that its record, and copies of it in a transaction, stay within the limits. */
export function groupLimit(valueBytes: number): number {
  const fitting = Math.floor((valueBytes * RECORD_SHARE) / MACHINE_BYTES);
  return Math.max(1, Math.min(MAX_RENTAL_COUNT, fitting));
}

/** The same machines in groups of at most `limit`. */
export function splitGroup(group: MachineGroupRecord, limit: number): MachineGroupRecord[] {
  const machines = Object.entries(group.machines);
  const groups: MachineGroupRecord[] = [];
  for (let from = 0; from < machines.length; from += limit) {
    groups.push({ ...group, machines: Object.fromEntries(machines.slice(from, from + limit)) });
  }
  return groups;
}

/** The parts of a controller that the choice of a shard depends on. */
export interface MachineGroupContext {
  shards: string[];
  zoneOf: ReadonlyMap<string, string>;
  machineTypes: ReadonlyMap<string, { cpus: number }>;
  inventory: Pick<MachineInventory, 'countsOf'>;
}

/**
 * Chooses the shard for machines. They go to a shard of their own zone, so that a partition between zones leaves shards
 * whole: to the shard that wants them, or else to the one with the fewest CPUs.
 */
export function chooseShardFor(
  node: MachineGroupContext,
  zone: string,
  wanted: string,
  /** Machines that are being launched for a shard. */
  pending: Iterable<{ shard: string; type: string; count: number }> = [],
): string {
  const inZone = node.shards.filter((shard) => node.zoneOf.get(shard) === zone);
  const candidates = inZone.length > 0 ? inZone : node.shards;
  if (candidates.includes(wanted)) return wanted;
  const cpus = new Map(candidates.map((shard) => [shard, 0]));
  const add = (shard: string, type: string, count: number): void => {
    const before = cpus.get(shard);
    if (before !== undefined)
      cpus.set(shard, before + count * (node.machineTypes.get(type)?.cpus ?? 1));
  };
  for (const shard of candidates) {
    for (const [type, count] of node.inventory.countsOf(shard)) add(shard, type, count);
  }
  for (const { shard, type, count } of pending) add(shard, type, count);
  return candidates.reduce((a, b) => ((cpus.get(b) ?? 0) < (cpus.get(a) ?? 0) ? b : a));
}
