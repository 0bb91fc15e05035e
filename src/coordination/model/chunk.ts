/** Chunks: ranges of a job's tasks, and the attempts that are, or may be, on machines. */
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import type { TaskState } from '../../protocol/workerProtocol.js';
import { fromRanges, toRanges, type ChunkRecord } from '../../storage/records.js';
import type { StartCommands } from './startCommands.js';

/** One attempt of one task that is, or may be, on a machine. */
export interface Attempt {
  task: number;
  attemptNumber: number;
  machine: string;
  agentEpoch: number;
  /** The chunk's version that first held it; once that is stored, the start may be sent. */
  chunkVersion: number;
  wasReported: boolean;
  /**
   * It was loaded from a record: whether its start was ever sent is not known, and the last owner may have known it
   * to be over and given its room away. It is never started here; what is not on its machine is placed anew.
   */
  isInherited: boolean;
  state: TaskState;
  placedAt: number;
  runningSince: number | null;
  /** Whether a start sent straight to the worker may still be carried out. */
  readonly startCommands: StartCommands;
  /** A start rides in the answer to a heartbeat; the worker's next heartbeat settles it. */
  startSentInAnswer: boolean;
  stop: { gracePeriod: number; sentAt: number | null } | null;
}

/** The bucket, a record of several chunks, in which a chunk is stored. */
export interface ChunkBucket {
  /** Name of its record within the shard. */
  readonly name: string;
  /** Revision of its record; 0 while there is none. */
  readonly revision: number;
  /** A transaction that changes its record is in flight, or queued. */
  readonly isWriteInFlight: boolean;
  /** Takes a chunk out of it. */
  remove(chunk: Chunk): void;
}

/** A range of a job's tasks that is queued, placed and sent to peers as a whole. */
export class Chunk {
  readonly doneTasks: Set<number>;
  readonly attempts = new Map<number, Attempt>();
  nextAttemptNumber: number;
  /** Rises with each change; `stored` is the version that the state service has. */
  version = 1;
  storedVersion = 0;
  /** Its job is stored: it may be stored too, and started after that. */
  isJobStored = false;
  /** Where it is stored, or is about to be. */
  bucket: ChunkBucket | null = null;
  /** A move to another shard got no answer: until its bucket is written again it may have gone. */
  mayHaveMigrated = false;
  /** A record beyond the limit that it was in before, which still has a copy of it. */
  retiredFrom: ChunkBucket | null = null;
  /** It has been released and its peers are to be asked for it, as at a submission. */
  isNewlyReleased = false;
  dirtySince: number | null = null;
  isCancelled = false;
  /** Steady time at which its job's cancellation was announced; null: nobody wants it cancelled. */
  cancellationPreparedAt: number | null = null;
  /** A transaction that hands it to another shard is on its way. */
  isMigrating = false;
  /** Set once its record is gone from this shard. */
  isDropped = false;
  /** Nothing is started before this time, after failures. */
  retryNotBefore = 0;
  failureCount = 0;
  readonly failedMachines = new Set<string>();
  readonly queuedAt: number;
  migrationCount = 0;
  /** Steady time of the last question to the peers. */
  peersAskedAt = -Infinity;
  /** Since when lower-ranked work has been making room for it where its image is. */
  preemptingSince: number | null = null;
  /** Since when there was room nowhere; null when all is placed. */
  blockedSince: number | null = null;
  readonly id: string;
  /** Its own rank, or a higher one of a job that needs its job. */
  rank: number;
  private cursor: number;

  constructor(
    readonly spec: JobSpec,
    readonly index: number,
    readonly homeShard: string,
    readonly submittedAt: number,
    readonly firstTask: number,
    readonly endTask: number,
    readonly zone: string | null,
    now: number,
  ) {
    this.doneTasks = new Set();
    this.nextAttemptNumber = 1;
    this.cursor = firstTask;
    this.queuedAt = now;
    this.id = `${spec.id}/${index}`;
    this.rank = rankOrder[spec.rank];
  }

