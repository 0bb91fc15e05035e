/**
 * A simulated cluster for arbitrary interleavings: nodes with builds of different levels, caches that lag, leases that
 * expire and transactions that are applied late. Each node writes records in the form that its version tracker allows.
 */
import assert from 'node:assert/strict';
import { viewCluster } from '../../src/clusterView.js';
import type { LevelRange } from '../../src/levels.js';
import { Migrator, type Conversion, type MigratedShard } from '../../src/migration/migrator.js';
import { operate, type Operation } from '../../src/operations.js';
import { Participant } from '../../src/participant.js';
import {
  decodeVersion,
  initialVersion,
  rolloutKeys,
  type ClusterVersion,
} from '../../src/records.js';
import { unchangedCondition, type RecordChange, type RecordStore } from '../../src/store.js';
import { VersionCoordinator } from '../../src/versionCoordinator.js';
import { VersionTracker } from '../../src/versionTracker.js';
import { features } from './features.js';
import { SimulatedCache, SimulatedStore } from './simulatedStore.js';

export const BARRIER = 'b/run/~barrier/level';
export const LEADER = 'b/own/~leader';
const BARRIER_FROM = 3;
const INITIAL = 2;

export const ownerKey = (shard: string): string => `b/own/${shard}`;
const recordsOf = (shard: string): string => `b/run/${shard}/`;

interface Owner {
  node: string;
  process: string;
  token: number;
}

/** A record in the form of one level. */
interface LevelRecord {
  form: number;
  value: number;
}

/** Guards of the protocol, which a test may disable to show that each of them is needed. */
export interface Guards {
  /** Transactions of the lease holder are conditional on the key of its lease. */
  lease: boolean;
  /** The raise is conditional on the leader keys of the shards. */
  owners: boolean;
  /** Nodes rewrite their leader keys, which changes the revisions, before they answer a lowering of the level. */
  newRevisions: boolean;
  /** The stored records are verified before the level is lowered. */
  verification: boolean;
  /** The barrier keeps out builds without a cluster version. */
  barrier: boolean;
}

export const allGuards: Guards = {
  ...{ lease: true, owners: true, newRevisions: true, verification: true, barrier: true },
};

/** A process of a node. */
export class SimulatedNode {
  readonly cache: SimulatedCache;
  readonly tracker: VersionTracker;
  readonly participant: Participant;
  readonly coordinator: VersionCoordinator;
  readonly migrator: Migrator;
  leaseId: number | null;
  /** The leader keys that this process holds, with their revisions and fencing tokens. */
  readonly leaderships = new Map<string, { revision: number; token: number }>();
  /** A build without a cluster version must load all records before it can lead a shard. */
  isLoaded: boolean;

  constructor(
    private readonly cluster: SimulatedCluster,
    readonly label: string,
    readonly process: string,
    readonly range: LevelRange,
    readonly isVersioned: boolean,
    wants: number,
  ) {
    const { store } = cluster;
    this.leaseId = store.grant();
    this.cache = new SimulatedCache(store);
    this.tracker = new VersionTracker(features, range, INITIAL);
    this.isLoaded = isVersioned || !this.seesBarrier;
    this.participant = new Participant(store, this.cache, this.participantView(), {
      ...{ label, process, range, wants: Math.min(wants, range.max) },
      applyVersion: (version) => this.applyVersion(version),
    });
    this.coordinator = this.createCoordinator();
    this.migrator = new Migrator(store, this.cache, {
      ...{ operations: 3, quarantineNames: 2, mayWrite: () => true, log: () => undefined },
    });
    this.cache.onChange = () => {
      this.onCacheChange();
    };
    this.onCacheChange();
  }

  private participantView(): { readonly leaseId: number | null; readonly version: ClusterVersion } {
    const current = (): ClusterVersion => this.tracker.current;
    const currentLease = (): number | null => this.leaseId;
    return {
      get leaseId() {
        return currentLease();
      },
      get version() {
        return current();
      },
    };
  }

