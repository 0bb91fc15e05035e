/** Users' submissions: what is checked before a job is stored, and the record that it is stored with. */
import type { Clock } from '../../base/clock.js';
import type { JobSpec } from '../../protocol/job.js';
import type { Settings } from '../../protocol/settings.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { chunkRanges, chunkSize, mayCreateChunk, zonesFor } from '../model/chunking.js';
import { checkDependencies, type DependencyCheck } from '../pipelines/dependencyAdmission.js';
import { placeInitialChunks, type ShardChooser } from './initialPlacement.js';
import { feasibleZones, infeasibilityReason, type FeasibilityContext } from './jobFeasibility.js';
import type { JobLookup } from './jobLookup.js';
import { isolatedReply, statusReply, unavailable, type JobReply } from './replies.js';
import {
  relayToAnyPeer,
  REQUEST_TIMEOUT_SECONDS,
  type RequestRelayContext,
} from './requestRelay.js';
import { SubmissionWriter, type SubmissionWriterContext } from './submissionWriter.js';

/** Chunks that are created with their job at the most. */
const MAX_INITIAL_CHUNKS = 4;

/** Chunks that are created with their job at the least, where it has as many. */
const MIN_INITIAL_CHUNKS = 2;

/** Of the state service's changes in a second, what the first chunks of one job may take. */
const INITIAL_CHUNKS_WRITE_SHARE = 1 / 4;

/** Seconds until a new job would be stored, beyond which the user is turned away instead. */
const MAX_WRITE_DELAY_SECONDS = REQUEST_TIMEOUT_SECONDS / 2;

/** What accepting jobs needs of a node. */
export interface JobSubmissionContext
  extends SubmissionWriterContext, FeasibilityContext, RequestRelayContext {
  readonly settings: Pick<Settings, 'label' | 'teams' | 'zones' | 'txnOps' | 'stateWriteRate'>;
  readonly clock: Clock;
  readonly recordFormat: SubmissionWriterContext['recordFormat'];
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly nodeCapabilities: { readonly isUpgraded: boolean };
  readonly drain: { readonly isActive: boolean };
  readonly migration: ShardChooser;
  /** Neither the state service nor any peer is in reach. */
  readonly isIsolated: boolean;
}

/** Whether this node can take a submission, and the home shard that its job would have. */
type Admission =
  | { readonly kind: 'admitted'; readonly homeShard: OwnedShard }
  | { readonly kind: 'answered'; readonly reply: JobReply | Promise<JobReply> };

const answered = (reply: JobReply | Promise<JobReply>): Admission => ({ kind: 'answered', reply });

/** Accepts jobs of users. */
export class JobSubmission {
  /** Submissions that have no answer yet, by the ids of their jobs. */
  private readonly pending = new Map<string, Promise<JobReply>>();
  private readonly writer: SubmissionWriter;

  constructor(
    private readonly context: JobSubmissionContext,
    private readonly lookup: JobLookup,
  ) {
    this.writer = new SubmissionWriter(context, (id) => this.answerKnown(id));
  }

  /** Answers once the job is stored, or could not be stored in the time that a user waits. */
  async submit(job: JobSpec, body: string, isRelayed: boolean): Promise<JobReply> {
    const pending = this.pending.get(job.id);
    if (pending !== undefined) return this.submitAfter(pending, job, body, isRelayed);
    // Nothing is awaited before the job is pending: of two requests for it, only one may go on.
    const admission = this.admit(job, body, isRelayed);
    if (admission.kind === 'answered') return admission.reply;
    const reply = this.accept(admission.homeShard, job);
    this.pending.set(job.id, reply);
    try {
      return await reply;
    } finally {
      this.pending.delete(job.id);
    }
  }

  /**
   * A repetition of a submission that is being worked on waits for its outcome, but is not given its reply: what that says
   * of the job may be older than the repetition, and a user has been told of the job's end by then.
   */
  private async submitAfter(
    pending: Promise<JobReply>,
    job: JobSpec,
    body: string,
    isRelayed: boolean,
  ): Promise<JobReply> {
    const reply = await pending;
    return reply.status === 503 ? reply : this.submit(job, body, isRelayed);
  }

  private admit(job: JobSpec, body: string, isRelayed: boolean): Admission {
    const { context } = this;
    if (context.isIsolated) return answered(isolatedReply());
    if (!context.leadership.isLeaseValid) {
      const reply = unavailable('no node can store the job now');
      return answered(isRelayed ? reply : this.relay(job.id, body, reply));
    }
    if (this.lookup.cachedRecord(job.id) !== undefined) {
      return answered(this.answerKnown(job.id));
    }
    if (context.machineTypes.size === 0) {
      return answered(unavailable('machine types are not known yet'));
    }
    const homeShard =
      context.ownedShards.get(context.settings.label) ?? [...context.ownedShards.values()][0];
    if (homeShard === undefined) {
      const reply = unavailable('this node is starting');
      return answered(
        context.drain.isActive && !isRelayed ? this.relay(job.id, body, reply) : reply,
      );
    }
    // More waits for the state service than it can take in the time that a user waits.
    const { expectedDelay: delay } = this.writer;
    if (delay > MAX_WRITE_DELAY_SECONDS) {
      const retryAfter = Math.max(1, Math.ceil(delay - REQUEST_TIMEOUT_SECONDS / 4));
      return answered(unavailable('too many requests just now', retryAfter));
    }
    return { kind: 'admitted', homeShard };
  }

