/** Guards against a machine that is adopted while the rental that launched it is still to be answered. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UnansweredLaunches } from '../../src/coordination/autoscaling/unansweredLaunches.js';
import type { ListedMachine } from '../../src/protocol/cloudProtocol.js';
import type { MachineGroupRecord } from '../../src/storage/records.js';
import { MachineInventory } from '../../src/storage/machineInventory.js';

const NOW = 1000;

const listed = (changes: Partial<ListedMachine>): ListedMachine => ({
  ...{ name: 'n-1', type: 'm8', zone: 'a', spot: true, status: 'running' },
  ...{ address: '127.0.0.1:1', age: 5 },
  ...changes,
});

const rental: MachineGroupRecord = {
  ...{ shard: 'p', type: 'm8', zone: 'a', spot: true, machines: {}, requestedCount: 2 },
};

for (const { name, machine, recordedAgo, group = rental, may } of [
  { name: 'launched since its rental was recorded', machine: {}, recordedAgo: 10, may: true },
  { name: 'launched before that', machine: { age: 50 }, recordedAgo: 10, may: false },
  { name: 'an earlier process has recorded the rental', machine: { age: 50 }, may: true },
  { name: 'of another type', machine: { type: 'm32' }, may: false },
  { name: 'in another zone', machine: { zone: 'b' }, may: false },
  { name: 'of the other market', machine: { spot: false }, may: false },
  {
    name: 'the rental has been answered',
    machine: {},
    group: { ...{ shard: 'p', type: 'm8', zone: 'a', spot: true }, machines: {} },
    may: false,
  },
]) {
  test(`a listed machine that an open rental may have launched: ${name}`, () => {
    let now = NOW;
    const inventory = new MachineInventory();
    const clock = { now: () => now, wall: () => now };
    const rentals = new UnansweredLaunches({ clock, inventory });
    if (recordedAgo !== undefined) {
      now -= recordedAgo;
      rentals.noteRecorded('rental');
      now = NOW;
    }
    inventory.update('rental', group);
    assert.equal(rentals.mayHaveLaunched(listed(machine)), may);
  });
}
