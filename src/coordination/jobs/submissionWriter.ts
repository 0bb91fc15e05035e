/**
 * Stores submitted jobs and answers their users. Jobs that come while others wait for their turn go into one
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
import { statusReply, unavailable, type JobReply } from './replies.js';
import {
  batchTransaction,
  SubmissionBatcher,
  type QueuedSubmission,
  type Submission,
  type SubmissionBatch,
  type SubmissionBatchContext,
} from './submissionBatch.js';

/** Batches that may be on their way at a time. */
const MAX_CONCURRENT_BATCHES = 3;

/** Seconds until a batch that could not be stored is tried again. */
const RETRY_DELAY_SECONDS = 0.15;

/** What storing submissions needs of a node. */
export interface SubmissionWriterContext extends SubmissionBatchContext {
  readonly clock: Clock;
  readonly stateClient: Pick<
    StateClient,
    'awaitWriteTurn' | 'chargeWrites' | 'get' | 'writeDelay' | 'writeRate' | 'isHealthy'
  >;
  readonly stateCache: Pick<StateCache, 'get' | 'note'>;
  readonly leadership: {
    readonly isLeaseValid: boolean;
    verifyLeadership(shard: string): Promise<void>;
  };
  readonly persistence: Pick<JobPersistence, 'acceptMissing'> & {
    write(
      ownedShard: OwnedShard,
      transaction: Transaction,
      priority: 'granted',
    ): Promise<TransactionResult>;
  };
  /** Asks for a scheduling round soon. */
  requestSchedulingRound(): void;
}

/** Stores jobs in batches; each job is stored once, whatever becomes of the answers. */
export class SubmissionWriter {
  private readonly queue: QueuedSubmission[] = [];
  private readonly batcher: SubmissionBatcher;
  private concurrentBatches = 0;

  constructor(
    private readonly context: SubmissionWriterContext,
    /** The answer for a job that somebody else has stored. */
    private readonly answerKnown: (id: string) => Promise<JobReply>,
  ) {
    this.batcher = new SubmissionBatcher(context);
  }

  /** Seconds until a job that came now would be stored. */
  get expectedDelay(): number {
    const { stateClient } = this.context;
    return stateClient.writeDelay('submission') + this.queue.length / stateClient.writeRate;
  }