  /** A chunk from its stored record, without its attempts. */
  static load(index: number, stored: ChunkRecord, now: number): Chunk {
    const { spec, homeShard, submittedAt: at, firstTask: from, endTask: to, zone } = stored;
    const chunk = new Chunk(spec, index, homeShard, at, from, to, zone, now);
    chunk.nextAttemptNumber = stored.nextAttemptNumber;
    chunk.migrationCount = stored.migrationCount;
    chunk.isJobStored = true;
    chunk.storedVersion = chunk.version;
    for (const task of fromRanges(stored.doneTasks)) chunk.doneTasks.add(task);
    return chunk;
  }

  /** How many tasks it has. */
  get size(): number {
    return this.endTask - this.firstTask;
  }
  /** Tasks that neither run nor are done; none once it is to be cancelled. */
  get pendingCount(): number {
    return this.isCancelRequested ? 0 : this.size - this.doneTasks.size - this.attempts.size;
  }
  /** All of its tasks are done. */
  get isComplete(): boolean {
    return this.doneTasks.size === this.size;
  }
  /** Its user has asked to cancel it: what its tasks do is of no use to anybody. */
  get isCancelRequested(): boolean {
    return this.isCancelled || this.cancellationPreparedAt !== null;
  }
  /** Attempts whose worker says that they run. */
  get runningCount(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) if (attempt.state === 'running') count++;
    return count;
  }

  /** Stored as it is here, with nothing of it on any machine or on its way. */
  get isMigratable(): boolean {
    const { bucket } = this;
    const settled =
      bucket !== null && !bucket.isWriteInFlight && bucket.revision > 0 && this.storedVersion > 0;
    const isFree = !this.mayHaveMigrated && this.retiredFrom === null && !this.isCancelRequested;
    return settled && this.isJobStored && isFree && this.attempts.size === 0;
  }

  /** A task's name on the wire: the job's id and the task's number. */
  taskName(task: number): string {
    return `${this.spec.id}/${task}`;
  }

  /** The state service has stored the attempt, so that its start may be sent. */
  isDurable(attempt: Attempt): boolean {
    return this.storedVersion >= attempt.chunkVersion;
  }

  /** Its record has to be stored again. */
  markChanged(now: number): void {
    this.version++;
    this.dirtySince ??= now;
  }

  /** A task that neither runs nor is done. */
  nextPending(): number | null {
    for (let i = 0; i < this.size; i++) {
      const task = this.cursor;
      this.cursor = this.cursor + 1 >= this.endTask ? this.firstTask : this.cursor + 1;
      if (!this.doneTasks.has(task) && !this.attempts.has(task)) return task;
    }
    return null;
  }

  /** The record to store. */
  toRecord(): ChunkRecord {
    return {
      spec: this.spec,
      homeShard: this.homeShard,
      submittedAt: this.submittedAt,
      firstTask: this.firstTask,
      endTask: this.endTask,
      zone: this.zone,
      nextAttemptNumber: this.nextAttemptNumber,
      doneTasks: toRanges([...this.doneTasks].sort((a, b) => a - b)),
      attempts: [...this.attempts.values()].map((attempt) => ({
        task: attempt.task,
        attemptNumber: attempt.attemptNumber,
        machine: attempt.machine,
        agentEpoch: attempt.agentEpoch,
      })),
      migrationCount: this.migrationCount,
    };
  }
}

/** The order of the queue: rank before arrival. */
export const compareByQueueOrder = (a: Chunk, b: Chunk): number =>
  b.rank - a.rank || a.submittedAt - b.submittedAt || (a.id < b.id ? -1 : 1);

/** Whether a chunk is looked at before another. */
export const isAhead = (a: Chunk, b: Chunk): boolean => compareByQueueOrder(a, b) < 0;
