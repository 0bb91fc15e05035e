/** Routes requests, whether they come from users, workers or peers. */
import { paths, heartbeatPath, rolloutPath } from '../../protocol/routes.js';
import { decodeRequest, encodeAnswer } from '../../protocol/peerCodec.js';
import type { PeerAnswer, Relay } from '../../protocol/peerMessages.js';
import { log } from '../../base/log.js';
import { decodeSpec } from '../../protocol/peerCodec.js';
import type { HttpMessage } from '../../transport/httpParser.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Controller } from './controller.js';
import { overview } from './overview.js';
import type { RolloutRoutes } from '../rollout/rolloutRoutes.js';
import { JobService } from '../jobs/jobService.js';
import { HeartbeatEndpoint } from '../reconciliation/heartbeatEndpoint.js';

/** What keeps machines and this node in service: it goes before users' requests under any load. */
export const isEssential = ({ target }: HttpMessage): boolean =>
  target === heartbeatPath || target === paths.ready;

const ROLLOUT_OFF: Reply = {
  status: 404,
  body: { error: 'rollouts are switched off at this node' },
};
const NOT_FOUND: Reply = { status: 404, body: { error: 'no such path' } };

export class Gateway {
  private readonly jobs: JobService;
  private readonly heartbeats: HeartbeatEndpoint;
  /** Null while rollouts are off. */
  private readonly rollout: RolloutRoutes | null;

  constructor(private readonly node: Controller) {
    this.jobs = new JobService(node);
    this.heartbeats = new HeartbeatEndpoint(node);
    const { modules } = node.rolloutSetup;
    this.rollout = modules === null ? null : new modules.RolloutRoutes(node);
  }

  handle(request: HttpMessage, isFollowUp: boolean): Promise<Reply> {
    const path = request.target.split('?')[0] ?? '';
    if (path === heartbeatPath && request.method === 'POST') {
      return this.heartbeats.handle(request.body, { isRelayed: false, isFollowUp });
    }
    return this.route(request.method, path, request.body, false);
  }

  private async route(
    method: string,
    path: string,
    body: string,
    isRelayed: boolean,
  ): Promise<Reply> {
    if (path === heartbeatPath && method === 'POST') {
      return this.heartbeats.handle(body, { isRelayed, isFollowUp: false });
    }
    if (path === paths.ready) {
      if (this.node.isReady) return { status: 200, body: {} };
      return { status: 503, body: { error: 'starting' }, retryAfter: 1 };
    }
    if (path === paths.overview && method === 'GET') {
      return { status: 200, body: overview(this.node) };
    }
    if (path.startsWith(rolloutPath)) {
      return this.rollout?.handle(method, path, body) ?? ROLLOUT_OFF;
    }
    if (path === paths.jobs) {
      if (method !== 'POST') return { status: 405, body: { error: 'use POST' } };
      const began = this.node.clock.now();
      const reply = await this.jobs.submit(body, isRelayed);
      const took = this.node.clock.now() - began;
      if (reply.status === 503) this.node.refusedRequests++;
      if (reply.status >= 400 || took > 0.5) {
        log.debug(
          `submission: ${reply.status} after ${took.toFixed(2)} s ${JSON.stringify(reply.body)}`,
        );
      }
      return reply;
    }
    const job = paths.job.exec(path);
    if (job?.[1] === undefined) return NOT_FOUND;
    if (job[2] === undefined) {
      if (method !== 'GET') return { status: 405, body: { error: 'use GET' } };
      return this.jobs.read(job[1], isRelayed);
    }
    if (method !== 'POST') return { status: 405, body: { error: 'use POST' } };
    return this.jobs.cancel(job[1], isRelayed);
  }

  async peer(body: Buffer): Promise<Buffer> {
    return encodeAnswer(await this.answerPeer(decodeRequest(body)));
  }

  private async answerPeer(request: ReturnType<typeof decodeRequest>): Promise<PeerAnswer> {
    if ('Gossip' in request) {
      this.node.receiveGossip(request.Gossip);
      return { Noted: {} };
    }
    if ('Ask' in request) {
      const { spec, zone, tasks } = request.Ask;
      return { Estimates: { of: this.node.migration.estimates(decodeSpec(spec), zone, tasks) } };
    }
    if ('PrepareCancel' in request) {
      const { job, sentAt: at } = request.PrepareCancel;
      const of = this.node.peers.isLate(at) ? [] : this.node.cancellationPreparations.prepare(job);
      return { PreparedChunks: { of } };
    }
    return { Relayed: await this.relayed(request.Relay) };
  }

  private async relayed(relay: Relay): Promise<{
    status: number;
    body: string;
    retryAfter: number | null;
  }> {
    const reply = await this.route(relay.method, relay.target, relay.body, true);
    const { status, retryAfter } = reply;
    return { status, body: JSON.stringify(reply.body), retryAfter: retryAfter ?? null };
  }
}
