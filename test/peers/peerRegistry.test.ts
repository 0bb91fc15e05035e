/** What is believed of peers, and what a node believes of itself after it stood still. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ShardLeadership,
  type Leadership,
} from '../../src/coordination/leadership/shardLeadership.js';
import { PeerRegistry } from '../../src/coordination/peers/peerRegistry.js';
import type { Gossip } from '../../src/protocol/peerMessages.js';
import type { Transaction } from '../../src/protocol/stateProtocol.js';
import { keys, type FencingTokenRecord } from '../../src/storage/records.js';
import type { StateCache } from '../../src/storage/stateCache.js';
import type { StateClient } from '../../src/storage/stateClient.js';
import { PeerClient } from '../../src/transport/peerLink.js';
import { MemoryStore } from '../support/store.js';

const REPORT = 4;
const SKEW = 0.1;

const gossip = (changes: Partial<Gossip>): Gossip => ({
  sender: 'q',
  process: 'x1',
  sequence: 10,
  sentAt: 1000,
  stateDemand: { requests: 0, writes: 0 },
  isServed: true,
  shards: [],
  demands: [],
  idleMachines: [],
  lostMachines: ['n-1'],
  teamUsage: [],
  throttledTeams: [],
  starvedJobs: [],
  ...changes,
});

const messages: { name: string; second: Partial<Gossip>; believed: boolean }[] = [
  { name: 'the next one', second: { sequence: 11, sentAt: 1000.5 }, believed: true },
  { name: 'a copy', second: {}, believed: false },
  { name: 'one that was overtaken', second: { sequence: 9, sentAt: 999.5 }, believed: false },
  { name: 'one held back by a cut', second: { sequence: 11, sentAt: 990 }, believed: false },
  { name: 'one of an earlier start', second: { process: 'x0', sentAt: 998 }, believed: false },
  {
    name: 'one of a later start',
    second: { process: 'x2', sequence: 1, sentAt: 1001 },
    believed: true,
  },
  { name: 'one of a stranger', second: { sender: 'z', sequence: 11 }, believed: false },
];
for (const { name, second, believed } of messages) {
  // They name machines to end, so what is long past must not be acted on.
  test(`a message of a peer: ${name}`, () => {
    const clock = { now: () => 50, wall: () => 1001 };
    const client = new PeerClient('127.0.0.1:1', 1, 1);
    const peers = new PeerRegistry(clock, REPORT, SKEW, [{ label: 'q', zone: 'a', client }]);
    peers.receiveGossip(gossip({}));
    peers.receiveGossip(gossip({ ...second, lostMachines: ['n-2'] }));
    assert.deepEqual(
      peers.gossips().flatMap((g) => g.lostMachines),
      [believed ? 'n-2' : 'n-1'],
    );
  });
}

const FRESH: FencingTokenRecord = { lastToken: 4 };
const histories: { name: string; tokens: FencingTokenRecord; key?: string; lostAt: number }[] = [
  { name: 'nobody had it', tokens: FRESH, lostAt: 0 },
  { name: 'we had it, our key has gone', tokens: had('p'), lostAt: 0 },
  { name: 'we had it, our key is there', tokens: had('p'), key: 'p', lostAt: 0 },
  { name: 'another had it last', tokens: had('q'), lostAt: 1000 },
  { name: 'we took it over, then restarted', tokens: had('p', { q: 990 }), key: 'p', lostAt: 990 },
  { name: 'we took it over, key gone', tokens: had('p', { q: 990 }), lostAt: 990 },
  { name: 'we had lost it and got it back', tokens: had('p', { p: 990 }), lostAt: 0 },
  { name: 'two lost it one after the other', tokens: had('r', { q: 990 }), lostAt: 1000 },
  { name: 'another lost it long ago', tokens: had('p', { q: 100 }), lostAt: 0 },
];
function had(node: string, lost: Record<string, number> = {}): FencingTokenRecord {
  return { lastToken: 4, lastLeaders: { p: { node, lostAtByNode: lost } } };
}
for (const { name, tokens, key, lostAt } of histories) {
  // An earlier owner that is cut off may answer its workers all that time, whoever restarts meanwhile.
  test(`who may still answer the workers of a part that is ours: ${name}`, async () => {
    const store = new MemoryStore();
    await store.transact({
      conditions: [],
      puts: [{ key: keys.fencingTokens, value: tokens }],
      deletes: [],
    });
    if (key !== undefined) {
      const value = { node: key, fencingToken: 4, process: 'before' };
      await store.transact({
        conditions: [],
        puts: [{ key: keys.leader('p'), value }],
        deletes: [],
      });
    }
    const gained: Leadership[] = [];
    const ownership = owner(store, (held) => gained.push(held));
    void ownership.run();
    while (gained.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
    assert.equal(gained[0]?.fencingToken, 5);
    assert.equal(gained[0].previousLeaderLostAt, lostAt);
    // Told of a higher token, it gives the part up; an old word changes nothing.
    ownership.stepDownIfFenced('p', 4);
    assert.ok(ownership.get('p') !== undefined);
    ownership.stepDownIfFenced('p', 6);
    assert.equal(ownership.get('p'), undefined);
    ownership.stop();
  });
}

function owner(store: MemoryStore, gained: (held: Leadership) => void): ShardLeadership {
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => Promise.resolve(true),
    get: (key: string) => store.get(key),
    transact: (txn: Transaction) => store.transact(txn),
  };
  const replica = {
    loaded: true,
    get: (key: string) => store.rows.get(key),
    catchUp: () => Promise.resolve(),
    note: () => undefined,
    noteRemoved: () => undefined,
  };
  return new ShardLeadership(
    client as unknown as StateClient,
    replica as unknown as StateCache,
    // It stands still: on a busy machine a lease of so short a time lapses between two steps.
    { now: () => 50, wall: () => 1000 },
    { label: 'p', process: 'x', shards: ['p'], leaseTtl: 0.05, leaderGracePeriod: 20 },
    {
      onGained: (part, held) => {
        if (part === 'p') gained(held);
      },
      onLost: () => undefined,
      awaitWrites: () => Promise.resolve(),
      isReadyToLead: () => false,
      mayClaim: () => true,
      isLeaderCompatible: () => true,
    },
  );
}

test('a node that stood still knows at once that its lease is over', async () => {
  // Its clocks ran on: before anything else is read or sent, what it may do is asked of the clock.
  const clock = { at: 10, now: () => clock.at, wall: () => clock.at };
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => new Promise<boolean>(() => undefined),
  };
  const ownership = new ShardLeadership(
    client as unknown as StateClient,
    { loaded: false } as StateCache,
    clock,
    { label: 'p', process: 'x', shards: ['p'], leaseTtl: 0.05, leaderGracePeriod: 20 },
    {
      onGained: () => undefined,
      onLost: () => undefined,
      awaitWrites: () => Promise.resolve(),
      isReadyToLead: () => false,
      mayClaim: () => true,
      isLeaderCompatible: () => true,
    },
  );
  void ownership.run();
  while (!ownership.isLeaseValid) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += 0.04;
  assert.equal(ownership.isLeaseValid, true);
  clock.at += 30;
  assert.equal(ownership.isLeaseValid, false);
  ownership.stop();
});

test('a state service that answers slowly does not end a right that is renewed', async () => {
  const clock = { at: 10, now: () => clock.at, wall: () => clock.at };
  const ttl = 0.05;
  const hung: ((yes: boolean) => void)[] = [];
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => new Promise<boolean>((resolve) => hung.push(resolve)),
  };
  const ownership = new ShardLeadership(
    client as unknown as StateClient,
    { loaded: false } as StateCache,
    clock,
    { label: 'p', process: 'x', shards: ['p'], leaseTtl: ttl, leaderGracePeriod: 20 },
    {
      onGained: () => undefined,
      onLost: () => undefined,
      awaitWrites: () => Promise.resolve(),
      isReadyToLead: () => false,
      mayClaim: () => true,
      isLeaderCompatible: () => true,
    },
  );
  void ownership.run();
  // Each is sent whether or not the one before has been answered, and counts from when it was sent.
  while (hung.length < 1) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += ttl * 0.6;
  while (hung.length < 4) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += ttl * 0.6;
  assert.equal(ownership.isLeaseValid, false);
  hung[3]?.(true);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(ownership.isLeaseValid, true);
  // One that was overtaken takes nothing back.
  hung[0]?.(true);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(ownership.isLeaseValid, true);
  ownership.stop();
});
