/**
 * One node of the cluster: it owns the collaborators, starts and stops their loops, and leads shards. How collaborators are
 * created is in `wiring.ts`, what happens with a gained or lost shard in `shardTakeover.ts`.
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

/** A node of the cluster. */
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
  /** Labels of all shards, which are those of all nodes. */
  readonly shards: string[];
  readonly runTimes = new RunTimes();
  /** What the cloud offers, by name; empty until the cloud or the stored records have told. */
  machineTypes = new Map<string, MachineType>();
  /** The zone of each shard's home node. */
  readonly zoneOf: ReadonlyMap<string, string>;
  readonly migration: MigrationInitiator;
  readonly commands: CommandDispatcher;
  readonly cancellationPreparations: CancellationPreparations;
  readonly pipelines: Pipelines;
  /** Null while staged upgrades are switched off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
  /** Submissions that were answered 503 since the start. */
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

  /** `process` names this run of the process; `random` decides wherever chance does. */
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

  /** Seconds that the lease at the state service lasts. */
  get stateLeaseTtl(): number {
    return stateLeaseTtl(this.settings);
  }

  /** Seconds after its own lease for which a node goes on answering its workers. */
  get leaderGracePeriod(): number {
    return leaderGracePeriod(this.settings);
  }

  /** Whether `stop` was called. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Can take requests: its records are loaded, it knows the machine types and it can reach others. */
  get isReady(): boolean {
    return (
      this.stateCache.loaded &&
      this.machineTypes.size > 0 &&
      !this.isIsolated &&
      !this.drain.isActive
    );
  }

  /**
   * Neither the state service nor any peer is in reach: users are better off at another node. In an
   * outage for all, peers still talk, and everybody stays ready for its end.
   */
  get isIsolated(): boolean {
    return (
      this.settings.peers.length > 0 &&
      !this.leadership.isLeaseValid &&
      this.peers.gossips().length === 0
    );
  }

  /** Starts all loops; returns at once. */
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

  /** Ends all loops; what is stored is enough to go on from. */
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

  /** Requests a scheduling round soon, since something has changed. */
  requestSchedulingRound(): void {
    this.rounds.request();
  }

  /** The job has dependencies that are not done: nothing of it may start. */
  isBlockedOnDependencies(job: string): boolean {
    return this.pipelines.isBlockedOnDependencies(job);
  }

  /** Follows the records of staged upgrades; a node without them must not serve beyond a barrier. */
  applyRolloutChange(change: KeyValueChange): void {
    if (this.rollout !== null) this.rollout.handleRecordChange(change);
    else if (change.key === BARRIER_KEY && !change.removed) {
      this.rolloutSetup.onRefused(
        'the cluster stores records that need rollouts to be switched on',
      );
    }
  }

  /** Takes in a peer's gossip. A shard that it leads with a higher fencing token is ours no longer. */
  receiveGossip(gossip: Gossip): void {
    this.peers.receiveGossip(gossip);
    for (const { shard, fencingToken } of gossip.shards)
      this.leadership.stepDownIfFenced(shard, fencingToken);
  }

  /** The label of a shard's leader, by its stored record or a newer gossip; null: none is known. */
  leaderOf(shard: string): string | null {
    const stored = this.stateCache.get(keys.leader(shard))?.value as LeaderRecord | undefined;
    const gossiped = this.peers.leaderOf(shard);
    if (gossiped !== null && gossiped.fencingToken > (stored?.fencingToken ?? 0))
      return gossiped.label;
    return stored?.node ?? gossiped?.label ?? null;
  }

  /** What is due from time to time, whatever has changed. */
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
