/** Routes requests of users, operators, workers and peers. */
import { log } from '../../base/log.js';
import { decodeRequest, decodeSpec, encodeAnswer } from '../../protocol/peerCodec.js';
import type { PeerAnswer, PeerRequest, Relay, Relayed } from '../../protocol/peerMessages.js';
import { heartbeatPath, paths, rolloutPath } from '../../protocol/routes.js';
import { MAX_ACCEPTED_HEARTBEAT_BYTES, MAX_MESSAGE_BYTES } from '../../protocol/workerProtocol.js';
import type { HttpMessage } from '../../transport/httpParser.js';
import { replyAtSending, type Reply } from '../../transport/httpServer.js';
import { JobService } from '../jobs/jobService.js';
import { HeartbeatEndpoint } from '../commands/heartbeatEndpoint.js';
import type { RolloutRoutes } from '../rollout/rolloutRoutes.js';
import type { Controller } from './controller.js';
import { createOverview } from './overview.js';

/** Whether a request keeps machines or this node in service: such requests precede users' requests under any load. */
export const isEssential = ({ target }: HttpMessage): boolean =>
  target === heartbeatPath || target === paths.ready;

/** Maximum bytes of the body of a request with this target. */
export const maxBodyBytes = (target: string): number =>
  target === heartbeatPath ? MAX_ACCEPTED_HEARTBEAT_BYTES : MAX_MESSAGE_BYTES;

const ROLLOUT_OFF: Reply = {
  status: 404,
  body: { error: 'rollouts are switched off at this node' },
};
const NOT_FOUND: Reply = { status: 404, body: { error: 'no such path' } };
const STARTING: Reply = { status: 503, body: { error: 'starting' }, retryAfter: 1 };

const allowOnly = (method: string): Reply => ({ status: 405, body: { error: `use ${method}` } });

/** Submissions that take longer than this are logged. */
const SLOW_SUBMISSION_S = 0.5;

/** A request to be routed, and how it reached this node. */
interface RoutedRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** A peer has relayed it; it is not relayed again. */
  readonly isRelayed: boolean;
  /** It is not the first request on its connection. */
  readonly isFollowUp: boolean;
}

/** Dispatches each request to the service that answers it. */
export class Gateway {
  private readonly jobs: JobService;
  private readonly heartbeats: HeartbeatEndpoint;
  /** Null if rollouts are switched off. */
  private readonly rollout: RolloutRoutes | null;

  constructor(private readonly node: Controller) {
    this.jobs = new JobService(node);
    this.heartbeats = new HeartbeatEndpoint(node);
    const { modules } = node.rolloutSetup;
    this.rollout = modules === null ? null : new modules.RolloutRoutes(node);
  }

  /** Answers a request of a user, a worker or an operator; `isFollowUp`: it is not the first on its connection. */
  handle({ method, target, body }: HttpMessage, isFollowUp: boolean): Promise<Reply> {
    const path = target.split('?')[0] ?? '';
    return this.route({ method, path, body, isRelayed: false, isFollowUp });
  }

  /** Answers a message of a peer. */
  async handlePeerMessage(body: Buffer): Promise<Buffer> {
    return encodeAnswer(await this.answerPeer(decodeRequest(body)));
  }

  private async route(request: RoutedRequest): Promise<Reply> {
    const { method, path, body, isRelayed, isFollowUp } = request;
    if (path === heartbeatPath && method === 'POST') {
      return this.heartbeats.handle(body, { isRelayed, isFollowUp });
    }
    if (path === paths.ready) return this.node.isReady ? { status: 200, body: {} } : STARTING;
    if (path === paths.overview && method === 'GET') {
      return { status: 200, body: createOverview(this.node) };
    }
    if (path.startsWith(rolloutPath)) {
      return this.rollout?.handle(method, path, body) ?? ROLLOUT_OFF;
    }
    if (path === paths.jobs) return this.routeSubmission(request);
    return this.routeJob(request);
  }

  private async routeSubmission({ method, body, isRelayed }: RoutedRequest): Promise<Reply> {
    if (method !== 'POST') return allowOnly('POST');
    const startedAt = this.node.clock.now();
    const reply = await this.jobs.submit(body, isRelayed);
    const elapsed = this.node.clock.now() - startedAt;
    if (reply.status === 503) this.node.refusedRequests++;
    if (reply.status >= 400 || elapsed > SLOW_SUBMISSION_S) {
      const answer = JSON.stringify(reply.body);
      log.debug(`submission: ${reply.status} after ${elapsed.toFixed(2)} s ${answer}`);
    }
    return reply;
  }

  private async routeJob({ method, path, isRelayed }: RoutedRequest): Promise<Reply> {
    const [, id, cancellation] = paths.job.exec(path) ?? [];
    if (id === undefined) return NOT_FOUND;
    if (cancellation === undefined) {
      return method === 'GET' ? this.jobs.read(id, isRelayed) : allowOnly('GET');
    }
    return method === 'POST' ? this.jobs.cancel(id, isRelayed) : allowOnly('POST');
  }

  private async answerPeer(request: PeerRequest): Promise<PeerAnswer> {
    if ('Gossip' in request) {
      this.node.receiveGossip(request.Gossip);
      return { Noted: {} };
    }
    if ('Ask' in request) {
      const { spec, zone, tasks } = request.Ask;
      return {
        Estimates: { of: this.node.migration.estimateTurnarounds(decodeSpec(spec), zone, tasks) },
      };
    }
    if ('PrepareCancel' in request) {
      const { job, sentAt } = request.PrepareCancel;
      const isLate = this.node.peers.isLate(sentAt);
      return {
        PreparedChunks: { of: isLate ? [] : this.node.cancellationPreparations.prepare(job) },
      };
    }
    return { Relayed: await this.answerRelayed(request.Relay) };
  }

  private async answerRelayed({ method, target, body }: Relay): Promise<Relayed> {
    const request = { method, path: target, body, isRelayed: true, isFollowUp: false };
    const reply = replyAtSending(await this.route(request));
    const retryAfter = reply.retryAfter ?? null;
    return { status: reply.status, body: JSON.stringify(reply.body), retryAfter };
  }
}
