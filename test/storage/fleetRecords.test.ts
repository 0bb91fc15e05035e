/** The machine inventory: which shard a machine is in if several groups name it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MachineInventory } from '../../src/storage/machineInventory.js';
import type { MachineGroupRecord } from '../../src/storage/records.js';

const group = (shard: string): MachineGroupRecord => ({
  shard,
  ...{ type: 'm8', zone: 'a', spot: false, machines: { 'n-1': { launchedAt: 0 } } },
});

test('a machine that two groups name is in the same shard on every node, in whatever order the records arrive', () => {
  const [one, other] = [new MachineInventory(), new MachineInventory()];
  one.update('rental', group('p'));
  one.update('adopted', group('q'));
  other.update('adopted', group('q'));
  other.update('rental', group('p'));
  assert.equal(one.get('n-1')?.shard, other.get('n-1')?.shard);
});

/** Returns everything that an inventory can be queried for, to compare two inventories. */
function contentOf(inventory: MachineInventory): unknown {
  const names = [...inventory.names()].sort();
  return {
    machines: names.map((name) => [name, inventory.get(name), inventory.groupsOf(name)]),
    counts: ['p', 'q'].map((shard) =>
      [...inventory.countsOf(shard)].filter(([, count]) => count > 0),
    ),
    ofShards: ['p', 'q'].map((shard) =>
      [...inventory.machinesOf(shard)].map(([name]) => name).sort(),
    ),
    contested: inventory.contested().sort(),
  };
}

const names = ['n-1', 'n-2', 'n-3'];

/** A group's record, or null for its removal. */
const record = fc.option(
  fc.record({
    shard: fc.constantFrom('p', 'q'),
    launches: fc.dictionary(fc.constantFrom(...names), fc.constantFrom(0, 1), {
      noNullPrototype: true,
    }),
  }),
);
const changes = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), record), { maxLength: 12 });

test('an inventory equals one that is loaded from scratch, whatever the order and repetition of changes', () => {
  fc.assert(
    fc.property(changes, fc.infiniteStream(fc.nat({ max: 2 })), (history, order) => {
      const followed = new MachineInventory();
      const stored = new Map<string, MachineGroupRecord>();
      for (const [name, change] of history) {
        const machines = Object.entries(change?.launches ?? {}).map(
          ([machine, launchedAt]) => [machine, { launchedAt }] as const,
        );
        const value =
          change === null
            ? null
            : { ...group(change.shard), machines: Object.fromEntries(machines) };
        followed.update(name, value);
        if (value === null) stored.delete(name);
        else stored.set(name, value);
      }
      const loaded = new MachineInventory();
      const ranked = [...stored].map((row) => ({ row, rank: order.next().value ?? 0 }));
      const rows = ranked.sort((a, b) => a.rank - b.rank).map(({ row }) => row);
      for (const [name, value] of [...rows, ...rows]) loaded.update(name, value);
      assert.deepEqual(contentOf(followed), contentOf(loaded));
    }),
  );
});

test('a machine is gone only once no group names it; until then a remaining claim takes effect', () => {
  const inventory = new MachineInventory();
  inventory.update('rental', group('p'));
  inventory.update('adopted', group('q'));
  const shard = inventory.get('n-1')?.shard;
  assert.deepEqual(inventory.contested(), ['n-1']);
  const [first = '', other = ''] = inventory.groupsOf('n-1');
  assert.deepEqual(inventory.update(first, null).gone, []);
  assert.notEqual(inventory.get('n-1')?.shard, shard);
  assert.deepEqual(inventory.contested(), []);
  assert.deepEqual(inventory.update(other, null).gone, ['n-1']);
});
