/** Staged upgrades at one node: adapts the package `@barrowlb/rollout` to the node's store, leases and parts. */
import {
  applyChange,
  BlockerHistory,
  DamagedRecordError,
  decodeDriver,
  blockersOf,
  describeRefusal,
  Migrator,
  operate,
  Participant,
  readProgress,
  rolloutKeys,
  rolloutStatus,
  unchanged,
  VersionCoordinator,
  VersionTracker,
  viewCluster,
  viewNode,
  type ChangeOutcome,
  type ClusterSnapshot,
  type DriverRecord,
  type ClusterVersion,
  type MigratedShard,
  type Operation,
  type OperationResult,
  type OwnerView,
  type PlanOptions,
  type RecordStore,
  type RolloutStatus,
} from '@barrowlb/rollout';
import type { Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import { BARRIER_KEY, keys, ROOT, type LeaderRecord } from '../../storage/records.js';
import type { StoredForm } from '../../storage/recordFormat.js';
import type { StateClient } from '../../storage/stateClient.js';
import { advanceFencingToken } from '../leadership/ownedShard.js';
import { AUTOSCALER_DUTY, type ShardLeadership } from '../leadership/shardLeadership.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import { COMPRESSED_RECORDS } from './featureNames.js';
import { BARRIER_FROM, featureTable, MARKED_LEVEL } from './featureTable.js';
import { MigratedShards, type MigrationContext } from './migratedShards.js';
import type { RolloutSetup } from './rolloutSetup.js';

/** Operations of one step of a migration at the most: no more than the smallest state service takes. */
const STEP_OPERATIONS = 5;

/** What the progress of a part names of its quarantined records, so that it stays within 2 KiB. */
const QUARANTINE_NAMES = 8;

/** Of the changes that are ours, what may be asked for while records are converted. */
const MIGRATION_LOAD = 1 / 2;

/** What is needed of a node. */
export interface RolloutContext extends MigrationContext {
  clock: Clock;
  process: string;
  settings: { label: string; heartbeatInterval: number };
  leadership: ShardLeadership;
  peers: Pick<PeerRegistry, 'processOf'>;
  nodeCapabilities: { readonly isUpgraded: boolean };
  stateCache: MigrationContext['stateCache'] & {
    readonly loaded: boolean;
    entriesWithPrefix(prefix: string): Iterable<[string, { value: unknown; revision: number }]>;
  };
  stateClient: StateClient;
}

export class RolloutService {
  private readonly tracker: VersionTracker;
  private readonly participant: Participant;
  private readonly coordinator: VersionCoordinator;
  private readonly migrator: Migrator;
  private readonly shards: MigratedShards;
  private readonly history = new BlockerHistory();
  private readonly store: RecordStore;
  private readonly range = { min: featureTable.lowest, max: featureTable.highest };
  private readonly plan: PlanOptions = {
    features: featureTable,
    presenceKey: rolloutKeys.presence,
    barrierFrom: BARRIER_FROM,
  };
  private isMigrating = false;

  constructor(
    private readonly node: RolloutContext,
    private readonly setup: RolloutSetup,
  ) {
    this.tracker = new VersionTracker(featureTable, this.range, MARKED_LEVEL);
    this.store = { transact: (change) => node.stateClient.transact(change, 'urgent') };
    this.shards = new MigratedShards(node, () => this.outdatedForm);
    this.participant = this.createParticipant();
    this.coordinator = this.createCoordinator();
    this.migrator = new Migrator(this.store, node.stateCache, {
      operations: STEP_OPERATIONS,
      quarantineNames: QUARANTINE_NAMES,
      mayWrite: () => this.mayMigrate,
      log: (line) => {
        log.error(line);
      },
    });
  }

  private createParticipant(): Participant {
    const { node, tracker } = this;
    return new Participant(
      this.store,
      node.stateCache,
      {
        get hold() {
          return node.leadership.isLeaseValid ? node.leadership.leaseId : null;
        },
        get version() {
          return tracker.current;
        },
      },
      {
        label: node.settings.label,
        process: node.process,
        range: this.range,
        wants: featureTable.wanted((name) => this.setup.features.has(name)),
        comply: (version) => this.comply(version),
      },
    );
  }

  private createCoordinator(): VersionCoordinator {
    const { leadership: ownership, stateCache: replica, stateClient: state } = this.node;
    const lease = {
      condition: () => {
        const leadership = ownership.get(AUTOSCALER_DUTY);
        if (leadership === undefined || !ownership.isLeaseValid) return null;
        return { key: keys.owner(AUTOSCALER_DUTY), revision: leadership.revision };
      },
      get token() {
        return ownership.get(AUTOSCALER_DUTY)?.fencingToken ?? 0;
      },
    };
    return new VersionCoordinator(this.store, replica, lease, () => this.snapshot(), {
      ...this.plan,
      barrierKey: BARRIER_KEY,
      findLeftovers: () => state.readKeysOfForm(ROOT, this.outdatedForm),
      log: (line) => {
        log.info(line);
      },
    });
  }

  // ---- What the rest of the node asks ----

  /** Whether records may be stored compressed. */
  get mayCompress(): boolean {
    return this.tracker.isActive(COMPRESSED_RECORDS);
  }

  private get isFenced(): boolean {
    return this.tracker.current.level >= BARRIER_FROM;
  }

  /** From the barrier's level on a node owns nothing before it has told what it reads; it does so at once. */
  admitClaims(): boolean {
    if (this.tracker.refusal !== null) return false;
    if (!this.isFenced || this.participant.isPublished) return true;
    this.participant.reconcile().catch((error: unknown) => {
      log.debug(`presence: ${describe(error)}`);
    });
    return false;
  }

  /** Whether an ownership key is that of a process which can read what is stored. */
  isEntitled(owner: LeaderRecord): boolean {
    return !this.isFenced || this.publishedProcess(owner.node) === owner.process;
  }

  /** Whether the process that is heard of a node can read what is stored. */
  isCurrent(label: string): boolean {
    if (!this.isFenced) return true;
    const published = this.publishedProcess(label);
    return published !== null && published === this.node.peers.processOf(label);
  }

  private publishedProcess(label: string): string | null {
    return viewNode(this.node.stateCache, label, null).presence?.value.process ?? null;
  }

  // ---- Following and reconciling ----

  /** One of this subsystem's records has changed in the copy. */
  note({ key, value, removed }: KeyValueChange): void {
    const present = removed ? null : value;
    if (key === rolloutKeys.version) this.tracker.noteVersion(present);
    else if (key === BARRIER_KEY) this.tracker.noteBarrier(key, present);
    else return;
    const { refusal } = this.tracker;
    if (refusal !== null) this.setup.refused(describeRefusal(refusal));
  }

  /** One step of all that is under way. */
  async reconcile(): Promise<void> {
    const { stateCache: replica, nodeCapabilities: marks } = this.node;
    // Before all nodes have marked themselves there is nothing to be raised (safety, V2).
    if (!replica.loaded || !marks.isUpgraded || this.tracker.refusal !== null) return;
    try {
      await this.participant.reconcile();
      this.blockers();
      await this.coordinator.step();
      await this.migrate();
    } catch (error) {
      log.debug(`rollout: ${describe(error)}`);
    }
  }

  /**
   * Does as the version says before the proposal is answered. What is to be taken back is written no more from the
   * moment that the copy shows it; transactions that are still on their way fail on the new stamps (safety, R6).
   */
  private async comply(version: ClusterVersion): Promise<boolean> {
    if (version.phase !== 'lowering') return true;
    const { leadership: ownership, ownedShards: ownedParts } = this.node;
    for (const shard of ownership.ledShards) {
      const ownedShard = ownedParts.get(shard);
      const isDone =
        ownedShard === undefined
          ? (await ownership.advanceFencingToken(shard)) !== null
          : await advanceFencingToken(ownership, ownedShard);
      if (!isDone && ownership.get(shard) !== undefined) return false;
    }
    return true;
  }

  private get outdatedForm(): StoredForm {
    return this.mayCompress ? 'pieces' : 'compressed';
  }

  private get mayMigrate(): boolean {
    const { stateClient: state, settings } = this.node;
    return (
      state.writeLoad < MIGRATION_LOAD && state.writeDelay('later') < settings.heartbeatInterval
    );
  }

  private async migrate(): Promise<void> {
    const { walk } = this.tracker.current;
    if (walk === 0 || this.isMigrating) return;
    this.isMigrating = true;
    try {
      const due = this.shards.owned().filter((part) => !this.isWalked(part, walk));
      for (const part of due) await this.migrator.step(part, walk);
    } finally {
      this.isMigrating = false;
    }
  }

  private isWalked({ label }: MigratedShard, walk: number): boolean {
    return readProgress(this.node.stateCache, label, walk).isFinished;
  }

  private snapshot(): ClusterSnapshot {
    const { stateCache: replica, shards, peers, settings, process } = this.node;
    const service = {
      nodes: shards,
      shards: this.allParts,
      heardProcess: (label: string) =>
        label === settings.label ? process : peers.processOf(label),
      owner: (shard: string) => this.ownerOf(shard),
    };
    return viewCluster(replica, service, this.tracker.current, this.tracker.damage);
  }

  private get allParts(): string[] {
    return [...this.node.shards, AUTOSCALER_DUTY];
  }

  private ownerOf(shard: string): OwnerView {
    const key = keys.owner(shard);
    const stored = this.node.stateCache.get(key);
    const owner = (stored?.value ?? null) as LeaderRecord | null;
    return { part: shard, key, revision: stored?.revision ?? 0, owner };
  }

  // ---- Operators ----

  /** What holds the next change back, and since when this node has seen it. */
  private blockers(): RolloutStatus['blockers'] {
    const blockers = blockersOf(this.snapshot(), this.plan);
    return this.history.note(blockers, this.node.clock.wall());
  }

  status(): RolloutStatus {
    return rolloutStatus({
      copy: this.node.stateCache,
      snapshot: this.snapshot(),
      features: featureTable,
      parts: this.allParts,
      blockers: this.blockers(),
    });
  }

  /** The stored state of the rollout of controllers. */
  driver(): { record: DriverRecord | null; revision: number } {
    const stored = this.node.stateCache.get(rolloutKeys.driver);
    if (stored === undefined) return { record: null, revision: 0 };
    try {
      return { record: decodeDriver(rolloutKeys.driver, stored.value), revision: stored.revision };
    } catch (error) {
      if (error instanceof DamagedRecordError) return { record: null, revision: stored.revision };
      throw error;
    }
  }

  writeDriver(revision: number, record: DriverRecord): Promise<ChangeOutcome> {
    return applyChange(this.store, this.node.stateCache, {
      conditions: [{ key: rolloutKeys.driver, revision }],
      puts: [{ key: rolloutKeys.driver, value: record }],
      deletes: [],
    });
  }

  /** Why this node must not be drained for a driver with this token, or by hand; null: it may. */
  drainObstacle(token: number | null): string | null {
    const { record } = this.driver();
    if (token === null) {
      return record?.phase === 'running'
        ? `the rollout ${record.name} is running; pause it first`
        : null;
    }
    const { label } = this.node.settings;
    const isItsStep =
      record?.phase === 'running' &&
      record.permit.token === token &&
      record.controllers[label]?.state === 'draining';
    return isItsStep ? null : `no rollout with the permit ${token} drains ${label} just now`;
  }

  operate(operation: Operation): Promise<OperationResult> {
    const { stateCache: replica, clock } = this.node;
    const cluster = {
      version: this.tracker.current,
      versionCondition: unchanged(replica, rolloutKeys.version),
      damage: this.tracker.damage,
    };
    return operate(this.store, replica, cluster, operation, featureTable, clock.wall());
  }
}
