/** Guards against the adoption of a machine while the launch request that may have created it is unanswered. */
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

const requestedGroup: MachineGroupRecord = {
  ...{ shard: 'p', type: 'm8', zone: 'a', spot: true, machines: {}, requestedCount: 2 },
};

for (const { name, machine, recordedSecondsAgo, group = requestedGroup, mayHaveLaunched } of [
  {
    name: 'launched after the request was recorded',
    machine: {},
    recordedSecondsAgo: 10,
    mayHaveLaunched: true,
  },
  {
    name: 'launched before that',
    machine: { age: 50 },
    recordedSecondsAgo: 10,
    mayHaveLaunched: false,
  },
  {
    name: 'an earlier process has recorded the request',
    machine: { age: 50 },
    mayHaveLaunched: true,
  },
  { name: 'of another type', machine: { type: 'm32' }, mayHaveLaunched: false },
  { name: 'in another zone', machine: { zone: 'b' }, mayHaveLaunched: false },
  {
    name: 'an on-demand machine for a spot request',
    machine: { spot: false },
    mayHaveLaunched: false,
  },
  {
    name: 'the request has been answered',
    machine: {},
    group: { ...{ shard: 'p', type: 'm8', zone: 'a', spot: true }, machines: {} },
    mayHaveLaunched: false,
  },
]) {
  test(`whether an unanswered launch request may have launched a listed machine: ${name}`, () => {
    let now = NOW;
    const inventory = new MachineInventory();
    const clock = { now: () => now, wall: () => now };
    const launches = new UnansweredLaunches({ clock, inventory });
    if (recordedSecondsAgo !== undefined) {
      now -= recordedSecondsAgo;
      launches.noteRecorded('request');
      now = NOW;
    }
    inventory.update('request', group);
    assert.equal(launches.mayHaveLaunched(listed(machine)), mayHaveLaunched);
  });
}
