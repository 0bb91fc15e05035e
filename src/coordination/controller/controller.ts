/** One node: what it hosts, and the loops that bring what is in line with what is wanted. */
import { sleep, type Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import type { Random } from '../../base/random.js';
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import { parseTypes, paths as cloudPaths, type MachineType } from '../../protocol/cloudProtocol.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import { BARRIER_KEY, BUCKETS, keys, ROOT, type LeaderRecord } from '../../storage/records.js';
import { MachineInventory } from '../../storage/machineInventory.js';
import { NodeCapabilities } from '../../storage/nodeCapabilities.js';
import { RecordFormat } from '../../storage/recordFormat.js';
import { StateCache } from '../../storage/stateCache.js';
import { ChunkIndex } from '../../storage/chunkIndex.js';
import { StateClient } from '../../storage/stateClient.js';
import type { HttpClient } from '../../transport/httpClient.js';
import { PeerClient } from '../../transport/peerLink.js';
import { AuditTrail } from '../audit/auditTrail.js';
import { Authority } from '../leadership/authority.js';
import { ClusterTotals } from '../quota/clusterTotals.js';
import { JobPersistence } from '../persistence/jobPersistence.js';
import { SchedulingRounds } from '../scheduling/schedulingRounds.js';
import { RunTimes } from '../scheduling/runTimes.js';
import { Gossiper } from '../peers/gossiper.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { DemandOptions } from '../shard/demandEstimator.js';
import { CommandDispatcher } from '../commands/commandDispatcher.js';
import {
  ShardLeadership,
  AUTOSCALER_DUTY,
  type Leadership,
} from '../leadership/shardLeadership.js';
import { Shard } from '../shard/shard.js';
import { ShardLoader } from '../leadership/shardLoader.js';
import { PeerRegistry } from '../peers/peerRegistry.js';
import { Pipelines } from '../pipelines/pipelines.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { QuotaShares } from '../quota/quotaShares.js';
import { RecordFollower } from '../leadership/recordFollower.js';
import { MigrationInitiator } from '../migration/migrationInitiator.js';
import { Drain } from '../rollout/drain.js';
import { withoutRollout, type RolloutSetup } from '../rollout/rolloutSetup.js';
import type { RolloutService } from '../rollout/rolloutService.js';
import type { ClusterView } from '../quota/teamUsage.js';
import { CancellationPreparations } from '../jobs/cancellationPreparations.js';

/** Calls to one peer that may wait for an answer. */
const PEER_CALLS = 256;

/** Connections of this node's own making. */
export interface Links {
  services: Pick<HttpClient, 'call'>;
  machines: Pick<HttpClient, 'call'>;
}

export class Controller {
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
  readonly shards: string[];
  readonly runTimes = new RunTimes();
  machineTypes = new Map<string, MachineType>();
  /** Which node's zone each part is in. */
  readonly zoneOf = new Map<string, string>();
  readonly migration: MigrationInitiator;
  readonly commands: CommandDispatcher;
  readonly cancellationPreparations: CancellationPreparations;
  readonly pipelines: Pipelines;
  /** Null while staged upgrades are switched off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
  /** Submissions that were answered 503 since the start. */
  refusedRequests = 0;
  private readonly quotas: QuotaShares;
  private readonly provisioner: Autoscaler;
  readonly clusterTotals: ClusterTotals;
  readonly gossiper: Gossiper;
  private readonly rounds: SchedulingRounds;
  private readonly loader: ShardLoader;
  private readonly follower: RecordFollower;
  private stopped = false;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    readonly clock: Clock,
    readonly random: Random,
    readonly links: Links,
    readonly process: string,
    readonly rolloutSetup: RolloutSetup = withoutRollout((reason) => {
      log.error(reason);
    }),
  ) {
    this.shards = [settings.label, ...settings.peers.map((p) => p.label)].sort();
    this.zoneOf.set(settings.label, settings.zone);
    for (const peer of settings.peers) this.zoneOf.set(peer.label, peer.zone);
    const { modules } = rolloutSetup;
    const codec = modules?.deflateCodec ?? null;
    this.recordFormat = new RecordFormat(settings, codec, () => this.rollout?.mayCompress === true);
    this.audit = new AuditTrail(settings.label, () => clock.wall());
    this.stateClient = this.createStateClient();
    this.stateCache = this.createStateCache();
    this.nodeCapabilities = new NodeCapabilities(
      this.stateClient,
      this.stateCache,
      this.recordFormat,
      settings.label,
      this.shards,
    );
    this.leadership = this.createLeadership();
    this.drain = new Drain(this.leadership);
    this.persistence = this.createPersistence();
    this.peers = this.createPeers();
    this.authority = new Authority(this);
    this.rollout = modules === null ? null : new modules.RolloutService(this, rolloutSetup);
    this.migration = new MigrationInitiator(this);
    this.commands = new CommandDispatcher(this);
    this.cancellationPreparations = new CancellationPreparations(this);
    this.pipelines = new Pipelines(this);
    this.quotas = new QuotaShares(this);
    this.provisioner = new Autoscaler(this, process);
    this.clusterTotals = new ClusterTotals(this.ownedShards, this.peers, this.zoneOf);
    this.gossiper = new Gossiper(this);
    this.loader = new ShardLoader(this);
    this.follower = new RecordFollower(this, this.loader);
    this.rounds = new SchedulingRounds(clock, settings.heartbeatInterval, () => {
      this.decide();
      this.commands.send();
      this.gossiper.sendIfDue();
    });
  }

  private createStateClient(): StateClient {
    const options = {
      endpoint: this.settings.stateEndpoint,
      rate: this.settings.stateRequestRate,
      writeRate: this.settings.stateWriteRate,
      sharers: this.shards.length,
      // Long enough for a service that answers slowly: what gets no answer is asked for again, and makes it
      // slower still.
      timeout: this.stateLeaseTtl / 2,
    };
    return new StateClient(this.links.services, this.clock, options, this.recordFormat);
  }

  private createStateCache(): StateCache {
    // Watches may take a tenth of the requests.
    const pause = Math.max(0.05, this.shards.length / (this.settings.stateRequestRate * 0.1));
    // A watch that waits long leaves it open how old the copy is, and with that what users may be told (P4).
    const hold = Math.min(
      this.settings.heartbeatInterval * 2,
      this.settings.cancellationTimeout / 6,
    );
    const watch = { hold, pause };
    return new StateCache(this.stateClient, ROOT, this.clock, watch, (change) => {
      this.follower.follow(change);
    });
  }

  private createLeadership(): ShardLeadership {
    return new ShardLeadership(
      this.stateClient,
      this.stateCache,
      this.clock,
      {
        label: this.settings.label,
        process: this.process,
        shards: this.shards,
        leaseTtl: this.stateLeaseTtl,
        leaderGracePeriod: this.leaderGracePeriod,
      },
      {
        onGained: (shard, leadership) => {
          this.onShardGained(shard, leadership);
        },
        onLost: (shard) => {
          this.onShardLost(shard);
        },
        awaitWrites: async (shard) => {
          while ((this.ownedShards.get(shard)?.writesInFlight ?? 0) > 0) await sleep(0.01);
        },
        isReadyToLead: (node) =>
          this.peers.steady(node, this.settings.heartbeatInterval / 2) &&
          this.rollout?.isCurrent(node) !== false,
        mayClaim: () => this.rollout?.admitClaims() !== false,
        isEntitled: (owner) => this.rollout?.isEntitled(owner) !== false,
      },
    );
  }

  private createPersistence(): JobPersistence {
    const { stateClient: state } = this;
    return new JobPersistence(
      this.stateClient,
      this.stateCache,
      this.chunkIndex,
      this.clock,
      {
        ownedShards: this.ownedShards,
        isBeingCancelled: (job) => this.cancellationPreparations.has(job),
        isBlockedOnDependencies: (job) => this.isBlockedOnDependencies(job),
        get hasUnreadableChunks() {
          return state.hasUnreadable(BUCKETS);
        },
        isLeaseValid: () => this.leadership.isLeaseValid,
        verifyLeadership: (shard) => this.leadership.verifyLeadership(shard),
        stored: (ownedShard, chunks) => {
          this.commands.queueStarts(ownedShard, chunks);
        },
      },
      {
        txnOps: this.settings.txnOps,
        recordFormat: this.recordFormat,
        linger: this.settings.heartbeatInterval / 2,
        retry: this.settings.heartbeatInterval / 15,
        process: this.process,
      },
    );
  }

  private createPeers(): PeerRegistry {
    return new PeerRegistry(
      this.clock,
      this.settings.heartbeatInterval,
      this.settings.clockSkew,
      this.settings.peers.map((p) => ({
        ...p,
        client: new PeerClient(p.endpoint, PEER_CALLS, this.settings.heartbeatInterval / 2),
      })),
    );
  }

  /** The lease at the state service: long against a renewal's delay, short against a worker's lease. */
  get stateLeaseTtl(): number {
    return Math.max(
      1,
      Math.min(this.settings.heartbeatInterval * 1.5, this.settings.workerLease / 4),
    );
  }

  /** How soon batch work should be through, and how far back its arrivals are looked at. */
  private get demandOptions(): DemandOptions {
    const promised = this.settings.objectives.filter((o) => o.kind === 'finished');
    const patience = Math.min(this.settings.workerLease * 4, ...promised.map((o) => o.within));
    const last = Math.max(patience, ...promised.map((o) => o.within));
    return {
      scaleOutWindow: patience / 2,
      onDemandWindow: last / 2,
      headroom: 1,
      arrivalWindow: patience,
    };
  }

  /** How long after its own lease a node goes on answering its workers, so that an outage of the state
   * service does not end healthy tasks. An adopter waits this out for machines it can't reach. */
  get leaderGracePeriod(): number {
    return this.settings.workerLease * 2;
  }

  /** Follows the records of staged upgrades; a node without them must not serve beyond a barrier. */
  noteRollout(change: KeyValueChange): void {
    if (this.rollout !== null) this.rollout.note(change);
    else if (change.key === BARRIER_KEY && !change.removed) {
      this.rolloutSetup.refused('the cluster stores records that need rollouts to be switched on');
    }
  }

  /** Can take requests: its records are loaded, it knows the machine types and it can ask somebody. */
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

  /** The job waits for others: nothing of it may start. */
  isBlockedOnDependencies(job: string): boolean {
    return this.pipelines.isBlockedOnDependencies(job);
  }

  start(): void {
    void this.leadership.run();
    void this.stateCache.run();
    void this.refreshTypes();
    void this.provisioner.run();
    void this.rounds.run();
    void this.every(this.settings.heartbeatInterval / 3, () => {
      this.persistence.review();
      this.cancellationPreparations.sweep();
      this.adoptUnmatched();
      this.migration.review();
      void this.nodeCapabilities.ensure();
      this.commands.sweep();
      void this.quotas.balance();
      void this.rollout?.reconcile();
    });
  }

  /** Ends all loops; what is stored is enough to go on from. */
  stop(): void {
    this.stopped = true;
    this.rounds.stop();
    this.leadership.stop();
    this.stateCache.stop();
    this.provisioner.stop();
    for (const ownedShard of this.ownedShards.values()) ownedShard.isOwned = false;
    this.ownedShards.clear();
    this.peers.close();
  }

  private async every(seconds: number, work: () => void): Promise<void> {
    while (!this.stopped) {
      try {
        work();
      } catch (error) {
        log.error(`loop: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
      }
      await sleep(seconds);
    }
  }

  private async refreshTypes(): Promise<void> {
    while (!this.stopped) {
      try {
        const { cloudEndpoint } = this.settings;
        const answer = await this.links.services.call(
          cloudEndpoint,
          'GET',
          cloudPaths.types,
          undefined,
          4,
        );
        const machineTypes = answer.status === 200 ? parseTypes(answer.body) : null;
        if (machineTypes !== null)
          this.machineTypes = new Map(machineTypes.map((t) => [t.name, t]));
      } catch (error) {
        log.debug(`machine types: ${describe(error)}`);
      }
      await sleep(this.machineTypes.size > 0 ? this.settings.cloudListLag * 8 : 0.5);
    }
  }

  /** Something has changed: a round of decisions soon. */
  requestSchedulingRound(): void {
    this.rounds.request();
  }

  private decide(): void {
    if (this.leadership.isLeaseValid) {
      const now = this.clock.now();
      const deadline = now + this.tuning.roundBudget;
      for (const ownedShard of this.ownedShards.values()) {
        ownedShard.shard.scheduler.runRound(now, () => this.clock.now() > deadline);
      }
      this.persistence.writeDueBuckets();
      this.pipelines.cancelDependents(this.settings.heartbeatInterval);
    }
  }

  /** What a peer tells. Where it owns a part with a token above ours, ours has ended, whatever we believe. */
  receiveGossip(gossip: Gossip): void {
    this.peers.note(gossip);
    for (const { shard, fencingToken } of gossip.shards)
      this.leadership.stepDownIfFenced(shard, fencingToken);
  }

  // ---- Ownership ----

  private onShardGained(label: string, leadership: Leadership): void {
    if (label === AUTOSCALER_DUTY) {
      this.provisioner.elected();
      return;
    }
    // Another node may go on answering its workers for its grace; ourselves, before a restart, not. Counted
    // from when that node lost the part, which may have been before our last restart.
    const answered =
      leadership.previousLeaderLostAt +
      this.leaderGracePeriod +
      2 * this.settings.clockSkew -
      this.clock.wall();
    const renewed = this.clock.now() + Math.max(0, answered);
    this.ownedShards.set(label, this.loader.load(this.createShard(label), leadership, renewed));
    this.noteGained(label, leadership, Math.max(0, answered));
    this.requestSchedulingRound();
  }

  private createShard(label: string): Shard {
    const { heartbeatInterval, workerLease, zones } = this.settings;
    const { sample } = this.tuning;
    const options = { workerLease, heartbeatInterval, sample, zones, ...this.demandOptions };
    const machineTypes = (): Map<string, MachineType> => this.machineTypes;
    const view = this.viewOf(label);
    return new Shard(label, options, machineTypes, this.runTimes, this.random, view, this.audit);
  }

  private noteGained(shard: string, { fencingToken }: Leadership, otherOwnersLeft: number): void {
    const { leadership: ownership, stateCache, clock } = this;
    const now = clock.now();
    this.audit.note({
      event: 'leadership-gained',
      shard,
      fencingToken,
      leaseId: ownership.leaseId,
      leaseLeft: ownership.leaseExpiresAt - now,
      otherOwnersLeft,
      revision: stateCache.revision,
      copyAge: now - stateCache.syncedAt,
    });
  }

  /** What a part has to know of the rest of the cluster. */
  private viewOf(label: string): ClusterView {
    return {
      allowance: (team) => this.quotas.allowance(label, team),
      guarantee: (name) => {
        const team = this.settings.teams.find((t) => t.name === name);
        return { cpus: team?.cpus ?? 0, gpus: team?.gpus ?? 0 };
      },
      usedElsewhere: (team) => this.clusterTotals.usedElsewhere(team, label),
      starvedElsewhere: (team) => this.clusterTotals.starvedElsewhere(team, label),
      inheritedRank: (job) => this.pipelines.inheritedRank(job),
    };
  }

  private onShardLost(label: string): void {
    if (label === AUTOSCALER_DUTY) {
      this.provisioner.retired();
      return;
    }
    const ownedShard = this.ownedShards.get(label);
    if (ownedShard === undefined) return;
    ownedShard.isOwned = false;
    this.ownedShards.delete(label);
    this.audit.note({
      event: 'leadership-lost',
      shard: label,
      fencingToken: ownedShard.fencingToken,
    });
  }

  private adoptUnmatched(): void {
    if (!this.leadership.isLeaseValid) return;
    for (const ownedShard of this.ownedShards.values()) this.loader.adoptUnmatched(ownedShard);
  }

  leaderOf(shard: string): string | null {
    const stored = this.stateCache.get(keys.owner(shard))?.value as LeaderRecord | undefined;
    const told = this.peers.hostOf(shard);
    if (told !== null && told.fencingToken > (stored?.fencingToken ?? 0)) return told.label;
    return stored?.node ?? told?.label ?? null;
  }
}
