/** What a node may do for a part, by its lease, its token and what peers say. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Authority, type HeartbeatDecision } from '../../src/coordination/leadership/authority.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { TOKENS_PER_LEADERSHIP } from '../../src/coordination/model/fencingTokenBlock.js';
import { emptyShard } from '../support/emptyShard.js';

const TOKEN = 5;
const GRACE = 36;

/** The lease ends at 100. */
const LEASE_END = 100;

for (const { name, now, seen = TOKEN, peer = null, isLost = false, answers, mayAct } of [
  { name: 'within the lease', now: 99, answers: { kind: 'answer' }, mayAct: true },
  { name: 'a lease that has ended, within the grace', now: 101, answers: { kind: 'answer' } },
  { name: 'at the end of the grace', now: 136, answers: { kind: 'answer' } },
  { name: 'past the grace', now: 136.1, answers: { kind: 'silent' } },
  {
    name: 'the worker has seen a later token of the same leadership',
    now: 99,
    seen: TOKEN + TOKENS_PER_LEADERSHIP - 1,
    answers: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'the worker has seen the token of a later leadership',
    now: 99,
    seen: TOKEN + TOKENS_PER_LEADERSHIP,
    answers: { kind: 'deposed' },
    mayAct: true,
  },
  {
    name: 'without a lease, and a peer says that it has adopted the part',
    now: 101,
    peer: { label: 'drone-1', fencingToken: TOKEN + 1 },
    answers: { kind: 'adopted', owner: 'drone-1' },
  },
  {
    name: 'with a lease, a peer that says so is asked of the store instead',
    now: 99,
    peer: { label: 'drone-1', fencingToken: TOKEN + 1 },
    answers: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'without a lease, and a peer speaks of an earlier ownership',
    now: 101,
    peer: { label: 'drone-1', fencingToken: TOKEN - 1 },
    answers: { kind: 'answer' },
  },
  { name: 'the part was lost', now: 99, isLost: true, answers: { kind: 'silent' } },
] satisfies {
  name: string;
  now: number;
  seen?: number;
  peer?: { label: string; fencingToken: number } | null;
  isLost?: boolean;
  answers: HeartbeatDecision;
  mayAct?: boolean;
}[]) {
  test(`what a node may do for a part: ${name}`, () => {
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