  private createCoordinator(): VersionCoordinator {
    const { cluster, cache, leaderships } = this;
    const { guards } = cluster;
    const lease = {
      condition: () => {
        const leadership = leaderships.get(LEADER);
        return leadership === undefined ? null : { key: LEADER, revision: leadership.revision };
      },
      get token() {
        return leaderships.get(LEADER)?.token ?? 0;
      },
    };
    const store: RecordStore = {
      transact: (change) => cluster.store.transact(this.withoutGuards(change), this.process),
    };
    return new VersionCoordinator(store, cache, lease, () => this.snapshot(), {
      ...{ features, presenceKey: rolloutKeys.presence, barrierKey: BARRIER, log: () => undefined },
      barrierMinLevel: BARRIER_FROM,
      findOutdatedRecords: (version) =>
        Promise.resolve(guards.verification ? cluster.outdatedRecords(version) : []),
    });
  }

  /** Removes the conditions whose guard is disabled. */
  private withoutGuards(change: RecordChange): RecordChange {
    const { guards } = this.cluster;
    const conditions = change.conditions.filter(({ key }) => {
      if (key === LEADER) return guards.lease;
      return key.startsWith('b/own/') ? guards.owners : true;
    });
    const puts = change.puts.filter(({ key }) => key !== BARRIER || guards.barrier);
    return { ...change, conditions, puts };
  }

  private get seesBarrier(): boolean {
    return this.cache.get(BARRIER) !== undefined;
  }

  private snapshot() {
    const { cluster, cache } = this;
    const service = {
      nodes: cluster.labels,
      shards: cluster.labels,
      observedProcess: () => null,
      ownerOf: (shard: string) => {
        const stored = cache.get(ownerKey(shard));
        const owner = (stored?.value ?? null) as Owner | null;
        return { shard, key: ownerKey(shard), revision: stored?.revision ?? 0, owner };
      },
    };
    return viewCluster(cache, service, this.tracker.current, this.tracker.damage);
  }

  /** Updates the cache from the store; a build without a cluster version stops updating at the barrier. */
  sync(): void {
    if (!this.isVersioned && this.isLoaded && this.cluster.store.rows.has(BARRIER)) return;
    this.cache.sync();
    if (!this.isVersioned) this.isLoaded = !this.seesBarrier;
  }

  private onCacheChange(): void {
    if (!this.isVersioned) return;
    this.tracker.updateVersion(this.cache.get(rolloutKeys.version)?.value ?? null);
    this.tracker.updateBarrier(BARRIER, this.cache.get(BARRIER)?.value ?? null);
    for (const [key, { revision }] of this.leaderships) {
      if (this.cache.get(key)?.revision !== revision) this.leaderships.delete(key);
    }
  }

  get isRefused(): boolean {
    return this.isVersioned && this.tracker.refusal !== null;
  }

  private get isBarrierActive(): boolean {
    return this.tracker.current.level >= BARRIER_FROM;
  }

