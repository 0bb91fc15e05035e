/**
 * Who owns which part. A part's owner holds its key by a lease of the state service; tokens come from
 * one counter there, so that any new ownership has a token above every earlier one.
 */
import { DRIFT, sleep, type Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import {
  keys,
  type LastLeader,
  type LeaderRecord,
  type FencingTokenRecord,
} from '../../storage/records.js';

/** Not a part: the key by which the one node that rents and returns machines is elected. */
export const AUTOSCALER_DUTY = '~provisioner';

export interface Leadership {
  fencingToken: number;
  revision: number;
  /**
   * Time of day at which the last node but this lost the part without handing it over: it may still answer
   * the part's workers for a while. 0: there is none. A restart of this node changes nothing of it.
   */
  previousLeaderLostAt: number;
}

export interface ShardLeadershipOptions {
  label: string;
  process: string;
  shards: string[];
  /** The lease at the state service, in seconds. */
  leaseTtl: number;
  /** Seconds for which a node may answer workers after its lease. */
  leaderGracePeriod: number;
}

export interface ShardLeadershipEvents {
  onGained(shard: string, leadership: Leadership): void;
  onLost(shard: string): void;
  /** Resolves once nothing of the part is on its way to the state service any more. */
  awaitWrites(shard: string): Promise<void>;
  /** True when this node has been up and served long enough to get its part back. */
  isReadyToLead(node: string): boolean;
  /** Whether this node may own anything just now. */
  mayClaim(): boolean;
  /** Whether an ownership key counts: its process may be one that cannot read what is stored (safety, R4). */
  isEntitled(owner: LeaderRecord): boolean;
}

export class ShardLeadership {
  private activeLeaseId: number | null = null;
  private leaseValidUntil = -Infinity;
  private readonly leaderships = new Map<string, Leadership>();
  private readonly keyAbsentSince = new Map<string, number>();
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
  ) {}

  /** Whether this node may start work and speak for its parts: by its own clock, drift included. */
  get isLeaseValid(): boolean {
    return this.activeLeaseId !== null && this.clock.now() < this.leaseValidUntil;
  }

  /** The lease at the state service; null while there is none. */
  get leaseId(): number | null {
    return this.activeLeaseId;
  }

  /** Parts, and the provisioner's duty, that this node holds. */
  get ledShards(): string[] {
    return [...this.leaderships.keys()];
  }

  /** It holds nothing, and nothing is being claimed or handed over. */
  get isIdle(): boolean {
    return this.leaderships.size === 0 && this.shardsInTransition.size === 0;
  }

  /** Steady time at which the right to start work ends, or ended. */
  get leaseExpiresAt(): number {
    return this.leaseValidUntil;
  }

  get(shard: string): Leadership | undefined {
    return this.leaderships.get(shard);
  }

  async run(): Promise<void> {
    const pause = this.options.leaseTtl / 5;
    void this.watchLeaderKeys();
    while (!this.stopped) {
      // One renewal does not wait for the answer to the last: where the state service is slow, the right to
      // act would end between an answer and the next.
      const renewal = this.renew().catch((error: unknown) => {
        log.debug(`lease: ${describe(error)}`);
      });
      if (this.activeLeaseId === null) await renewal;
      await sleep(this.activeLeaseId === null ? pause / 4 : pause);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Gives up all that this node holds, and takes nothing until `reclaim`; peers take it over. */
  relinquishAll(): void {
    this.isRelinquishing = true;
  }

  resumeClaiming(): void {
    this.isRelinquishing = false;
  }

  private async renew(): Promise<void> {
    // Counted from when the renewal was sent: it can't have reached the service earlier.
    const sent = this.clock.now();
    const { activeLeaseId: hold } = this;
    if (hold === null) {
      this.activeLeaseId = await this.client.grantLease(this.options.leaseTtl);
      this.leaseValidUntil = -Infinity;
    } else if (await this.client.renewLease(hold, this.options.leaseTtl * 0.8)) {
      if (this.activeLeaseId !== hold) return;
    } else {
      if (this.activeLeaseId !== hold) return;
      log.info('our lease at the state service has ended; giving up all parts');
      this.activeLeaseId = null;
      this.leaseValidUntil = -Infinity;
      for (const shard of [...this.leaderships.keys()]) this.lose(shard);
      return;
    }
    // Answers may overtake each other.
    this.leaseValidUntil = Math.max(
      this.leaseValidUntil,
      sent + this.options.leaseTtl * (1 - DRIFT),
    );
  }

  /** A transaction of ours failed on the ownership key: look, and give the part up if it's true. */
  async verifyLeadership(shard: string): Promise<void> {
    const leadership = this.leaderships.get(shard);
    if (leadership === undefined) return;
    const item = await this.client.get(keys.owner(shard));
    if (this.leaderships.get(shard) === leadership && item?.revision !== leadership.revision)
      this.lose(shard);
  }

  /** Somebody owns the part with this token: if it is above ours, the part is ours no longer. */
  stepDownIfFenced(shard: string, fencingToken: number): void {
    const leadership = this.leaderships.get(shard);
    // While a claim or a raise of ours is under way its record may be known before its answer.
    if (
      leadership !== undefined &&
      fencingToken > leadership.fencingToken &&
      !this.shardsInTransition.has(shard)
    )
      this.lose(shard);
  }

  private lose(shard: string): void {
    if (!this.leaderships.delete(shard)) return;
    log.info(`part ${shard} is no longer ours`);
    this.events.onLost(shard);
  }

  private async watchLeaderKeys(): Promise<void> {
    while (!this.stopped) {
      if (this.isLeaseValid && this.stateCache.loaded) {
        for (const shard of [...this.options.shards, AUTOSCALER_DUTY]) this.reviewShard(shard);
      }
      await sleep(this.options.leaseTtl / 20);
    }
  }

  private reviewShard(shard: string): void {
    if (this.shardsInTransition.has(shard)) return;
    const { label } = this.options;
    const stored = this.stateCache.get(keys.owner(shard))?.value as LeaderRecord | undefined;
    const mine = this.leaderships.get(shard);
    if (mine !== undefined) {
      if (stored !== undefined) this.stepDownIfFenced(shard, stored.fencingToken);
      // Its key will be absent anew after a hand-back, and its own node goes first then.
      this.keyAbsentSince.delete(shard);
      if (this.isRelinquishing) {
        this.runExclusively(shard, () => this.handOver(shard));
      } else if (shard !== label && shard !== AUTOSCALER_DUTY && this.events.isReadyToLead(shard)) {
        this.runExclusively(shard, () => this.handOver(shard));
      }
      return;
    }
    if (this.isRelinquishing || !this.events.mayClaim()) {
      this.keyAbsentSince.delete(shard);
      return;
    }
    if (stored !== undefined && this.events.isEntitled(stored)) {
      this.keyAbsentSince.delete(shard);
      // Our own key from before a restart: the process that wrote it is dead, so take it at once.
      if (stored.node === label) this.runExclusively(shard, () => this.claim(shard));
      return;
    }
    const since = this.keyAbsentSince.get(shard) ?? this.clock.now();
    this.keyAbsentSince.set(shard, since);
    if (this.clock.now() - since >= this.claimDelay(shard)) {
      this.runExclusively(shard, () => this.claim(shard));
    }
  }

  /** The part's own node goes first; the others one after the other, in an order of the part's. */
  private claimDelay(shard: string): number {
    const { label, shards, leaseTtl: ttl } = this.options;
    if (shard === label) return 0;
    const size = shards.length;
    const turn = (shards.indexOf(label) - Math.max(0, shards.indexOf(shard)) + size) % size;
    return shard === AUTOSCALER_DUTY ? (turn * ttl) / 10 : ((1 + turn) * ttl) / 8;
  }

  private runExclusively(shard: string, work: () => Promise<void>): void {
    this.shardsInTransition.add(shard);
    void work()
      .catch((error: unknown) => {
        log.debug(`ownership of ${shard}: ${describe(error)}`);
      })
      .finally(() => this.shardsInTransition.delete(shard));
  }

  private async claim(shard: string): Promise<void> {
    const { activeLeaseId: hold } = this;
    const { label } = this.options;
    const leadership = await this.writeLeaderRecord(
      shard,
      (owner) => owner === null || owner.node === label || !this.events.isEntitled(owner),
    );
    if (leadership === null) return;
    // Asked for after the key was written: no earlier owner's transaction can be applied any more.
    await this.stateCache.catchUp(leadership.revision);
    // The key goes with the lease that it was written under. After a stretch in which this process did not get to
    // run, another lease may be valid by now, and a peer the owner.
    if (!this.isLeaseValid || this.activeLeaseId !== hold || this.leaderships.has(shard)) return;
    this.leaderships.set(shard, leadership);
    log.info(`part ${shard} is ours with token ${leadership.fencingToken}`);
    this.events.onGained(shard, leadership);
  }

  /** A higher token for a part that we own already; it settles starts that are in doubt. */
  async advanceFencingToken(shard: string): Promise<Leadership | null> {
    const before = this.leaderships.get(shard);
    if (before === undefined || this.shardsInTransition.has(shard)) return null;
    this.shardsInTransition.add(shard);
    try {
      await this.events.awaitWrites(shard);
      const raised = await this.writeLeaderRecord(
        shard,
        (_, revision) => revision === before.revision,
      );
      if (raised === null || this.leaderships.get(shard) !== before) return null;
      this.leaderships.set(shard, raised);
      return raised;
    } finally {
      this.shardsInTransition.delete(shard);
    }
  }

  private async writeLeaderRecord(
    shard: string,
    may: (owner: LeaderRecord | null, revision: number) => boolean,
  ): Promise<Leadership | null> {
    const key = keys.owner(shard);
    const { label: node, process } = this.options;
    const counter = await this.client.get(keys.token);
    const before = await this.client.get(key);
    const owner = (before?.value ?? null) as LeaderRecord | null;
    if (!may(owner, before?.revision ?? 0) || this.activeLeaseId === null) {
      if (before !== null) this.stateCache.note(key, before.value, before.revision);
      return null;
    }
    const fencingTokens = (counter?.value ?? { lastToken: 0 }) as FencingTokenRecord;
    const fencingToken = fencingTokens.lastToken + 1;
    const record: LeaderRecord = { node, fencingToken, process };
    const lostAtByNode = lostBefore(
      fencingTokens.lastLeaders?.[shard],
      node,
      this.clock.wall(),
      this.options.leaderGracePeriod,
    );
    const lastLeaders = { ...fencingTokens.lastLeaders, [shard]: { node, lostAtByNode } };
    const result = await this.client.transact(
      {
        conditions: [
          { key: keys.token, revision: counter?.revision ?? 0 },
          { key, revision: before?.revision ?? 0 },
        ],
        puts: [
          {
            key: keys.token,
            value: { lastToken: fencingToken, lastLeaders } satisfies FencingTokenRecord,
          },
          { key, value: record, leaseId: this.activeLeaseId },
        ],
        deletes: [],
      },
      'ownership',
    );
    let revision = result.kind === 'applied' ? result.revision : 0;
    if (result.kind === 'unknown' || result.kind === 'conflict') {
      // It may have been applied all the same: read back, then decide.
      const now = await this.client.get(key);
      const stored = now?.value as LeaderRecord | undefined;
      if (now !== null && stored?.fencingToken === fencingToken && stored.process === process)
        revision = now.revision;
    }
    if (revision === 0) return null;
    this.stateCache.note(key, record, revision);
    return {
      fencingToken,
      revision,
      previousLeaderLostAt: Math.max(0, ...Object.values(lostAtByNode)),
    };
  }

  /** Gives up a part, to its own node or, where this node is leaving, to whichever peer takes it first. */
  private async handOver(shard: string): Promise<void> {
    const leadership = this.leaderships.get(shard);
    if (leadership === undefined) return;
    log.info(`handing part ${shard} back`);
    this.events.onLost(shard);
    this.leaderships.delete(shard);
    await this.events.awaitWrites(shard);
    const key = keys.owner(shard);
    for (let tries = 0; tries < 5; tries++) {
      const counter = await this.client.get(keys.token);
      const fencingTokens = (counter?.value ?? {
        lastToken: leadership.fencingToken,
      }) as FencingTokenRecord;
      const lastLeaders = withoutOwner(fencingTokens.lastLeaders, shard, this.isRelinquishing);
      const value: FencingTokenRecord = { ...fencingTokens, lastLeaders };
      const result = await this.client.transact(
        {
          conditions: [
            { key, revision: leadership.revision },
            { key: keys.token, revision: counter?.revision ?? 0 },
          ],
          puts: [{ key: keys.token, value }],
          deletes: [key],
        },
        'ownership',
      );
      if (result.kind === 'applied') this.stateCache.noteRemoved(key, result.revision);
      if (result.kind === 'applied') return;
      if (result.kind === 'conflict' && result.failed.includes(key)) return;
      await sleep(this.options.leaseTtl / 10);
    }
  }
}

/**
 * The last owners once this node has handed a part over: it answers the part's workers no more, so that nobody has to
 * wait on its account. A part that goes to its own node is noted as that node's; where any peer may take it, nobody is
 * noted, unless an earlier owner has to be waited for.
 */
function withoutOwner(
  owners: Record<string, LastLeader> | undefined,
  shard: string,
  isForAnyPeer: boolean,
): Record<string, LastLeader> {
  const lost = owners?.[shard]?.lostAtByNode ?? {};
  if (!isForAnyPeer) return { ...owners, [shard]: { node: shard, lostAtByNode: lost } };
  const others = Object.entries(owners ?? {}).filter(([name]) => name !== shard);
  const [earlier] = Object.keys(lost);
  return {
    ...Object.fromEntries(others),
    ...(earlier === undefined ? {} : { [shard]: { node: earlier, lostAtByNode: lost } }),
  };
}

/**
 * Who else may still answer the part's workers once this node has it: those that lost it, but not this node
 * itself, whose earlier process has ended, nor those that lost it long ago.
 */
function lostBefore(
  last: LastLeader | undefined,
  node: string,
  wall: number,
  grace: number,
): Record<string, number> {
  const lost = { ...last?.lostAtByNode };
  if (last !== undefined) lost[last.node] = wall;
  return Object.fromEntries(
    Object.entries(lost).filter(([who, at]) => who !== node && wall - at <= grace * 2),
  );
}
