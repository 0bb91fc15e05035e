/** Team limits across shards: the tasks that may run at once never exceed the limit, whatever fails between two steps. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import type { QuotaContext } from '../../src/coordination/quota/quotaContext.js';
import { QuotaShares, rebalanceShares } from '../../src/coordination/quota/quotaShares.js';
import type { TeamResources } from '../../src/coordination/quota/teamUsage.js';
import { keys, type QuotaRecord } from '../../src/storage/records.js';
import { emptyShard } from '../support/emptyShard.js';
import { jobSpec } from '../support/jobSpec.js';
import { MemoryStore } from '../support/memoryStore.js';

const KEY = keys.quota('crew');
const LIMIT: TeamResources = { cpus: 40, gpus: 10 };

/** A node that leads shards, with a cached copy of the quota record that is updated only by `sync` and its own writes. */
class QuotaTestNode {
  readonly ownedShards = new Map<string, OwnedShard>();
  readonly quotas: QuotaShares;
  isThrottledElsewhere = true;
  private readonly copies = new Map<string, { value: unknown; revision: number }>();

  constructor(
    readonly store: MemoryStore,
    limit = LIMIT,
  ) {
    const team = { name: 'crew', cpus: 0, gpus: 0, cpusMax: limit.cpus, gpusMax: limit.gpus };
    const node: QuotaContext = {
      settings: { teams: [team] },
      ownedShards: this.ownedShards,
      leadership: { isLeaseValid: true },
      peers: {
        gossips: () => (this.isThrottledElsewhere ? [{ throttledTeams: ['crew'] }] : []),
      },
      stateCache: {
        get: (key) => this.copies.get(key),
        applyPut: (key, value, revision) => {
          if ((this.copies.get(key)?.revision ?? -1) < revision)
            this.copies.set(key, { value, revision });
        },
      },
      stateClient: store,
      persistence: { write: (_, txn) => store.transact(txn) },
    };
    this.quotas = new QuotaShares(node);
  }

  lead(label: string, used: TeamResources = { cpus: 0, gpus: 0 }): OwnedShard {
    const ownedShard = createOwnedShard(emptyShard(3), { fencingToken: 1, revision: 1 }, 0);
    this.ownedShards.set(label, ownedShard);
    this.use(label, used);
    return ownedShard;
  }

  /** Counts placed tasks with these resources in total or, with negative amounts, ended ones. */
  use(label: string, { cpus, gpus }: TeamResources): void {
    this.ownedShards.get(label)?.shard.teamUsage.add(jobSpec({ team: 'crew', cpus, gpus }), 1);
  }

  /** Simulates a queued job with this demand. */
  want(label: string, { cpus, gpus }: TeamResources): void {
    const scheduler = this.ownedShards.get(label)?.shard.scheduler;
    if (scheduler !== undefined) scheduler.pendingDemand = () => ({ cpus, gpus });
  }

  allowance(label: string): TeamResources {
    return this.quotas.allowance(label, 'crew') ?? { cpus: Infinity, gpus: Infinity };
  }

  /** Updates the cached copy from the store. */
  sync(): void {
    const item = this.store.rows.get(KEY);
    if (item !== undefined) this.copies.set(KEY, { value: item.value, revision: item.revision });
  }
}

/** A store in which the shards have these quota shares. */
function storeWith(shares: QuotaRecord): MemoryStore {
  const store = new MemoryStore();
  store.revision = 1;
  store.rows.set(KEY, { key: KEY, value: shares, revision: 1 });
  return store;
}

const stored = (store: MemoryStore): QuotaRecord =>
  (store.rows.get(KEY)?.value ?? {}) as QuotaRecord;

test('a new leader that still counts tasks that have ended takes no share beyond the limit for them', () => {
  // The leader reduced the share by the ended tasks, and a peer took the rest. Then the leader crashed before the ends were
  // stored, so the new leader loads all twenty tasks.
  const shares = { a: { cpus: 12, gpus: 0 }, b: { cpus: 28, gpus: 0 } };
  const loadedUse = { cpus: 20, gpus: 0 };
  const after = rebalanceShares(shares, 'a', loadedUse, { cpus: 30, gpus: 0 }, LIMIT);
  assert.equal(
    after['a']?.cpus,
    12,
    'with a share of 20, eight more tasks could start once the ends are known',
  );
});

test('a share is not reduced below the use, even if the shares exceeded the limit before', () => {
  const shares = { a: { cpus: 20, gpus: 0 }, b: { cpus: 28, gpus: 0 } };
  const after = rebalanceShares(shares, 'a', { cpus: 16, gpus: 0 }, { cpus: 9, gpus: 0 }, LIMIT);
  assert.equal(after['a']?.cpus, 16);
});

