/**
 * Manages the shards that this node leads: it claims shards without a leader, hands other nodes' shards back once those
 * nodes are ready, and gives up a shard that another node leads with a higher fencing token.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { keys, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import { LeaderRecords, type Leadership, type LeaderRecordsOptions } from './leaderRecords.js';
import { StateLease } from './stateLease.js';

export type { Leadership } from './leaderRecords.js';

/** Pseudo-shard whose leader record elects the one node that launches and releases machines. */
export const AUTOSCALER_ROLE = '~provisioner';

/** Identity and lease settings of this node, and the labels of all shards. */
export interface ShardLeadershipOptions extends LeaderRecordsOptions {
  shards: string[];
}

/** Leadership events, and the queries to the rest of the node that leadership depends on. */
export interface ShardLeadershipEvents {
  /** Called when this node has become the leader of a shard, or of the autoscaler role. */
  onGained(shard: string, leadership: Leadership): void;
  /** Called when this node has lost a shard or the autoscaler role, or is about to hand it over. */
  onLost(shard: string): void;
  /** Resolves once no write of the shard to the state service is in flight. */
  awaitWrites(shard: string): Promise<void>;
  /** Whether a node has been up and serving long enough to get its shard back. */
  isReadyToLead(node: string): boolean;
  /** Whether this node may claim shards now. */
  mayClaim(): boolean;
  /** Whether a leader record is valid: its process may be of a build that cannot read the stored records (safety, R4). */
  isLeaderCompatible(leader: LeaderRecord): boolean;
}

/** Claims, verifies and hands over this node's leaderships. */
export class ShardLeadership {
  private readonly lease: StateLease;
  private readonly records: LeaderRecords;
  private readonly leaderships = new Map<string, Leadership>();
  /** Monotonic time since which a shard's leader record has been absent. */
  private readonly recordAbsentSince = new Map<string, number>();
  /** Shards that are being claimed, handed over or assigned a higher fencing token. */
  private readonly shardsInTransition = new Set<string>();
  private isRelinquishing = false;
  private isStopped = false;

  constructor(
    private readonly client: Pick<StateClient, 'grantLease' | 'renewLease' | 'get' | 'transact'>,
    private readonly stateCache: Pick<
      StateCache,
      'get' | 'applyPut' | 'applyRemoval' | 'catchUp' | 'loaded'
    >,
    private readonly clock: Clock,
    private readonly options: ShardLeadershipOptions,
    private readonly events: ShardLeadershipEvents,
  ) {
    this.lease = new StateLease(client, clock, options.leaseTtl, () => {
      for (const shard of [...this.leaderships.keys()]) this.lose(shard);
    });
    this.records = new LeaderRecords(client, stateCache, clock, this.lease, options);
  }

  /** Whether the lease is valid by this node's own clock, with a margin for drift; only then may it start work. */
  get isLeaseValid(): boolean {
    return this.lease.isValid;
  }

  /** Id of the lease at the state service; null while there is none. */
  get leaseId(): number | null {
    return this.lease.id;
  }

  /** Monotonic time at which the lease expires or has expired. */
  get leaseExpiresAt(): number {
    return this.lease.expiresAt;
  }

  /** Labels of the shards that this node leads, including the autoscaler role. */
  get ledShards(): string[] {
    return [...this.leaderships.keys()];
  }

  /** Whether this node leads nothing, and nothing is being claimed or handed over. */
  get isIdle(): boolean {
    return this.leaderships.size === 0 && this.shardsInTransition.size === 0;
  }

  /** Returns this node's leadership of a shard, or undefined if it does not lead it. */
  get(shard: string): Leadership | undefined {
    return this.leaderships.get(shard);
  }

  /** Renews the lease and watches the leader records until `stop`. */
  async run(): Promise<void> {
    const pause = this.options.leaseTtl / 5;
    void this.watchLeaderRecords();
    while (!this.isStopped) {
      // A renewal does not wait for the answer to the previous one: with a slow state service the lease would otherwise
      // expire between two answers.
      const renewal = this.lease.renew().catch((error: unknown) => {
        log.debug(`renewing the lease failed: ${describeError(error)}`);
      });
      if (this.lease.id === null) await renewal;
      await sleep(this.lease.id === null ? pause / 4 : pause);
    }
  }

  /** Stops the loops that `run` started. */
  stop(): void {
    this.isStopped = true;
  }

  /** Hands all led shards over to peers, and claims nothing until `resumeClaiming` is called. */
  relinquishAll(): void {
    this.isRelinquishing = true;
  }

  /** Undoes `relinquishAll`: shards may be claimed again. */
  resumeClaiming(): void {
    this.isRelinquishing = false;
  }

  /** Gives a shard up if its stored leader record is not this node's. Called after a transaction failed on that record. */
  async verifyLeadership(shard: string): Promise<void> {
    const leadership = this.leaderships.get(shard);
    if (leadership === undefined) return;
    const item = await this.client.get(keys.leader(shard));
    if (this.leaderships.get(shard) === leadership && item?.revision !== leadership.revision)
      this.lose(shard);
  }

  /** Gives a shard up if `fencingToken`, with which another node may lead it, is higher than this node's. */
  stepDownIfFenced(shard: string, fencingToken: number): void {
    const leadership = this.leaderships.get(shard);
    // During this node's own claim or token advance the watch may deliver the new record before the transaction is answered.
    if (
      leadership !== undefined &&
      fencingToken > leadership.fencingToken &&
      !this.shardsInTransition.has(shard)
    )
      this.lose(shard);
  }

