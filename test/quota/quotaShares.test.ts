/** Team limits across parts: what may run at once never passes the limit, whatever fails between two steps. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import type { QuotaContext } from '../../src/coordination/quota/quotaContext.js';
import { QuotaShares, rebalanceShares } from '../../src/coordination/quota/quotaShares.js';
import type { TeamResources } from '../../src/coordination/quota/teamUsage.js';
import { keys, type QuotaRecord } from '../../src/storage/records.js';
import { emptyShard } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';
import { MemoryStore } from '../support/store.js';

const KEY = keys.quota('crew');
const LIMIT: TeamResources = { cpus: 40, gpus: 10 };

/** One node that hosts parts, and its copy of the shares, which is as old as the test leaves it. */
class SharingNode {
  readonly ownedParts = new Map<string, OwnedShard>();
  readonly quotas: QuotaShares;
  throttledElsewhere = true;
  private readonly copies = new Map<string, { value: unknown; revision: number }>();

  constructor(
    readonly store: MemoryStore,
    limit = LIMIT,
  ) {
    const team = { name: 'crew', cpus: 0, gpus: 0, cpusMax: limit.cpus, gpusMax: limit.gpus };
    const node: QuotaContext = {
      settings: { teams: [team] },
      ownedShards: this.ownedParts,
      leadership: { isLeaseValid: true },
      peers: {
        gossips: () => (this.throttledElsewhere ? [{ throttledTeams: ['crew'] }] : []),
      },
      stateCache: {
        get: (key) => this.copies.get(key),
        note: (key, value, revision) => {
          if ((this.copies.get(key)?.revision ?? -1) < revision)
            this.copies.set(key, { value, revision });
        },
      },
      stateClient: store,
      persistence: { write: (_, txn) => store.transact(txn) },
    };
    this.quotas = new QuotaShares(node);
  }

  host(label: string, used: TeamResources = { cpus: 0, gpus: 0 }): OwnedShard {
    const host = createOwnedShard(emptyShard(3), { fencingToken: 1, revision: 1 }, 0);
    this.ownedParts.set(label, host);
    this.use(label, used);
    return host;
  }

  /** Tasks with so much in all are placed, or, below zero, are over. */
  use(label: string, { cpus, gpus }: TeamResources): void {
    this.ownedParts.get(label)?.shard.teamUsage.add(spec({ team: 'crew', cpus, gpus }), 1);
  }

  /** A job that wants so much waits there. */
  want(label: string, { cpus, gpus }: TeamResources): void {
    const scheduler = this.ownedParts.get(label)?.shard.scheduler;
    if (scheduler !== undefined) scheduler.pendingDemand = () => ({ cpus, gpus });
  }

  allowance(label: string): TeamResources {
    return this.quotas.allowance(label, 'crew') ?? { cpus: Infinity, gpus: Infinity };
  }

  /** The copy follows the store. */
  sync(): void {
    const item = this.store.rows.get(KEY);
    if (item !== undefined) this.copies.set(KEY, { value: item.value, revision: item.revision });
  }
}

/** A store in which the parts have these shares. */
function storeWith(shares: QuotaRecord): MemoryStore {
  const store = new MemoryStore();
  store.epoch = 1;
  store.rows.set(KEY, { key: KEY, value: shares, revision: 1 });
  return store;
}

const stored = (store: MemoryStore): QuotaRecord =>
  (store.rows.get(KEY)?.value ?? {}) as QuotaRecord;

test('an adopter that still counts tasks which are over takes no share beyond the limit for them', () => {
  // The owner gave back what had ended, and a peer took it. Then the owner crashed, before the ends were
  // stored: its adopter loads all twenty.
  const shares = { a: { cpus: 12, gpus: 0 }, b: { cpus: 28, gpus: 0 } };
  const loaded = { cpus: 20, gpus: 0 };
  const after = rebalanceShares(shares, 'a', loaded, { cpus: 30, gpus: 0 }, LIMIT);
  assert.equal(after['a']?.cpus, 12, 'with 20, eight more could start once the ends are known');
});

test('a share is not taken below what runs, also where the shares were beyond the limit already', () => {
  const shares = { a: { cpus: 20, gpus: 0 }, b: { cpus: 28, gpus: 0 } };
  const after = rebalanceShares(shares, 'a', { cpus: 16, gpus: 0 }, { cpus: 9, gpus: 0 }, LIMIT);
  assert.equal(after['a']?.cpus, 16);
});

