/**
 * Wait estimates are based on available machines only. Guards against jobs that are never migrated because a machine that is
 * gone seems about to be free.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Machine } from '../../src/coordination/model/machine.js';
import { ShardFixture } from '../support/shardFixture.js';
import { jobSpec } from '../support/jobSpec.js';

const job = jobSpec({ taskCount: 1, expectedRunSeconds: 10 });

const waitAt = (fixture: ShardFixture): number =>
  fixture.shard.waitEstimates.estimateWait(
    { spec: job, zone: null, count: 1, run: 10 },
    fixture.now,
  );

interface Case {
  name: string;
  isReached: boolean;
  degrade: (fixture: ShardFixture, machine: Machine) => void;
  wait: number;
}

const cases: Case[] = [
  {
    name: 'was reached and no longer responds',
    isReached: true,
    degrade: (fixture, machine) => {
      fixture.missTwoProbes(machine);
    },
    wait: Infinity,
  },
  {
    name: 'was never reached and does not respond',
    isReached: false,
    degrade: (fixture, machine) => {
      fixture.missTwoProbes(machine);
    },
    wait: Infinity,
  },
  {
    name: 'never booted',
    isReached: false,
    degrade: (fixture) => {
      fixture.now += 1000;
    },
    wait: Infinity,
  },
  {
    name: 'has a worker that reaches no controller',
    isReached: true,
    degrade: (_fixture, machine) => {
      machine.reachability.isPartitioned = true;
    },
    wait: Infinity,
  },
  {
    name: 'is about to be preempted by the cloud',
    isReached: true,
    degrade: (fixture, machine) => {
      machine.preemptionDeadline = fixture.now + 20;
    },
    wait: Infinity,
  },
  {
    name: 'is booting',
    isReached: false,
    degrade: (fixture) => {
      fixture.now += 10;
    },
    wait: 20,
  },
  {
    name: 'boots late: it may take as long again',
    isReached: false,
    degrade: (fixture) => {
      fixture.now += 42;
    },
    wait: 12,
  },
];

for (const { name, isReached, degrade, wait } of cases) {
  test(`the estimated wait at a shard whose only machine ${name}`, () => {
    const fixture = new ShardFixture();
    degrade(fixture, fixture.addMachine('n-1', isReached));
    assert.equal(waitAt(fixture), wait);
  });
}

test('after a restart of the controller, a machine launched long ago is expected at once, not after another boot', () => {
  const fixture = new ShardFixture();
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  fixture.shard.addMachine('n-1', record, fixture.now, fixture.now, 1000);
  assert.equal(waitAt(fixture), 1);
  fixture.now += 8;
  assert.equal(waitAt(fixture), 8);
});

test('demands and the headroom for services exclude a machine that never booted', () => {
  const fixture = new ShardFixture();
  fixture.addMachine('n-1', false);
  fixture.addChunk({ taskCount: 1 });
  assert.equal(fixture.shard.demand.demands(fixture.now).length, 0);
  assert.equal(fixture.shard.demand.serviceHeadroom(fixture.now), 8);
  fixture.now += 1000;
  assert.equal(fixture.shard.demand.demands(fixture.now)[0]?.count, 1);
  assert.equal(fixture.shard.demand.serviceHeadroom(fixture.now), 0);
});
