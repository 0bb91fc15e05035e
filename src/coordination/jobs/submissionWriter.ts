/**
 * Stores submitted jobs and answers their users. Jobs that arrive while others wait to be written are stored in one
 * transaction (`submissionBatch.ts`).
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import type { KeyValue, Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import { statusReply, TOO_LARGE, unavailable, type JobReply } from './replies.js';
import {
  batchTransaction,
  SubmissionBatcher,
  type QueuedSubmission,
  type Submission,
  type SubmissionBatch,
  type SubmissionBatchContext,
} from './submissionBatch.js';

/** Maximum number of batches that are being written at a time. */
const MAX_CONCURRENT_BATCHES = 3;

/** Seconds until the write of a batch that could not be stored is retried. */
const RETRY_DELAY_SECONDS = 0.15;

/** Dependencies of `SubmissionWriter`. */
export interface SubmissionWriterContext extends SubmissionBatchContext {
  readonly clock: Clock;
  readonly stateClient: Pick<
    StateClient,
    'awaitWriteTurn' | 'chargeWrites' | 'get' | 'writeDelay' | 'writeRate' | 'isHealthy'
  >;
  readonly stateCache: Pick<StateCache, 'get' | 'applyPut'>;
  readonly leadership: {
    readonly isLeaseValid: boolean;
    verifyLeadership(shard: string): Promise<void>;
  };
  readonly persistence: Pick<JobPersistence, 'createMissingChunks'> & {
    write(
      ownedShard: OwnedShard,
      transaction: Transaction,
      priority: 'granted',
    ): Promise<TransactionResult>;
  };
  /** Requests a scheduling round soon. */
  requestSchedulingRound(): void;
}

/** Stores jobs in batches; each job is stored exactly once, even if answers of the state service are lost. */
export class SubmissionWriter {
  private readonly queue: QueuedSubmission[] = [];
  private readonly batcher: SubmissionBatcher;
  private concurrentBatches = 0;

  constructor(
    private readonly context: SubmissionWriterContext,
    /** Returns the answer for a job that is stored already. */
    private readonly answerExisting: (id: string) => Promise<JobReply>,
  ) {
    this.batcher = new SubmissionBatcher(context);
  }

  /** Expected seconds until a job that is submitted now is stored. */
  get expectedDelay(): number {
    const { stateClient } = this.context;
    return stateClient.writeDelay('submission') + this.queue.length / stateClient.writeRate;
  }

