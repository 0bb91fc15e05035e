/** The rollout subsystem of one node: connects the package `@barrowlb/rollout` to the node's state client, leases and shards. */
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

/** Maximum number of operations per migration step: the transaction limit of the smallest state service. */
const STEP_OPERATIONS = 5;

/** Quarantined records that a shard's progress record lists by name, so that it stays within 2 KiB. */
const QUARANTINE_NAMES = 8;

/** Write load, as a ratio of this node's share of the writes, above which no records are converted. */
const MAX_MIGRATION_LOAD = 1 / 2;

/** Follows the cluster's version, takes part in its changes and converts the records of the shards that this node leads. */
export class RolloutService {
  /** Access to the stored record of the controllers' rollout. */
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
      applyVersion: (version) => this.applyVersion(version),
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

  // ---- Checks for the rest of the node ----

  /** Whether the cluster's version allows compressed records. */
  get mayCompress(): boolean {
    return this.tracker.isActive(COMPRESSED_RECORDS);
  }

  private get isBarrierActive(): boolean {
    return this.tracker.current.level >= BARRIER_MIN_LEVEL;
  }

  /** Whether this node may claim shards; while the barrier is active, only after it has published the levels it reads. */
  mayClaimShards(): boolean {
    if (this.tracker.refusal !== null) return false;
    if (!this.isBarrierActive || this.participant.isPublished) return true;
    this.participant.reconcile().catch((error: unknown) => {
      log.debug(`publishing the presence record failed: ${describeError(error)}`);
    });
    return false;
  }

  /** Whether a leader key belongs to a process that can read the stored records. */
  isLeaderCompatible(leader: LeaderRecord): boolean {
    return !this.isBarrierActive || this.publishedProcess(leader.node) === leader.process;
  }

  /** Whether the process that sends the node's messages can read the stored records. */
  isCurrent(label: string): boolean {
    if (!this.isBarrierActive) return true;
    const published = this.publishedProcess(label);
    return published !== null && published === this.node.peers.processOf(label);
  }

  private publishedProcess(label: string): string | null {
    return viewNode(this.node.stateCache, label, null).presence?.value.process ?? null;
  }

  // ---- Record changes and reconciliation ----

  /** Handles a change of a record in the cache; records of other subsystems are ignored. */
  handleRecordChange({ key, value, removed }: KeyValueChange): void {
    const present = removed ? null : value;
    if (key === rolloutKeys.version) this.tracker.updateVersion(present);
    else if (key === BARRIER_KEY) this.tracker.updateBarrier(key, present);
    else return;
    const { refusal } = this.tracker;
    if (refusal !== null) this.setup.onRefused(describeRefusal(refusal));
  }

  /** Advances each change in progress by one step. */
  async reconcile(): Promise<void> {
    const { stateCache, nodeCapabilities } = this.node;
    // The level cannot be raised before all nodes have stored their capabilities (safety, V2).
    if (!stateCache.loaded || !nodeCapabilities.isUpgraded || this.tracker.refusal !== null) return;
    try {
      await this.participant.reconcile();
      this.observer.blockers();
      await this.coordinator.step();
      await this.migrate();
    } catch (error) {
      log.debug(`rollout reconciliation failed: ${describeError(error)}`);
    }
  }

  /**
   * Puts the version into effect before the node answers the proposal. When the level is lowered, the node stops writing
   * the newer form as soon as the cache shows the change. Advancing the fencing tokens changes the revisions of the leader
   * keys, so that transactions still in flight fail (safety, R6).
   */
  private async applyVersion(version: ClusterVersion): Promise<boolean> {
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
      const unfinished = this.shards.owned().filter((shard) => !this.isConverted(shard, walk));
      for (const shard of unfinished) await this.migrator.step(shard, walk);
    } finally {
      this.isMigrating = false;
    }
  }

  private isConverted({ label }: MigratedShard, walk: number): boolean {
    return readProgress(this.node.stateCache, label, walk).isFinished;
  }

  // ---- Operators ----

  /** The response of `GET /v1/rollout`. */
  status(): RolloutStatus {
    return this.observer.status();
  }

  /** Applies an operator's request to the cluster's version. */
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
