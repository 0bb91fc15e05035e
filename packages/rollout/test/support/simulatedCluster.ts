/**
 * A cluster in which any interleaving can be played: nodes with builds of several levels, copies that lag, leases that
 * end, transactions that come late. Records are written in the form that each node's gate allows.
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
import { SimulatedCopy, SimulatedStore } from './simulatedStore.js';

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

/** A record, as the form of one level. */
interface LevelRecord {
  form: number;
  value: number;
}

/** Guards that a test may leave out, to see that it is missed. */
export interface Guards {
  /** Transactions of the lease holder are conditional on its lease. */
  lease: boolean;
  /** The raise is conditional on who owns the parts. */
  owners: boolean;
  /** Nodes take new stamps before they answer that the level falls. */
  restamp: boolean;
  /** What is stored is read before the level falls. */
  verification: boolean;
  /** Builds that know of no version are kept out by the barrier. */
  barrier: boolean;
}

export const allGuards: Guards = {
  ...{ lease: true, owners: true, restamp: true, verification: true, barrier: true },
};

/** One process of a node. */
export class SimulatedNode {
  readonly copy: SimulatedCopy;
  readonly tracker: VersionTracker;
  readonly participant: Participant;
  readonly coordinator: VersionCoordinator;
  readonly migrator: Migrator;
  leaseId: number | null;
  /** What it owns, with the stamp under which it does. */
  readonly held = new Map<string, { revision: number; token: number }>();
  /** A build without a version reads all records before it owns anything. */
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
    this.copy = new SimulatedCopy(store);
    this.tracker = new VersionTracker(features, range, INITIAL);
    this.isLoaded = isVersioned || !this.seesBarrier;
    this.participant = new Participant(store, this.copy, this.participantView(), {
      ...{ label, process, range, wants: Math.min(wants, range.max) },
      applyVersion: (version) => this.comply(version),
    });
    this.coordinator = this.createCoordinator();
    this.migrator = new Migrator(store, this.copy, {
      ...{ operations: 3, quarantineNames: 2, mayWrite: () => true, log: () => undefined },
    });
    this.copy.changed = () => {
      this.follow();
    };
    this.follow();
  }

  private participantView(): { readonly leaseId: number | null; readonly version: ClusterVersion } {
    const current = (): ClusterVersion => this.tracker.current;
    const hold = (): number | null => this.leaseId;
    return {
      get leaseId() {
        return hold();
      },
      get version() {
        return current();
      },
    };
  }

  private createCoordinator(): VersionCoordinator {
    const { cluster, copy, held } = this;
    const { guards } = cluster;
    const lease = {
      condition: () => {
        const mine = held.get(LEADER);
        return mine === undefined ? null : { key: LEADER, revision: mine.revision };
      },
      get token() {
        return held.get(LEADER)?.token ?? 0;
      },
    };
    const store: RecordStore = {
      transact: (change) => cluster.store.transact(this.withoutGuards(change), this.process),
    };
    return new VersionCoordinator(store, copy, lease, () => this.snapshot(), {
      ...{ features, presenceKey: rolloutKeys.presence, barrierKey: BARRIER, log: () => undefined },
      barrierMinLevel: BARRIER_FROM,
      findOutdatedRecords: (version) =>
        Promise.resolve(guards.verification ? cluster.leftovers(version) : []),
    });
  }

  /** Leaves out the conditions whose guard is missing. */
  private withoutGuards(change: RecordChange): RecordChange {
    const { guards } = this.cluster;
    const when = change.conditions.filter(({ key }) => {
      if (key === LEADER) return guards.lease;
      return key.startsWith('b/own/') ? guards.owners : true;
    });
    const puts = change.puts.filter(({ key }) => key !== BARRIER || guards.barrier);
    return { ...change, conditions: when, puts };
  }

  private get seesBarrier(): boolean {
    return this.copy.get(BARRIER) !== undefined;
  }

  private snapshot() {
    const { cluster, copy } = this;
    const service = {
      nodes: cluster.labels,
      shards: cluster.labels,
      observedProcess: () => null,
      ownerOf: (shard: string) => {
        const stored = copy.get(ownerKey(shard));
        const owner = (stored?.value ?? null) as Owner | null;
        return { shard, key: ownerKey(shard), revision: stored?.revision ?? 0, owner };
      },
    };
    return viewCluster(copy, service, this.tracker.current, this.tracker.damage);
  }

  /** Takes up what the store holds; a build without a version gets stuck at the barrier. */
  sync(): void {
    if (!this.isVersioned && this.isLoaded && this.cluster.store.rows.has(BARRIER)) return;
    this.copy.sync();
    if (!this.isVersioned) this.isLoaded = !this.seesBarrier;
  }

  private follow(): void {
    if (!this.isVersioned) return;
    this.tracker.updateVersion(this.copy.get(rolloutKeys.version)?.value ?? null);
    this.tracker.updateBarrier(BARRIER, this.copy.get(BARRIER)?.value ?? null);
    for (const [key, { revision }] of this.held) {
      if (this.copy.get(key)?.revision !== revision) this.held.delete(key);
    }
  }

  get isRefused(): boolean {
    return this.isVersioned && this.tracker.refusal !== null;
  }

  private get isFenced(): boolean {
    return this.tracker.current.level >= BARRIER_FROM;
  }

  /** Writes the ownership key of a shard, or of the lease holder's duty. */
  claim(key: string): void {
    const { store } = this.cluster;
    if (this.leaseId === null || this.isRefused || !this.isLoaded || this.held.has(key)) return;
    if (this.isVersioned && this.isFenced && !this.participant.isPublished) return;
    const stored = this.copy.get(key);
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
    // Only what is caught up with may be owned: that is where a build without a version fails at the barrier.
    this.copy.note(key, value, outcome.revision);
    if (!this.isVersioned && store.rows.has(BARRIER)) return;
    this.copy.sync();
    if (!this.isRefused) this.held.set(key, { revision: outcome.revision, token });
  }

  private isEntitled({ node, process }: Owner): boolean {
    if (!this.isVersioned || !this.isFenced) return true;
    const presence = this.copy.get(rolloutKeys.presence(node))?.value as
      { process?: string } | undefined;
    return presence?.process === process;
  }

  private comply({ phase }: ClusterVersion): Promise<boolean> {
    if (phase !== 'lowering' || !this.cluster.guards.restamp) return Promise.resolve(true);
    for (const [key, { revision, token }] of [...this.held]) {
      if (this.leaseId === null) return Promise.resolve(false);
      const value: Owner = { node: this.label, process: this.process, token };
      const outcome = this.cluster.store.apply({
        conditions: [{ key, revision }],
        puts: [{ key, value, leaseId: this.leaseId }],
        deletes: [],
      });
      if (outcome.kind !== 'applied') return Promise.resolve(false);
      this.copy.note(key, value, outcome.revision);
      this.held.set(key, { revision: outcome.revision, token });
    }
    return Promise.resolve(true);
  }

  /** The highest level that this node may write. */
  get form(): number {
    if (!this.isVersioned) return INITIAL;
    const active = features.features.filter(({ name }) => this.tracker.isActive(name));
    return Math.max(INITIAL, ...active.map(({ level }) => level));
  }

  /** Stores a record of its own shard, under its ownership. */
  async write(name: number): Promise<void> {
    const mine = this.held.get(ownerKey(this.label));
    if (mine === undefined) return;
    const key = `${recordsOf(this.label)}${name}`;
    const value: LevelRecord = { form: this.form, value: name };
    const change: RecordChange = {
      conditions: [
        { key: ownerKey(this.label), revision: mine.revision },
        unchangedCondition(this.copy, key),
      ],
      puts: [{ key, value }],
      deletes: [],
    };
    const outcome = await this.cluster.store.transact(change);
    if (outcome.kind === 'applied') this.copy.note(key, value, outcome.revision);
  }

  async migrate(): Promise<void> {
    const { walk } = this.tracker.current;
    const mine = this.held.get(ownerKey(this.label));
    if (walk > 0 && mine !== undefined) await this.migrator.step(this.migratedShard(), walk);
  }

  private migratedShard(): MigratedShard {
    const key = ownerKey(this.label);
    return {
      label: this.label,
      leadership: () => {
        const mine = this.held.get(key);
        return mine === undefined ? null : { key, revision: mine.revision };
      },
      outdatedKeys: (after, most) =>
        [...this.copy.entriesWithPrefix(recordsOf(this.label))]
          .filter(([name, { value }]) => name > after && (value as LevelRecord).form !== this.form)
          .map(([name]) => name)
          .sort()
          .slice(0, most),
      convert: (name) => this.convert(name),
    };
  }

  private async convert(key: string): Promise<Conversion> {
    const stored = this.copy.get(key);
    const mine = this.held.get(ownerKey(this.label));
    if (stored === undefined) return { kind: 'needless' };
    if (mine === undefined) return { kind: 'later' };
    const value: LevelRecord = { ...(stored.value as LevelRecord), form: this.form };
    const outcome = await this.cluster.store.transact({
      conditions: [
        { key: ownerKey(this.label), revision: mine.revision },
        { key, revision: stored.revision },
      ],
      puts: [{ key, value }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return { kind: 'later' };
    this.copy.note(key, value, outcome.revision);
    return { kind: 'converted' };
  }

  async operate(operation: Operation): Promise<void> {
    const version = this.tracker.current;
    const versionCondition = unchangedCondition(this.copy, rolloutKeys.version);
    const cluster = { version, versionCondition, damage: this.tracker.damage };
    await operate(this.cluster.store, this.copy, cluster, operation, features, 0);
  }
}

export class SimulatedCluster {
  readonly store = new SimulatedStore();
  readonly nodes = new Map<string, SimulatedNode>();
  readonly labels: string[];
  /** Leases of processes that have ended, and still run. */
  readonly orphanedHolds = new Map<string, number>();
  nextToken = 0;
  private starts = 0;

  constructor(
    size: number,
    readonly guards: Guards = allGuards,
  ) {
    this.store.observer = (change, writer) => {
      this.noteWriter(change, writer);
    };
    this.labels = Array.from({ length: size }, (_, i) => `n${i}`);
  }

  /** Changes of the version by a coordinator that did not hold the lease any more. */
  readonly lateChanges: string[] = [];

  private noteWriter({ puts }: RecordChange, writer: string): void {
    if (writer === '' || !puts.some(({ key }) => key === rolloutKeys.version)) return;
    const leader = this.store.rows.get(LEADER)?.value as Owner | undefined;
    if (leader?.process !== writer) this.lateChanges.push(writer);
  }

  /** A build that reads up to a level; 0: one that knows of no version, which reads level 2. */
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
      this.orphanedHolds.set(`${label}-${node.leaseId}`, node.leaseId);
    this.nodes.delete(label);
  }

  /** Leases of processes that have ended run out, and so does that of a node that stands still. */
  expire(label: string): void {
    for (const [name, hold] of this.orphanedHolds) {
      if (!name.startsWith(`${label}-`)) continue;
      this.store.endHold(hold);
      this.orphanedHolds.delete(name);
    }
    const node = this.nodes.get(label);
    if (node !== undefined && node.leaseId !== null) this.store.endHold(node.leaseId);
  }

  /** A node finds its lease ended, and gets another. */
  renew(label: string): void {
    const node = this.nodes.get(label);
    if (node === undefined || (node.leaseId !== null && this.store.holds.has(node.leaseId))) return;
    node.held.clear();
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

  leftovers({ level, target }: ClusterVersion): string[] {
    const wanted = Math.min(level, target);
    return this.records()
      .filter(([, { form }]) => form !== wanted)
      .map(([key]) => key);
  }

  /** Nodes whose ownership of a shard the store confirms: what they read and write counts. */
  serving(): SimulatedNode[] {
    return [...this.nodes.values()].filter((node) => {
      const mine = node.held.get(ownerKey(node.label));
      return (
        mine !== undefined && this.store.rows.get(ownerKey(node.label))?.revision === mine.revision
      );
    });
  }
}

/** One node does all that its loops do. */
export async function tend(cluster: SimulatedCluster, label: string): Promise<void> {
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

/** What must hold after every step. */
export function checkInvariants(cluster: SimulatedCluster, tokenBefore: number): void {
  const { version } = cluster;
  const forms = cluster.records().map(([, { form }]) => form);
  const highest = Math.max(0, ...forms);
  assert.ok(
    highest <= Math.max(version.level, 2),
    `a record of level ${highest} at level ${version.level}`,
  );
  for (const { label, range } of cluster.serving()) {
    assert.ok(
      version.level <= range.max,
      `${label} serves at level ${version.level}, reads ${range.max}`,
    );
    assert.ok(
      highest <= range.max,
      `${label} serves, and cannot read a record of level ${highest}`,
    );
  }
  assert.ok(version.token >= tokenBefore, 'the version was changed under an older token');
  assert.deepEqual(cluster.lateChanges, [], 'a lease holder that was replaced changed the version');
}
