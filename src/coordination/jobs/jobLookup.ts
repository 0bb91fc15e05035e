/** Finds out how a job stands: from this node's copy, its leader, the store or any peer that can tell. */
import type { JobView } from '../../protocol/job.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import { finalView, openView, type JobViewContext } from './jobViews.js';
import {
  relayToAnyPeer,
  REQUEST_TIMEOUT_SECONDS,
  type RequestRelayContext,
} from './requestRelay.js';

/** Seconds that the leader of a job's home shard has to answer, before the store is asked. */
const LEADER_TIMEOUT_SECONDS = 0.6;

/** Seconds in which any other peer must have answered, where the store can't be asked. */
const PEERS_TIMEOUT_SECONDS = REQUEST_TIMEOUT_SECONDS / 5;

/** What looking jobs up needs of a node. */
export interface JobLookupContext extends JobViewContext, RequestRelayContext {
  readonly settings: { readonly label: string };
  readonly clock: JobViewContext['clock'];
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly stateCache: Pick<StateCache, 'get' | 'note'>;
  readonly pipelines: Pick<Pipelines, 'reason' | 'mayCallOpen'>;
  /** Neither the state service nor any peer is in reach. */
  readonly isIsolated: boolean;
  /** The node that leads a shard, as far as is known here. */
  leaderOf(shard: string): string | null;
}

/** What could be found out about a job. */
export type LookupResult =
  | { readonly kind: 'found'; readonly view: JobView }
  /** A peer has answered in this node's stead. */
  | { readonly kind: 'relayed'; readonly reply: Reply }
  | { readonly kind: 'missing' }
  /** Nobody who can tell was in reach. */
  | { readonly kind: 'unavailable' };

const found = (view: JobView): LookupResult => ({ kind: 'found', view });
const relayed = (reply: Reply): LookupResult => ({ kind: 'relayed', reply });

/** Looks jobs up for users. */
export class JobLookup {
  constructor(private readonly context: JobLookupContext) {}

  /** This node's copy of a job's record. */
  copyOf(id: string): JobRecord | undefined {
    return this.context.stateCache.get(keys.job(id))?.value as JobRecord | undefined;
  }

  /**
   * The stored record; null when there is none, undefined when that can't be told. The watch may overtake an answer:
   * by then this node may have told users of what is newer, so its copy comes first.
   */
  async stored(id: string): Promise<JobRecord | null | undefined> {
    const { stateClient, stateCache } = this.context;
    try {
      const item = await stateClient.get(keys.job(id));
      if (item !== null) stateCache.note(item.key, item.value, item.revision);
      return this.copyOf(id) ?? ((item?.value ?? null) as JobRecord | null);
    } catch {
      return undefined;
    }
  }

  /** What users are told of a job: how it ended, if this node has learned that by the time it answers. */
  async view(id: string, mayRelay: boolean): Promise<LookupResult> {
    const result = await this.lookUp(id, mayRelay);
    const copy = this.copyOf(id);
    if (copy !== undefined && copy.state !== 'open') return found(finalView(copy));
    // It may have been cancelled with a job that it needs, and this node have missed that (safety, P4).
    if (result.kind === 'found' && !this.context.pipelines.mayCallOpen(id)) {
      return { kind: 'unavailable' };
    }
    return result;
  }

  /**
   * A final state never changes, so any copy of it will do. All else comes from the leader of the job's home shard,
   * whose state is the latest while its lease is valid, or from the store.
   */
  private async lookUp(id: string, mayRelay: boolean): Promise<LookupResult> {
    const copy = this.copyOf(id);
    if (copy !== undefined) {
      if (copy.state !== 'open') return found(finalView(copy));
      const view = this.viewAsLeader(id, copy);
      if (view !== null) return found(view);
      const reply = mayRelay ? await this.askLeader(id, copy) : null;
      if (reply !== null) return relayed(reply);
    }
    // Nobody could be asked, and a user waits two seconds only.
    if (this.context.isIsolated) return { kind: 'unavailable' };
    const record = await this.stored(id);
    if (record === null) return { kind: 'missing' };
    if (record !== undefined) {
      return found(record.state === 'open' ? openView(this.context, record) : finalView(record));
    }
    const reply = mayRelay ? await this.askAnyPeer(id) : null;
    return reply === null ? { kind: 'unavailable' } : relayed(reply);
  }

  /** A job whose home shard this node leads, unless a change of its record got no answer. */
  private viewAsLeader(id: string, copy: JobRecord): JobView | null {
    const { leadership, ownedShards } = this.context;
    if (!leadership.isLeaseValid) return null;
    const job = ownedShards.get(copy.homeShard)?.jobs.get(id);
    if (job === undefined || job.isUncertain === true) return null;
    return openView(this.context, job.record);
  }

  /** The answer of the peer that leads the job's home shard; null where that gives none. */
  private async askLeader(id: string, copy: JobRecord): Promise<Reply | null> {
    const { peers, settings } = this.context;
    const leader = this.context.leaderOf(copy.homeShard);
    if (leader === null || leader === settings.label) return null;
    const answer = await peers.relay(leader, readRequest(id), LEADER_TIMEOUT_SECONDS);
    if (answer?.status !== 200) return null;
    return { status: 200, body: JSON.parse(answer.body) as unknown };
  }

  /** The answer of the first peer that knows whether there is such a job. */
  private async askAnyPeer(id: string): Promise<Reply | null> {
    const reply = await relayToAnyPeer(this.context, readRequest(id), PEERS_TIMEOUT_SECONDS);
    return reply?.status === 200 || reply?.status === 404 ? reply : null;
  }
}

const readRequest = (id: string): { method: string; target: string; body: string } => ({
  method: 'GET',
  target: `/v1/jobs/${id}`,
  body: '',
});
