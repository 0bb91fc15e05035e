/** Leadership of shards: which shards a node may take itself to lead when answers arrive late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardLeadership } from '../../src/coordination/leadership/shardLeadership.js';
import { keys } from '../../src/storage/records.js';
import { until } from '../support/cluster.js';
import { MemoryStore } from '../support/memoryStore.js';

const LEASE_SECONDS = 4;

/** A node that claims its shard, with leases that the test expires. */
class Claimant {
  now = 0;
  readonly store = new MemoryStore();
  readonly gained: string[] = [];
  /** Delays the reading of the records after a claim. */
  catchUp: () => Promise<void> = () => Promise.resolve();
  private leaseId = 0;
  private readonly expired = new Set<number>();
  readonly leadership: ShardLeadership;

  constructor() {
    const client = {
      grantLease: () => Promise.resolve(++this.leaseId),
      renewLease: (leaseId: number) => Promise.resolve(!this.expired.has(leaseId)),
      get: this.store.get.bind(this.store),
      transact: this.store.transact.bind(this.store),
    };
    const stateCache = {
      loaded: true,
      get: (key: string) => this.store.rows.get(key),
      applyPut: () => undefined,
      applyRemoval: () => undefined,
      catchUp: () => this.catchUp(),
    };
    this.leadership = new ShardLeadership(
      client,
      stateCache,
      { now: () => this.now, wall: () => this.now },
      { label: 'p', process: 'x', shards: ['p'], leaseTtl: LEASE_SECONDS, leaderGracePeriod: 10 },
      {
        onGained: (shard) => {
          this.gained.push(shard);
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
  expireLease(): void {
    this.expired.add(this.leaseId);
    this.store.rows.delete(keys.leader('p'));
  }

  get grantedLeases(): number {
    return this.leaseId;
  }
}

test('a claim under a lease that expired meanwhile has no effect, although a new lease is valid', async (t) => {
  const claimant = new Claimant();
  t.after(() => {
    claimant.leadership.stop();
  });
  let finishCatchUp: () => void = () => undefined;
  let claims = 0;
  claimant.catchUp = () =>
    ++claims === 1
      ? new Promise((resolve) => (finishCatchUp = resolve))
      : new Promise(() => undefined);
  void claimant.leadership.run();
  await until('the claim is written', () => claims === 1);
  claimant.expireLease();
  await until(
    'a new lease is granted',
    () => claimant.grantedLeases === 2 && claimant.leadership.isLeaseValid,
  );
  finishCatchUp();
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(
    claimant.gained,
    [],
    'the leader record was removed with the lease, and a peer may lead the shard',
  );
});

test('a claim under a lease that stays valid gains the leadership', async (t) => {
  const claimant = new Claimant();
  t.after(() => {
    claimant.leadership.stop();
  });
  void claimant.leadership.run();
  await until('it leads its shard', () => claimant.gained.includes('p'));
});
