/**
 * Which shards this node leads: it claims shards without a leader, hands back those of other nodes once these are ready,
 * and gives up what another node leads with a higher fencing token.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { keys, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import { LeaderRecords, type Leadership, type LeaderRecordsOptions } from './leaderRecords.js';
import { StateLease } from './stateLease.js';

export type { Leadership } from './leaderRecords.js';

/** Not a shard: the key by which the one node that launches and releases machines is elected. */
export const AUTOSCALER_ROLE = '~provisioner';

/** This node, and the labels of all shards. */
export interface ShardLeadershipOptions extends LeaderRecordsOptions {
  shards: string[];
}

/** What the leadership tells, and what it has to know of the rest of the node. */
export interface ShardLeadershipEvents {
  /** This node has become the leader of a shard, or got the autoscaler's duty. */
  onGained(shard: string, leadership: Leadership): void;
  /** This node has lost a shard or the autoscaler's duty, or is about to hand it over. */
  onLost(shard: string): void;
  /** Resolves once no write of the shard is in flight to the state service any more. */
  awaitWrites(shard: string): Promise<void>;
  /** True when a node has been up and served long enough to get its shard back. */
  isReadyToLead(node: string): boolean;
  /** Whether this node may claim anything just now. */
  mayClaim(): boolean;
  /** Whether a leader record counts: its process may be one that can't read what is stored (safety, R4). */
  isLeaderCompatible(leader: LeaderRecord): boolean;
}

/** This node's leaderships, by shard. */
export class ShardLeadership {
  private readonly lease: StateLease;
  private readonly records: LeaderRecords;
  private readonly leaderships = new Map<string, Leadership>();
  /** Steady time since which a shard's leader record has been absent. */
  private readonly keyAbsentSince = new Map<string, number>();
  /** Shards that are being claimed or handed over, or get a higher fencing token. */
  private readonly shardsInTransition = new Set<string>();
  private isRelinquishing = false;
  private stopped = false;

  constructor(
    private readonly client: Pick<StateClient, 'grantLease' | 'renewLease' | 'get' | 'transact'>,
    private readonly stateCache: Pick<
      StateCache,
      'get' | 'note' | 'noteRemoved' | 'catchUp' | 'loaded'
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

  /** Whether this node may start work and speak for its shards: by its own clock, drift included. */
  get isLeaseValid(): boolean {
    return this.lease.isValid;
  }

  /** The lease at the state service; null while there is none. */
  get leaseId(): number | null {
    return this.lease.id;
  }

  /** Steady time at which the right to start work ends, or ended. */
  get leaseExpiresAt(): number {
    return this.lease.expiresAt;
  }

  /** Shards that this node leads, the autoscaler's duty included. */
  get ledShards(): string[] {
    return [...this.leaderships.keys()];
  }

  /** It leads nothing, and nothing is being claimed or handed over. */
  get isIdle(): boolean {
    return this.leaderships.size === 0 && this.shardsInTransition.size === 0;
  }

  /** This node's leadership of a shard, if it leads it. */
  get(shard: string): Leadership | undefined {
    return this.leaderships.get(shard);
  }

  /** Renews the lease and watches the leader records until `stop`. */
  async run(): Promise<void> {
    const pause = this.options.leaseTtl / 5;
    void this.watchLeaderKeys();
    while (!this.stopped) {
      // One renewal does not wait for the answer to the last: where the state service is slow, the right to
      // act would end between an answer and the next.
      const renewal = this.lease.renew().catch((error: unknown) => {
        log.debug(`lease: ${describeError(error)}`);
      });
      if (this.lease.id === null) await renewal;
      await sleep(this.lease.id === null ? pause / 4 : pause);
    }
  }

  /** Ends the loops of `run`. */
  stop(): void {
    this.stopped = true;
  }

  /** Hands over all that this node leads, and claims nothing until `resumeClaiming`; peers take it over. */
  relinquishAll(): void {
    this.isRelinquishing = true;
  }

  /** Ends `relinquishAll`. */
  resumeClaiming(): void {
    this.isRelinquishing = false;
  }

  /** Gives a shard up if its stored leader record is not this node's; for when a transaction has failed on it. */
  async verifyLeadership(shard: string): Promise<void> {
    const leadership = this.leaderships.get(shard);
    if (leadership === undefined) return;
    const item = await this.client.get(keys.leader(shard));
    if (this.leaderships.get(shard) === leadership && item?.revision !== leadership.revision)
      this.lose(shard);
  }

  /** Another node may lead the shard with this fencing token: if it is above ours, the shard is ours no longer. */
  stepDownIfFenced(shard: string, fencingToken: number): void {
    const leadership = this.leaderships.get(shard);
    // While a claim or a higher fencing token of ours is under way its record may be known before its answer.
    if (
      leadership !== undefined &&
      fencingToken > leadership.fencingToken &&
      !this.shardsInTransition.has(shard)
    )
      this.lose(shard);
  }

  /**
   * Gets a higher fencing token for a shard that this node leads already; it settles unacknowledged starts. Null where
   * that was not possible just now.
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

  private async watchLeaderKeys(): Promise<void> {
    while (!this.stopped) {
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
    else if (this.isRelinquishing || !this.events.mayClaim()) this.keyAbsentSince.delete(shard);
    else if (stored !== undefined && this.events.isLeaderCompatible(stored)) {
      this.keyAbsentSince.delete(shard);
      // Our own record from before a restart: the process that wrote it is dead, so claim it at once.
      if (stored.node === this.options.label) this.startClaim(shard);
    } else this.claimWhenDue(shard);
  }

  private reviewLedShard(shard: string, stored: LeaderRecord | undefined): void {
    if (stored !== undefined) this.stepDownIfFenced(shard, stored.fencingToken);
    // Its record will be absent anew after a hand-over, and its home node goes first then.
    this.keyAbsentSince.delete(shard);
    const isForeign = shard !== this.options.label && shard !== AUTOSCALER_ROLE;
    if (this.isRelinquishing || (isForeign && this.events.isReadyToLead(shard))) {
      this.runExclusively(shard, () => this.handOver(shard));
    }
  }

  private claimWhenDue(shard: string): void {
    const now = this.clock.now();
    const absentSince = this.keyAbsentSince.get(shard) ?? now;
    this.keyAbsentSince.set(shard, absentSince);
    if (this.clock.now() - absentSince >= this.claimDelay(shard)) this.startClaim(shard);
  }

  private startClaim(shard: string): void {
    this.runExclusively(shard, () => this.claim(shard));
  }

  /** The shard's home node goes first; the others one after the other, in an order of the shard's. */
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
        log.debug(`leadership of ${shard}: ${describeError(error)}`);
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
    // Asked for after the record was written: no earlier leader's transaction can be applied any more.
    await this.stateCache.catchUp(leadership.revision);
    // The record goes with the lease that it was written under. After a stretch in which this process did not get to
    // run, another lease may be valid by now, and a peer the leader.
    if (!this.isLeaseValid || this.lease.id !== leaseId || this.leaderships.has(shard)) return;
    this.leaderships.set(shard, leadership);
    log.info(`shard ${shard}: leadership gained with fencing token ${leadership.fencingToken}`);
    this.events.onGained(shard, leadership);
  }

  /** Gives up a shard, to its home node or, where this node is leaving, to whichever peer takes it first. */
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
