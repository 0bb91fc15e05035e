/**
 * Which gossip of peers is accepted, the previous leader of a gained shard, and the expiry of a node's own lease after a
 * pause.
 */
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
import { MemoryStore } from '../support/memoryStore.js';

const GOSSIP_VALIDITY = 4;
const CLOCK_SKEW = 0.1;

const createGossip = (changes: Partial<Gossip>): Gossip => ({
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

const messages: { name: string; changes: Partial<Gossip>; isAccepted: boolean }[] = [
  { name: 'the next message', changes: { sequence: 11, sentAt: 1000.5 }, isAccepted: true },
  { name: 'a copy', changes: {}, isAccepted: false },
  { name: 'an overtaken message', changes: { sequence: 9, sentAt: 999.5 }, isAccepted: false },
  {
    name: 'a message delayed by a partition',
    changes: { sequence: 11, sentAt: 990 },
    isAccepted: false,
  },
  {
    name: 'a message of an earlier process',
    changes: { process: 'x0', sentAt: 998 },
    isAccepted: false,
  },
  {
    name: 'a message of a later process',
    changes: { process: 'x2', sequence: 1, sentAt: 1001 },
    isAccepted: true,
  },
  {
    name: 'a message of an unknown peer',
    changes: { sender: 'z', sequence: 11 },
    isAccepted: false,
  },
];
for (const { name, changes, isAccepted } of messages) {
  // Gossip names machines to release, so an outdated message must not be acted on.
  test(`whether gossip is accepted: ${name}`, () => {
    const clock = { now: () => 50, wall: () => 1001 };
    const client = new PeerClient('127.0.0.1:1', 1, 1);
    const peers = new PeerRegistry(clock, GOSSIP_VALIDITY, CLOCK_SKEW, [
      { label: 'q', zone: 'a', client },
    ]);
    peers.receiveGossip(createGossip({}));
    peers.receiveGossip(createGossip({ ...changes, lostMachines: ['n-2'] }));
    assert.deepEqual(
      peers.gossips().flatMap((g) => g.lostMachines),
      [isAccepted ? 'n-2' : 'n-1'],
    );
  });
}

const NO_LEADER: FencingTokenRecord = { lastToken: 4 };
const takeoverCases: {
  name: string;
  record: FencingTokenRecord;
  storedLeader?: string;
  lostAt: number;
}[] = [
  { name: 'no previous leader', record: NO_LEADER, lostAt: 0 },
  { name: 'this node led it, its leader key is gone', record: ledBy('p'), lostAt: 0 },
  {
    name: 'this node led it, its leader key exists',
    record: ledBy('p'),
    storedLeader: 'p',
    lostAt: 0,
  },
  { name: 'another node led it last', record: ledBy('q'), lostAt: 1000 },
  {
    name: 'this node took it over, then restarted',
    record: ledBy('p', { q: 990 }),
    storedLeader: 'p',
    lostAt: 990,
  },
  {
    name: 'this node took it over, its leader key is gone',
    record: ledBy('p', { q: 990 }),
    lostAt: 990,
  },
  { name: 'this node lost it and regained it', record: ledBy('p', { p: 990 }), lostAt: 0 },
  {
    name: 'two other nodes lost it one after the other',
    record: ledBy('r', { q: 990 }),
    lostAt: 1000,
  },
  { name: 'another node lost it long ago', record: ledBy('p', { q: 100 }), lostAt: 0 },
];
function ledBy(node: string, lostAtByNode: Record<string, number> = {}): FencingTokenRecord {
  return { lastToken: 4, lastLeaders: { p: { node, lostAtByNode } } };
}
for (const { name, record, storedLeader, lostAt } of takeoverCases) {
  // A previous leader that is partitioned may answer its workers during that time, whichever node restarts meanwhile.
  test(`until when a previous leader may answer the workers of a gained shard: ${name}`, async () => {
    const store = new MemoryStore();
    await store.transact({
      conditions: [],
      puts: [{ key: keys.fencingTokens, value: record }],
      deletes: [],
    });
    if (storedLeader !== undefined) {
      const value = { node: storedLeader, fencingToken: 4, process: 'before' };
      await store.transact({
        conditions: [],
        puts: [{ key: keys.leader('p'), value }],
        deletes: [],
      });
    }
    const gained: Leadership[] = [];
    const leadership = createLeadership(store, (gainedLeadership) => gained.push(gainedLeadership));
    void leadership.run();
    while (gained.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
    assert.equal(gained[0]?.fencingToken, 5);
    assert.equal(gained[0].previousLeaderLostAt, lostAt);
    // A higher token makes the node relinquish the shard; an older one changes nothing.
    leadership.stepDownIfFenced('p', 4);
    assert.ok(leadership.get('p') !== undefined);
    leadership.stepDownIfFenced('p', 6);
    assert.equal(leadership.get('p'), undefined);
    leadership.stop();
  });
}

function createLeadership(
  store: MemoryStore,
  gained: (gainedLeadership: Leadership) => void,
): ShardLeadership {
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => Promise.resolve(true),
    get: (key: string) => store.get(key),
    transact: (txn: Transaction) => store.transact(txn),
  };
  const cache = {
    loaded: true,
    get: (key: string) => store.rows.get(key),
    catchUp: () => Promise.resolve(),
    applyPut: () => undefined,
    applyRemoval: () => undefined,
  };
  return new ShardLeadership(
    client as unknown as StateClient,
    cache as unknown as StateCache,
    // The clock stands still: on a busy machine such a short lease would expire between two steps.
    { now: () => 50, wall: () => 1000 },
    { label: 'p', process: 'x', shards: ['p'], leaseTtl: 0.05, leaderGracePeriod: 20 },
    {
      onGained: (shard, gainedLeadership) => {
        if (shard === 'p') gained(gainedLeadership);
      },
      onLost: () => undefined,
      awaitWrites: () => Promise.resolve(),
      isReadyToLead: () => false,
      mayClaim: () => true,
      isLeaderCompatible: () => true,
    },
  );
}

test('a node that was paused knows at once that its lease has expired', async () => {
  // The clock has advanced: before anything is read or sent, the validity of the lease is checked against it.
  const clock = { at: 10, now: () => clock.at, wall: () => clock.at };
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => new Promise<boolean>(() => undefined),
  };
  const leadership = new ShardLeadership(
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
  void leadership.run();
  while (!leadership.isLeaseValid) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += 0.04;
  assert.equal(leadership.isLeaseValid, true);
  clock.at += 30;
  assert.equal(leadership.isLeaseValid, false);
  leadership.stop();
});

test('slow answers of the state service do not end a lease that is renewed', async () => {
  const clock = { at: 10, now: () => clock.at, wall: () => clock.at };
  const ttl = 0.05;
  const pendingRenewals: ((isRenewed: boolean) => void)[] = [];
  const client = {
    grantLease: () => Promise.resolve(1),
    renewLease: () => new Promise<boolean>((resolve) => pendingRenewals.push(resolve)),
  };
  const leadership = new ShardLeadership(
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
  void leadership.run();
  // Each renewal is sent whether or not the previous one has been answered, and counts from when it was sent.
  while (pendingRenewals.length < 1) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += ttl * 0.6;
  while (pendingRenewals.length < 4) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.at += ttl * 0.6;
  assert.equal(leadership.isLeaseValid, false);
  pendingRenewals[3]?.(true);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(leadership.isLeaseValid, true);
  // The answer to an overtaken renewal does not shorten the lease.
  pendingRenewals[0]?.(true);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(leadership.isLeaseValid, true);
  leadership.stop();
});
