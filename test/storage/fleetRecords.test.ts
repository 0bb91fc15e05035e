/** The copy of the machines' records: which part a machine is in. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineInventory } from '../../src/storage/machineInventory.js';
import type { MachineGroupRecord } from '../../src/storage/records.js';

const group = (part: string): MachineGroupRecord => ({
  shard: part,
  ...{ type: 'm8', zone: 'a', spot: false, machines: { 'n-1': { launchedAt: 0 } } },
});

test('a machine that two groups name is in the same part for every node, whatever each heard of first', () => {
  const [one, other] = [new MachineInventory(), new MachineInventory()];
  one.note('rental', group('p'));
  one.note('adopted', group('q'));
  other.note('adopted', group('q'));
  other.note('rental', group('p'));
  assert.equal(one.get('n-1')?.shard, other.get('n-1')?.shard);
});