test('what is really on machines stays within the limit while owners crash and are adopted', () => {
  const random = seededRandom(11);
  const draw = (below: number): number => Math.floor(random() * below);
  const labels = ['a', 'b', 'c'];
  let shares: QuotaRecord = {};
  // What is on machines, and the more that its owner believes may be there.
  const real: Record<string, number> = { a: 0, b: 0, c: 0 };
  const unknownEnds: Record<string, number> = { a: 0, b: 0, c: 0 };
  const unstoredEnds: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let step = 0; step < 100_000; step++) {
    const part = labels[draw(3)] ?? 'a';
    const of = (counts: Record<string, number>): number => counts[part] ?? 0;
    const used = of(real) + of(unknownEnds);
    const share = shares[part]?.cpus ?? 0;
    switch (draw(5)) {
      case 0: {
        const ended = draw(Math.min(6, of(real)) + 1);
        real[part] = of(real) - ended;
        unstoredEnds[part] = of(unstoredEnds) + ended;
        break;
      }
      case 1: // A crash: the adopter loads what was stored.
        unknownEnds[part] = of(unknownEnds) + of(unstoredEnds);
        unstoredEnds[part] = 0;
        break;
      case 2: // Workers report.
        unknownEnds[part] = 0;
        break;
      case 3: // Placements, whose storing stores the ends as well.
        if (used < share) {
          real[part] = of(real) + share - used;
          unstoredEnds[part] = 0;
        }
        break;
      default:
        shares = rebalanceShares(
          shares,
          part,
          { cpus: used, gpus: 0 },
          { cpus: draw(30), gpus: 0 },
          LIMIT,
        );
    }
    const all = labels.reduce((sum, label) => sum + (real[label] ?? 0), 0);
    assert.ok(all <= LIMIT.cpus, `${all} processors in step ${step}`);
  }
});

test('a share that grows in processors while it shrinks in accelerators is used only once it is stored', async () => {
  for (const outcome of ['refused', 'lost'] as const) {
    const store = storeWith({ a: { cpus: 10, gpus: 5 } });
    const node = new SharingNode(store);
    node.sync();
    node.host('a', { cpus: 10, gpus: 0 });
    node.want('a', { cpus: 20, gpus: 0 });
    if (outcome === 'refused') store.refuseNext = 1;
    else store.loseNext = true;
    await node.quotas.rebalance();
    assert.deepEqual(node.allowance('a'), { cpus: 10, gpus: 0 }, outcome);
  }
});

test('a share that was given back without an answer binds until the record has changed', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 } });
  const node = new SharingNode(store);
  node.sync();
  node.host('a', { cpus: 5, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  store.loseNext = true;
  await node.quotas.rebalance();
  assert.equal(node.allowance('a').cpus, 5, 'it may be stored, and a peer may take the rest');
  assert.equal(store.late().kind, 'applied');
  node.sync();
  assert.equal(node.allowance('a').cpus, 5);
  node.want('a', { cpus: 50, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(node.allowance('a').cpus, 40);
});

test('a share that could not be given back can be taken up again', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 } });
  const node = new SharingNode(store);
  node.sync();
  node.host('a', { cpus: 5, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  store.refuseNext = 1;
  await node.quotas.rebalance();
  node.want('a', { cpus: 25, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(node.allowance('a').cpus, 30);
});

test('what a part gives back is not written for it by a node that has handed it over meanwhile', async () => {
  const store = storeWith({ a: { cpus: 30, gpus: 0 }, b: { cpus: 10, gpus: 0 } });
  const node = new SharingNode(store);
  node.sync();
  node.host('a', { cpus: 5, gpus: 0 });
  node.host('b', { cpus: 10, gpus: 0 });
  node.want('a', { cpus: 0, gpus: 0 });
  node.want('b', { cpus: 0, gpus: 0 });
  store.refuseNext = 1;
  await node.quotas.rebalance();
  // Its own node, which has it again, goes by the stored share and fills it.
  node.ownedParts.delete('a');
  node.want('b', { cpus: 20, gpus: 0 });
  await node.quotas.rebalance();
  assert.equal(stored(store)['a']?.cpus, 30);
  assert.equal(node.allowance('b').cpus, 10);
});
