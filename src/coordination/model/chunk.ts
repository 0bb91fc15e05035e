/** Chunks: ranges of a job's tasks, with the attempts that are, or may be, on machines. */
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
  /** The first version of the chunk that contains the attempt; its start may be sent once that version is stored. */
  chunkVersion: number;
  wasReported: boolean;
  /**
   * The attempt was loaded from a record: it is not known whether its start was ever sent, and the previous leader may have
   * seen it terminate and reused its resources. It is never started by this leader; if it is not on its machine, its task is
   * placed again.
   */
  isInherited: boolean;
  state: TaskState;
  placedAt: number;
  runningSince: number | null;
  /** Tracks whether a start that was sent to the worker as a command may still be executed. */
  readonly startCommands: StartCommands;
  /** A start was sent in the answer to a heartbeat; the worker's next heartbeat shows whether it was executed. */
  startSentInAnswer: boolean;
  stop: { gracePeriod: number; sentAt: number | null } | null;
}

/** Failures after which no machine is launched for a chunk: the fault is probably in the job. */
const MAX_FAILURES_FOR_DEMAND = 2;

/** The bucket, a stored record of several chunks, that contains a chunk. */
export interface ChunkBucket {
  /** Name of the record within the shard. */
  readonly name: string;
  /** Revision of the record; 0 while there is no record. */
  readonly revision: number;
  /** A transaction that changes the record is in flight, or queued. */
  readonly isWriteInFlight: boolean;
  /** Removes a chunk. */
  remove(chunk: Chunk): void;
}

/** A range of a job's tasks that is queued, placed and migrated to peers as a unit. */
export class Chunk {
  readonly doneTasks: Set<number>;
  readonly attempts = new Map<number, Attempt>();
  nextAttemptNumber: number;
  /** Incremented with each change; `storedVersion` is the version that the state service has stored. */
  version = 1;
  storedVersion = 0;
  /** The record of its job is stored: the chunk may be stored too, and then started. */
  isJobStored = false;
  /** The bucket in which it is stored, or is about to be. */
  bucket: ChunkBucket | null = null;
  /** A migration to another shard got no answer: it may have been applied, until the bucket is written again. */
  mayHaveMigrated = false;
  /** It shares no bucket with other chunks, since a bucket with them was rejected as malformed. */
  needsOwnBucket = false;
  /** The state service rejected its record as malformed, and has not stored it since. */
  isUnstorable = false;
  /** The state service rejected its migration as malformed: it stays in its shard. */
  isMigrationRejected = false;
  /** Its previous bucket, whose record exceeded the size limit and still contains a copy of it. */
  retiredFrom: ChunkBucket | null = null;
  /** It was created after its job was accepted, and the peers are to be asked about it as they are at a submission. */
  isNewlyCreated = false;
  dirtySince: number | null = null;
  isCancelled = false;
  /** Monotonic time at which its job's cancellation was announced; null while no cancellation is prepared. */
  cancellationPreparedAt: number | null = null;
  /** A transaction that migrates it to another shard is in flight. */
  isMigrating = false;
  /** Set once it has been removed from this shard. */
  isDropped = false;
  /** Monotonic time before which no task is started, after failures. */
  retryNotBefore = 0;
  failureCount = 0;
  readonly failedMachines = new Set<string>();
  readonly queuedAt: number;
  migrationCount = 0;
  /** Monotonic time of the last request to the peers about it. */
  peersAskedAt = -Infinity;
  /** Monotonic time at which lower-ranked tasks were preempted for it on a machine with its image; null if none were. */
  preemptingSince: number | null = null;
  /** Monotonic time since which some of its tasks could not be placed; null once all are placed. */
  blockedSince: number | null = null;
  readonly id: string;
  /** The rank of its job, or a higher one inherited from a job that depends on it. */
  rank: number;
  /** The task at which the search for a pending task continues. */
  private nextCandidateTask: number;

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
    this.nextCandidateTask = firstTask;
    this.queuedAt = now;
    this.id = `${spec.id}/${index}`;
    this.rank = rankOrder[spec.rank];
  }

  /** A chunk from its stored record, without its attempts. */
  static load(index: number, stored: ChunkRecord, now: number): Chunk {
    const { spec, homeShard, submittedAt, firstTask, endTask, zone } = stored;
    const chunk = new Chunk(spec, index, homeShard, submittedAt, firstTask, endTask, zone, now);
    chunk.nextAttemptNumber = stored.nextAttemptNumber;
    chunk.migrationCount = stored.migrationCount;
    chunk.isJobStored = true;
    chunk.storedVersion = chunk.version;
    for (const task of fromRanges(stored.doneTasks)) chunk.doneTasks.add(task);
    return chunk;
  }

  /** Number of its tasks. */
  get size(): number {
    return this.endTask - this.firstTask;
  }
  /** Number of tasks that have no attempt and are not done; 0 once a cancellation is requested. */
  get pendingCount(): number {
    return this.isCancelRequested ? 0 : this.size - this.doneTasks.size - this.attempts.size;
  }
  /** Whether all of its tasks are done. */
  get isComplete(): boolean {
    return this.doneTasks.size === this.size;
  }
  /** Whether its tasks have failed so often that no machine is launched for them. */
  get hasFailedTooOften(): boolean {
    return this.failureCount > MAX_FAILURES_FOR_DEMAND;
  }
  /** Whether its user has requested a cancellation, so that the results of its tasks are no longer needed. */
  get isCancelRequested(): boolean {
    return this.isCancelled || this.cancellationPreparedAt !== null;
  }
  /** Number of attempts that their worker reports as running. */
  get runningCount(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) if (attempt.state === 'running') count++;
    return count;
  }

  /** Whether it may migrate: its record is up to date, no write is in flight, and it has no attempts. */
  get isMigratable(): boolean {
    const { bucket } = this;
    const isSettled =
      bucket !== null && !bucket.isWriteInFlight && bucket.revision > 0 && this.storedVersion > 0;
    const isHeld = this.mayHaveMigrated || this.retiredFrom !== null || this.isMigrationRejected;
    const isWanted = this.isJobStored && !this.isCancelRequested;
    return isSettled && isWanted && !isHeld && this.attempts.size === 0;
  }

  /** Name of a task on the wire: the job's id and the task's number. */
  taskName(task: number): string {
    return `${this.spec.id}/${task}`;
  }

  /** Whether the state service has stored the attempt, so that its start may be sent. */
  isDurable(attempt: Attempt): boolean {
    return this.storedVersion >= attempt.chunkVersion;
  }

  /** Marks the chunk as changed since it was stored last. */
  markChanged(now: number): void {
    this.version++;
    this.dirtySince ??= now;
  }

  /** The next task that has no attempt and is not done; null if there is none. */
  nextPending(): number | null {
    for (let i = 0; i < this.size; i++) {
      const task = this.nextCandidateTask;
      this.nextCandidateTask =
        this.nextCandidateTask + 1 >= this.endTask ? this.firstTask : this.nextCandidateTask + 1;
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

/** Queue order: by rank, then by submission time. */
export const compareByQueueOrder = (a: Chunk, b: Chunk): number =>
  b.rank - a.rank || a.submittedAt - b.submittedAt || (a.id < b.id ? -1 : 1);

/** Whether `a` comes before `b` in queue order. */
export const isAhead = (a: Chunk, b: Chunk): boolean => compareByQueueOrder(a, b) < 0;
