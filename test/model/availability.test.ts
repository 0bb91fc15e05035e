/** Availability of machines, and the evidence for it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  availabilityOf,
  isCapacity,
  type AvailabilityState,
} from '../../src/coordination/model/availability.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { ShardFixture } from '../support/shardFixture.js';

/** Boot time of the machine type and heartbeat interval in seconds, as in `ShardFixture`. */
const BOOT_S = 30;
const HEARTBEAT_S = 3;

interface Case {
  name: string;
  /** Whether the machine has been reached. */
  isReached: boolean;
  change?: (machine: Machine, now: number) => void;
  after?: number;
  state: AvailabilityState;
  hasCapacity: boolean;
}

const cases: Case[] = [
  { name: 'it has been reached', isReached: true, state: 'ready', hasCapacity: true },
  {
    name: 'it may still be booting',
    isReached: false,
    after: BOOT_S,
    state: 'booting',
    hasCapacity: true,
  },
  {
    name: 'its boot is late',
    isReached: false,
    after: BOOT_S * 1.6 + HEARTBEAT_S * 2,
    state: 'booting',
    hasCapacity: true,
  },
  {
    name: 'it has not been reached long after its boot time',
    isReached: false,
    after: BOOT_S * 1.6 + HEARTBEAT_S * 2 + 1,
    state: 'overdue',
    hasCapacity: false,
  },
  {
    name: 'it has missed one probe',
    isReached: true,
    change: (machine, now) => {
      machine.reachability.noteMissedProbe(now);
    },
    state: 'ready',
    hasCapacity: true,
  },
  {
    name: 'it has been reached and misses probes',
    isReached: true,
    change: missTwoProbes,
    state: 'unresponsive',
    hasCapacity: false,
  },
  {
    name: 'it was never reached and misses probes',
    isReached: false,
    change: missTwoProbes,
    state: 'unresponsive',
    hasCapacity: false,
  },
  {
    name: 'its worker reaches no controller',
    isReached: true,
    change: (machine) => {
      machine.reachability.isPartitioned = true;
    },
    state: 'partitioned',
    hasCapacity: false,
  },
  {
    name: 'the cloud is about to preempt it',
    isReached: true,
    change: (machine, now) => {
      machine.preemptionDeadline = now + 20;
    },
    state: 'preempted',
    hasCapacity: false,
  },
  {
    name: 'it is to be released',
    isReached: true,
    change: (machine) => {
      machine.isCordoned = true;
    },
    state: 'cordoned',
    hasCapacity: false,
  },
  {
    name: 'the lease of its worker has expired',
    isReached: true,
    change: (machine) => {
      machine.isLost = true;
    },
    state: 'lost',
    hasCapacity: false,
  },
  {
    name: 'tasks have failed on it',
    isReached: true,
    change: (machine, now) => {
      machine.quarantinedUntil = now + 5;
    },
    state: 'quarantined',
    hasCapacity: true,
  },
];

function missTwoProbes(machine: Machine, now: number): void {
  machine.reachability.noteMissedProbe(now);
  machine.reachability.noteMissedProbe(now);
}

for (const { name, isReached, change, after = 0, state, hasCapacity } of cases) {
  test(`availability of a machine: ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', isReached);
    fixture.now += after;
    change?.(machine, fixture.now);
    const found = availabilityOf(machine, fixture.now);
    assert.equal(found.state, state);
    assert.equal(isCapacity(found.state), hasCapacity);
    assert.equal(machine.isSchedulable(fixture.now), state === 'ready');
  });
}

test('a machine is ready again as soon as a heartbeat is received, whatever its state was before', () => {
  for (const degrade of [missTwoProbes, (): void => undefined]) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    fixture.now += 1000;
    degrade(machine, fixture.now);
    assert.equal(isCapacity(machine.availability(fixture.now)), false);
    fixture.applyHeartbeat(machine, []);
    assert.equal(machine.availability(fixture.now), 'ready');
  }
});

test("after a takeover a machine's boot time counts from its launch, and its worker has time to find the new leader", () => {
  const fixture = new ShardFixture();
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  const old = fixture.shard.addMachine('n-1', record, fixture.now, fixture.now, 1000);
  assert.equal(old.availability(fixture.now + HEARTBEAT_S * 5), 'booting');
  assert.equal(old.availability(fixture.now + HEARTBEAT_S * 5 + 1), 'overdue');
  const young = fixture.shard.addMachine('n-2', record, fixture.now, fixture.now, 40);
  assert.equal(young.availability(fixture.now + HEARTBEAT_S * 5), 'booting');
  assert.equal(young.availability(fixture.now + HEARTBEAT_S * 5 + 1), 'overdue');
});
