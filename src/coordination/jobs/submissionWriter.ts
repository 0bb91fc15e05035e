/**
 * Stores submitted jobs. Those that come while others wait for their turn go into one transaction, and
 * so do the chunks that they send to the same peer: a burst of jobs must not use up the changes that the
 * state service allows.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import { acceptedAnswer } from '../../protocol/job.js';
import {
  TRANSACTION_BYTES,
  type KeyValue,
  type Transaction,
} from '../../protocol/stateProtocol.js';
import { keys, type JobRecord, type BucketRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Chunk } from '../model/chunk.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import { unavailable } from './replies.js';
import { maxStoredBytes } from '../persistence/bucket.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';

export interface Submission {
  id: string;
  record: JobRecord;
  first: { shard: string; chunk: Chunk }[];
}

interface QueuedSubmission extends Submission {
  homeShard: OwnedShard;
  deadline: number;
  settle: (reply: Reply) => void;
}

/** Jobs whose transaction is on its way, and whether a copy of it got no answer. */
interface Batch {
  homeShard: OwnedShard;
  jobs: QueuedSubmission[];
  transfers: Map<string, { shard: string; value: BucketRecord }>;
  mayBeStored: boolean;
}

/** What is needed of a node. */
export interface SubmissionWriterContext {
  process: string;
  shards: string[];
  settings: { txnOps: number };
  recordFormat: RecordFormat;
  clock: Clock;
  stateClient: Pick<
    StateClient,
    'awaitWriteTurn' | 'chargeWrites' | 'get' | 'writeDelay' | 'writeRate' | 'isHealthy'
  >;
  stateCache: Pick<StateCache, 'get' | 'note'>;
  leadership: { readonly isLeaseValid: boolean; verifyLeadership(shard: string): Promise<void> };
  persistence: Pick<JobPersistence, 'acceptMissing'> & {
    write(
      ownedShard: OwnedShard,
      transaction: Transaction,
      urgency: 'granted',
    ): Promise<TransactionResult>;
  };
  requestSchedulingRound(): void;
}

const TRANSACTIONS = 3;
const RETRY = 0.15;

/**
 * What a batch takes of the limits of a transaction and of each transfer's record. Beyond them the state
 * service calls it malformed, and all of its users would be turned away together, again and again.
 */
class BatchSize {
  private all = 0;
  private operations = 0;
  private readonly transfers = new Map<string, number>();

  constructor(
    private readonly most: number,
    private readonly mostTransfer: number,
    private readonly mostOperations: number,
    private readonly homeShard: string,
    private readonly recordFormat: RecordFormat,
  ) {}

  /** Counts one more; false when it does not fit any more. */
  take({ id, record, first }: Submission): boolean {
    const { recordFormat } = this;
    this.all += recordFormat.bytes(keys.job(id), record);
    this.operations += recordFormat.operations(keys.job(id), record);
    let fits = this.operations <= this.mostOperations;
    for (const { shard, chunk } of first) {
      if (shard === this.homeShard) continue;
      const bytes = maxStoredBytes(chunk, recordFormat);
      const transfer = (this.transfers.get(shard) ?? 0) + bytes;
      this.transfers.set(shard, transfer);
      this.all += bytes;
      fits &&= transfer <= this.mostTransfer;
    }
    return fits && this.all <= this.most;
  }
}

export class SubmissionWriter {
  private readonly queue: QueuedSubmission[] = [];
  private running = 0;
  private transfers = 0;

  constructor(
    private readonly node: SubmissionWriterContext,
    /** What a job is answered that somebody else has stored. */
    private readonly known: (id: string) => Promise<Reply>,
  ) {}

  /** Seconds until a job that came now would be stored. */
  get delay(): number {
    const { stateClient: state } = this.node;
    return state.writeDelay('submission') + this.queue.length / state.writeRate;
  }