  /** Claims the leadership of a shard, or that of the coordinator. */
  claim(key: string): void {
    const { store } = this.cluster;
    if (this.leaseId === null || this.isRefused || !this.isLoaded || this.leaderships.has(key))
      return;
    if (this.isVersioned && this.isBarrierActive && !this.participant.isPublished) return;
    const stored = this.cache.get(key);
    const owner = stored?.value as Owner | undefined;
    if (owner !== undefined && owner.node !== this.label && this.isEntitled(owner)) return;
    const token = ++this.cluster.nextToken;
    const value: Owner = { node: this.label, process: this.process, token };
    const outcome = store.apply({
      conditions: [{ key, revision: stored?.revision ?? 0 }],
      puts: [{ key, value, leaseId: this.leaseId }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return;
    // A leader must have loaded all records first; a build without a cluster version fails to do so at the barrier.
    this.cache.applyPut(key, value, outcome.revision);
    if (!this.isVersioned && store.rows.has(BARRIER)) return;
    this.cache.sync();
    if (!this.isRefused) this.leaderships.set(key, { revision: outcome.revision, token });
  }

  private isEntitled({ node, process }: Owner): boolean {
    if (!this.isVersioned || !this.isBarrierActive) return true;
    const presence = this.cache.get(rolloutKeys.presence(node))?.value as
      { process?: string } | undefined;
    return presence?.process === process;
  }

  private applyVersion({ phase }: ClusterVersion): Promise<boolean> {
    if (phase !== 'lowering' || !this.cluster.guards.newRevisions) return Promise.resolve(true);
    for (const [key, { revision, token }] of [...this.leaderships]) {
      if (this.leaseId === null) return Promise.resolve(false);
      const value: Owner = { node: this.label, process: this.process, token };
      const outcome = this.cluster.store.apply({
        conditions: [{ key, revision }],
        puts: [{ key, value, leaseId: this.leaseId }],
        deletes: [],
      });
      if (outcome.kind !== 'applied') return Promise.resolve(false);
      this.cache.applyPut(key, value, outcome.revision);
      this.leaderships.set(key, { revision: outcome.revision, token });
    }
    return Promise.resolve(true);
  }

  /** The highest level that this node may write. */
  get writableLevel(): number {
    if (!this.isVersioned) return INITIAL;
    const active = features.features.filter(({ name }) => this.tracker.isActive(name));
    return Math.max(INITIAL, ...active.map(({ level }) => level));
  }

  /** Writes a record of its own shard, on condition of its leader key. */
  async write(name: number): Promise<void> {
    const leadership = this.leaderships.get(ownerKey(this.label));
    if (leadership === undefined) return;
    const key = `${recordsOf(this.label)}${name}`;
    const value: LevelRecord = { form: this.writableLevel, value: name };
    const change: RecordChange = {
      conditions: [
        { key: ownerKey(this.label), revision: leadership.revision },
        unchangedCondition(this.cache, key),
      ],
      puts: [{ key, value }],
      deletes: [],
    };
    const outcome = await this.cluster.store.transact(change);
    if (outcome.kind === 'applied') this.cache.applyPut(key, value, outcome.revision);
  }

  async migrate(): Promise<void> {
    const { walk } = this.tracker.current;
    const leadership = this.leaderships.get(ownerKey(this.label));
    if (walk > 0 && leadership !== undefined) await this.migrator.step(this.migratedShard(), walk);
  }

  private migratedShard(): MigratedShard {
    const key = ownerKey(this.label);
    return {
      label: this.label,
      leadership: () => {
        const leadership = this.leaderships.get(key);
        return leadership === undefined ? null : { key, revision: leadership.revision };
      },
      outdatedKeys: (after, most) =>
        [...this.cache.entriesWithPrefix(recordsOf(this.label))]
          .filter(
            ([name, { value }]) =>
              name > after && (value as LevelRecord).form !== this.writableLevel,
          )
          .map(([name]) => name)
          .sort()
          .slice(0, most),
      convert: (name) => this.convert(name),
    };
  }

  private async convert(key: string): Promise<Conversion> {
    const stored = this.cache.get(key);
    const leadership = this.leaderships.get(ownerKey(this.label));
    if (stored === undefined) return { kind: 'not-needed' };
    if (leadership === undefined) return { kind: 'deferred' };
    const value: LevelRecord = { ...(stored.value as LevelRecord), form: this.writableLevel };
    const outcome = await this.cluster.store.transact({
      conditions: [
        { key: ownerKey(this.label), revision: leadership.revision },
        { key, revision: stored.revision },
      ],
      puts: [{ key, value }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return { kind: 'deferred' };
    this.cache.applyPut(key, value, outcome.revision);
    return { kind: 'converted' };
  }

  async operate(operation: Operation): Promise<void> {
    const version = this.tracker.current;
    const versionCondition = unchangedCondition(this.cache, rolloutKeys.version);
    const cluster = { version, versionCondition, damage: this.tracker.damage };
    await operate(this.cluster.store, this.cache, cluster, operation, features, 0);
  }
}

export class SimulatedCluster {
  readonly store = new SimulatedStore();
  readonly nodes = new Map<string, SimulatedNode>();
  readonly labels: string[];
  /** Unexpired leases of processes that have ended. */
  readonly orphanedLeases = new Map<string, number>();
  nextToken = 0;
  private starts = 0;

  constructor(
    size: number,
    readonly guards: Guards = allGuards,
  ) {
    this.store.observer = (change, writer) => {
      this.checkWriter(change, writer);
    };
    this.labels = Array.from({ length: size }, (_, i) => `n${i}`);
  }

  /** Processes that changed the version without holding the lease of the coordinator. */
  readonly changesWithoutLease: string[] = [];

  private checkWriter({ puts }: RecordChange, writer: string): void {
    if (writer === '' || !puts.some(({ key }) => key === rolloutKeys.version)) return;
    const leader = this.store.rows.get(LEADER)?.value as Owner | undefined;
    if (leader?.process !== writer) this.changesWithoutLease.push(writer);
  }

  /** Starts a process with a build that reads levels up to `max`; 0 means a build without a cluster version (level 2). */
  start(label: string, max: number, wants = max): SimulatedNode {
    this.kill(label);
    const range = { min: INITIAL, max: Math.max(INITIAL, max) };
    const process = `${label}-${++this.starts}`;
    const node = new SimulatedNode(this, label, process, range, max > 0, wants);
    this.nodes.set(label, node);
    return node;
  }

  kill(label: string): void {
    const node = this.nodes.get(label);
    if (node !== undefined && node.leaseId !== null)
      this.orphanedLeases.set(`${label}-${node.leaseId}`, node.leaseId);
    this.nodes.delete(label);
  }

  /** Expires the lease of a node and the leases of its earlier processes. */
  expire(label: string): void {
    for (const [name, leaseId] of this.orphanedLeases) {
      if (!name.startsWith(`${label}-`)) continue;
      this.store.expireLease(leaseId);
      this.orphanedLeases.delete(name);
    }
    const node = this.nodes.get(label);
    if (node !== undefined && node.leaseId !== null) this.store.expireLease(node.leaseId);
  }

  /** Grants a new lease to a node whose lease has expired. */
  renew(label: string): void {
    const node = this.nodes.get(label);
    if (node === undefined || (node.leaseId !== null && this.store.leases.has(node.leaseId)))
      return;
    node.leaderships.clear();
    node.leaseId = this.store.grant();
  }

  get version(): ClusterVersion {
    const stored = this.store.rows.get(rolloutKeys.version);
    return stored === undefined ? initialVersion(INITIAL) : decodeVersion('version', stored.value);
  }

  records(): [string, LevelRecord][] {
    return [...this.store.rows]
      .filter(([key]) => key.startsWith('b/run/') && key !== BARRIER)
      .map(([key, { value }]) => [key, value as LevelRecord]);
  }

  outdatedRecords({ level, target }: ClusterVersion): string[] {
    const targetForm = Math.min(level, target);
    return this.records()
      .filter(([, { form }]) => form !== targetForm)
      .map(([key]) => key);
  }

  /** Nodes whose leadership of their shard is confirmed by the store. */
  servingNodes(): SimulatedNode[] {
    return [...this.nodes.values()].filter((node) => {
      const leadership = node.leaderships.get(ownerKey(node.label));
      return (
        leadership !== undefined &&
        this.store.rows.get(ownerKey(node.label))?.revision === leadership.revision
      );
    });
  }
}

/** Runs one iteration of each loop of a node. */
export async function runLoops(cluster: SimulatedCluster, label: string): Promise<void> {
  const node = cluster.nodes.get(label);
  if (node === undefined) return;
  cluster.renew(label);
  node.sync();
  if (node.isVersioned && !node.isRefused) await node.participant.reconcile();
  node.claim(ownerKey(label));
  node.claim(LEADER);
  if (!node.isVersioned || node.isRefused) return;
  await node.coordinator.step();
  node.sync();
  await node.migrate();
}

/** Checks the invariants that must hold after every step. */
export function checkInvariants(cluster: SimulatedCluster, tokenBefore: number): void {
  const { version } = cluster;
  const forms = cluster.records().map(([, { form }]) => form);
  const highest = Math.max(0, ...forms);
  assert.ok(
    highest <= Math.max(version.level, 2),
    `a record of level ${highest} at level ${version.level}`,
  );
  for (const { label, range } of cluster.servingNodes()) {
    assert.ok(
      version.level <= range.max,
      `${label} serves at level ${version.level}, reads ${range.max}`,
    );
    assert.ok(
      highest <= range.max,
      `${label} serves, and cannot read a record of level ${highest}`,
    );
  }
  assert.ok(version.token >= tokenBefore, 'the version was changed with a smaller fencing token');
  assert.deepEqual(cluster.changesWithoutLease, [], 'a former lease holder changed the version');
}
