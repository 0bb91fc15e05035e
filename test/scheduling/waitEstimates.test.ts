/**
 * Wait estimates rest only on machines that work may count on. Guards against jobs that stay for ever, since a machine that
 * is gone seems to be free in a moment.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Machine } from '../../src/coordination/model/machine.js';
import { ShardFixture } from '../support/shardFixture.js';
import { spec } from '../support/spec.js';

const job = spec({ taskCount: 1, expectedRunSeconds: 10 });

const waitAt = (b: ShardFixture): number =>
  b.shard.waitEstimates.estimateWait({ spec: job, zone: null, count: 1, run: 10 }, b.now);

interface Case {
  name: string;
  heard: boolean;
  trouble: (b: ShardFixture, machine: Machine) => void;
  wait: number;
}

const cases: Case[] = [
  {
    name: 'was heard and does not respond any more',
    heard: true,
    trouble: (b, machine) => {
      b.missTwoProbes(machine);
    },
    wait: Infinity,
  },
  {
    name: 'was never heard and does not respond',
    heard: false,
    trouble: (b, machine) => {
      b.missTwoProbes(machine);
    },
    wait: Infinity,
  },
  {
    name: 'never came',
    heard: false,
    trouble: (b) => {
      b.now += 1000;
    },
    wait: Infinity,
  },
  {
    name: 'has a worker that reaches nobody',
    heard: true,
    trouble: (_b, machine) => {
      machine.reachability.isPartitioned = true;
    },
    wait: Infinity,
  },
  {
    name: 'is about to be taken by the cloud',
    heard: true,
    trouble: (b, machine) => {
      machine.preemptionDeadline = b.now + 20;
    },
    wait: Infinity,
  },
  {
    name: 'boots',
    heard: false,
    trouble: (b) => {
      b.now += 10;
    },
    wait: 20,
  },
  {
    name: 'is late: it may take as long again',
    heard: false,
    trouble: (b) => {
      b.now += 42;
    },
    wait: 12,
  },
];

for (const { name, heard, trouble, wait } of cases) {
  test(`the wait at a shard whose only machine ${name}`, () => {
    const b = new ShardFixture();
    trouble(b, b.machine('n-1', heard));
    assert.equal(waitAt(b), wait);
  });
}

test('after a restart a machine that ran long before is expected at once, not after another boot', () => {
  const b = new ShardFixture();
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  b.shard.addMachine('n-1', record, b.now, b.now, 1000);
  assert.equal(waitAt(b), 1);
  b.now += 8;
  assert.equal(waitAt(b), 8);
});

test('demands and the room for services leave out a machine that never came', () => {
  const b = new ShardFixture();
  b.machine('n-1', false);
  b.chunk({ taskCount: 1 });
  assert.equal(b.shard.demand.demands(b.now).length, 0);
  assert.equal(b.shard.demand.serviceHeadroom(b.now), 8);
  b.now += 1000;
  assert.equal(b.shard.demand.demands(b.now)[0]?.count, 1);
  assert.equal(b.shard.demand.serviceHeadroom(b.now), 0);
});
