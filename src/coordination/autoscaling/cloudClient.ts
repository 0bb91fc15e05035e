/** Requests to the cloud, within its rate; answers that are no answer to the question are told apart by kind. */
import type { Clock } from '../../base/clock.js';
import * as cloud from '../../protocol/cloudProtocol.js';
import { RateLimiter } from '../../storage/rateLimiter.js';
import type { HttpClient, Response } from '../../transport/httpClient.js';

export type RentalAnswer =
  | { kind: 'rented'; machines: string[] }
  | { kind: 'no-capacity' }
  | { kind: 'malformed' }
  | { kind: 'unavailable' };

/** A little below the cloud's own limit, since the other nodes ask for the machine types. */
const RATE_SHARE = 0.8;

/** Seconds for an answer: the cloud may take a second or two when it is busy. */
const TIMEOUT = 5;

/** Seconds for which nothing is asked after a failure. */
const PAUSE_AFTER_FAILURE = 1;

export class CloudClient {
  private readonly budget: RateLimiter;
  private failedUntil = 0;

  constructor(
    private readonly http: Pick<HttpClient, 'call'>,
    private readonly clock: Clock,
    private readonly endpoint: string,
    rate: number,
  ) {
    this.budget = new RateLimiter(clock, rate * RATE_SHARE, rate);
  }

  /** It has failed a moment ago. */
  get isPausing(): boolean {
    return this.clock.now() < this.failedUntil;
  }

  /** All machines that it lists, by name; null when it did not give the whole list. */
  async listMachines(): Promise<Map<string, cloud.ListedMachine> | null> {
    const found = new Map<string, cloud.ListedMachine>();
    for (let after = ''; ;) {
      const answer = await this.call('GET', cloud.paths.list(after, cloud.LIST_PAGE));
      const page = answer.status === 200 ? cloud.parseList(answer.body) : null;
      if (page === null) return null;
      for (const machine of page.machines) found.set(machine.name, machine);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || last === undefined) return found;
      after = last.name;
    }
  }

  async rent(ask: cloud.RentalRequest): Promise<RentalAnswer> {
    const answer = await this.call('POST', cloud.paths.rentals, cloud.rentalRequest(ask));
    if (answer.status === 200) {
      return { kind: 'rented', machines: cloud.parseRented(answer.body) ?? [] };
    }
    if (answer.status === 503 && JSON.stringify(answer.body).includes('no capacity')) {
      return { kind: 'no-capacity' };
    }
    if (answer.status === 400) return { kind: 'malformed' };
    this.pause();
    return { kind: 'unavailable' };
  }

  /** True when the cloud has confirmed that the machines are gone. */
  async release(machines: string[]): Promise<boolean> {
    const body = cloud.releaseRequest(machines);
    const answer = await this.call('POST', cloud.paths.release, body);
    if (answer.status !== 200) this.pause();
    return answer.status === 200;
  }

  private pause(): void {
    this.failedUntil = this.clock.now() + PAUSE_AFTER_FAILURE;
  }

  private async call(method: string, target: string, body?: unknown): Promise<Response> {
    await this.budget.acquire(1, method === 'POST' ? 'urgent' : 'later');
    const answer = await this.http.call(this.endpoint, method, target, body, TIMEOUT);
    if (answer.status === 429) this.budget.backOff();
    return answer;
  }
}
