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
  token: number;
  stamp: number;
  /**
   * Time of day at which the last node but this lost the part without handing it over: it may still answer
   * the part's workers for a while. 0: there is none. A restart of this node changes nothing of it.
   */
  lostAt: number;
}

export interface ShardLeadershipOptions {
  label: string;
  process: string;
  parts: string[];
  /** The lease at the state service, in seconds. */
  ttl: number;
  /** Seconds for which a node may answer workers after its lease. */
  grace: number;
}

export interface ShardLeadershipEvents {
  gained(part: string, held: Leadership): void;
  lost(part: string): void;
  /** Resolves once nothing of the part is on its way to the state service any more. */
  quiet(part: string): Promise<void>;
  /** True when this node has been up and served long enough to get its part back. */
  wantsBack(node: string): boolean;
  /** Whether this node may own anything just now. */
  mayClaim(): boolean;
  /** Whether an ownership key counts: its process may be one that cannot read what is stored (safety, R4). */
  isEntitled(owner: LeaderRecord): boolean;
}

export class ShardLeadership {
  private hold: number | null = null;
  private validUntil = -Infinity;
  private readonly held = new Map<string, Leadership>();
  private readonly absentSince = new Map<string, number>();
  private readonly busy = new Set<string>();
  private isReleasing = false;
  private stopped = false;

  constructor(
    private readonly client: Pick<StateClient, 'grant' | 'extend' | 'get' | 'txn'>,
    private readonly replica: Pick<
      StateCache,
      'get' | 'note' | 'noteRemoved' | 'catchUp' | 'loaded'
    >,
    private readonly clock: Clock,
    private readonly options: ShardLeadershipOptions,
    private readonly events: ShardLeadershipEvents,
  ) {}

  /** Whether this node may start work and speak for its parts: by its own clock, drift included. */
  get valid(): boolean {
    return this.hold !== null && this.clock.now() < this.validUntil;
  }

  /** The lease at the state service; null while there is none. */
  get lease(): number | null {
    return this.hold;
  }

  /** Parts, and the provisioner's duty, that this node holds. */
  get heldParts(): string[] {
    return [...this.held.keys()];
  }

  /** It holds nothing, and nothing is being claimed or handed over. */
  get isIdle(): boolean {
    return this.held.size === 0 && this.busy.size === 0;
  }

  /** Steady time at which the right to start work ends, or ended. */
  get until(): number {
    return this.validUntil;
  }

  get(part: string): Leadership | undefined {
    return this.held.get(part);
  }