  /** Resolves with the user's answer within `timeoutSeconds`. */
  submit(homeShard: OwnedShard, submission: Submission, timeoutSeconds: number): Promise<JobReply> {
    const { clock } = this.context;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        resolve(this.giveUp(queued));
      }, timeoutSeconds * 1000);
      const settle = (reply: JobReply): void => {
        clearTimeout(timer);
        resolve(reply);
      };
      const deadline = clock.now() + timeoutSeconds;
      const queued: QueuedSubmission = { ...submission, homeShard, deadline, settle };
      this.queue.push(queued);
      void this.writeBatches();
    });
  }

  /** Takes a submission whose user waits no longer off the queue; the answer for its user. */
  private giveUp(queued: QueuedSubmission): JobReply {
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

  /** Tries until it is known whether the batch is stored; users may have been told to ask again by then. */
  private async store(batch: SubmissionBatch): Promise<void> {
    const { leadership, stateClient, clock } = this.context;
    while (batch.jobs.length > 0) {
      if (!batch.homeShard.isOwned || (!leadership.isLeaseValid && !batch.mayBeStored)) {
        answerAll(batch, () => unavailable('this node lost its part', 1));
        return;
      }
      try {
        if (await this.tryOnce(batch)) return;
      } catch (error) {
        log.debug(`accept: ${describeError(error)}`);
      }
      if (!batch.mayBeStored && !stateClient.isHealthy) {
        // Trying on until the users' deadlines would only keep them from a node that is served.
        answerAll(batch, () => unavailable('the state service is out of reach', 1));
        return;
      }
      await sleep(RETRY_DELAY_SECONDS);
      if (!batch.mayBeStored) {
        const now = clock.now();
        batch.jobs = batch.jobs.filter((job) => job.deadline > now);
        // Anew: a transfer that still held chunks of a job which was given up would have them run, and once
        // more when its user has come back.
        this.batcher.assignTransfers(batch);
      }
    }
  }

  /** Sends a batch once. True when nothing of it is left to be stored. */
  private async tryOnce(batch: SubmissionBatch): Promise<boolean> {
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
      case 'refused':
      case 'no-lease':
      case 'malformed':
        return false;
    }
  }

  /** Some of the jobs are stored already, or a shard has another leader. True when nothing is left to be stored. */
  private async resolveConflict(batch: SubmissionBatch): Promise<boolean> {
    const { stateClient, leadership } = this.context;
    const { homeShard, jobs } = batch;
    const found = await Promise.all(jobs.map((job) => stateClient.get(keys.job(job.id))));
    if (batch.mayBeStored && jobs.some((job, i) => isStoredCopy(job.record, found[i]))) {
      this.adoptStoredBatch(batch, found);
      return true;
    }
    const known = jobs.filter((_, i) => found[i] !== null);
    if (known.length === 0) {
      await leadership.verifyLeadership(homeShard.shard.label);
      if (batch.mayBeStored && homeShard.isOwned) return false;
      answerAll(batch, () => unavailable('a peer has changed; try again', 1));
      return true;
    }
    // Jobs' records are kept for good, so no earlier copy of this batch can be applied any more.
    for (const job of known) void this.answerKnown(job.id).then(job.settle);
    batch.jobs = jobs.filter((job) => !known.includes(job));
    batch.mayBeStored = false;
    this.batcher.assignTransfers(batch);
    return batch.jobs.length === 0;
  }

  /** The batch was stored just now. */
  private adoptBatch(batch: SubmissionBatch, revision: number): void {
    for (const job of batch.jobs) this.adoptJob(batch.homeShard, job, job.record, revision);
    for (const [key, { value }] of batch.transfers) {
      this.context.stateCache.note(key, value, revision);
    }
    this.answerStored(batch);
  }

  /**
   * A copy without an answer was applied, and that holds for all of the batch. Its jobs may have changed since
   * then, at an adopter of the shard: each is taken as it is stored, under its own revision. With the record that was
   * sent, a job that has been cancelled would be open again here, and for good.
   */
  private adoptStoredBatch(batch: SubmissionBatch, found: readonly (KeyValue | null)[]): void {
    batch.jobs.forEach((job, i) => {
      const item = found[i];
      if (item) this.adoptJob(batch.homeShard, job, item.value as JobRecord, item.revision);
    });
    this.answerStored(batch);
  }

  /** Takes up a stored job, and its chunks that are at the home shard. */
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
    stateCache.note(keys.job(id), record, revision);
    // What it waits for may have been done while it was being stored.
    if (isOpenHere) persistence.acceptMissing(homeShard, job);
  }

  /** Answers users by the newest record known here: the job may be over before its answer comes. */
  private answerStored(batch: SubmissionBatch): void {
    this.context.requestSchedulingRound();
    const { homeShard } = batch;
    answerAll(batch, (submission) => this.replyToStored(homeShard, submission));
  }

  private replyToStored(homeShard: OwnedShard, { id, record }: Submission): JobReply {
    // It depends on a cancelled job, and was stored as cancelled with it.
    if (record.state === 'cancelled') return statusReply(id, record.state, { kind: 'final' }, 201);
    const known = cachedJob(this.context.stateCache, id);
    if (known !== undefined && known.state !== 'open') {
      return statusReply(id, known.state, { kind: 'final' });
    }
    const job = homeShard.jobs.get(id);
    if (job === undefined) return unavailable('this node lost its part');
    return statusReply(id, 'queued', { kind: 'leader', homeShard, job }, 201);
  }
}

/** Answers all users of a batch, which is empty then. */
function answerAll(batch: SubmissionBatch, reply: (job: QueuedSubmission) => JobReply): void {
  for (const job of batch.jobs) job.settle(reply(job));
  batch.jobs = [];
}

/** Whether a stored job is the one that was sent, whatever its state is by now. */
function isStoredCopy(sent: JobRecord, item: KeyValue | null | undefined): boolean {
  const stored = item?.value as JobRecord | undefined;
  return stored?.submittedAt === sent.submittedAt && stored.homeShard === sent.homeShard;
}
