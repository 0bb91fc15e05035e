import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { CallFailed, type HttpClient, type Response } from '../transport/httpClient.js';
import * as wire from '../protocol/state.js';
import { Budget, shareOf, type Urgency } from './budget.js';

/** The state service could not be asked, or refused: nothing is known to have been carried out. */
export class Unavailable extends Error {}

export type TxnResult =
  | { kind: 'applied'; stamp: number }
  | { kind: 'conflict'; failed: string[] }
  /** No answer: it may have been applied, or may still be. */
  | { kind: 'unknown' }
  | { kind: 'refused' }
  /** A put named a lease that has ended. */
  | { kind: 'no-lease' };

export interface StateClientOptions {
  endpoint: string;
  rate: number;
  writeRate: number;
  /** How many nodes share the rates. */
  sharers: number;
  timeout: number;
}

/** What is left of the limits for what the others' word, being old, does not tell of. */
const CAUTION = 0.92;

export class StateClient {
  private readonly requests: Budget;
  private readonly writes: Budget;
  /** Steady time of the last answer that was no refusal. */
  lastServed = -Infinity;
  /** Steady time of the last refusal or silence. */
  lastFailed = -Infinity;

  constructor(
    private readonly http: Pick<HttpClient, 'call'>,
    private readonly clock: Clock,
    private readonly options: StateClientOptions,
  ) {
    const { rate, writeRate, sharers } = options;
    this.requests = new Budget(clock, rate / sharers, rate / sharers);
    this.writes = new Budget(clock, writeRate / sharers, writeRate / sharers);
  }

  /** What this node asks of the service, a second. */
  get need(): { requests: number; writes: number } {
    return { requests: this.requests.need, writes: this.writes.need };
  }

  /** Takes what the others leave; `needs` are those that have been heard of lately. */
  share(needs: { requests: number; writes: number }[]): void {
    const { rate, writeRate, sharers } = this.options;
    const requests = needs.map((n) => n.requests);
    const writes = needs.map((n) => n.writes);
    this.requests.setRate(shareOf(rate * CAUTION, sharers, requests));
    this.writes.setRate(shareOf(writeRate * CAUTION, sharers, writes));
  }

  /** Changes a second that are ours just now. */
  get writeRate(): number {
    return this.writes.pace;
  }

  /** Seconds that a change of this urgency would wait for its turn. */
  writeDelay(urgency: Urgency): number {
    return this.writes.delay(urgency);
  }

  /** Requests and changes that wait for their turn. */
  get backlog(): number {
    return this.requests.waiting + this.writes.waiting;
  }

  get healthy(): boolean {
    return this.lastServed > this.lastFailed;
  }

  private async call(
    method: string,
    target: string,
    body: unknown,
    timeout = this.options.timeout,
  ): Promise<Response> {
    try {
      const response = await this.http.call(this.options.endpoint, method, target, body, timeout);
      if (response.status === 503) this.lastFailed = this.clock.now();
      else this.lastServed = this.clock.now();
      return response;
    } catch (error) {
      this.lastFailed = this.clock.now();
      throw error;
    }
  }

  /** A read or a lease call, once more after 429. */
  private async ask(
    method: string,
    target: string,
    body?: unknown,
    timeout?: number,
  ): Promise<Response> {
    for (let tries = 0; ; tries++) {
      await this.requests.take(1, method === 'POST' ? 'ownership' : 'urgent');
      let response: Response;
      try {
        response = await this.call(method, target, body, timeout);
      } catch (error) {
        throw new Unavailable(error instanceof Error ? error.message : 'no answer');
      }
      if (response.status === 503) throw new Unavailable('state service refuses');
      if (response.status !== 429) return response;
      this.requests.punish();
      if (tries >= 3) throw new Unavailable('state service is over its rate');
      await sleep(0.1 * (tries + 1));
    }
  }

  async get(key: string): Promise<wire.Item | null> {
    const response = await this.ask('GET', wire.paths.key(key));
    if (response.status === 404) return null;
    const item = wire.parseItem(response.body);
    if (response.status !== 200 || item === null) throw new Unavailable('odd answer');
    return item;
  }

  /** All items below a prefix, with a revision not newer than any of them was read at. */
  async range(prefix: string): Promise<{ items: wire.Item[]; epoch: number }> {
    const items: wire.Item[] = [];
    let epoch: number | null = null;
    for (let after = ''; ;) {
      const target = wire.paths.range(prefix, after, wire.RANGE_PAGE);
      const response = await this.ask('GET', target, undefined, this.options.timeout * 3);
      const page = wire.parseRange(response.body);
      if (response.status !== 200 || page === null) throw new Unavailable('odd answer');
      items.push(...page.items);
      epoch ??= page.epoch;
      const last = page.items[page.items.length - 1];
      if (!page.more || last === undefined) return { items, epoch };
      after = last.key;
    }
  }

  /** Waits for the turn of a transaction that will be made, with `granted`, from what is known then. */
  turn(cost: number, urgency: Urgency): Promise<void> {
    return this.writes.take(cost, urgency);
  }

  /** More changes go with a turn that was given. */
  charge(cost: number, urgency: Urgency): void {
    this.writes.charge(cost, urgency);
  }

  async txn(txn: wire.Txn, urgency: Urgency | 'granted' = 'later'): Promise<TxnResult> {
    const cost = txn.puts.length + txn.removes.length;
    if (cost > 0 && urgency !== 'granted') await this.writes.take(cost, urgency);
    await this.requests.take(1, urgency === 'granted' ? 'ownership' : urgency);
    let response: Response;
    try {
      response = await this.call('POST', wire.paths.txn, wire.txnRequest(txn));
    } catch (error) {
      if (error instanceof CallFailed && error.unsent) return { kind: 'refused' };
      return { kind: 'unknown' };
    }
    if (response.status === 200) {
      return { kind: 'applied', stamp: wire.parseEpoch(response.body) ?? 0 };
    }
    if (response.status === 409) {
      return { kind: 'conflict', failed: wire.parseFailed(response.body) };
    }
    if (response.status === 400) return { kind: 'no-lease' };
    if (response.status === 429) {
      this.writes.punish();
      this.requests.punish();
    }
    return { kind: 'refused' };
  }

  async grant(ttl: number): Promise<number> {
    const response = await this.ask('POST', wire.paths.grants, wire.grantRequest(ttl));
    const hold = wire.parseGrant(response.body);
    if (hold === null) throw new Unavailable('odd answer');
    return hold;
  }

  /** Gives false when the lease has ended. Not queued: a renewal that waits is worth nothing. */
  async extend(hold: number, timeout: number): Promise<boolean> {
    let response: Response;
    try {
      response = await this.call('POST', wire.paths.extend(hold), undefined, timeout);
    } catch (error) {
      throw new Unavailable(error instanceof Error ? error.message : 'no answer');
    }
    if (response.status === 404) return false;
    if (response.status !== 200) throw new Unavailable(`renewal: ${response.status}`);
    return true;
  }

  /** Changes after a revision; null when that revision is too old. */
  async changes(
    prefix: string,
    from: number,
    hold: number,
  ): Promise<{ epoch: number; changes: wire.Change[] } | null> {
    const target = wire.paths.changes(prefix, from, hold);
    const response = await this.ask('GET', target, undefined, hold + this.options.timeout);
    if (response.status === 410) return null;
    const log = wire.parseLog(response.body);
    if (response.status !== 200 || log === null) throw new Unavailable('odd answer');
    return log;
  }
}
