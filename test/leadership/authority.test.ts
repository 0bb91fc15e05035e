/** What a node may do for a shard, depending on its lease, its fencing token and the reports of peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Authority, type HeartbeatDecision } from '../../src/coordination/leadership/authority.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { TOKENS_PER_LEADERSHIP } from '../../src/coordination/model/fencingTokenBlock.js';
import { emptyShard } from '../support/emptyShard.js';

const TOKEN = 5;
const GRACE = 36;

/** Time at which the lease expires. */
const LEASE_END = 100;

for (const { name, now, seen = TOKEN, peer = null, isLost = false, answers, mayAct } of [
  { name: 'the lease is valid', now: 99, answers: { kind: 'answer' }, mayAct: true },
  { name: 'the lease has expired, within the grace period', now: 101, answers: { kind: 'answer' } },
  { name: 'at the end of the grace period', now: 136, answers: { kind: 'answer' } },
  { name: 'after the grace period', now: 136.1, answers: { kind: 'silent' } },
  {
    name: 'the worker has seen a later fencing token of the same leadership',
    now: 99,
    seen: TOKEN + TOKENS_PER_LEADERSHIP - 1,
    answers: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'the worker has seen the fencing token of a later leadership',
    now: 99,
    seen: TOKEN + TOKENS_PER_LEADERSHIP,
    answers: { kind: 'deposed' },
    mayAct: true,
  },
  {
    name: 'the lease has expired, and a peer reports that it leads the shard',
    now: 101,
    peer: { label: 'drone-1', fencingToken: TOKEN + 1 },
    answers: { kind: 'adopted', owner: 'drone-1' },
  },
  {
    name: 'the lease is valid, so the state service decides and not the report of a peer',
    now: 99,
    peer: { label: 'drone-1', fencingToken: TOKEN + 1 },
    answers: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'the lease has expired, and a peer reports an earlier leadership',
    now: 101,
    peer: { label: 'drone-1', fencingToken: TOKEN - 1 },
    answers: { kind: 'answer' },
  },
  { name: 'the shard was lost', now: 99, isLost: true, answers: { kind: 'silent' } },
] satisfies {
  name: string;
  now: number;
  seen?: number;
  peer?: { label: string; fencingToken: number } | null;
  isLost?: boolean;
  answers: HeartbeatDecision;
  mayAct?: boolean;
}[]) {
  test(`what a node may do for a shard: ${name}`, () => {
    const host = createOwnedShard(emptyShard(3), { fencingToken: TOKEN, revision: 1 }, 0);
    host.isOwned = !isLost;
    const authority = new Authority({
      leadership: { isLeaseValid: now < LEASE_END, leaseExpiresAt: LEASE_END },
      peers: { leaderOf: () => peer },
      clock: { now: () => now },
      leaderGracePeriod: GRACE,
    });
    assert.deepEqual(authority.decideHeartbeat(host, seen), answers);
    assert.equal(authority.mayAct(host), mayAct === true && !isLost);
  });
}
