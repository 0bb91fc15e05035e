/** Cancels jobs for users: a cancellation is announced to all nodes, then stored by the leader of the job's home shard. */
import type { Clock } from '../../base/clock.js';
import type { FinalJobRecord, JobRecord } from '../../storage/records.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { CancellationPreparations } from './cancellationPreparations.js';
import type { JobLookup } from './jobLookup.js';
import {
  isolatedReply,
  NO_SUCH_JOB,
  statusReply,
  unavailable,
  type JobReply,
  type StateReply,
} from './replies.js';
import {
  relayToAnyPeer,
  relayToPeer,
  REQUEST_TIMEOUT_SECONDS,
  type RelayedJobRequest,
} from './requestRelay.js';

/** Timeout of a request to the home shard's leader, in seconds: slightly longer than it may take to store the cancellation. */
const LEADER_TIMEOUT_SECONDS = REQUEST_TIMEOUT_SECONDS + 0.2;

/** Dependencies of `JobCancellation`. */
export interface JobCancellationContext {
  readonly settings: { readonly label: string };
  readonly clock: Pick<Clock, 'now'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly leadership: { readonly isLeaseValid: boolean };
  readonly peers: Pick<PeerRegistry, 'relay' | 'servedPeers'>;
  readonly persistence: Pick<JobPersistence, 'cancel'>;
  readonly cancellationPreparations: Pick<CancellationPreparations, 'prepareOnAllNodes'>;
  /** Whether neither the state service nor any peer can be reached. */
  readonly isIsolated: boolean;
  /** The label of the node that leads a shard; null if this node knows of none. */
  leaderOf(shard: string): string | null;
}

/** Cancels jobs for users. */
export class JobCancellation {
  constructor(
    private readonly context: JobCancellationContext,
    private readonly lookup: JobLookup,
  ) {}

  /** Resolves once the cancellation is stored, or could not be stored within the time that a user waits. */
  async cancel(id: string, isRelayed: boolean): Promise<JobReply> {
    const cached = this.lookup.cachedRecord(id);
    if (cached !== undefined && cached.state !== 'open') return endedReply(id, cached.state);
    if (this.context.isIsolated) return isolatedReply();
    const record = cached ?? (await this.lookup.fetchRecord(id));
    if (record === null) return NO_SUCH_JOB;
    if (record === undefined) {
      const reply = isRelayed ? null : await relayToAnyPeer(this.context, cancelRelay(id));
      return reply ?? unavailable('out of reach');
    }
    if (record.state !== 'open') return endedReply(id, record.state);
    return this.cancelOpen(id, record, isRelayed);
  }

  /** Cancels a job that is open as far as this node knows, or has the leader of its home shard do so. */
  private async cancelOpen(
    id: string,
    { homeShard: label }: JobRecord,
    isRelayed: boolean,
  ): Promise<JobReply> {
    const { ownedShards, leadership } = this.context;
    const homeShard = ownedShards.get(label);
    const job = homeShard?.jobs.get(id);
    if (homeShard !== undefined && job !== undefined && leadership.isLeaseValid) {
      return this.cancelAsLeader(homeShard, job);
    }
    const reply = isRelayed ? null : await this.askLeader(id, label);
    return reply ?? unavailable('the job has no owner just now');
  }

  /** Cancels a job whose home shard this node leads. */
  private async cancelAsLeader(homeShard: OwnedShard, job: HomeJob): Promise<JobReply> {
    const { cancellationPreparations, clock, persistence } = this.context;
    const deadline = clock.now() + REQUEST_TIMEOUT_SECONDS;
    while (clock.now() < deadline) {
      if (job.record.state !== 'open') return endedReply(job.id, job.record.state);
      // Without this, a node that cannot read the record would keep tasks of the job alive, or start some.
      const evidence = await cancellationPreparations.prepareOnAllNodes(homeShard, job);
      if (evidence === null) {
        return unavailable('a node that may run tasks of the job cannot be asked just now', 2);
      }
      const result = await persistence.cancel(homeShard, job, evidence, deadline);
      if (result.kind === 'ended') return endedReply(job.id, result.state);
      if (result.kind === 'not-stored') break;
    }
    return unavailable('the cancellation could not be stored');
  }

  /** The answer of the peer that leads the job's home shard; null if no peer does or it does not answer. */
  private async askLeader(id: string, homeShard: string): Promise<JobReply | null> {
    const leader = this.context.leaderOf(homeShard);
    if (leader === null || leader === this.context.settings.label) return null;
    return relayToPeer(this.context, leader, cancelRelay(id), LEADER_TIMEOUT_SECONDS);
  }
}

const cancelRelay = (job: string): RelayedJobRequest => ({
  job,
  request: { method: 'POST', target: `/v1/jobs/${job}/withdraw`, body: '' },
});

const endedReply = (id: string, state: FinalJobRecord['state']): StateReply =>
  statusReply(id, state, { kind: 'final' });