  async run(): Promise<void> {
    const pause = this.options.ttl / 5;
    void this.watchKeys();
    while (!this.stopped) {
      // One renewal does not wait for the answer to the last: where the state service is slow, the right to
      // act would end between an answer and the next.
      const renewal = this.renew().catch((error: unknown) => {
        log.debug(`lease: ${describe(error)}`);
      });
      if (this.hold === null) await renewal;
      await sleep(this.hold === null ? pause / 4 : pause);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Gives up all that this node holds, and takes nothing until `reclaim`; peers take it over. */
  release(): void {
    this.isReleasing = true;
  }

  reclaim(): void {
    this.isReleasing = false;
  }

  private async renew(): Promise<void> {
    // Counted from when the renewal was sent: it can't have reached the service earlier.
    const sent = this.clock.now();
    const { hold } = this;
    if (hold === null) {
      this.hold = await this.client.grant(this.options.ttl);
      this.validUntil = -Infinity;
    } else if (await this.client.extend(hold, this.options.ttl * 0.8)) {
      if (this.hold !== hold) return;
    } else {
      if (this.hold !== hold) return;
      log.info('our lease at the state service has ended; giving up all parts');
      this.hold = null;
      this.validUntil = -Infinity;
      for (const part of [...this.held.keys()]) this.lose(part);
      return;
    }
    // Answers may overtake each other.
    this.validUntil = Math.max(this.validUntil, sent + this.options.ttl * (1 - DRIFT));
  }

  /** A transaction of ours failed on the ownership key: look, and give the part up if it's true. */
  async verifyOwner(part: string): Promise<void> {
    const held = this.held.get(part);
    if (held === undefined) return;
    const item = await this.client.get(keys.owner(part));
    if (this.held.get(part) === held && item?.stamp !== held.stamp) this.lose(part);
  }

  /** Somebody owns the part with this token: if it is above ours, the part is ours no longer. */
  forfeit(part: string, token: number): void {
    const held = this.held.get(part);
    // While a claim or a raise of ours is under way its record may be known before its answer.
    if (held !== undefined && token > held.token && !this.busy.has(part)) this.lose(part);
  }

  private lose(part: string): void {
    if (!this.held.delete(part)) return;
    log.info(`part ${part} is no longer ours`);
    this.events.lost(part);
  }

  private async watchKeys(): Promise<void> {
    while (!this.stopped) {
      if (this.valid && this.replica.loaded) {
        for (const part of [...this.options.parts, AUTOSCALER_DUTY]) this.look(part);
      }
      await sleep(this.options.ttl / 20);
    }
  }

  private look(part: string): void {
    if (this.busy.has(part)) return;
    const { label } = this.options;
    const stored = this.replica.get(keys.owner(part))?.value as LeaderRecord | undefined;
    const mine = this.held.get(part);
    if (mine !== undefined) {
      if (stored !== undefined) this.forfeit(part, stored.token);
      // Its key will be absent anew after a hand-back, and its own node goes first then.
      this.absentSince.delete(part);
      if (this.isReleasing) {
        this.exclusive(part, () => this.handOver(part));
      } else if (part !== label && part !== AUTOSCALER_DUTY && this.events.wantsBack(part)) {
        this.exclusive(part, () => this.handOver(part));
      }
      return;
    }
    if (this.isReleasing || !this.events.mayClaim()) {
      this.absentSince.delete(part);
      return;
    }
    if (stored !== undefined && this.events.isEntitled(stored)) {
      this.absentSince.delete(part);
      // Our own key from before a restart: the process that wrote it is dead, so take it at once.
      if (stored.node === label) this.exclusive(part, () => this.claim(part));
      return;
    }
    const since = this.absentSince.get(part) ?? this.clock.now();
    this.absentSince.set(part, since);
    if (this.clock.now() - since >= this.patience(part)) {
      this.exclusive(part, () => this.claim(part));
    }
  }

  /** The part's own node goes first; the others one after the other, in an order of the part's. */
  private patience(part: string): number {
    const { label, parts, ttl } = this.options;
    if (part === label) return 0;
    const size = parts.length;
    const turn = (parts.indexOf(label) - Math.max(0, parts.indexOf(part)) + size) % size;
    return part === AUTOSCALER_DUTY ? (turn * ttl) / 10 : ((1 + turn) * ttl) / 8;
  }

  private exclusive(part: string, work: () => Promise<void>): void {
    this.busy.add(part);
    void work()
      .catch((error: unknown) => {
        log.debug(`ownership of ${part}: ${describe(error)}`);
      })
      .finally(() => this.busy.delete(part));
  }

  private async claim(part: string): Promise<void> {
    const { hold } = this;
    const { label } = this.options;
    const held = await this.writeOwner(
      part,
      (owner) => owner === null || owner.node === label || !this.events.isEntitled(owner),
    );
    if (held === null) return;
    // Asked for after the key was written: no earlier owner's transaction can be applied any more.
    await this.replica.catchUp(held.stamp);
    // The key goes with the lease that it was written under. After a stretch in which this process did not get to
    // run, another lease may be valid by now, and a peer the owner.
    if (!this.valid || this.hold !== hold || this.held.has(part)) return;
    this.held.set(part, held);
    log.info(`part ${part} is ours with token ${held.token}`);
    this.events.gained(part, held);
  }

  /** A higher token for a part that we own already; it settles starts that are in doubt. */
  async raise(part: string): Promise<Leadership | null> {
    const before = this.held.get(part);
    if (before === undefined || this.busy.has(part)) return null;
    this.busy.add(part);
    try {
      await this.events.quiet(part);
      const raised = await this.writeOwner(part, (_, stamp) => stamp === before.stamp);
      if (raised === null || this.held.get(part) !== before) return null;
      this.held.set(part, raised);
      return raised;
    } finally {
      this.busy.delete(part);
    }
  }

  private async writeOwner(
    part: string,
    may: (owner: LeaderRecord | null, stamp: number) => boolean,
  ): Promise<Leadership | null> {
    const key = keys.owner(part);
    const { label: node, process } = this.options;
    const counter = await this.client.get(keys.token);
    const before = await this.client.get(key);
    const owner = (before?.value ?? null) as LeaderRecord | null;
    if (!may(owner, before?.stamp ?? 0) || this.hold === null) {
      if (before !== null) this.replica.note(key, before.value, before.stamp);
      return null;
    }
    const tokens = (counter?.value ?? { last: 0 }) as FencingTokenRecord;
    const token = tokens.last + 1;
    const record: LeaderRecord = { node, token, process };
    const lost = lostBefore(tokens.owners?.[part], node, this.clock.wall(), this.options.grace);
    const owners = { ...tokens.owners, [part]: { node, lost } };
    const result = await this.client.txn(
      {
        when: [
          { key: keys.token, stamp: counter?.stamp ?? 0 },
          { key, stamp: before?.stamp ?? 0 },
        ],
        puts: [
          { key: keys.token, value: { last: token, owners } satisfies FencingTokenRecord },
          { key, value: record, hold: this.hold },
        ],
        removes: [],
      },
      'ownership',
    );
    let stamp = result.kind === 'applied' ? result.stamp : 0;
    if (result.kind === 'unknown' || result.kind === 'conflict') {
      // It may have been applied all the same: read back, then decide.
      const now = await this.client.get(key);
      const stored = now?.value as LeaderRecord | undefined;
      if (now !== null && stored?.token === token && stored.process === process) stamp = now.stamp;
    }
    if (stamp === 0) return null;
    this.replica.note(key, record, stamp);
    return { token, stamp, lostAt: Math.max(0, ...Object.values(lost)) };
  }

  /** Gives up a part, to its own node or, where this node is leaving, to whichever peer takes it first. */
  private async handOver(part: string): Promise<void> {
    const held = this.held.get(part);
    if (held === undefined) return;
    log.info(`handing part ${part} back`);
    this.events.lost(part);
    this.held.delete(part);
    await this.events.quiet(part);
    const key = keys.owner(part);
    for (let tries = 0; tries < 5; tries++) {
      const counter = await this.client.get(keys.token);
      const tokens = (counter?.value ?? { last: held.token }) as FencingTokenRecord;
      const owners = withoutOwner(tokens.owners, part, this.isReleasing);
      const result = await this.client.txn(
        {
          when: [
            { key, stamp: held.stamp },
            { key: keys.token, stamp: counter?.stamp ?? 0 },
          ],
          puts: [{ key: keys.token, value: { ...tokens, owners } }],
          removes: [key],
        },
        'ownership',
      );
      if (result.kind === 'applied') this.replica.noteRemoved(key, result.stamp);
      if (result.kind === 'applied') return;
      if (result.kind === 'conflict' && result.failed.includes(key)) return;
      await sleep(this.options.ttl / 10);
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
  part: string,
  isForAnyPeer: boolean,
): Record<string, LastLeader> {
  const lost = owners?.[part]?.lost ?? {};
  if (!isForAnyPeer) return { ...owners, [part]: { node: part, lost } };
  const others = Object.entries(owners ?? {}).filter(([name]) => name !== part);
  const [earlier] = Object.keys(lost);
  return {
    ...Object.fromEntries(others),
    ...(earlier === undefined ? {} : { [part]: { node: earlier, lost } }),
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
  const lost = { ...last?.lost };
  if (last !== undefined) lost[last.node] = wall;
  return Object.fromEntries(
    Object.entries(lost).filter(([who, at]) => who !== node && wall - at <= grace * 2),
  );
}
