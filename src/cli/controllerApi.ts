/** The rollout driver's access to the controllers over HTTP. */
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

/** Seconds within which a controller must respond. */
const REQUEST_TIMEOUT_S = 5;

/** Maximum number of open connections to all controllers together. */
const MAX_CONNECTIONS = 16;

const storedSchema = v.object({ record: v.unknown(), stamp: v.number() });
const writtenSchema = v.object({ stamp: v.number() });

/** The part of `GET /v1/overview` that builds without rollouts also answer. */
const overviewSchema = v.object({
  node: v.string(),
  parts: v.array(v.object({ part: v.string(), token: v.number(), waitingTasks: v.number() })),
});

/** Sends requests to the controller addresses of a plan. A request that fails or times out counts as unanswered. */
export class HttpControllerApi implements ControllerApi {
  private readonly http = new HttpClient(MAX_CONNECTIONS, 0);

  constructor(private readonly addresses: Record<string, string>) {}

  /** The health of one controller; null if it does not respond or the response is invalid. */
  async health(label: string): Promise<ControllerHealth | null> {
    const response = await this.request(label, 'GET', `${rolloutPath}/health`);
    if (response === null) return null;
    if (response.status === 404) return this.olderHealth(label);
    if (response.status !== 200) return null;
    return decodeOrNull(() => decodeHealth('health', response.body));
  }

  /** The health of a build without rollouts, from its public endpoints; such a build cannot be drained. */
  private async olderHealth(label: string): Promise<ControllerHealth | null> {
    const [ready, overview] = await Promise.all([
      this.request(label, 'GET', paths.ready),
      this.request(label, 'GET', paths.overview),
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

  /** The labels of all controllers in the cluster's settings; null if no controller responds. */
  async controllers(): Promise<string[] | null> {
    const response = await this.requestAny('GET', rolloutPath);
    if (response?.status !== 200) return null;
    return (response.body as RolloutStatus).nodes.map(({ label }) => label);
  }

  /** The cluster's level, from the first controller that responds; null if none does. */
  async level(): Promise<number | null> {
    const response = await this.requestAny('GET', rolloutPath);
    return response?.status === 200 ? (response.body as RolloutStatus).version.level : null;
  }

  /** The stored record of the rollout; null if no controller responds. */
  async read(): Promise<StoredDriver | null> {
    const response = await this.requestAny('GET', `${rolloutPath}/driver`);
    const parsed = v.safeParse(storedSchema, response?.body);
    if (response?.status !== 200 || !parsed.success) return null;
    const { record, stamp: revision } = parsed.output;
    return { record: record === null ? null : decodeDriver('driver', record), revision };
  }

  /** Stores the record on condition that the stored one still has this revision. */
  async write(revision: number, record: DriverRecord): Promise<DriverWriteOutcome> {
    const response = await this.requestAny('POST', `${rolloutPath}/driver`, {
      stamp: revision,
      record,
    });
    if (response?.status === 409) return { kind: 'conflict' };
    const parsed = v.safeParse(writtenSchema, response?.body);
    if (response?.status !== 200 || !parsed.success) return { kind: 'unknown' };
    return { kind: 'stored', revision: parsed.output.stamp };
  }

  /** Asks a controller to drain for the step that is stored under this fencing token of the permit. */
  async drain(label: string, token: number): Promise<void> {
    await this.request(label, 'POST', `${rolloutPath}/drain`, { token });
  }

  /** Places a hold on the cluster's level, so that it does not rise. */
  async hold(by: string, reason: string): Promise<void> {
    await this.requestAny('POST', `${rolloutPath}/hold`, { by, reason });
  }

  /** Ends the hold that was placed under this name. */
  async finalize(by: string): Promise<void> {
    await this.requestAny('POST', `${rolloutPath}/finalize`, { by });
  }

  /** Sends one request; null if no response arrives. */
  private async request(
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

  /** The response of the first controller that supports rollouts and can reach the state service. */
  private async requestAny(
    method: string,
    target: string,
    body?: unknown,
  ): Promise<Response | null> {
    let lastResponse: Response | null = null;
    for (const label of Object.keys(this.addresses)) {
      const response = await this.request(label, method, target, body);
      if (response !== null && response.status !== 404 && response.status !== 503) return response;
      lastResponse = response ?? lastResponse;
    }
    return lastResponse;
  }
}
