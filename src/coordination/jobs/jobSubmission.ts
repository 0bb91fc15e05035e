/** Accepts users' submissions: checks a job before it is stored and creates its record. */
import type { Clock } from '../../base/clock.js';
import type { JobSpec } from '../../protocol/job.js';
import type { Settings } from '../../protocol/settings.js';
import { keys, type JobRecord, type OpenJobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { withKnownMachineTypes } from '../model/allowedMachineTypes.js';
import { chunkRanges, chunkSize, mayCreateChunk, zonesFor } from '../model/chunking.js';
import { checkDependencies, type DependencyCheck } from '../pipelines/dependencyAdmission.js';
import { placeInitialChunks, type ShardChooser } from './initialPlacement.js';
import { feasibleZones, infeasibilityReason, type FeasibilityContext } from './jobFeasibility.js';
import type { JobLookup } from './jobLookup.js';
import { isolatedReply, statusReply, TOO_LARGE, unavailable, type JobReply } from './replies.js';
import {
  relayToAnyPeer,
  REQUEST_TIMEOUT_SECONDS,
  type RequestRelayContext,
} from './requestRelay.js';
import { isStorable, maxTasksPerChunk } from './storability.js';
import { SubmissionWriter, type SubmissionWriterContext } from './submissionWriter.js';

/** Minimum number of chunks that are created together with their job, if it has that many. */
const MIN_INITIAL_CHUNKS = 2;

/** Maximum number of them. */
const MAX_INITIAL_CHUNKS = 4;

/** Share of the state service's writes per second that the first chunks of one job may use. */
const INITIAL_CHUNKS_WRITE_SHARE = 1 / 4;

/** Expected seconds until a new job is stored, above which its submission is refused. */
const MAX_WRITE_DELAY_SECONDS = REQUEST_TIMEOUT_SECONDS / 2;

/** Dependencies of `JobSubmission`. */
export interface JobSubmissionContext
  extends SubmissionWriterContext, FeasibilityContext, RequestRelayContext {
  readonly settings: Pick<Settings, 'label' | 'teams' | 'zones' | 'txnOps' | 'stateWriteRate'>;
  readonly clock: Clock;
  readonly recordFormat: SubmissionWriterContext['recordFormat'];
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly nodeCapabilities: { readonly isUpgraded: boolean };
  readonly drain: { readonly isActive: boolean };
  readonly migration: ShardChooser;
  /** Whether neither the state service nor any peer can be reached. */
  readonly isIsolated: boolean;
}

/** Either the home shard for the submitted job, or the answer if this node does not accept the submission itself. */
type Admission =
  | { readonly kind: 'admitted'; readonly homeShard: OwnedShard }
  | { readonly kind: 'answered'; readonly reply: JobReply | Promise<JobReply> };

const answered = (reply: JobReply | Promise<JobReply>): Admission => ({ kind: 'answered', reply });

/** Accepts users' jobs. */
export class JobSubmission {
  /** Unanswered submissions, by job id. */
  private readonly pending = new Map<string, Promise<JobReply>>();
  private readonly writer: SubmissionWriter;

  constructor(
    private readonly context: JobSubmissionContext,
    private readonly lookup: JobLookup,
  ) {
    this.writer = new SubmissionWriter(context, (id) => this.answerExisting(id));
  }

  /** Resolves once the job is stored, or could not be stored within the time that a user waits. */
  async submit(job: JobSpec, body: string, isRelayed: boolean): Promise<JobReply> {
    const pending = this.pending.get(job.id);
    if (pending !== undefined) return this.submitAfterPending(pending, job, body, isRelayed);
    // Nothing is awaited before the job is pending, so that only one of two requests for it proceeds.
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
   * A repetition of a pending submission waits for the outcome but does not get the same reply: the job state in it may be
   * older than the repetition, and a user may have been told in the meantime that the job has ended.
   */
  private async submitAfterPending(
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
      return answered(this.answerExisting(job.id));
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
    // More writes wait for the state service than it can take within the time that a user waits.
    const { expectedDelay: delay } = this.writer;
    if (delay > MAX_WRITE_DELAY_SECONDS) {
      const retryAfter = Math.max(1, Math.ceil(delay - REQUEST_TIMEOUT_SECONDS / 4));
      return answered(unavailable('too many requests just now', retryAfter));
    }
    return { kind: 'admitted', homeShard };
  }

  /** Has a peer accept the job; resolves with `fallback` if none can. */
  private async relay(job: string, body: string, fallback: JobReply): Promise<JobReply> {
    const request = { method: 'POST', target: '/v1/jobs', body };
    return (await relayToAnyPeer(this.context, { job, request })) ?? fallback;
  }

  /** The answer for a job that was accepted earlier. */
  private async answerExisting(id: string): Promise<JobReply> {
    const result = await this.lookup.lookUp(id, false);
    if (result.kind === 'found') return statusReply(id, result.view.status, result.evidence);
    const isUnavailable = result.kind === 'unavailable';
    return unavailable(isUnavailable ? 'the state service is out of reach' : 'try again');
  }

  private async accept(homeShard: OwnedShard, submitted: JobSpec): Promise<JobReply> {
    const { context } = this;
    const reason = infeasibilityReason(context, submitted);
    if (reason !== null) return this.refuse(submitted.id, reason);
    const spec = withKnownMachineTypes(submitted, context.machineTypes);
    // The transaction that stores a job fails if the job exists already, so the state service is asked beforehand only
    // if there may be no transaction.
    if (!context.stateClient.isHealthy) {
      const existing = await this.answerIfStored(spec.id);
      if (existing !== null) return existing;
    }
    if (spec.dependencies.length === 0) return this.store(homeShard, spec);
    if (!context.nodeCapabilities.isUpgraded) {
      return unavailable('the service is being upgraded', 2);
    }
    const dependencies = await checkDependencies(spec, this.lookup);
    return this.acceptDependent(homeShard, spec, dependencies);
  }

  /** Refuses a job unless it is stored already: the retry of an accepted submission is never refused. */
  private async refuse(id: string, reason: string): Promise<JobReply> {
    return (await this.answerIfStored(id)) ?? { status: 422, body: { error: reason } };
  }

  /** The answer for a job that is or may be stored already; null if it is not stored. */
  private async answerIfStored(id: string): Promise<JobReply | null> {
    const record = await this.lookup.fetchRecord(id);
    if (record === undefined) return unavailable('the state service is out of reach');
    return record === null ? null : this.answerExisting(id);
  }

  /** Accepts or refuses a job with dependencies, according to their states. */
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
        // A dependency that is done stays done, so it need not be stored.
        return this.store(homeShard, { ...spec, dependencies: dependencies.pending });
    }
  }

  /** Stores a job as cancelled, since one of its dependencies is. */
  private storeCancelled(homeShard: OwnedShard, spec: JobSpec): Promise<JobReply> {
    const record: JobRecord = {
      ...this.newRecord(homeShard, spec),
      spec: null,
      state: 'cancelled',
    };
    const submission = { id: spec.id, record, initialChunks: [] };
    return this.writer.submit(homeShard, submission, REQUEST_TIMEOUT_SECONDS);
  }

  private newRecord(homeShard: OwnedShard, spec: JobSpec): OpenJobRecord {
    const { clock, recordFormat, shards } = this.context;
    const maxTasks = maxTasksPerChunk(recordFormat, spec);
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

  /** Stores a job with its first chunks; a job with pending dependencies has none yet. */
  private async store(homeShard: OwnedShard, spec: JobSpec): Promise<JobReply> {
    const { recordFormat, migration, clock } = this.context;
    const record = this.newRecord(homeShard, spec);
    const ranges = chunkRanges(spec.taskCount, record.chunkSize, record.zones)
      .slice(0, this.maxInitialChunks)
      .filter((_, index) => mayCreateChunk(record, index));
    record.createdChunks = ranges.length;
    if (!isStorable(recordFormat, record)) {
      // Records are limited to one value until all nodes are known to read larger ones.
      if (!recordFormat.isCompact) return unavailable('the service is starting', 2);
      return (await this.answerIfStored(spec.id)) ?? TOO_LARGE;
    }
    // A fragmented record leaves no room in its transaction for chunks at peers' shards.
    const isFragmented = recordFormat.operations(keys.job(spec.id), record) > 1;
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
