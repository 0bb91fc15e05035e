/** Handles changes of leadership: loads a shard from its records when it is gained and drops it when it is lost. */
import type { Clock } from '../../base/clock.js';
import type { Random } from '../../base/random.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Leadership, ShardLeadership } from '../leadership/shardLeadership.js';
import type { ShardLoader } from '../leadership/shardLoader.js';
import type { ClusterView } from '../quota/teamUsage.js';
import type { RunTimes } from '../scheduling/runTimes.js';
import { Shard } from '../shard/shard.js';
import { demandOptions, leaderGracePeriod } from './timings.js';

/** Dependencies of `ShardTakeover`. */
export interface ShardTakeoverContext {
  readonly settings: Settings;
  readonly tuning: Pick<Tuning, 'sample'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly audit: AuditTrail;
  readonly runTimes: RunTimes;
  machineTypes: Map<string, MachineType>;
  readonly ownedShards: Map<string, OwnedShard>;
  readonly leadership: Pick<ShardLeadership, 'leaseId' | 'leaseExpiresAt'>;
  readonly stateCache: Pick<StateCache, 'revision' | 'syncedAt'>;
  requestSchedulingRound(): void;
}

/** Takes over the shards that this node gains and drops those that it loses. */
export class ShardTakeover {
  /** `viewOf` returns a shard's view of the rest of the cluster. */
  constructor(
    private readonly node: ShardTakeoverContext,
    private readonly loader: Pick<ShardLoader, 'load'>,
    private readonly viewOf: (shard: string) => ClusterView,
  ) {}

  /** Loads a shard that this node has become the leader of. */
  onGained(label: string, leadership: Leadership): void {
    const { node } = this;
    const previousLeaderLeft = this.previousLeaderTimeLeft(leadership);
    const previousLeaderUntil = node.clock.now() + previousLeaderLeft;
    const shard = this.createShard(label);
    node.ownedShards.set(label, this.loader.load(shard, leadership, previousLeaderUntil));
    this.auditGained(label, leadership, previousLeaderLeft);
    node.requestSchedulingRound();
  }

  /** Drops a shard that this node no longer leads. */
  onLost(label: string): void {
    const { ownedShards, audit } = this.node;
    const ownedShard = ownedShards.get(label);
    if (ownedShard === undefined) return;
    ownedShard.isOwned = false;
    ownedShards.delete(label);
    const { fencingToken } = ownedShard;
    audit.note({ event: 'leadership-lost', shard: label, fencingToken });
  }

  /**
   * Seconds for which another node may still answer the shard's workers: its grace period, counted from when it lost the
   * shard, which may be before this node's last restart. An earlier process of this node is not counted.
   */
  private previousLeaderTimeLeft({ previousLeaderLostAt }: Leadership): number {
    const { settings, clock } = this.node;
    const until = previousLeaderLostAt + leaderGracePeriod(settings) + 2 * settings.clockSkew;
    return Math.max(0, until - clock.wall());
  }

  private createShard(label: string): Shard {
    const { node } = this;
    const { workerLease, heartbeatInterval, zones } = node.settings;
    const { sample } = node.tuning;
    return new Shard(
      label,
      { workerLease, heartbeatInterval, sample, zones, ...demandOptions(node.settings) },
      () => node.machineTypes,
      node.runTimes,
      node.random,
      this.viewOf(label),
      node.audit,
    );
  }

  private auditGained(shard: string, { fencingToken }: Leadership, otherOwnersLeft: number): void {
    const { leadership, stateCache, clock, audit } = this.node;
    const now = clock.now();
    audit.note({
      event: 'leadership-gained',
      shard,
      fencingToken,
      leaseId: leadership.leaseId,
      leaseLeft: leadership.leaseExpiresAt - now,
      otherOwnersLeft,
      revision: stateCache.revision,
      copyAge: now - stateCache.syncedAt,
    });
  }
}
