/** Requests to the cloud's interface, within its rate limit. */
import type { Clock } from '../../base/clock.js';
import * as cloud from '../../protocol/cloudProtocol.js';
import { RateLimiter } from '../../storage/rateLimiter.js';
import type { HttpClient, Response } from '../../transport/httpClient.js';

/** The result of a launch request; `unavailable`: the request may or may not be executed. */
export type LaunchResult =
  | { kind: 'launched'; machines: string[] }
  | { kind: 'insufficient-capacity' }
  | { kind: 'malformed' }
  | { kind: 'unavailable' };

/**
 * Share of the cloud's rate limit that is used here: a little less than all, since the other controllers read the machine
 * types.
 */
const RATE_SHARE = 0.8;

/** Request timeout in seconds; a busy cloud may take a second or two to answer. */
const TIMEOUT = 5;

/** Seconds without requests after a failure. */
const PAUSE_AFTER_FAILURE = 1;

/** Client for the cloud's interface: lists, launches and releases machines. */
export class CloudClient {
  private readonly rateLimiter: RateLimiter;
  private pausedUntil = 0;

  constructor(
    private readonly http: Pick<HttpClient, 'call'>,
    private readonly clock: Clock,
    private readonly endpoint: string,
    rate: number,
  ) {
    this.rateLimiter = new RateLimiter(clock, rate * RATE_SHARE, rate);
  }

  /** Whether a request has failed less than `PAUSE_AFTER_FAILURE` ago. */
  get isPaused(): boolean {
    return this.clock.now() < this.pausedUntil;
  }

  /** All machines that the cloud lists, by name; null if the list could not be read to its end. */
  async listMachines(): Promise<Map<string, cloud.ListedMachine> | null> {
    const found = new Map<string, cloud.ListedMachine>();
    for (let after = ''; ;) {
      const answer = await this.call('GET', cloud.paths.list(after, cloud.LIST_PAGE_SIZE));
      const page = answer.status === 200 ? cloud.parseMachineList(answer.body) : null;
      if (page === null) return null;
      for (const machine of page.machines) found.set(machine.name, machine);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || last === undefined) return found;
      after = last.name;
    }
  }

  /** Requests machines. Repeating a request with the same `idempotencyKey` returns the machines of the first one. */
  async launch(request: cloud.RentalRequest): Promise<LaunchResult> {
    const answer = await this.call('POST', cloud.paths.rentals, cloud.rentalRequest(request));
    if (answer.status === 200) {
      return { kind: 'launched', machines: cloud.parseRentedMachines(answer.body) ?? [] };
    }
    if (answer.status === 503 && JSON.stringify(answer.body).includes('no capacity')) {
      return { kind: 'insufficient-capacity' };
    }
    if (answer.status === 400) return { kind: 'malformed' };
    this.pause();
    return { kind: 'unavailable' };
  }

  /** Releases machines; true when the cloud has confirmed that they are gone. */
  async release(machines: string[]): Promise<boolean> {
    const body = cloud.releaseRequest(machines);
    const answer = await this.call('POST', cloud.paths.release, body);
    if (answer.status !== 200) this.pause();
    return answer.status === 200;
  }

  private pause(): void {
    this.pausedUntil = this.clock.now() + PAUSE_AFTER_FAILURE;
  }

  private async call(method: string, target: string, body?: unknown): Promise<Response> {
    await this.rateLimiter.acquire(1, method === 'POST' ? 'urgent' : 'later');
    const answer = await this.http.call(this.endpoint, method, target, body, TIMEOUT);
    if (answer.status === 429) this.rateLimiter.backOff();
    return answer;
  }
}