  /** Resolves with the user's answer within `timeoutSeconds`. */
  submit(homeShard: OwnedShard, submission: Submission, timeoutSeconds: number): Promise<JobReply> {
    const { clock } = this.context;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        resolve(this.abandon(queued));
      }, timeoutSeconds * 1000);
      const settle = (reply: JobReply): void => {
        clearTimeout(timer);
        resolve(reply);
      };
      const deadline = clock.now() + timeoutSeconds;
      const queued: QueuedSubmission = {
        ...submission,
        homeShard,
        deadline,
        settle,
        isStoredAlone: false,
      };
      this.queue.push(queued);
      void this.writeBatches();
    });
  }

  /** Removes a submission whose user no longer waits from the queue; returns the answer for its user. */
  private abandon(queued: QueuedSubmission): JobReply {
    const index = this.queue.indexOf(queued);
    if (index < 0) return unavailable('the state service has not confirmed the job yet', 2);
    this.queue.splice(index, 1);
    return unavailable('the state service could not store the job', 2);
  }

  private async writeBatches(): Promise<void> {
    if (this.concurrentBatches >= MAX_CONCURRENT_BATCHES) return;
    this.concurrentBatches++;
    const { stateClient } = this.context;
    try {
      while (this.queue.length > 0) {
        await stateClient.awaitWriteTurn(1, 'submission');
        const batch = this.batcher.takeBatch(this.queue);
        if (batch === null) break;
        stateClient.chargeWrites(batch.jobs.length + batch.transfers.size - 1, 'submission');
        await this.store(batch);
      }
    } finally {
      this.concurrentBatches--;
    }
  }

  /** Retries until it is known whether the batch is stored; its users may have been asked to retry by then. */
  private async store(batch: SubmissionBatch): Promise<void> {
    const { leadership, stateClient, clock } = this.context;
    while (batch.jobs.length > 0) {
      if (!batch.homeShard.isOwned || (!leadership.isLeaseValid && !batch.mayBeStored)) {
        answerAll(batch, () => unavailable('this node lost its part', 1));
        return;
      }
      try {
        if (await this.writeOnce(batch)) return;
      } catch (error) {
        log.debug(`cannot store a batch of submissions: ${describeError(error)}`);
      }
      if (!batch.mayBeStored && !stateClient.isHealthy) {
        // Retrying until the users' deadlines would only keep them from a node that the state service serves.
        answerAll(batch, () => unavailable('the state service is out of reach', 1));
        return;
      }
      await sleep(RETRY_DELAY_SECONDS);
      if (!batch.mayBeStored) {
        const now = clock.now();
        batch.jobs = batch.jobs.filter((job) => job.deadline > now);
        // A transfer that still held chunks of an abandoned job would have them run, and again when its user retries the
        // submission.
        this.batcher.assignTransfers(batch);
      }
    }
  }

  /** Writes a batch once; returns true if nothing of it is left to be stored. */
  private async writeOnce(batch: SubmissionBatch): Promise<boolean> {
    const { persistence, stateCache } = this.context;
    const transaction = batchTransaction(batch, stateCache);
    const result = await persistence.write(batch.homeShard, transaction, 'granted');
    switch (result.kind) {
      case 'applied':
        this.adoptBatch(batch, result.revision);
        return true;
      case 'conflict':
        return this.resolveConflict(batch);
      case 'unknown':
        batch.mayBeStored = true;
        return false;
      case 'malformed':
        return this.divideRejected(batch);
      case 'refused':
      case 'no-lease':
        return false;
    }
  }

  /**
   * Divides a batch that the state service rejects as malformed: repeated as it is it would be rejected again, and refuse all of its
   * users. Its jobs are stored one by one; one that is rejected alone is stored without chunks at peers, or refused. Returns true
   * if nothing is left to store.
   */
  private async divideRejected(batch: SubmissionBatch): Promise<boolean> {
    const [first, ...others] = batch.jobs;
    if (first === undefined) return true;
    if (others.length > 0) {
      for (const job of batch.jobs) job.isStoredAlone = true;
      this.queue.unshift(...others);
      batch.jobs = [first];
      void this.writeBatches();
    } else if (batch.transfers.size > 0) {
      // Its chunks are created at the home shard once it is stored.
      batch.jobs = [
        { ...first, initialChunks: [], record: { ...first.record, migratedChunks: [] } },
      ];
    } else {
      await this.refuse(first);
      batch.jobs = [];
    }
    this.batcher.assignTransfers(batch);
    return batch.jobs.length === 0;
  }

  /** Refuses a job that can't be stored, unless it is stored already: the retry of an accepted submission is never refused. */
  private async refuse({ id, settle }: QueuedSubmission): Promise<void> {
    const existing = await this.context.stateClient.get(keys.job(id));
    if (existing === null) {
      log.error(`the state service rejects job ${id} as malformed; it is refused`);
      settle(TOO_LARGE);
    } else settle(await this.answerExisting(id));
  }

  /** Handles a conflict: jobs are stored already or a shard has another leader. Returns true if nothing is left to store. */
  private async resolveConflict(batch: SubmissionBatch): Promise<boolean> {
    const { stateClient, leadership } = this.context;
    const { homeShard, jobs } = batch;
    const found = await Promise.all(jobs.map((job) => stateClient.get(keys.job(job.id))));
    if (batch.mayBeStored && jobs.some((job, i) => isSameSubmission(job.record, found[i]))) {
      this.adoptStoredBatch(batch, found);
      return true;
    }
    const existing = jobs.filter((_, i) => found[i] !== null);
    if (existing.length === 0) {
      await leadership.verifyLeadership(homeShard.shard.label);
      if (batch.mayBeStored && homeShard.isOwned) return false;
      answerAll(batch, () => unavailable('a peer has changed; try again', 1));
      return true;
    }
    // Job records are never removed, so no earlier transaction of this batch can be applied any more.
    for (const job of existing) void this.answerExisting(job.id).then(job.settle);
    batch.jobs = jobs.filter((job) => !existing.includes(job));
    batch.mayBeStored = false;
    this.batcher.assignTransfers(batch);
    return batch.jobs.length === 0;
  }

  /** Adds the jobs of a batch that has just been stored to the node's state, and answers their users. */
  private adoptBatch(batch: SubmissionBatch, revision: number): void {
    for (const job of batch.jobs) this.adoptJob(batch.homeShard, job, job.record, revision);
    for (const [key, { value }] of batch.transfers) {
      this.context.stateCache.applyPut(key, value, revision);
    }
    this.answerStored(batch);
  }

  /**
   * Adds the jobs of a batch to the node's state after an unanswered transaction turned out to be applied, which holds for
   * the whole batch. A later leader of the shard may have changed the jobs since, so each is added with its stored record and
   * revision: with the record that was sent, a job that has been cancelled would be open again at this node, permanently.
   */
  private adoptStoredBatch(batch: SubmissionBatch, found: readonly (KeyValue | null)[]): void {
    batch.jobs.forEach((job, i) => {
      const item = found[i];
      if (item) this.adoptJob(batch.homeShard, job, item.value as JobRecord, item.revision);
    });
    this.answerStored(batch);
  }

  /** Adds a stored job, and those of its chunks that are at the home shard, to the node's state. */
  private adoptJob(
    homeShard: OwnedShard,
    { id, initialChunks }: Submission,
    record: JobRecord,
    revision: number,
  ): void {
    const { clock, stateCache, persistence } = this.context;
    const job: HomeJob = { id, record, revision, isWriteInFlight: false };
    const isOpenHere = homeShard.isOwned && record.state === 'open';
    if (isOpenHere) {
      homeShard.jobs.set(id, job);
      for (const { shard, chunk } of initialChunks) {
        if (shard === homeShard.shard.label) homeShard.shard.acceptNewChunk(chunk, clock.now());
      }
    }
    stateCache.applyPut(keys.job(id), record, revision);
    // Its dependencies may have been done while it was being stored.
    if (isOpenHere) persistence.createMissingChunks(homeShard, job);
  }

  /** Answers users according to the newest cached record: a job may have ended before the answer of its transaction arrives. */
  private answerStored(batch: SubmissionBatch): void {
    this.context.requestSchedulingRound();
    const { homeShard } = batch;
    answerAll(batch, (submission) => this.replyToStored(homeShard, submission));
  }

  private replyToStored(homeShard: OwnedShard, { id, record }: Submission): JobReply {
    // The job was stored as cancelled, since one of its dependencies is.
    if (record.state === 'cancelled') return statusReply(id, record.state, { kind: 'final' }, 201);
    const cached = cachedJob(this.context.stateCache, id);
    if (cached !== undefined && cached.state !== 'open') {
      return statusReply(id, cached.state, { kind: 'final' });
    }
    const job = homeShard.jobs.get(id);
    if (job === undefined) return unavailable('this node lost its part');
    return statusReply(id, 'queued', { kind: 'leader', homeShard, job }, 201);
  }
}

/** Answers all users of a batch and empties it. */
function answerAll(batch: SubmissionBatch, reply: (job: QueuedSubmission) => JobReply): void {
  for (const job of batch.jobs) job.settle(reply(job));
  batch.jobs = [];
}

/** Whether a stored job is the one that was sent, regardless of its current state. */
function isSameSubmission(sent: JobRecord, item: KeyValue | null | undefined): boolean {
  const stored = item?.value as JobRecord | undefined;
  return stored?.submittedAt === sent.submittedAt && stored.homeShard === sent.homeShard;
}
