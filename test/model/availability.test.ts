/** Whether work may count on a machine, and by which evidence. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  availabilityOf,
  isCapacity,
  type AvailabilityState,
} from '../../src/coordination/model/availability.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { ShardFixture } from '../support/shardFixture.js';

/** Boot time of the type, and time between heartbeats, in seconds: those of `Bench`. */
const BOOT_S = 30;
const HEARTBEAT_S = 3;

interface Case {
  name: string;
  /** The machine has been reached. */
  heard: boolean;
  change?: (machine: Machine, now: number) => void;
  after?: number;
  state: AvailabilityState;
  counts: boolean;
}

const cases: Case[] = [
  { name: 'it has been heard', heard: true, state: 'ready', counts: true },
  { name: 'it may still boot', heard: false, after: BOOT_S, state: 'booting', counts: true },
  {
    name: 'it boots late',
    heard: false,
    after: BOOT_S * 1.6 + HEARTBEAT_S * 2,
    state: 'booting',
    counts: true,
  },
  {
    name: 'it has not come long after its boot',
    heard: false,
    after: BOOT_S * 1.6 + HEARTBEAT_S * 2 + 1,
    state: 'overdue',
    counts: false,
  },
  {
    name: 'it has left one probe unanswered',
    heard: true,
    change: (machine, now) => {
      machine.reachability.noteMissedProbe(now);
    },
    state: 'ready',
    counts: true,
  },
  {
    name: 'it has been heard and leaves probes unanswered',
    heard: true,
    change: leaveProbesUnanswered,
    state: 'unresponsive',
    counts: false,
  },
  {
    name: 'it was never heard and leaves probes unanswered',
    heard: false,
    change: leaveProbesUnanswered,
    state: 'unresponsive',
    counts: false,
  },
  {
    name: 'its worker reaches nobody',
    heard: true,
    change: (machine) => {
      machine.reachability.isPartitioned = true;
    },
    state: 'partitioned',
    counts: false,
  },
  {
    name: 'the cloud takes it soon',
    heard: true,
    change: (machine, now) => {
      machine.preemptionDeadline = now + 20;
    },
    state: 'preempted',
    counts: false,
  },
  {
    name: 'it is offered back',
    heard: true,
    change: (machine) => {
      machine.isCordoned = true;
    },
    state: 'cordoned',
    counts: false,
  },
  {
    name: 'its lease has ended',
    heard: true,
    change: (machine) => {
      machine.isLost = true;
    },
    state: 'lost',
    counts: false,
  },
  {
    name: 'tasks have failed there',
    heard: true,
    change: (machine, now) => {
      machine.quarantinedUntil = now + 5;
    },
    state: 'quarantined',
    counts: true,
  },
];

function leaveProbesUnanswered(machine: Machine, now: number): void {
  machine.reachability.noteMissedProbe(now);
  machine.reachability.noteMissedProbe(now);
}

for (const { name, heard, change, after = 0, state, counts } of cases) {
  test(`what work may count on: ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine('n-1', heard);
    b.now += after;
    change?.(machine, b.now);
    const found = availabilityOf(machine, b.now);
    assert.equal(found.state, state);
    assert.equal(isCapacity(found.state), counts);
    assert.equal(machine.isSchedulable(b.now), state === 'ready');
  });
}

test('a machine that is heard counts again at once, whatever was thought of it', () => {
  for (const doubt of [leaveProbesUnanswered, (): void => undefined]) {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    b.now += 1000;
    doubt(machine, b.now);
    assert.equal(isCapacity(machine.availability(b.now)), false);
    b.report(machine, []);
    assert.equal(machine.availability(b.now), 'ready');
  }
});

test("after a takeover a machine's boot counts from its launch, and its worker has time to find us", () => {
  const b = new ShardFixture();
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  const old = b.shard.addMachine('n-1', record, b.now, b.now, 1000);
  assert.equal(old.availability(b.now + HEARTBEAT_S * 5), 'booting');
  assert.equal(old.availability(b.now + HEARTBEAT_S * 5 + 1), 'overdue');
  const young = b.shard.addMachine('n-2', record, b.now, b.now, 40);
  assert.equal(young.availability(b.now + HEARTBEAT_S * 5), 'booting');
  assert.equal(young.availability(b.now + HEARTBEAT_S * 5 + 1), 'overdue');
});
