/** Some chunks of a shard that are stored in one record. */
import type { BucketRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { Chunk, ChunkBucket } from './chunk.js';

/** Bytes of the numbers around a gap in what is done. */
const GAP_BYTES = 8;

/** One stored record with several chunks of a shard, as its owner knows it. */
export class Bucket implements ChunkBucket {
  readonly chunks = new Set<Chunk>();
  /** A transaction that changes it is on its way, or waits for its turn. */
  isWriteInFlight = false;
  /** Its record still holds chunks that are over; nobody needs that stored in a hurry. */
  isDirty = false;
  /**
   * A transaction that creates its record has left under this leadership. Were the record removed, a late copy could be applied,
   * answered before or not, and bring back chunks that are at other shards by then (safety, T13). So the record stays, empty if
   * need be, for as long as the leadership that the transaction is conditional on.
   */
  mayBeRecreated = false;
  /**
   * Chunks that were here when the record turned out to be beyond the limit. It is not written again, and removed once
   * all of them are stored elsewhere.
   */
  private readonly retired = new Map<Chunk, number>();
  /** It was looked at whether its record may grow beyond the limit. */
  isSizeChecked = false;

  constructor(
    readonly name: string,
    /** The record's revision; 0 while there is none. */
    public revision: number,
    private readonly recordFormat: RecordFormat,
  ) {}

  /** Puts a chunk into the bucket. */
  add(chunk: Chunk): void {
    this.chunks.add(chunk);
    chunk.bucket = this;
  }

  /** Takes a chunk out of the bucket. */
  remove(chunk: Chunk): void {
    if (!this.chunks.delete(chunk)) return;
    chunk.bucket = null;
    this.isDirty = true;
  }

  /** What its record may grow to while all tasks of all its chunks run. */
  get maxStoredBytes(): number {
    let bytes = 0;
    for (const chunk of this.chunks) bytes += maxStoredBytes(chunk, this.recordFormat);
    return bytes;
  }

  /** About what its record takes now. */
  get estimatedBytes(): number {
    const { overheadBytes: frame, taskBytes: task } = this.recordFormat.sizes;
    let bytes = 0;
    for (const { spec, attempts: entries, doneTasks: done } of this.chunks) {
      bytes +=
        this.recordFormat.specBytes(spec) + frame + task * entries.size + GAP_BYTES * done.size;
    }
    return bytes;
  }

  /** Chunks of it are not stored elsewhere yet, so that its record has to stay. */
  get hasUnstoredRetiredChunks(): boolean {
    for (const [chunk, version] of this.retired) {
      if (!chunk.isDropped && chunk.storedVersion < version) return true;
    }
    return false;
  }

  /** Takes a chunk off it, to be stored in another bucket; the version from which on it is. */
  retire(chunk: Chunk): void {
    this.remove(chunk);
    this.retired.set(chunk, chunk.version);
    chunk.retiredFrom = this;
  }

  /** Its record is gone, and with it the copies of chunks that are in others. */
  clearRetiredChunks(): void {
    for (const chunk of this.retired.keys()) chunk.retiredFrom = null;
    this.retired.clear();
  }

  /** The record to store. */
  toRecord(): BucketRecord {
    return { chunks: Object.fromEntries([...this.chunks].map((c) => [c.id, c.toRecord()])) };
  }
}

/** The bucket that a chunk is in, or null. */
export const bucketOf = (chunk: Chunk): Bucket | null =>
  chunk.bucket instanceof Bucket ? chunk.bucket : null;

/** What a chunk may take of a record while all of its tasks run. */
export function maxStoredBytes(chunk: Chunk, recordFormat: RecordFormat): number {
  const { overheadBytes: frame, taskBytes: task } = recordFormat.sizes;
  return recordFormat.specBytes(chunk.spec) + frame + task * chunk.size;
}
