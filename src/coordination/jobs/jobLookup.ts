/** Looks up the state of a job: in this node's cache, at the leader of its home shard, the state service or any peer. */
import type { JobView } from '../../protocol/job.js';
import { keys, type FinalJobRecord, type JobRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import { finalView, openView, type JobViewContext } from './jobViews.js';
import type { AnswerEvidence, JobReply, StateReply } from './replies.js';
import {
  relayToAnyPeer,
  relayToPeer,
  REQUEST_TIMEOUT_SECONDS,
  type RelayedJobRequest,
  type RequestRelayContext,
} from './requestRelay.js';

/** Seconds that the leader of a job's home shard has to answer before the state service is asked. */
const LEADER_TIMEOUT_SECONDS = 0.6;

/** Seconds within which any other peer must answer if the state service cannot be asked. */
const PEERS_TIMEOUT_SECONDS = REQUEST_TIMEOUT_SECONDS / 5;

/** Dependencies of `JobLookup`. */
export interface JobLookupContext extends JobViewContext, RequestRelayContext {
  readonly settings: { readonly label: string };
  readonly clock: JobViewContext['clock'];
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly stateCache: Pick<StateCache, 'get' | 'applyPut'>;
  readonly pipelines: Pick<Pipelines, 'waitReason'>;
  /** Whether neither the state service nor any peer can be reached. */
  readonly isIsolated: boolean;
  /** The label of the node that leads a shard; null if this node knows of none. */
  leaderOf(shard: string): string | null;
}

/** Result of looking up a job. */
export type LookupResult =
  | { readonly kind: 'found'; readonly view: JobView; readonly evidence: AnswerEvidence }
  /** A peer has answered on behalf of this node. */
  | { readonly kind: 'relayed'; readonly reply: JobReply }
  | { readonly kind: 'missing' }
  /** Nothing that knows the state of the job could be reached. */
  | { readonly kind: 'unavailable' };

const relayed = (reply: JobReply): LookupResult => ({ kind: 'relayed', reply });
const ended = (record: FinalJobRecord): LookupResult => ({
  kind: 'found',
  view: finalView(record),
  evidence: { kind: 'final' },
});

/** Looks up jobs for users. */
export class JobLookup {
  constructor(private readonly context: JobLookupContext) {}

  /** The cached record of a job. */
  cachedRecord(id: string): JobRecord | undefined {
    return cachedJob(this.context.stateCache, id);
  }

  /**
   * Reads a job's stored record; null if there is none, undefined if the state service cannot be read. The watch may deliver
   * a newer record before the answer arrives, which users may have been told of by then, so the cached record takes precedence.
   */
  async fetchRecord(id: string): Promise<JobRecord | null | undefined> {
    const { stateClient, stateCache } = this.context;
    try {
      const item = await stateClient.get(keys.job(id));
      if (item !== null) stateCache.applyPut(item.key, item.value, item.revision);
      return this.cachedRecord(id) ?? ((item?.value ?? null) as JobRecord | null);
    } catch {
      return undefined;
    }
  }

  /**
   * A final state never changes, so any cached record of it suffices. An open state comes from the leader of the job's home
   * shard, whose state is the latest while its lease is valid, or from the state service.
   */
  async lookUp(id: string, mayRelay: boolean): Promise<LookupResult> {
    const cached = this.cachedRecord(id);
    if (cached !== undefined) {
      if (cached.state !== 'open') return ended(cached);
      const known = this.lookUpAsLeader(id, cached);
      if (known !== null) return known;
      const reply = mayRelay ? await this.askLeader(id, cached) : null;
      if (reply !== null) return relayed(reply);
    }
    // An isolated node has nobody to ask, and a user waits for two seconds only.
    if (this.context.isIsolated) return { kind: 'unavailable' };
    return (await this.readStored(id)) ?? this.askAnyPeer(id, mayRelay);
  }

  /** A job whose home shard this node leads; null if it does not, or a change of the job's record is unanswered. */
  private lookUpAsLeader(id: string, cached: JobRecord): LookupResult | null {
    const { leadership, ownedShards } = this.context;
    if (!leadership.isLeaseValid) return null;
    const homeShard = ownedShards.get(cached.homeShard);
    const job = homeShard?.jobs.get(id);
    if (homeShard === undefined || job === undefined || job.isOutcomeUnknown === true) return null;
    const { record } = job;
    if (record.state !== 'open') return ended(record);
    const evidence = { kind: 'leader', homeShard, job } as const;
    return { kind: 'found', view: openView(this.context, record), evidence };
  }

  /** The state of the job according to its stored record; null if the state service cannot be read. */
  private async readStored(id: string): Promise<LookupResult | null> {
    const asOf = this.context.clock.now();
    const record = await this.fetchRecord(id);
    if (record === undefined) return null;
    if (record === null) return { kind: 'missing' };
    if (record.state !== 'open') return ended(record);
    const evidence = { kind: 'store', asOf } as const;
    return { kind: 'found', view: openView(this.context, record), evidence };
  }

  /** The answer of the peer that leads the job's home shard; null if it gives none. */
  private async askLeader(id: string, cached: JobRecord): Promise<StateReply | null> {
    const leader = this.context.leaderOf(cached.homeShard);
    if (leader === null || leader === this.context.settings.label) return null;
    const reply = await relayToPeer(this.context, leader, readRelay(id), LEADER_TIMEOUT_SECONDS);
    return reply?.reported === undefined ? null : reply;
  }

  /** The answer of the first peer that knows whether the job exists. */
  private async askAnyPeer(id: string, mayRelay: boolean): Promise<LookupResult> {
    const reply = mayRelay
      ? await relayToAnyPeer(this.context, readRelay(id), PEERS_TIMEOUT_SECONDS)
      : null;
    const isAnswer = reply?.status === 200 || reply?.status === 404;
    return isAnswer ? relayed(reply) : { kind: 'unavailable' };
  }
}

const readRelay = (job: string): RelayedJobRequest => ({
  job,
  request: { method: 'GET', target: `/v1/jobs/${job}`, body: '' },
});