  /** Resolves with the user's answer within `patience` seconds. */
  submit(homeShard: OwnedShard, submission: Submission, patience: number): Promise<Reply> {
    const { clock } = this.node;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        const at = this.queue.indexOf(waiting);
        if (at >= 0) this.queue.splice(at, 1);
        const reason =
          at >= 0
            ? 'the state service could not store the job'
            : 'the state service has not confirmed the job yet';
        resolve(unavailable(reason, 2));
      }, patience * 1000);
      const settle = (reply: Reply): void => {
        clearTimeout(timer);
        resolve(reply);
      };
      const waiting = { ...submission, homeShard, deadline: clock.now() + patience, settle };
      this.queue.push(waiting);
      void this.writeBatches();
    });
  }

  private async writeBatches(): Promise<void> {
    if (this.running >= TRANSACTIONS) return;
    this.running++;
    try {
      while (this.queue.length > 0) {
        await this.node.stateClient.awaitWriteTurn(1, 'submission');
        const batch = this.takeBatch();
        if (batch === null) break;
        this.node.stateClient.chargeWrites(
          batch.jobs.length + batch.transfers.size - 1,
          'submission',
        );
        await this.store(batch);
      }
    } finally {
      this.running--;
    }
  }

  /** The first of the queue, and what else goes with it. */
  private takeBatch(): Batch | null {
    const home = this.queue[0]?.homeShard;
    if (home === undefined) return null;
    const { settings, shards, recordFormat } = this.node;
    const most = Math.max(1, settings.txnOps - (shards.length - 1));
    const jobs: QueuedSubmission[] = [];
    const size = new BatchSize(
      TRANSACTION_BYTES * 0.8,
      recordFormat.valueBytes * 0.9,
      most,
      home.shard.label,
      recordFormat,
    );
    for (let i = 0; i < this.queue.length; i++) {
      const next = this.queue[i];
      if (next?.homeShard !== home) continue;
      if (!size.take(next) && jobs.length > 0) break;
      jobs.push(next);
      this.queue.splice(i--, 1);
    }
    return this.assignTransfers({
      homeShard: home,
      jobs,
      transfers: new Map(),
      mayBeStored: false,
    });
  }

  /** Puts the chunks that go to each peer on one bucket, under a name that is used once. */
  private assignTransfers(batch: Batch): Batch {
    batch.transfers.clear();
    const byPart = new Map<string, BucketRecord>();
    for (const { first } of batch.jobs) {
      for (const { shard, chunk } of first) {
        if (shard === batch.homeShard.shard.label) continue;
        const bucket = byPart.get(shard) ?? { chunks: {} };
        byPart.set(shard, bucket);
        bucket.chunks[chunk.id] = chunk.record();
      }
    }
    for (const [shard, value] of byPart) {
      const name = `${this.node.process}-a${++this.transfers}`;
      batch.transfers.set(keys.run(shard, name), { shard, value });
    }
    return batch;
  }

  /** Until it is known whether the batch is stored; users may have been told to ask again by then. */
  private async store(batch: Batch): Promise<void> {
    const { node } = this;
    const { homeShard } = batch;
    while (batch.jobs.length > 0) {
      if (!homeShard.isOwned || (!node.leadership.isLeaseValid && !batch.mayBeStored)) {
        this.answer(batch, () => unavailable('this node lost its part', 1));
        return;
      }
      try {
        if (await this.attempt(batch)) return;
      } catch (error) {
        log.debug(`accept: ${describe(error)}`);
      }
      if (!batch.mayBeStored && !node.stateClient.isHealthy) {
        // Trying on until their patience is over would only keep the users from a node that is served.
        this.answer(batch, () => unavailable('the state service is out of reach', 1));
        return;
      }
      await sleep(RETRY);
      if (!batch.mayBeStored) {
        const now = node.clock.now();
        batch.jobs = batch.jobs.filter((job) => job.deadline > now);
        // Anew: a transfer that still held chunks of a job which was given up would have them run, and once
        // more when its user has come back.
        this.assignTransfers(batch);
      }
    }
  }

  private answer(batch: Batch, reply: (job: QueuedSubmission) => Reply): void {
    for (const job of batch.jobs) job.settle(reply(job));
    batch.jobs = [];
  }

  /** True once the batch is settled. */
  private async attempt(batch: Batch): Promise<boolean> {
    const { node } = this;
    const { homeShard, jobs, transfers } = batch;
    const when: Transaction['conditions'] = jobs.map((job) => ({
      key: keys.job(job.id),
      revision: 0,
    }));
    for (const shard of new Set([...transfers.values()].map((p) => p.shard))) {
      when.push({
        key: keys.owner(shard),
        revision: node.stateCache.get(keys.owner(shard))?.revision ?? 0,
      });
    }
    for (const key of transfers.keys()) when.push({ key, revision: 0 });
    const puts = [
      ...jobs.map((job) => ({ key: keys.job(job.id), value: job.record as unknown })),
      ...[...transfers].map(([key, { value }]) => ({ key, value })),
    ];
    const result = await node.persistence.write(
      homeShard,
      { conditions: when, puts, deletes: [] },
      'granted',
    );
    if (result.kind === 'applied') {
      this.stored(batch, result.revision);
      return true;
    }
    if (result.kind === 'unknown') batch.mayBeStored = true;
    if (result.kind !== 'conflict') return false;
    const found = await Promise.all(jobs.map((job) => node.stateClient.get(keys.job(job.id))));
    if (batch.mayBeStored && jobs.some((job, i) => isStoredCopy(job.record, found[i]))) {
      this.foundStored(batch, found);
      return true;
    }
    const taken = jobs.filter((_, i) => found[i] !== null);
    if (taken.length === 0) {
      await node.leadership.verifyLeadership(homeShard.shard.label);
      if (batch.mayBeStored && homeShard.isOwned) return false;
      this.answer(batch, () => unavailable('a peer has changed; try again', 1));
      return true;
    }
    // Jobs' records are kept for good, so no earlier copy of this batch can be applied any more.
    for (const job of taken) void this.known(job.id).then(job.settle);
    batch.jobs = jobs.filter((job) => !taken.includes(job));
    batch.mayBeStored = false;
    this.assignTransfers(batch);
    return batch.jobs.length === 0;
  }

  private stored(batch: Batch, revision: number): void {
    for (const job of batch.jobs) this.adoptJob(batch.homeShard, job, job.record, revision);
    for (const [key, { value }] of batch.transfers) this.node.stateCache.note(key, value, revision);
    this.answerStored(batch);
  }

  /**
   * A copy without an answer was applied, and that holds for all of the batch. Its jobs may have changed since
   * then, at an adopter of the part: each is taken as it is stored, under its own stamp. With the record that was
   * sent, a job that has been cancelled would be open again here, and for good.
   */
  private foundStored(batch: Batch, found: (KeyValue | null)[]): void {
    batch.jobs.forEach((job, i) => {
      const item = found[i];
      if (item) this.adoptJob(batch.homeShard, job, item.value as JobRecord, item.revision);
    });
    this.answerStored(batch);
  }

  private adoptJob(
    homeShard: OwnedShard,
    submission: Submission,
    record: JobRecord,
    revision: number,
  ): void {
    const { node } = this;
    const { id, first } = submission;
    const job: HomeJob = { id, record, revision, isWriteInFlight: false };
    const isOurs = homeShard.isOwned && record.state === 'open';
    if (isOurs) {
      homeShard.jobs.set(id, job);
      for (const { shard, chunk } of first) {
        if (shard === homeShard.shard.label)
          homeShard.shard.acceptNewChunk(chunk, node.clock.now());
      }
    }
    node.stateCache.note(keys.job(id), record, revision);
    // What it waits for may have been done while it was being stored.
    if (isOurs) node.persistence.acceptMissing(homeShard, job);
  }

  /** Tells the users, by the newest that is known here: the job may be over by the time that the answer comes. */
  private answerStored(batch: Batch): void {
    const { node } = this;
    node.requestSchedulingRound();
    this.answer(batch, ({ id, record }) => {
      // It needs a cancelled job, and was stored as cancelled with it.
      if (record.state === 'cancelled') {
        return { status: 201, body: acceptedAnswer(id, record.state) };
      }
      const known = node.stateCache.get(keys.job(id))?.value as JobRecord | undefined;
      if (known === undefined || known.state === 'open') {
        return { status: 201, body: acceptedAnswer(id, 'queued') };
      }
      return { status: 200, body: acceptedAnswer(id, known.state) };
    });
  }
}

/** Whether a stored job is the one that was sent, at whatever state it has arrived. */
function isStoredCopy(sent: JobRecord, item: KeyValue | null | undefined): boolean {
  const stored = item?.value as JobRecord | undefined;
  return stored?.submittedAt === sent.submittedAt && stored.homeShard === sent.homeShard;
}