test('the tasks on machines stay within the limit while leaders crash and others take over', () => {
  const random = seededRandom(11);
  const draw = (below: number): number => Math.floor(random() * below);
  const labels = ['a', 'b', 'c'];
  let shares: QuotaRecord = {};
  // `running`: tasks on machines; `unknownEnds`: ended tasks that the leader still counts; `unstoredEnds`: ends that the leader
  // knows, but has not stored.
  const running: Record<string, number> = { a: 0, b: 0, c: 0 };
  const unknownEnds: Record<string, number> = { a: 0, b: 0, c: 0 };
  const unstoredEnds: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let step = 0; step < 100_000; step++) {
    const shard = labels[draw(3)] ?? 'a';
    const of = (counts: Record<string, number>): number => counts[shard] ?? 0;
    const used = of(running) + of(unknownEnds);
    const share = shares[shard]?.cpus ?? 0;
    switch (draw(5)) {
      case 0: {
        const ended = draw(Math.min(6, of(running)) + 1);
        running[shard] = of(running) - ended;
        unstoredEnds[shard] = of(unstoredEnds) + ended;
        break;
      }
      case 1: // The leader crashes, and the new leader loads the stored state.
        unknownEnds[shard] = of(unknownEnds) + of(unstoredEnds);
        unstoredEnds[shard] = 0;
        break;
      case 2: // Workers send heartbeats.
        unknownEnds[shard] = 0;
        break;
      case 3: // Tasks are placed; the write of the placements also stores the ends.
        if (used < share) {
          running[shard] = of(running) + share - used;
          unstoredEnds[shard] = 0;
        }
        break;
      default:
        shares = rebalanceShares(
          shares,
          shard,
          { cpus: used, gpus: 0 },
          { cpus: draw(30), gpus: 0 },
          LIMIT,
        );
    }
    const all = labels.reduce((sum, label) => sum + (running[label] ?? 0), 0);
    assert.ok(all <= LIMIT.cpus, `${all} CPUs in use in step ${step}`);
  }
});

test('a share that grows in CPUs and shrinks in accelerators: the growth is usable only once it is stored', async () => {
  for (const outcome of ['refused', 'lost'] as const) {
    const store = storeWith({ a: { cpus: 10, gpus: 5 } });
    const node = new QuotaTestNode(store);
    node.sync();
    node.lead('a', { cpus: 10, gpus: 0 });
    node.want('a', { cpus: 20, gpus: 0 });
    if (outcome === 'refused') store.refuseNext = 1;
    else store.withholdNext = true;
    await node.quotas.rebalance();
    assert.deepEqual(node.allowance('a'), { cpus: 10, gpus: 0 }, outcome);
  }
});

test('a reduction without an answer stays in force until the record has changed', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 } });
  const node = new QuotaTestNode(store);
  node.sync();
  node.lead('a', { cpus: 5, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  store.withholdNext = true;
  await node.quotas.rebalance();
  assert.equal(
    node.allowance('a').cpus,
    5,
    'the reduction may be stored, and a peer may take the rest',
  );
  assert.equal(store.applyWithheld().kind, 'applied');
  node.sync();
  assert.equal(node.allowance('a').cpus, 5);
  node.want('a', { cpus: 50, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(node.allowance('a').cpus, 40);
});

// Guards against a share that nobody can use: a reduction that was not stored counted as made, and was not sent again.
test('a reduction that was not stored is sent again, whatever became of the first', async () => {
  for (const outcome of ['refused', 'lost', 'late'] as const) {
    const store = storeWith({ a: { cpus: 30, gpus: 0 } });
    const node = new QuotaTestNode(store);
    node.sync();
    node.lead('a', { cpus: 5, gpus: 0 });
    node.want('a', { cpus: 0, gpus: 0 });
    if (outcome === 'refused') store.refuseNext = 1;
    else store.withholdNext = true;
    await node.quotas.rebalance();
    assert.equal(stored(store)['a']?.cpus, 30);
    await node.quotas.rebalance();
    assert.equal(stored(store)['a']?.cpus, 5, outcome);
    assert.equal(node.allowance('a').cpus, 5);
    if (outcome === 'late') assert.equal(store.applyWithheld().kind, 'conflict');
  }
});

test('a share whose reduction was refused can be used again', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 } });
  const node = new QuotaTestNode(store);
  node.sync();
  node.lead('a', { cpus: 5, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  store.refuseNext = 1;
  await node.quotas.rebalance();
  node.want('a', { cpus: 25, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(node.allowance('a').cpus, 30);
});

test('a pending reduction is not written by a node that has lost the shard in the meantime', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 }, b: { cpus: 10, gpus: 0 } });
  const node = new QuotaTestNode(store);
  node.sync();
  node.lead('a', { cpus: 5, gpus: 0 });
  node.lead('b', { cpus: 10, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  node.want('b', { cpus: 0, gpus: 0 });
  store.refuseNext = 1;
  await node.quotas.rebalance();
  // The shard's next leader relies on the stored share and uses all of it.
  node.ownedShards.delete('a');
  node.want('b', { cpus: 20, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(stored(store)['a']?.cpus, 30);
  assert.equal(node.allowance('b').cpus, 10);
});
