/**
 * One node of the cluster: creates and holds the node's components, starts and stops their loops, and leads shards.
 * `wiring.ts` creates the components that depend on several settings; `shardTakeover.ts` handles gained and lost shards.
 */
import type { Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';
import type { Random } from '../../base/random.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import { ChunkIndex } from '../../storage/chunkIndex.js';
import { MachineInventory } from '../../storage/machineInventory.js';
import { NodeCapabilities } from '../../storage/nodeCapabilities.js';
import { RecordFormat } from '../../storage/recordFormat.js';
import { BARRIER_KEY, keys, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import { AuditTrail } from '../audit/auditTrail.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { CommandDispatcher } from '../commands/commandDispatcher.js';
import { CancellationPreparations } from '../jobs/cancellationPreparations.js';
import { Authority } from '../leadership/authority.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { RecordFollower } from '../leadership/recordFollower.js';
import {
  AUTOSCALER_ROLE,
  type Leadership,
  type ShardLeadership,
} from '../leadership/shardLeadership.js';
import { ShardLoader } from '../leadership/shardLoader.js';
import { MigrationInitiator } from '../migration/migrationInitiator.js';
import { Gossiper } from '../peers/gossiper.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import { Pipelines } from '../pipelines/pipelines.js';
import { ClusterTotals } from '../quota/clusterTotals.js';
import { QuotaShares } from '../quota/quotaShares.js';
import { Drain } from '../rollout/drain.js';
import type { RolloutService } from '../rollout/rolloutService.js';
import { rolloutDisabled, type RolloutSetup } from '../rollout/rolloutSetup.js';
import { RunTimes } from '../scheduling/runTimes.js';
import { SchedulingRounds } from '../scheduling/schedulingRounds.js';
import { createClusterView } from './clusterView.js';
import { refreshMachineTypes, runPeriodically } from './loops.js';
import { ShardTakeover } from './shardTakeover.js';
import { leaderGracePeriod, stateLeaseTtl } from './timings.js';
import {
  createLeadership,
  createPeerRegistry,
  createPersistence,
  createStateCache,
  createStateClient,
  type HttpClients,
} from './wiring.js';

/** A controller node of the cluster. */
export class Controller {
  /** The shards that this node leads, by label. */
  readonly ownedShards = new Map<string, OwnedShard>();
  readonly stateCache: StateCache;
  readonly inventory = new MachineInventory();
  readonly chunkIndex = new ChunkIndex();
  readonly recordFormat: RecordFormat;
  readonly nodeCapabilities: NodeCapabilities;
  readonly stateClient: StateClient;
  readonly leadership: ShardLeadership;
  readonly audit: AuditTrail;
  readonly authority: Authority;
  readonly persistence: JobPersistence;
  readonly peers: PeerRegistry;
  /** Labels of all shards: each node is the home of one shard, which has the node's label. */
  readonly shards: string[];
  readonly runTimes = new RunTimes();
  /** Machine types that the cloud offers, by name; empty until they are read from the cloud or from the stored records. */
  machineTypes = new Map<string, MachineType>();
  /** The zone of each shard's home node. */
  readonly zoneOf: ReadonlyMap<string, string>;
  readonly migration: MigrationInitiator;
  readonly commands: CommandDispatcher;
  readonly cancellationPreparations: CancellationPreparations;
  readonly pipelines: Pipelines;
  /** Null if rollouts are switched off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
  /** Number of submissions answered with 503 since the process started. */
  refusedRequests = 0;
  readonly clusterTotals: ClusterTotals;
  readonly gossiper: Gossiper;
  private readonly quotas: QuotaShares;
  private readonly autoscaler: Autoscaler;
  private readonly rounds: SchedulingRounds;
  private readonly loader: ShardLoader;
  private readonly follower: RecordFollower;
  private readonly takeover: ShardTakeover;
  private stopped = false;

  /** `process` identifies this run of the process; `random` is the source of all random decisions. */
  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    readonly clock: Clock,
    readonly random: Random,
    readonly links: HttpClients,
    readonly process: string,
    readonly rolloutSetup: RolloutSetup = rolloutDisabled((reason) => {
      log.error(reason);
    }),
  ) {
    const nodes = [settings, ...settings.peers];
    this.shards = nodes.map(({ label }) => label).sort();
    this.zoneOf = new Map(nodes.map(({ label, zone }) => [label, zone]));
    this.recordFormat = this.createRecordFormat();
    this.audit = new AuditTrail(settings.label, () => clock.wall());
    this.stateClient = createStateClient(this);
    this.stateCache = createStateCache(this, (change) => {
      this.follower.follow(change);
    });
    this.nodeCapabilities = this.createNodeCapabilities();
    this.leadership = this.createLeadership();
    this.drain = new Drain(this.leadership);
    this.persistence = createPersistence(this);
    this.peers = createPeerRegistry(this);
    this.authority = new Authority(this);
    this.rollout = this.createRollout();
    this.migration = new MigrationInitiator(this);
    this.commands = new CommandDispatcher(this);
    this.cancellationPreparations = new CancellationPreparations(this);
    this.pipelines = new Pipelines(this);
    this.quotas = new QuotaShares(this);
    this.autoscaler = new Autoscaler(this, process);
    this.clusterTotals = new ClusterTotals(this.ownedShards, this.peers, this.zoneOf, clock);
    this.gossiper = new Gossiper(this);
    this.loader = new ShardLoader(this);
    this.follower = new RecordFollower(this, this.loader);
    this.takeover = this.createTakeover();
    this.rounds = this.createSchedulingRounds();
  }

  private createRecordFormat(): RecordFormat {
    const codec = this.rolloutSetup.modules?.deflateCodec ?? null;
    return new RecordFormat(this.settings, codec, () => this.rollout?.mayCompress === true);
  }

  private createRollout(): RolloutService | null {
    const { modules } = this.rolloutSetup;
    return modules === null ? null : new modules.RolloutService(this, this.rolloutSetup);
  }

  private createNodeCapabilities(): NodeCapabilities {
    const { stateClient, stateCache, recordFormat, settings, shards } = this;
    return new NodeCapabilities(stateClient, stateCache, recordFormat, settings.label, shards);
  }

  private createLeadership(): ShardLeadership {
    return createLeadership(this, {
      onGained: (shard, leadership) => {
        this.onLeadershipGained(shard, leadership);
      },
      onLost: (shard) => {
        this.onLeadershipLost(shard);
      },
    });
  }

  private createTakeover(): ShardTakeover {
    const { quotas, clusterTotals: totals, pipelines, cancellationPreparations } = this;
    const { teams } = this.settings;
    const sources = { teams, quotas, totals, pipelines, cancellations: cancellationPreparations };
    return new ShardTakeover(this, this.loader, (label) => createClusterView(sources, label));
  }

  private createSchedulingRounds(): SchedulingRounds {
    return new SchedulingRounds(this.clock, this.settings.heartbeatInterval, () => {
      this.runSchedulers();
      this.commands.send();
      this.gossiper.sendIfDue();
    });
  }

  /** Duration of the lease at the state service, in seconds. */
  get stateLeaseTtl(): number {
    return stateLeaseTtl(this.settings);
  }

  /** Seconds for which a node continues to answer its workers after its own lease has expired. */
  get leaderGracePeriod(): number {
    return leaderGracePeriod(this.settings);
  }

  /** Whether `stop` was called. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Whether the node can take requests: its cache is loaded, machine types are known, it is not isolated and not draining. */
  get isReady(): boolean {
    return (
      this.stateCache.loaded &&
      this.machineTypes.size > 0 &&
      !this.isIsolated &&
      !this.drain.isActive
    );
  }

  /**
   * Whether neither the state service nor any peer can be reached, so that users are better served by another node. In an
   * outage of the state service that affects all nodes, peers still reach each other and all nodes stay ready for its end.
   */
  get isIsolated(): boolean {
    return (
      this.settings.peers.length > 0 &&
      !this.leadership.isLeaseValid &&
      this.peers.gossips().length === 0
    );
  }

  /** Starts all loops; returns immediately. */
  start(): void {
    void this.leadership.run();
    void this.stateCache.run();
    void refreshMachineTypes(this);
    void this.autoscaler.run();
    void this.rounds.run();
    void runPeriodically(this, this.settings.heartbeatInterval / 3, () => {
      this.reconcile();
    });
  }

  /** Stops all loops. Nothing has to be saved: the stored records suffice to continue from. */
  stop(): void {
    this.stopped = true;
    this.rounds.stop();
    this.leadership.stop();
    this.stateCache.stop();
    this.autoscaler.stop();
    for (const ownedShard of this.ownedShards.values()) ownedShard.isOwned = false;
    this.ownedShards.clear();
    this.peers.close();
  }

  /** Requests a scheduling round soon, after a change. */
  requestSchedulingRound(): void {
    this.rounds.request();
  }

  /** Whether the job has dependencies that are not done, so that none of its tasks may start. */
  isBlockedOnDependencies(job: string): boolean {
    return this.pipelines.isBlockedOnDependencies(job);
  }

  /** Applies a change of the rollout records. A node with rollouts switched off must not serve once a barrier is stored. */
  applyRolloutChange(change: KeyValueChange): void {
    if (this.rollout !== null) this.rollout.handleRecordChange(change);
    else if (change.key === BARRIER_KEY && !change.removed) {
      this.rolloutSetup.onRefused(
        'the cluster stores records that need rollouts to be switched on',
      );
    }
  }

  /** Processes a peer's gossip. This node relinquishes every shard that the peer leads under a higher fencing token. */
  receiveGossip(gossip: Gossip): void {
    this.peers.receiveGossip(gossip);
    for (const { shard, fencingToken } of gossip.shards)
      this.leadership.stepDownIfFenced(shard, fencingToken);
  }

  /** The label of a shard's leader, according to its stored record or newer gossip; null if none is known. */
  leaderOf(shard: string): string | null {
    const stored = this.stateCache.get(keys.leader(shard))?.value as LeaderRecord | undefined;
    const gossiped = this.peers.leaderOf(shard);
    if (gossiped !== null && gossiped.fencingToken > (stored?.fencingToken ?? 0))
      return gossiped.label;
    return stored?.node ?? gossiped?.label ?? null;
  }

  /** Does the work that is due periodically, independently of changes. */
  private reconcile(): void {
    this.persistence.reconcileJobs();
    this.cancellationPreparations.sweep();
    this.adoptUnmatchedBuckets();
    this.migration.reviewBlockedChunks();
    void this.nodeCapabilities.publish();
    this.commands.sweep();
    void this.quotas.rebalance();
    void this.rollout?.reconcile();
  }

  private adoptUnmatchedBuckets(): void {
    if (!this.leadership.isLeaseValid) return;
    for (const ownedShard of this.ownedShards.values())
      this.loader.loadUnmatchedBuckets(ownedShard);
  }

  private runSchedulers(): void {
    if (!this.leadership.isLeaseValid) return;
    const now = this.clock.now();
    const deadline = now + this.tuning.roundBudget;
    for (const { shard } of this.ownedShards.values()) {
      shard.scheduler.runRound(now, () => this.clock.now() > deadline);
    }
    this.persistence.writeDueBuckets();
    this.pipelines.cancelDependents(this.settings.heartbeatInterval);
  }

  private onLeadershipGained(shard: string, leadership: Leadership): void {
    if (shard === AUTOSCALER_ROLE) this.autoscaler.onElected();
    else this.takeover.onGained(shard, leadership);
  }

  private onLeadershipLost(shard: string): void {
    if (shard === AUTOSCALER_ROLE) this.autoscaler.onElectionLost();
    else this.takeover.onLost(shard);
  }
}