  /**
   * Obtains a higher fencing token for a shard that this node already leads. Workers then refuse starts of the earlier
   * token, so the outcome of unacknowledged starts becomes definite. Returns null if that is not possible now.
   */
  async advanceFencingToken(shard: string): Promise<Leadership | null> {
    const before = this.leaderships.get(shard);
    if (before === undefined || this.shardsInTransition.has(shard)) return null;
    this.shardsInTransition.add(shard);
    try {
      await this.events.awaitWrites(shard);
      const advanced = await this.records.write(
        shard,
        (_, revision) => revision === before.revision,
      );
      if (advanced === null || this.leaderships.get(shard) !== before) return null;
      this.leaderships.set(shard, advanced);
      return advanced;
    } finally {
      this.shardsInTransition.delete(shard);
    }
  }

  private lose(shard: string): void {
    if (!this.leaderships.delete(shard)) return;
    log.info(`shard ${shard}: leadership lost`);
    this.events.onLost(shard);
  }

  private async watchLeaderRecords(): Promise<void> {
    while (!this.isStopped) {
      if (this.isLeaseValid && this.stateCache.loaded) {
        for (const shard of [...this.options.shards, AUTOSCALER_ROLE]) this.reviewShard(shard);
      }
      await sleep(this.options.leaseTtl / 20);
    }
  }

  private reviewShard(shard: string): void {
    if (this.shardsInTransition.has(shard)) return;
    const stored = this.stateCache.get(keys.leader(shard))?.value as LeaderRecord | undefined;
    if (this.leaderships.has(shard)) this.reviewLedShard(shard, stored);
    else if (this.isRelinquishing || !this.events.mayClaim()) this.recordAbsentSince.delete(shard);
    else if (stored !== undefined && this.events.isLeaderCompatible(stored)) {
      this.recordAbsentSince.delete(shard);
      // The record is this node's from before a restart: the process that wrote it is dead, so claim the shard at once.
      if (stored.node === this.options.label) this.startClaim(shard);
    } else this.claimWhenDue(shard);
  }

  private reviewLedShard(shard: string, stored: LeaderRecord | undefined): void {
    if (stored !== undefined) this.stepDownIfFenced(shard, stored.fencingToken);
    // After a hand-over the record is absent again, and the claim delays count from that moment: the home node goes first.
    this.recordAbsentSince.delete(shard);
    const isForeign = shard !== this.options.label && shard !== AUTOSCALER_ROLE;
    if (this.isRelinquishing || (isForeign && this.events.isReadyToLead(shard))) {
      this.runExclusively(shard, () => this.handOver(shard));
    }
  }

  private claimWhenDue(shard: string): void {
    const now = this.clock.now();
    const absentSince = this.recordAbsentSince.get(shard) ?? now;
    this.recordAbsentSince.set(shard, absentSince);
    if (this.clock.now() - absentSince >= this.claimDelay(shard)) this.startClaim(shard);
  }

  private startClaim(shard: string): void {
    this.runExclusively(shard, () => this.claim(shard));
  }

  /** Returns how long to wait before a claim: the home node claims at once, the others in a fixed order per shard. */
  private claimDelay(shard: string): number {
    const { label, shards, leaseTtl } = this.options;
    if (shard === label) return 0;
    const size = shards.length;
    const turn = (shards.indexOf(label) - Math.max(0, shards.indexOf(shard)) + size) % size;
    return shard === AUTOSCALER_ROLE ? (turn * leaseTtl) / 10 : ((1 + turn) * leaseTtl) / 8;
  }

  private runExclusively(shard: string, work: () => Promise<void>): void {
    this.shardsInTransition.add(shard);
    void work()
      .catch((error: unknown) => {
        log.debug(`changing the leadership of ${shard} failed: ${describeError(error)}`);
      })
      .finally(() => this.shardsInTransition.delete(shard));
  }

  private async claim(shard: string): Promise<void> {
    const leaseId = this.lease.id;
    const { label } = this.options;
    const leadership = await this.records.write(
      shard,
      (leader) =>
        leader === null || leader.node === label || !this.events.isLeaderCompatible(leader),
    );
    if (leadership === null) return;
    // Read the records only after the leader record is written: no transaction of an earlier leader can be applied then.
    await this.stateCache.catchUp(leadership.revision);
    // The record is removed with the lease that it was written under. If this process was paused meanwhile, a newer
    // lease may be valid by now while a peer leads the shard.
    if (!this.isLeaseValid || this.lease.id !== leaseId || this.leaderships.has(shard)) return;
    this.leaderships.set(shard, leadership);
    log.info(`shard ${shard}: leadership gained with fencing token ${leadership.fencingToken}`);
    this.events.onGained(shard, leadership);
  }

  /** Hands a shard over to its home node or, if this node is relinquishing all shards, to the first peer that claims it. */
  private async handOver(shard: string): Promise<void> {
    const leadership = this.leaderships.get(shard);
    if (leadership === undefined) return;
    log.info(`shard ${shard}: handing leadership over`);
    this.events.onLost(shard);
    this.leaderships.delete(shard);
    await this.events.awaitWrites(shard);
    await this.records.remove(shard, leadership, () => this.isRelinquishing);
  }
}
