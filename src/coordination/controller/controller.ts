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
import type { DemandOptions } from '../autoscaling/demandEstimator.js';
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
  readonly ownedParts = new Map<string, OwnedShard>();
  readonly replica: StateCache;
  readonly fleet = new MachineInventory();
  readonly buckets = new ChunkIndex();
  readonly layout: RecordFormat;
  readonly marks: NodeCapabilities;
  readonly state: StateClient;
  readonly ownership: ShardLeadership;
  readonly audit: AuditTrail;
  readonly authority: Authority;
  readonly commits: JobPersistence;
  readonly peers: PeerRegistry;
  readonly parts: string[];
  readonly runTimes = new RunTimes();
  types = new Map<string, MachineType>();
  /** Which node's zone each part is in. */
  readonly zoneOf = new Map<string, string>();
  readonly sender: MigrationInitiator;
  readonly orders: CommandDispatcher;
  readonly cancelPreparations: CancellationPreparations;
  readonly pipelines: Pipelines;
  /** Null while staged upgrades are switched off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
  /** Submissions that were answered 503 since the start. */
  refusedRequests = 0;
  private readonly quotas: QuotaShares;
  private readonly provisioner: Autoscaler;
  readonly totals: ClusterTotals;
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
    this.parts = [settings.label, ...settings.peers.map((p) => p.label)].sort();
    this.zoneOf.set(settings.label, settings.zone);
    for (const peer of settings.peers) this.zoneOf.set(peer.label, peer.zone);
    const { modules } = rolloutSetup;
    const codec = modules?.deflateCodec ?? null;
    this.layout = new RecordFormat(settings, codec, () => this.rollout?.mayCompress === true);
    this.audit = new AuditTrail(settings.label, () => clock.wall());
    this.state = this.createState();
    this.replica = this.createReplica();
    this.marks = new NodeCapabilities(
      this.state,
      this.replica,
      this.layout,
      settings.label,
      this.parts,
    );
    this.ownership = this.createOwnership();
    this.drain = new Drain(this.ownership);
    this.commits = this.createCommits();
    this.peers = this.createPeers();
    this.authority = new Authority(this);
    this.rollout = modules === null ? null : new modules.RolloutService(this, rolloutSetup);
    this.sender = new MigrationInitiator(this);
    this.orders = new CommandDispatcher(this);
    this.cancelPreparations = new CancellationPreparations(this);
    this.pipelines = new Pipelines(this);
    this.quotas = new QuotaShares(this);
    this.provisioner = new Autoscaler(this, process);
    this.totals = new ClusterTotals(this.ownedParts, this.peers, this.zoneOf);
    this.gossiper = new Gossiper(this);
    this.loader = new ShardLoader(this);
    this.follower = new RecordFollower(this, this.loader);
    this.rounds = new SchedulingRounds(clock, settings.report, () => {
      this.decide();
      this.orders.send();
      this.gossiper.sendIfDue();
    });
  }

  private createState(): StateClient {
    const options = {
      endpoint: this.settings.stateEndpoint,
      rate: this.settings.stateRate,
      writeRate: this.settings.stateWriteRate,
      sharers: this.parts.length,
      // Long enough for a service that answers slowly: what gets no answer is asked for again, and makes it
      // slower still.
      timeout: this.stateTtl / 2,
    };
    return new StateClient(this.links.services, this.clock, options, this.layout);
  }

  private createReplica(): StateCache {
    // Watches may take a tenth of the requests.
    const pause = Math.max(0.05, this.parts.length / (this.settings.stateRate * 0.1));
    // A watch that waits long leaves it open how old the copy is, and with that what users may be told (P4).
    const hold = Math.min(this.settings.report * 2, this.settings.cancel / 6);
    const watch = { hold, pause };
    return new StateCache(this.state, ROOT, this.clock, watch, (change) => {
      this.follower.follow(change);
    });
  }

  private createOwnership(): ShardLeadership {
    return new ShardLeadership(
      this.state,
      this.replica,
      this.clock,
      {
        label: this.settings.label,
        process: this.process,
        parts: this.parts,
        ttl: this.stateTtl,
        grace: this.grace,
      },
      {
        gained: (part, held) => {
          this.gain(part, held);
        },
        lost: (part) => {
          this.lose(part);
        },
        quiet: async (part) => {
          while ((this.ownedParts.get(part)?.writing ?? 0) > 0) await sleep(0.01);
        },
        wantsBack: (node) =>
          this.peers.steady(node, this.settings.report / 2) &&
          this.rollout?.isCurrent(node) !== false,
        mayClaim: () => this.rollout?.admitClaims() !== false,
        isEntitled: (owner) => this.rollout?.isEntitled(owner) !== false,
      },
    );
  }

  private createCommits(): JobPersistence {
    const { state } = this;
    return new JobPersistence(
      this.state,
      this.replica,
      this.buckets,
      this.clock,
      {
        ownedParts: this.ownedParts,
        isBeingCancelled: (job) => this.cancelPreparations.has(job),
        isHeld: (job) => this.isHeld(job),
        get hasUnreadableChunks() {
          return state.hasUnreadable(BUCKETS);
        },
        valid: () => this.ownership.valid,
        verifyOwner: (part) => this.ownership.verifyOwner(part),
        stored: (host, chunks) => {
          this.orders.queueStarts(host, chunks);
        },
      },
      {
        txnOps: this.settings.txnOps,
        layout: this.layout,
        linger: this.settings.report / 2,
        retry: this.settings.report / 15,
        process: this.process,
      },
    );
  }

  private createPeers(): PeerRegistry {
    return new PeerRegistry(
      this.clock,
      this.settings.report,
      this.settings.skew,
      this.settings.peers.map((p) => ({
        ...p,
        client: new PeerClient(p.endpoint, PEER_CALLS, this.settings.report / 2),
      })),
    );
  }

  /** The lease at the state service: long against a renewal's delay, short against a worker's lease. */
  get stateTtl(): number {
    return Math.max(1, Math.min(this.settings.report * 1.5, this.settings.lease / 4));
  }

  /** How soon batch work should be through, and how far back its arrivals are looked at. */
  private get pace(): DemandOptions {
    const promised = this.settings.objectives.filter((o) => o.kind === 'finished');
    const patience = Math.min(this.settings.lease * 4, ...promised.map((o) => o.within));
    const last = Math.max(patience, ...promised.map((o) => o.within));
    return { patience: patience / 2, dearPatience: last / 2, headroom: 1, window: patience };
  }

  /** How long after its own lease a node goes on answering its workers, so that an outage of the state
   * service does not end healthy tasks. An adopter waits this out for machines it can't reach. */
  get grace(): number {
    return this.settings.lease * 2;
  }

  /** Follows the records of staged upgrades; a node without them must not serve beyond a barrier. */
  noteRollout(change: KeyValueChange): void {
    if (this.rollout !== null) this.rollout.note(change);
    else if (change.key === BARRIER_KEY && !change.removed) {
      this.rolloutSetup.refused('the cluster stores records that need rollouts to be switched on');
    }
  }

  /** Can take requests: its records are loaded, it knows the machine types and it can ask somebody. */
  get ready(): boolean {
    return this.replica.loaded && this.types.size > 0 && !this.isolated && !this.drain.isActive;
  }

  /**
   * Neither the state service nor any peer is in reach: users are better off at another node. In an
   * outage for all, peers still talk, and everybody stays ready for its end.
   */
  get isolated(): boolean {
    return (
      this.settings.peers.length > 0 && !this.ownership.valid && this.peers.gossips().length === 0
    );
  }

  /** The job waits for others: nothing of it may start. */
  isHeld(job: string): boolean {
    return this.pipelines.isHeld(job);
  }

  start(): void {
    void this.ownership.run();
    void this.replica.run();
    void this.refreshTypes();
    void this.provisioner.run();
    void this.rounds.run();
    void this.every(this.settings.report / 3, () => {
      this.commits.review();
      this.cancelPreparations.sweep();
      this.adoptUnmatched();
      this.sender.review();
      void this.marks.ensure();
      this.orders.sweep();
      void this.quotas.balance();
      void this.rollout?.reconcile();
    });
  }

  /** Ends all loops; what is stored is enough to go on from. */
  stop(): void {
    this.stopped = true;
    this.rounds.stop();
    this.ownership.stop();
    this.replica.stop();
    this.provisioner.stop();
    for (const host of this.ownedParts.values()) host.alive = false;
    this.ownedParts.clear();
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
        const types = answer.status === 200 ? parseTypes(answer.body) : null;
        if (types !== null) this.types = new Map(types.map((t) => [t.name, t]));
      } catch (error) {
        log.debug(`machine types: ${describe(error)}`);
      }
      await sleep(this.types.size > 0 ? this.settings.listLag * 8 : 0.5);
    }
  }

  /** Something has changed: a round of decisions soon. */
  requestRound(): void {
    this.rounds.request();
  }

  private decide(): void {
    if (this.ownership.valid) {
      const now = this.clock.now();
      const deadline = now + this.tuning.roundBudget;
      for (const host of this.ownedParts.values()) {
        host.part.scheduler.decide(now, () => this.clock.now() > deadline);
      }
      this.commits.pass();
      this.pipelines.cancelDoomed(this.settings.report);
    }
  }

  /** What a peer tells. Where it owns a part with a token above ours, ours has ended, whatever we believe. */
  hear(gossip: Gossip): void {
    this.peers.note(gossip);
    for (const { part, token } of gossip.hosts) this.ownership.forfeit(part, token);
  }

  // ---- Ownership ----

  private gain(label: string, held: Leadership): void {
    if (label === AUTOSCALER_DUTY) {
      this.provisioner.elected();
      return;
    }
    // Another node may go on answering its workers for its grace; ourselves, before a restart, not. Counted
    // from when that node lost the part, which may have been before our last restart.
    const answered = held.lostAt + this.grace + 2 * this.settings.skew - this.clock.wall();
    const renewed = this.clock.now() + Math.max(0, answered);
    this.ownedParts.set(label, this.loader.load(this.createPart(label), held, renewed));
    this.noteGained(label, held, Math.max(0, answered));
    this.requestRound();
  }

  private createPart(label: string): Shard {
    const { report, lease, zones } = this.settings;
    const options = { lease, report, sample: this.tuning.sample, zones, ...this.pace };
    const types = (): Map<string, MachineType> => this.types;
    const view = this.viewOf(label);
    return new Shard(label, options, types, this.runTimes, this.random, view, this.audit);
  }

  private noteGained(part: string, { token }: Leadership, otherOwnersLeft: number): void {
    const { ownership, replica, clock } = this;
    const now = clock.now();
    this.audit.note({
      event: 'part-gained',
      part,
      token,
      lease: ownership.lease,
      leaseLeft: ownership.until - now,
      otherOwnersLeft,
      revision: replica.revision,
      copyAge: now - replica.syncedAt,
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
      usedElsewhere: (team) => this.totals.usedElsewhere(team, label),
      starvedElsewhere: (team) => this.totals.starvedElsewhere(team, label),
      inheritedRank: (job) => this.pipelines.inheritedRank(job),
    };
  }

  private lose(label: string): void {
    if (label === AUTOSCALER_DUTY) {
      this.provisioner.retired();
      return;
    }
    const host = this.ownedParts.get(label);
    if (host === undefined) return;
    host.alive = false;
    this.ownedParts.delete(label);
    this.audit.note({ event: 'part-lost', part: label, token: host.token });
  }

  private adoptUnmatched(): void {
    if (!this.ownership.valid) return;
    for (const host of this.ownedParts.values()) this.loader.adoptUnmatched(host);
  }

  ownerOf(part: string): string | null {
    const stored = this.replica.get(keys.owner(part))?.value as LeaderRecord | undefined;
    const told = this.peers.hostOf(part);
    if (told !== null && told.token > (stored?.token ?? 0)) return told.label;
    return stored?.node ?? told?.label ?? null;
  }
}
