/** What the rollout driver asks of the controllers, over their HTTP interface. */
import {
  decodeDriver,
  decodeHealth,
  decodeOrNull,
  type ControllerApi,
  type ControllerHealth,
  type DriverRecord,
  type DriverWriteOutcome,
  type RolloutStatus,
  type StoredDriver,
} from '@barrowlb/rollout';
import * as v from 'valibot';
import { paths, rolloutPath } from '../protocol/routes.js';
import { HttpClient, type Response } from '../transport/httpClient.js';

/** Seconds that a controller has for an answer. */
const REQUEST_TIMEOUT_S = 5;

/** Connections to all controllers together. */
const MAX_CONNECTIONS = 16;

const storedSchema = v.object({ record: v.unknown(), stamp: v.number() });
const writtenSchema = v.object({ stamp: v.number() });

/** A build that knows nothing of rollouts tells this much only. */
const overviewSchema = v.object({
  node: v.string(),
  parts: v.array(v.object({ part: v.string(), token: v.number(), waitingTasks: v.number() })),
});

/** Asks controllers by the addresses of a plan. What has no answer within the timeout counts as none. */
export class HttpControllerApi implements ControllerApi {
  private readonly http = new HttpClient(MAX_CONNECTIONS, 0);

  constructor(private readonly addresses: Record<string, string>) {}

  /** The health of one controller; null: it does not answer, or with something else. */
  async health(label: string): Promise<ControllerHealth | null> {
    const response = await this.ask(label, 'GET', `${rolloutPath}/health`);
    if (response === null) return null;
    if (response.status === 404) return this.olderHealth(label);
    if (response.status !== 200) return null;
    return decodeOrNull(() => decodeHealth('health', response.body));
  }

  /** Of a build without rollouts, by what it answers to everybody; it cannot be drained. */
  private async olderHealth(label: string): Promise<ControllerHealth | null> {
    const [ready, overview] = await Promise.all([
      this.ask(label, 'GET', paths.ready),
      this.ask(label, 'GET', paths.overview),
    ]);
    const parsed = v.safeParse(overviewSchema, overview?.body);
    if (ready === null || !parsed.success) return null;
    const { parts } = parsed.output;
    return {
      label,
      process: 'older build',
      version: 'older build',
      isReady: ready.status === 200,
      isDraining: false,
      isDrained: true,
      parts: parts.map(({ part }) => part),
      liveReplicas: 0,
      waitingTasks: parts.reduce((sum, part) => sum + part.waitingTasks, 0),
      refusedRequests: 0,
    };
  }

  /** All controllers that the cluster's settings name; null: nobody tells. */
  async controllers(): Promise<string[] | null> {
    const response = await this.askAny('GET', rolloutPath);
    if (response?.status !== 200) return null;
    return (response.body as RolloutStatus).nodes.map(({ label }) => label);
  }

  /** The cluster's level, by the first controller that tells; null: none does. */
  async level(): Promise<number | null> {
    const response = await this.askAny('GET', rolloutPath);
    return response?.status === 200 ? (response.body as RolloutStatus).version.level : null;
  }

  /** The stored record of the rollout; null: no controller tells. */
  async read(): Promise<StoredDriver | null> {
    const response = await this.askAny('GET', `${rolloutPath}/driver`);
    const parsed = v.safeParse(storedSchema, response?.body);
    if (response?.status !== 200 || !parsed.success) return null;
    const { record, stamp: revision } = parsed.output;
    return { record: record === null ? null : decodeDriver('driver', record), revision };
  }

  /** Stores the record if it still has this revision. */
  async write(revision: number, record: DriverRecord): Promise<DriverWriteOutcome> {
    const response = await this.askAny('POST', `${rolloutPath}/driver`, {
      stamp: revision,
      record,
    });
    if (response?.status === 409) return { kind: 'conflict' };
    const parsed = v.safeParse(writtenSchema, response?.body);
    if (response?.status !== 200 || !parsed.success) return { kind: 'unknown' };
    return { kind: 'stored', revision: parsed.output.stamp };
  }

  /** Lets a controller drain for the step that is stored under the permit's token. */
  async drain(label: string, token: number): Promise<void> {
    await this.ask(label, 'POST', `${rolloutPath}/drain`, { token });
  }

  /** Keeps the cluster's level from rising. */
  async hold(by: string, reason: string): Promise<void> {
    await this.askAny('POST', `${rolloutPath}/hold`, { by, reason });
  }

  /** Ends the hold of that name. */
  async finalize(by: string): Promise<void> {
    await this.askAny('POST', `${rolloutPath}/finalize`, { by });
  }

  /** Null: no answer. */
  private async ask(
    label: string,
    method: string,
    target: string,
    body?: unknown,
  ): Promise<Response | null> {
    const address = this.addresses[label];
    if (address === undefined) return null;
    try {
      return await this.http.call(address, method, target, body, REQUEST_TIMEOUT_S);
    } catch {
      return null;
    }
  }

  /** The first controller that knows of rollouts and is served by the state service. */
  private async askAny(method: string, target: string, body?: unknown): Promise<Response | null> {
    let last: Response | null = null;
    for (const label of Object.keys(this.addresses)) {
      const response = await this.ask(label, method, target, body);
      if (response !== null && response.status !== 404 && response.status !== 503) return response;
      last = response ?? last;
    }
    return last;
  }
}
