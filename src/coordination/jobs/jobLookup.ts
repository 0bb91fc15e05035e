/** Finds out how a job stands: from this node's copy, its leader, the store or any peer that can tell. */
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
  readonly pipelines: Pick<Pipelines, 'reason'>;
  /** Neither the state service nor any peer is in reach. */
  readonly isIsolated: boolean;
  /** The node that leads a shard, as far as is known here. */
  leaderOf(shard: string): string | null;
}

/** What could be found out about a job. */
export type LookupResult =
  | { readonly kind: 'found'; readonly view: JobView; readonly evidence: AnswerEvidence }
  /** A peer has answered in this node's stead. */
  | { readonly kind: 'relayed'; readonly reply: JobReply }
  | { readonly kind: 'missing' }
  /** Nobody who can tell was in reach. */
  | { readonly kind: 'unavailable' };

const relayed = (reply: JobReply): LookupResult => ({ kind: 'relayed', reply });
const ended = (record: FinalJobRecord): LookupResult => ({
  kind: 'found',
  view: finalView(record),
  evidence: { kind: 'final' },
});

/** Looks jobs up for users. */
export class JobLookup {
  constructor(private readonly context: JobLookupContext) {}

  /** This node's copy of a job's record. */
  cachedRecord(id: string): JobRecord | undefined {
    return cachedJob(this.context.stateCache, id);
  }

  /**
   * The stored record; null when there is none, undefined when that can't be told. The watch may overtake an answer:
   * by then this node may have told users of what is newer, so its copy comes first.
   */
  async fetchRecord(id: string): Promise<JobRecord | null | undefined> {
    const { stateClient, stateCache } = this.context;
    try {
      const item = await stateClient.get(keys.job(id));
      if (item !== null) stateCache.note(item.key, item.value, item.revision);
      return this.cachedRecord(id) ?? ((item?.value ?? null) as JobRecord | null);
    } catch {
      return undefined;
    }
  }

  /**
   * A final state never changes, so any copy of it will do. All else comes from the leader of the job's home shard,
   * whose state is the latest while its lease is valid, or from the store.
   */
  async lookUp(id: string, mayRelay: boolean): Promise<LookupResult> {
    const copy = this.cachedRecord(id);
    if (copy !== undefined) {
      if (copy.state !== 'open') return ended(copy);
      const known = this.knownAsLeader(id, copy);
      if (known !== null) return known;
      const reply = mayRelay ? await this.askLeader(id, copy) : null;
      if (reply !== null) return relayed(reply);
    }
    // Nobody could be asked, and a user waits two seconds only.
    if (this.context.isIsolated) return { kind: 'unavailable' };
    return (await this.readStored(id)) ?? this.askAnyPeer(id, mayRelay);
  }

  /** A job whose home shard this node leads, unless a change of its record got no answer. */
  private knownAsLeader(id: string, copy: JobRecord): LookupResult | null {
    const { leadership, ownedShards } = this.context;
    if (!leadership.isLeaseValid) return null;
    const homeShard = ownedShards.get(copy.homeShard);
    const job = homeShard?.jobs.get(id);
    if (homeShard === undefined || job === undefined || job.isOutcomeUnknown === true) return null;
    const { record } = job;
    if (record.state !== 'open') return ended(record);
    const evidence = { kind: 'leader', homeShard, job } as const;
    return { kind: 'found', view: openView(this.context, record), evidence };
  }

  /** How the job stands by its stored record; null where the store can't be read. */
  private async readStored(id: string): Promise<LookupResult | null> {
    const asOf = this.context.clock.now();
    const record = await this.fetchRecord(id);
    if (record === undefined) return null;
    if (record === null) return { kind: 'missing' };
    if (record.state !== 'open') return ended(record);
    const evidence = { kind: 'store', asOf } as const;
    return { kind: 'found', view: openView(this.context, record), evidence };
  }

  /** The answer of the peer that leads the job's home shard; null where that gives none. */
  private async askLeader(id: string, copy: JobRecord): Promise<StateReply | null> {
    const leader = this.context.leaderOf(copy.homeShard);
    if (leader === null || leader === this.context.settings.label) return null;
    const reply = await relayToPeer(this.context, leader, readRelay(id), LEADER_TIMEOUT_SECONDS);
    return reply?.stated === undefined ? null : reply;
  }

  /** The answer of the first peer that knows whether there is such a job. */
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
