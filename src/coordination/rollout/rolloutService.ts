/** Staged upgrades at one node: adapts the package `@barrowlb/rollout` to the node's store, leases and shards. */
import {
  describeRefusal,
  Migrator,
  operate,
  Participant,
  readProgress,
  rolloutKeys,
  unchangedCondition,
  VersionCoordinator,
  VersionTracker,
  viewNode,
  type ClusterVersion,
  type MigratedShard,
  type Operation,
  type OperationResult,
  type PlanOptions,
  type RecordStore,
  type RolloutStatus,
} from '@barrowlb/rollout';
import { describeError, log } from '../../base/log.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import { BARRIER_KEY, KEY_PREFIX, type LeaderRecord } from '../../storage/records.js';
import type { StoredForm } from '../../storage/recordFormat.js';
import { advanceFencingToken } from '../leadership/ownedShard.js';
import { ClusterObserver } from './clusterObserver.js';
import { DriverRecordAccess } from './driverRecordAccess.js';
import { COMPRESSED_RECORDS } from './featureNames.js';
import { BARRIER_MIN_LEVEL, featureTable, CAPABILITIES_LEVEL } from './featureTable.js';
import { autoscalerLease, presenceLease } from './leases.js';
import { MigratedShards } from './migratedShards.js';
import type { RolloutContext } from './rolloutContext.js';
import type { RolloutSetup } from './rolloutSetup.js';

/** Operations of one step of a migration at the most: no more than the smallest state service takes. */
const STEP_OPERATIONS = 5;

/** Quarantined records that the progress of a shard holds by name, so that it stays within 2 KiB. */
const QUARANTINE_NAMES = 8;

/** Load of this node's share of changes, as a ratio, above which no records are converted. */
const MAX_MIGRATION_LOAD = 1 / 2;

/** Follows the cluster's version, takes part in its changes and converts the records of the shards led here. */
export class RolloutService {
  /** The stored state of the rollout of controllers. */
  readonly driverRecord: DriverRecordAccess;
  private readonly tracker: VersionTracker;
  private readonly participant: Participant;
  private readonly coordinator: VersionCoordinator;
  private readonly migrator: Migrator;
  private readonly shards: MigratedShards;
  private readonly observer: ClusterObserver;
  private readonly store: RecordStore;
  private readonly range = { min: featureTable.lowestLevel, max: featureTable.highestLevel };
  private readonly plan: PlanOptions = {
    features: featureTable,
    presenceKey: rolloutKeys.presence,
    barrierMinLevel: BARRIER_MIN_LEVEL,
  };
  private isMigrating = false;

  constructor(
    private readonly node: RolloutContext,
    private readonly setup: RolloutSetup,
  ) {
    this.tracker = new VersionTracker(featureTable, this.range, CAPABILITIES_LEVEL);
    this.store = { transact: (change) => node.stateClient.transact(change, 'urgent') };
    this.observer = new ClusterObserver(node, this.tracker, this.plan);
    this.driverRecord = new DriverRecordAccess(this.store, node.stateCache, node.settings.label);
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
    return new Participant(this.store, node.stateCache, presenceLease(node, tracker), {
      label: node.settings.label,
      process: node.process,
      range: this.range,
      wants: featureTable.enabledLevel((name) => this.setup.features.has(name)),
      applyVersion: (version) => this.comply(version),
    });
  }

  private createCoordinator(): VersionCoordinator {
    const { leadership, stateCache, stateClient } = this.node;
    const lease = autoscalerLease(leadership);
    return new VersionCoordinator(this.store, stateCache, lease, () => this.observer.snapshot(), {
      ...this.plan,
      barrierKey: BARRIER_KEY,
      findOutdatedRecords: () => stateClient.readKeysOfForm(KEY_PREFIX, this.outdatedForm),
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
    return this.tracker.current.level >= BARRIER_MIN_LEVEL;
  }

  /** Whether this node may claim shards: from the barrier's level on, only once it has published what it reads. */
  mayClaimShards(): boolean {
    if (this.tracker.refusal !== null) return false;
    if (!this.isFenced || this.participant.isPublished) return true;
    this.participant.reconcile().catch((error: unknown) => {
      log.debug(`presence: ${describeError(error)}`);
    });
    return false;
  }

  /** Whether a leader key is that of a process which can read what is stored. */
  isLeaderCompatible(leader: LeaderRecord): boolean {
    return !this.isFenced || this.publishedProcess(leader.node) === leader.process;
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
  handleRecordChange({ key, value, removed }: KeyValueChange): void {
    const present = removed ? null : value;
    if (key === rolloutKeys.version) this.tracker.updateVersion(present);
    else if (key === BARRIER_KEY) this.tracker.updateBarrier(key, present);
    else return;
    const { refusal } = this.tracker;
    if (refusal !== null) this.setup.onRefused(describeRefusal(refusal));
  }

  /** Takes one step of each change that is under way. */
  async reconcile(): Promise<void> {
    const { stateCache, nodeCapabilities } = this.node;
    // Before all nodes have stored their capabilities there is nothing to be raised (safety, V2).
    if (!stateCache.loaded || !nodeCapabilities.isUpgraded || this.tracker.refusal !== null) return;
    try {
      await this.participant.reconcile();
      this.observer.blockers();
      await this.coordinator.step();
      await this.migrate();
    } catch (error) {
      log.debug(`rollout: ${describeError(error)}`);
    }
  }

  /**
   * Does as the version says before the proposal is answered. What is to be taken back is written no more from the
   * moment that the copy shows it; transactions that are still on their way fail on the new revisions (safety, R6).
   */
  private async comply(version: ClusterVersion): Promise<boolean> {
    if (version.phase !== 'lowering') return true;
    const { leadership, ownedShards } = this.node;
    for (const shard of leadership.ledShards) {
      const ownedShard = ownedShards.get(shard);
      const isDone =
        ownedShard === undefined
          ? (await leadership.advanceFencingToken(shard)) !== null
          : await advanceFencingToken(leadership, ownedShard);
      if (!isDone && leadership.get(shard) !== undefined) return false;
    }
    return true;
  }

  private get outdatedForm(): StoredForm {
    return this.mayCompress ? 'pieces' : 'compressed';
  }

  private get mayMigrate(): boolean {
    const { stateClient, settings } = this.node;
    return (
      stateClient.writeLoad < MAX_MIGRATION_LOAD &&
      stateClient.writeDelay('later') < settings.heartbeatInterval
    );
  }

  private async migrate(): Promise<void> {
    const { walk } = this.tracker.current;
    if (walk === 0 || this.isMigrating) return;
    this.isMigrating = true;
    try {
      const due = this.shards.owned().filter((shard) => !this.isWalked(shard, walk));
      for (const shard of due) await this.migrator.step(shard, walk);
    } finally {
      this.isMigrating = false;
    }
  }

  private isWalked({ label }: MigratedShard, walk: number): boolean {
    return readProgress(this.node.stateCache, label, walk).isFinished;
  }

  // ---- Operators ----

  /** The state of the cluster's version, for `GET /v1/rollout`. */
  status(): RolloutStatus {
    return this.observer.status();
  }

  /** Does what an operator asks of the cluster's version. */
  operate(operation: Operation): Promise<OperationResult> {
    const { stateCache, clock } = this.node;
    const cluster = {
      version: this.tracker.current,
      versionCondition: unchangedCondition(stateCache, rolloutKeys.version),
      damage: this.tracker.damage,
    };
    return operate(this.store, stateCache, cluster, operation, featureTable, clock.wall());
  }
}
