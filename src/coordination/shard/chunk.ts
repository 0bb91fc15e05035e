import { rankOrder, type JobSpec } from '../../protocol/job.js';
import type { TaskState } from '../../protocol/workerProtocol.js';
import type { Bucket } from '../persistence/bucket.js';
import { fromRanges, toRanges, type ChunkRecord } from '../../storage/records.js';
import type { UnacknowledgedStart } from '../reconciliation/unacknowledgedStart.js';

/** One attempt of one task that is, or may be, on a machine. */
export interface Attempt {
  task: number;
  attempt: number;
  machine: string;
  session: number;
  /** The chunk's version that first held it; once that is stored, the start may be sent. */
  version: number;
  seen: boolean;
  /**
   * It was loaded from a record: whether its start was ever sent is not known, and the last owner may have known it
   * to be over and given its room away. It is never started here; what is not on its machine is placed anew.
   */
  isAdopted: boolean;
  state: TaskState;
  placedAt: number;
  runningSince: number | null;
  /** Whether a start sent straight to the worker may still be carried out. */
  readonly doubt: UnacknowledgedStart;
  /** A start rides in the answer to a report; the worker's next report settles it. */
  sentInAnswer: boolean;
  stop: { wind: number; sentAt: number | null } | null;
}

export class Chunk {
  readonly done: Set<number>;
  readonly entries = new Map<number, Attempt>();
  next: number;
  /** Rises with each change; `stored` is the version that the state service has. */
  version = 1;
  stored = 0;
  /** Its job is stored: it may be stored too, and started after that. */
  accepted = false;
  /** Where it is stored, or is about to be. */
  bucket: Bucket | null = null;
  /** A move to another part got no answer: until its bucket is written again it may have gone. */
  leaving = false;
  /** A record beyond the limit that it was in before, which still has a copy of it. */
  retiredFrom: Bucket | null = null;
  /** It has been released and its peers are to be asked for it, as at a submission. */
  isNewlyReleased = false;
  dirtySince: number | null = null;
  cancelled = false;
  /** Steady time at which its job's cancellation was announced; null: nobody wants it cancelled. */
  cancelPreparedAt: number | null = null;
  /** A transaction that hands it to another part is on its way. */
  moving = false;
  /** Set once its record is gone from this part. */
  dropped = false;
  /** Nothing is started before this time, after failures. */
  notBefore = 0;
  failures = 0;
  readonly failedOn = new Set<string>();
  readonly queuedAt: number;
  moves = 0;
  /** Steady time of the last question to the peers. */
  askedAt = -Infinity;
  /** Since when lower-ranked work has been making room for it where its image is. */
  clearingSince: number | null = null;
  /** Since when there was room nowhere; null when all is placed. */
  blockedSince: number | null = null;
  readonly id: string;
  /** Its own rank, or a higher one of a job that needs its job. */
  rank: number;
  private cursor: number;

  constructor(
    readonly spec: JobSpec,
    readonly index: number,
    readonly home: string,
    readonly at: number,
    readonly from: number,
    readonly to: number,
    readonly zone: string | null,
    now: number,
  ) {
    this.done = new Set();
    this.next = 1;
    this.cursor = from;
    this.queuedAt = now;
    this.id = `${spec.id}/${index}`;
    this.rank = rankOrder[spec.rank];
  }

  static load(index: number, record: ChunkRecord, now: number): Chunk {
    const { spec, home, at, from, to, zone } = record;
    const chunk = new Chunk(spec, index, home, at, from, to, zone, now);
    chunk.next = record.next;
    chunk.moves = record.moves;
    chunk.accepted = true;
    chunk.stored = chunk.version;
    for (const task of fromRanges(record.done)) chunk.done.add(task);
    return chunk;
  }

  get size(): number {
    return this.to - this.from;
  }
  get pending(): number {
    return this.unwanted ? 0 : this.size - this.done.size - this.entries.size;
  }
  get complete(): boolean {
    return this.done.size === this.size;
  }
  /** Its user has asked to cancel it: what its tasks do is of no use to anybody. */
  get unwanted(): boolean {
    return this.cancelled || this.cancelPreparedAt !== null;
  }
  get running(): number {
    let count = 0;
    for (const entry of this.entries.values()) if (entry.state === 'running') count++;
    return count;
  }

  /** Stored as it is here, with nothing of it on any machine or on its way. */
  get movable(): boolean {
    const { bucket } = this;
    const settled = bucket !== null && !bucket.busy && bucket.stamp > 0 && this.stored > 0;
    const isFree = !this.leaving && this.retiredFrom === null && !this.unwanted;
    return settled && this.accepted && isFree && this.entries.size === 0;
  }

  taskName(task: number): string {
    return `${this.spec.id}/${task}`;
  }

  isDurable(entry: Attempt): boolean {
    return this.stored >= entry.version;
  }

  touch(now: number): void {
    this.version++;
    this.dirtySince ??= now;
  }

  /** A task that neither runs nor is done. */
  nextPending(): number | null {
    for (let i = 0; i < this.size; i++) {
      const task = this.cursor;
      this.cursor = this.cursor + 1 >= this.to ? this.from : this.cursor + 1;
      if (!this.done.has(task) && !this.entries.has(task)) return task;
    }
    return null;
  }

  record(): ChunkRecord {
    return {
      spec: this.spec,
      home: this.home,
      at: this.at,
      from: this.from,
      to: this.to,
      zone: this.zone,
      next: this.next,
      done: toRanges([...this.done].sort((a, b) => a - b)),
      entries: [...this.entries.values()].map((e) => ({
        task: e.task,
        attempt: e.attempt,
        machine: e.machine,
        session: e.session,
      })),
      moves: this.moves,
    };
  }
}

/** The order of the queue: rank before arrival. */
export const compareByQueueOrder = (a: Chunk, b: Chunk): number =>
  b.rank - a.rank || a.at - b.at || (a.id < b.id ? -1 : 1);

/** Whether a chunk is looked at before another. */
export const isAhead = (a: Chunk, b: Chunk): boolean => compareByQueueOrder(a, b) < 0;
