/** What a node may do for a shard, depending on its lease, its fencing token and the reports of peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Authority, type HeartbeatDecision } from '../../src/coordination/leadership/authority.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { TOKENS_PER_LEADERSHIP } from '../../src/coordination/model/fencingTokenBlock.js';
import { emptyShard } from '../support/emptyShard.js';

const FENCING_TOKEN = 5;
const GRACE_PERIOD = 36;

/** Time at which the lease expires. */
const LEASE_END = 100;

for (const {
  name,
  now,
  seenToken = FENCING_TOKEN,
  peer = null,
  isLost = false,
  decision,
  mayAct,
} of [
  { name: 'the lease is valid', now: 99, decision: { kind: 'answer' }, mayAct: true },
  {
    name: 'the lease has expired, within the grace period',
    now: 101,
    decision: { kind: 'answer' },
  },
  { name: 'at the end of the grace period', now: 136, decision: { kind: 'answer' } },
  { name: 'after the grace period', now: 136.1, decision: { kind: 'silent' } },
  {
    name: 'the worker has seen a later fencing token of the same leadership',
    now: 99,
    seenToken: FENCING_TOKEN + TOKENS_PER_LEADERSHIP - 1,
    decision: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'the worker has seen the fencing token of a later leadership',
    now: 99,
    seenToken: FENCING_TOKEN + TOKENS_PER_LEADERSHIP,
    decision: { kind: 'deposed' },
    mayAct: true,
  },
  {
    name: 'the lease has expired, and a peer reports that it leads the shard',
    now: 101,
    peer: { label: 'drone-1', fencingToken: FENCING_TOKEN + 1 },
    decision: { kind: 'adopted', owner: 'drone-1' },
  },
  {
    name: 'the lease is valid, so the state service decides and not the report of a peer',
    now: 99,
    peer: { label: 'drone-1', fencingToken: FENCING_TOKEN + 1 },
    decision: { kind: 'answer' },
    mayAct: true,
  },
  {
    name: 'the lease has expired, and a peer reports an earlier leadership',
    now: 101,
    peer: { label: 'drone-1', fencingToken: FENCING_TOKEN - 1 },
    decision: { kind: 'answer' },
  },
  { name: 'the shard was lost', now: 99, isLost: true, decision: { kind: 'silent' } },
] satisfies {
  name: string;
  now: number;
  seenToken?: number;
  peer?: { label: string; fencingToken: number } | null;
  isLost?: boolean;
  decision: HeartbeatDecision;
  mayAct?: boolean;
}[]) {
  test(`what a node may do for a shard: ${name}`, () => {
    const ownedShard = createOwnedShard(
      emptyShard(3),
      { fencingToken: FENCING_TOKEN, revision: 1 },
      0,
    );
    ownedShard.isOwned = !isLost;
    const authority = new Authority({
      leadership: { isLeaseValid: now < LEASE_END, leaseExpiresAt: LEASE_END },
      peers: { leaderOf: () => peer },
      clock: { now: () => now },
      leaderGracePeriod: GRACE_PERIOD,
    });
    assert.deepEqual(authority.decideHeartbeat(ownedShard, seenToken), decision);
    assert.equal(authority.mayAct(ownedShard), mayAct === true && !isLost);
  });
}