  /** Has a peer accept the job; `fallback` where none can. */
  private async relay(job: string, body: string, fallback: JobReply): Promise<JobReply> {
    const request = { method: 'POST', target: '/v1/jobs', body };
    return (await relayToAnyPeer(this.context, { job, request })) ?? fallback;
  }

  /** The answer for a job that was accepted before. */
  private async answerKnown(id: string): Promise<JobReply> {
    const result = await this.lookup.lookUp(id, false);
    if (result.kind === 'found') return statusReply(id, result.view.status, result.evidence);
    const isUnavailable = result.kind === 'unavailable';
    return unavailable(isUnavailable ? 'the state service is out of reach' : 'try again');
  }

  private async accept(homeShard: OwnedShard, spec: JobSpec): Promise<JobReply> {
    const { context } = this;
    const reason = infeasibilityReason(context, spec);
    if (reason !== null) return this.refuse(spec.id, reason);
    // The transaction that stores a job fails if the job is known already, so the store is asked beforehand
    // only where there may be no transaction.
    if (!context.stateClient.isHealthy) {
      const earlier = await this.answerIfStored(spec.id);
      if (earlier !== null) return earlier;
    }
    if (spec.dependencies.length === 0) return this.store(homeShard, spec);
    if (!context.nodeCapabilities.isUpgraded) {
      return unavailable('the service is being upgraded', 2);
    }
    const dependencies = await checkDependencies(spec, this.lookup);
    return this.acceptDependent(homeShard, spec, dependencies);
  }

  /** A job may have been accepted before its retry reached this node: that one is never refused. */
  private async refuse(id: string, reason: string): Promise<JobReply> {
    return (await this.answerIfStored(id)) ?? { status: 422, body: { error: reason } };
  }

  /** The answer for a job that is stored or may be; null where it is not. */
  private async answerIfStored(id: string): Promise<JobReply | null> {
    const record = await this.lookup.fetchRecord(id);
    if (record === undefined) return unavailable('the state service is out of reach');
    return record === null ? null : this.answerKnown(id);
  }

  /** A job that depends on others, by the state of these. */
  private async acceptDependent(
    homeShard: OwnedShard,
    spec: JobSpec,
    dependencies: DependencyCheck,
  ): Promise<JobReply> {
    switch (dependencies.kind) {
      case 'unavailable':
        return unavailable('the state service is out of reach');
      case 'refused':
        return this.refuse(spec.id, dependencies.reason);
      case 'cancelled':
        return this.storeCancelled(homeShard, spec);
      case 'open':
        // What is done already is done for good.
        return this.store(homeShard, { ...spec, dependencies: dependencies.pending });
    }
  }

  /** Accepts a job as cancelled with one that it depends on. */
  private storeCancelled(homeShard: OwnedShard, spec: JobSpec): Promise<JobReply> {
    const record: JobRecord = {
      ...this.newRecord(homeShard, spec),
      spec: null,
      state: 'cancelled',
    };
    const submission = { id: spec.id, record, initialChunks: [] };
    return this.writer.submit(homeShard, submission, REQUEST_TIMEOUT_SECONDS);
  }

  private newRecord(homeShard: OwnedShard, spec: JobSpec): JobRecord {
    const { clock, recordFormat, shards } = this.context;
    const maxTasks = recordFormat.maxTasksPerChunk(spec);
    return {
      spec,
      homeShard: homeShard.shard.label,
      state: 'open',
      taskCount: spec.taskCount,
      submittedAt: clock.wall(),
      chunkSize: chunkSize(spec, homeShard.shard.cpus, maxTasks, shards.length),
      zones: zonesFor(spec, feasibleZones(this.context, spec)),
      createdChunks: 0,
      doneChunks: [],
      migratedChunks: [],
    };
  }

  /** Stores a job with its first chunks; one that waits for others has none yet. */
  private async store(homeShard: OwnedShard, spec: JobSpec): Promise<JobReply> {
    const { recordFormat, migration, clock } = this.context;
    const record = this.newRecord(homeShard, spec);
    const ranges = chunkRanges(spec.taskCount, record.chunkSize, record.zones)
      .slice(0, this.maxInitialChunks)
      .filter((_, index) => mayCreateChunk(record, index));
    record.createdChunks = ranges.length;
    const key = keys.job(spec.id);
    if (
      recordFormat.isCompact &&
      recordFormat.encodedBytes(key, record) > recordFormat.maxRecordBytes(1)
    ) {
      return { status: 400, body: { error: 'the description is too large to be stored' } };
    }
    // A record in fragments leaves no room in its transaction for chunks of peers.
    const isFragmented = recordFormat.operations(key, record) > 1;
    const initialChunks =
      spec.dependencies.length > 0 || isFragmented
        ? []
        : await placeInitialChunks(migration, homeShard, record, spec, ranges, clock.now());
    record.migratedChunks = initialChunks.flatMap(({ shard }, index) =>
      shard === homeShard.shard.label ? [] : [index],
    );
    const submission = { id: spec.id, record, initialChunks };
    return this.writer.submit(homeShard, submission, REQUEST_TIMEOUT_SECONDS);
  }

  private get maxInitialChunks(): number {
    const { txnOps, stateWriteRate } = this.context.settings;
    const affordable = Math.floor(stateWriteRate * INITIAL_CHUNKS_WRITE_SHARE);
    // The job's own record is in the same transaction.
    return Math.max(MIN_INITIAL_CHUNKS, Math.min(MAX_INITIAL_CHUNKS, txnOps - 2, affordable));
  }
}
