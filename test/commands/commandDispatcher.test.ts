/**
 * Probes: the sockets that silent machines may hold, the order of probes, and failures that are no evidence; commands
 * without a lease.
 */
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
import { jobSpec } from '../support/jobSpec.js';

const MAX_SOCKETS = 120;

/** A shard with `count` machines, each last reached long ago, and a dispatcher that records the endpoints it calls. */
function createDispatcher(count: number, call: (endpoint: string) => Promise<Response>) {
  const shard = emptyShard(4);
  for (let i = 0; i < count; i++) {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: `h:${i}`,
    };
    shard.addMachine(`n-${i}`, record, 0).markReached(0);
  }
  const ownedShard = createOwnedShard(shard, { fencingToken: 1, revision: 1 }, 0);
  const calledEndpoints: string[] = [];
  const clock = { at: 100, now: () => clock.at };
  const leadership = {
    isLeaseValid: true,
    leaseExpiresAt: Infinity,
    advanceFencingToken: () => Promise.resolve(null),
  };
  const node: CommandDispatcherContext = {
    settings: { heartbeatInterval: 4, cores: 1, maxSockets: MAX_SOCKETS },
    clock,
    links: {
      machines: {
        call: (endpoint) => {
          calledEndpoints.push(endpoint);
          return call(endpoint);
        },
      },
    },
    leadership,
    audit: new AuditTrail('drone-0', () => 0),
    authority: new Authority({
      leadership,
      peers: { leaderOf: () => null },
      clock,
      leaderGracePeriod: 36,
    }),
    ownedShards: new Map([['p', ownedShard]]),
    requestSchedulingRound: () => undefined,
  };
  // Runs each turn of the event loop at once.
  const turns = new TurnQueue({ urgent: 4, ordinary: 0 }, (turn) => {
    turn();
  });
  return {
    shard,
    dispatcher: new CommandDispatcher(node, turns),
    calledEndpoints,
    clock,
    leadership,
  };
}

test('probes to silent machines hold at most half of the machine sockets, and all silent machines get their turn', async () => {
  const pending: ((error: Error) => void)[] = [];
  const { shard, dispatcher, calledEndpoints } = createDispatcher(
    40,
    () => new Promise((_, reject) => pending.push(reject)),
  );
  for (const machine of shard.machines.values()) machine.reachability.missedProbes = 1;
  const limit = MAX_SOCKETS / 12;
  dispatcher.sweep();
  assert.equal(calledEndpoints.length, limit);
  // A responsive machine is still probed.
  const [healthy] = shard.machines.values();
  if (healthy === undefined) throw new Error('no machine');
  healthy.reachability.missedProbes = 0;
  healthy.reachability.isProbeInFlight = false;
  dispatcher.sweep();
  assert.equal(calledEndpoints.filter((a) => a === 'h:0').length, 2);
  for (let turn = 0; turn < 4; turn++) {
    for (const fail of pending.splice(0)) fail(new HttpCallError('timed out', false));
    await new Promise((resolve) => setImmediate(resolve));
    dispatcher.sweep();
  }
  assert.equal(new Set(calledEndpoints).size, 40, 'some machines were never probed');
});

test('after a takeover machines are probed in batches, those with live services first', () => {
  const { shard, dispatcher, calledEndpoints, clock } = createDispatcher(
    1000,
    () => new Promise(() => undefined),
  );
  // Before the leases granted by the previous leader have expired.
  clock.at = 1;
  for (const machine of shard.machines.values()) machine.reachability.lastReachedAt = null;
  const serviceSpec = jobSpec({ id: 'wk-1', taskCount: 1, isService: true });
  const record = new Chunk(serviceSpec, 0, 'p', 0, 0, 1, null, 0).toRecord();
  const attempts = [{ task: 0, attemptNumber: 1, machine: 'n-999', agentEpoch: 1 }];
  shard.loadChunk(0, { ...record, attempts }, 1, 0);
  dispatcher.sweep();
  assert.equal(calledEndpoints[0], 'h:999');
  // One core may send 120 probes a second, here for one heartbeat interval.
  assert.equal(calledEndpoints.length, 480);
  dispatcher.sweep();
  assert.equal(new Set(calledEndpoints).size, 960, 'machines not probed yet are next');
});

for (const [name, error, elapsed, missedProbes] of [
  ['a probe that timed out is repeated at once', new HttpCallError('timed out', false), 1, 2],
  ['a refused connection is a miss', new HttpCallError('refused', true), 0, 1],
  [
    'a probe that found no free socket is no evidence',
    new HttpCallError('no socket', true, true),
    0,
    0,
  ],
] as const) {
  test(`a probe without a response: ${name}`, async () => {
    const { shard, dispatcher, clock } = createDispatcher(1, () => {
      clock.at += elapsed;
      return Promise.reject(error);
    });
    dispatcher.sweep();
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(shard.machines.get('n-0')?.reachability.missedProbes, missedProbes);
  });
}

test('without a valid lease neither probes nor commands are sent', () => {
  const { shard, dispatcher, calledEndpoints, leadership } = createDispatcher(
    3,
    () => new Promise(() => undefined),
  );
  leadership.isLeaseValid = false;
  for (const machine of shard.machines.values()) shard.machinesWithDueCommands.add(machine);
  dispatcher.send();
  dispatcher.sweep();
  assert.deepEqual(calledEndpoints, []);
});

test('without a valid lease only tasks of cancelled jobs are stopped', () => {
  const { shard, dispatcher, calledEndpoints, leadership } = createDispatcher(
    3,
    () => new Promise(() => undefined),
  );
  leadership.isLeaseValid = false;
  const record = new Chunk(jobSpec({ taskCount: 2 }), 0, 'p', 0, 0, 2, null, 0).toRecord();
  const attempts = [0, 1].map((n) => ({
    task: n,
    attemptNumber: 1,
    machine: `n-${n}`,
    agentEpoch: 1,
  }));
  const ids = ['wk-1', 'wk-2'];
  const chunks = attempts.map((entry, n) => {
    const chunkRecord = {
      ...record,
      spec: jobSpec({ id: ids[n] ?? '', taskCount: 2 }),
      attempts: [entry],
    };
    return shard.loadChunk(0, chunkRecord, 1, 0);
  });
  for (const [n, { task }] of attempts.entries()) {
    const machine = shard.machines.get(`n-${n}`);
    const name = `${ids[n] ?? ''}/${task}`;
    machine?.updateReportedAttempts([
      { task: name, attemptNumber: 1, state: 'running', cause: null, hasCheckpoint: false },
    ]);
  }
  const [cancelledChunk] = chunks;
  if (cancelledChunk === undefined) throw new Error('no chunk');
  shard.prepareCancel(cancelledChunk, 100);
  for (const machine of shard.machines.values()) shard.machinesWithDueCommands.add(machine);
  dispatcher.sweep();
  assert.deepEqual(calledEndpoints, ['h:0']);
});
