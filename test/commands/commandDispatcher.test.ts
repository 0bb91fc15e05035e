/** Questions to machines: what silent ones may hold, and what says nothing of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AuditTrail } from '../../src/coordination/audit/auditTrail.js';
import { Authority } from '../../src/coordination/leadership/authority.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import {
  CommandDispatcher,
  type CommandDispatcherContext,
} from '../../src/coordination/commands/commandDispatcher.js';
import { HttpCallError, type Response } from '../../src/transport/httpClient.js';
import { TurnQueue } from '../../src/transport/turnQueue.js';
import { emptyShard } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';

const SOCKETS = 120;

/** A part of so many machines with live services, each last heard from long ago. */
function fixture(count: number, call: (endpoint: string) => Promise<Response>) {
  const part = emptyShard(4);
  for (let i = 0; i < count; i++) {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: `h:${i}`,
    };
    part.addMachine(`n-${i}`, record, 0).markReached(0);
  }
  const host = createOwnedShard(part, { fencingToken: 1, revision: 1 }, 0);
  const asked: string[] = [];
  const clock = { at: 100, now: () => clock.at };
  const ownership = {
    isLeaseValid: true,
    leaseExpiresAt: Infinity,
    advanceFencingToken: () => Promise.resolve(null),
  };
  const node: CommandDispatcherContext = {
    settings: { heartbeatInterval: 4, cores: 1, maxSockets: SOCKETS },
    clock,
    links: {
      machines: {
        call: (endpoint) => {
          asked.push(endpoint);
          return call(endpoint);
        },
      },
    },
    leadership: ownership,
    audit: new AuditTrail('drone-0', () => 0),
    authority: new Authority({
      leadership: ownership,
      peers: { leaderOf: () => null },
      clock,
      leaderGracePeriod: 36,
    }),
    ownedShards: new Map([['p', host]]),
    requestSchedulingRound: () => undefined,
  };
  // Turns of the event loop that follow each other at once.
  const turns = new TurnQueue({ urgent: 4, ordinary: 0 }, (turn) => {
    turn();
  });
  return { part, orders: new CommandDispatcher(node, turns), asked, clock, ownership };
}

test('machines that are silent hold half of the sockets for machines, and take turns', async () => {
  const pending: ((error: Error) => void)[] = [];
  const { part, orders, asked } = fixture(40, () => new Promise((_, no) => pending.push(no)));
  for (const machine of part.machines.values()) machine.reachability.missedProbes = 1;
  const most = SOCKETS / 12;
  orders.sweep();
  assert.equal(asked.length, most);
  // A healthy one is asked all the same.
  const [healthy] = part.machines.values();
  if (healthy === undefined) throw new Error('no machine');
  healthy.reachability.missedProbes = 0;
  healthy.reachability.isProbeInFlight = false;
  orders.sweep();
  assert.equal(asked.filter((a) => a === 'h:0').length, 2);
  for (let turn = 0; turn < 4; turn++) {
    for (const fail of pending.splice(0)) fail(new HttpCallError('timed out', false));
    await new Promise((resolve) => setImmediate(resolve));
    orders.sweep();
  }
  assert.equal(new Set(asked).size, 40, 'some were never asked');
});

test('after a takeover machines are asked a few at a time, those with live services first', () => {
  const { part, orders, asked, clock } = fixture(1000, () => new Promise(() => undefined));
  // Before the leases that an earlier owner gave have run out.
  clock.at = 1;
  for (const machine of part.machines.values()) machine.reachability.lastReachedAt = null;
  const live = spec({ id: 'wk-1', taskCount: 1, isService: true });
  const record = new Chunk(live, 0, 'p', 0, 0, 1, null, 0).toRecord();
  const entries = [{ task: 0, attemptNumber: 1, machine: 'n-999', agentEpoch: 1 }];
  part.loadChunk(0, { ...record, attempts: entries }, 1, 0);
  orders.sweep();
  assert.equal(asked[0], 'h:999');
  // One core may ask 120 a second, here for the time between two reports.
  assert.equal(asked.length, 480);
  orders.sweep();
  assert.equal(new Set(asked).size, 960, 'those not asked yet go next');
});

for (const [name, error, took, missed] of [
  ['one that timed out is asked once more at once', new HttpCallError('timed out', false), 1, 2],
  ['one that was refused was missed', new HttpCallError('refused', true), 0, 1],
  [
    'one for which no socket was left says nothing',
    new HttpCallError('no socket', true, true),
    0,
    0,
  ],
] as const) {
  test(`a question without an answer: ${name}`, async () => {
    const { part, orders, clock } = fixture(1, () => {
      clock.at += took;
      return Promise.reject(error);
    });
    orders.sweep();
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(part.machines.get('n-0')?.reachability.missedProbes, missed);
  });
}

test('without a valid lease nothing is asked or ordered', () => {
  const { part, orders, asked, ownership } = fixture(3, () => new Promise(() => undefined));
  ownership.isLeaseValid = false;
  for (const machine of part.machines.values()) part.machinesWithDueCommands.add(machine);
  orders.send();
  orders.sweep();
  assert.deepEqual(asked, []);
});

test('without a valid lease what users have asked to cancel is ended all the same, and nothing else', () => {
  const { part, orders, asked, ownership } = fixture(3, () => new Promise(() => undefined));
  ownership.isLeaseValid = false;
  const record = new Chunk(spec({ taskCount: 2 }), 0, 'p', 0, 0, 2, null, 0).toRecord();
  const entries = [0, 1].map((n) => ({
    task: n,
    attemptNumber: 1,
    machine: `n-${n}`,
    agentEpoch: 1,
  }));
  const ids = ['wk-1', 'wk-2'];
  const chunks = entries.map((entry, n) => {
    const of = { ...record, spec: spec({ id: ids[n] ?? '', taskCount: 2 }), attempts: [entry] };
    return part.loadChunk(0, of, 1, 0);
  });
  for (const [n, { task }] of entries.entries()) {
    const machine = part.machines.get(`n-${n}`);
    const name = `${ids[n] ?? ''}/${task}`;
    machine?.updateReportedAttempts([
      { task: name, attemptNumber: 1, state: 'running', cause: null, hasCheckpoint: false },
    ]);
  }
  const [unwanted] = chunks;
  if (unwanted === undefined) throw new Error('no chunk');
  part.prepareCancel(unwanted, 100);
  for (const machine of part.machines.values()) part.machinesWithDueCommands.add(machine);
  orders.sweep();
  assert.deepEqual(asked, ['h:0']);
});
