/** Leadership of shards: which shards a node may take itself to lead when answers arrive late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardLeadership } from '../../src/coordination/leadership/shardLeadership.js';
import { keys } from '../../src/storage/records.js';
import { until } from '../support/cluster.js';
import { MemoryStore } from '../support/store.js';

const LEASE_S = 4;

/** A node that claims its shard, with leases that the test expires. */
class Claimant {
  now = 0;
  readonly store = new MemoryStore();
  readonly gained: string[] = [];
  /** Delays the reading of the records after a claim. */
  catchUp: () => Promise<void> = () => Promise.resolve();
  private hold = 0;
  private readonly ended = new Set<number>();
  readonly ownership: ShardLeadership;

  constructor() {
    const client = {
      grantLease: () => Promise.resolve(++this.hold),
      renewLease: (hold: number) => Promise.resolve(!this.ended.has(hold)),
      get: this.store.get.bind(this.store),
      transact: this.store.transact.bind(this.store),
    };
    const replica = {
      loaded: true,
      get: (key: string) => this.store.rows.get(key),
      note: () => undefined,
      noteRemoved: () => undefined,
      catchUp: () => this.catchUp(),
    };
    this.ownership = new ShardLeadership(
      client,
      replica,
      { now: () => this.now, wall: () => this.now },
      { label: 'p', process: 'x', shards: ['p'], leaseTtl: LEASE_S, leaderGracePeriod: 10 },
      {
        onGained: (part) => {
          this.gained.push(part);
        },
        onLost: () => undefined,
        awaitWrites: () => Promise.resolve(),
        isReadyToLead: () => false,
        mayClaim: () => true,
        isLeaderCompatible: () => true,
      },
    );
  }

  /** Expires the lease at the state service, which removes the leader record attached to it. */
  endLease(): void {
    this.ended.add(this.hold);
    this.store.rows.delete(keys.leader('p'));
  }

  get leases(): number {
    return this.hold;
  }
}

test('a claim under a lease that expired meanwhile has no effect, although a new lease is valid', async (t) => {
  const c = new Claimant();
  t.after(() => {
    c.ownership.stop();
  });
  let readAll: () => void = () => undefined;
  let claims = 0;
  c.catchUp = () =>
    ++claims === 1 ? new Promise((resolve) => (readAll = resolve)) : new Promise(() => undefined);
  void c.ownership.run();
  await until('the claim is written', () => claims === 1);
  c.endLease();
  await until('a new lease is granted', () => c.leases === 2 && c.ownership.isLeaseValid);
  readAll();
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(
    c.gained,
    [],
    'the leader record was removed with the lease, and a peer may lead the shard',
  );
});

test('a claim under a lease that stays valid gains the leadership', async (t) => {
  const c = new Claimant();
  t.after(() => {
    c.ownership.stop();
  });
  void c.ownership.run();
  await until('it leads its shard', () => c.gained.includes('p'));
});
