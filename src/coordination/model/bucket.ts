/** Buckets: several chunks of a shard that are stored in one record. */
import type { BucketRecord } from '../../storage/records.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { Chunk, ChunkBucket } from './chunk.js';

/** Bytes of the task numbers at the bounds of one range of done tasks. */
const RANGE_BYTES = 8;

/** The lowest version of a chunk that is stored. */
const FIRST_VERSION = 1;

/** One stored record with several chunks of a shard, as the shard's leader knows it. */
export class Bucket implements ChunkBucket {
  readonly chunks = new Set<Chunk>();
  /** A transaction that changes the record is in flight, or queued. */
  isWriteInFlight = false;
  /** The record still holds chunks that have been removed here; writing that change is not urgent. */
  isDirty = false;
  /**
   * A transaction that creates the record has been sent under this leadership. If the record were removed, a late copy of that
   * transaction, whether it was answered before or not, could be applied and restore chunks that are at other shards by then
   * (safety, T13). The record is therefore kept, empty if necessary, as long as the leadership that is the transaction's
   * condition.
   */
  mayBeRecreated = false;
  /**
   * Chunks that were in the bucket when its record turned out to exceed the size limit, each with the chunk version from which
   * on it is stored in another bucket. The record is not written again, and removed once all of them are stored elsewhere.
   */
  private readonly retired = new Map<Chunk, number>();
  /** It is written by a transaction of its own, since one with other buckets was rejected as malformed. */
  isWrittenAlone = false;
  /** Monotonic time before which it is not written again, after its write was rejected as malformed. */
  notWrittenBefore = -Infinity;
  /** Whether it has been checked if the record may grow beyond the size limit. */
  isSizeChecked = false;

  constructor(
    readonly name: string,
    /** The record's revision; 0 while there is no record. */
    public revision: number,
    private readonly recordFormat: RecordFormat,
  ) {}

  /** Adds a chunk, and sets it as the chunk's bucket. */
  add(chunk: Chunk): void {
    this.chunks.add(chunk);
    chunk.bucket = this;
  }

  /** Removes a chunk, and marks the record as dirty. */
  remove(chunk: Chunk): void {
    if (!this.chunks.delete(chunk)) return;
    chunk.bucket = null;
    this.isDirty = true;
  }

  /** Maximum size of the record in bytes, which it has when all tasks of all its chunks have attempts. */
  get maxStoredBytes(): number {
    let bytes = 0;
    for (const chunk of this.chunks) bytes += maxStoredBytes(chunk, this.recordFormat);
    return bytes;
  }

  /** Approximate size of the record now, in bytes. */
  get estimatedBytes(): number {
    const { overheadBytes: frame, taskBytes: task } = this.recordFormat.sizes;
    let bytes = 0;
    for (const { spec, attempts, doneTasks } of this.chunks) {
      bytes +=
        this.recordFormat.specBytes(spec) +
        frame +
        task * attempts.size +
        RANGE_BYTES * doneTasks.size;
    }
    return bytes;
  }

  /** Whether some retired chunks are not stored elsewhere yet, so that the record must be kept. */
  get hasUnstoredRetiredChunks(): boolean {
    for (const [chunk, version] of this.retired) {
      if (!chunk.isDropped && chunk.storedVersion < version) return true;
    }
    return false;
  }

  /**
   * Whether the record should be written although none of its chunks has changed: it is empty, or it holds copies of chunks
   * that are stored elsewhere by now and that can't migrate before the copies are gone.
   */
  get mustBeTidied(): boolean {
    return (this.chunks.size === 0 || this.retired.size > 0) && !this.hasUnstoredRetiredChunks;
  }

  /** Notes that the record holds an outdated copy of a chunk whose current record is in another bucket (safety, V5). */
  noteOutdatedCopy(chunk: Chunk): void {
    this.retired.set(chunk, Math.max(FIRST_VERSION, chunk.storedVersion));
    chunk.retiredFrom = this;
    this.isDirty = true;
  }

  /**
   * Removes a chunk that is to be stored in another bucket; the record keeps its copy until the current version of the chunk is
   * stored there.
   */
  retire(chunk: Chunk): void {
    this.remove(chunk);
    this.retired.set(chunk, chunk.version);
    chunk.retiredFrom = this;
  }

  /** Clears the retired chunks after the record has been removed, or written without its copies of them. */
  clearRetiredChunks(): void {
    for (const chunk of this.retired.keys()) {
      if (chunk.retiredFrom === this) chunk.retiredFrom = null;
    }
    this.retired.clear();
  }

  /** The record to store. */
  toRecord(): BucketRecord {
    return {
      chunks: Object.fromEntries([...this.chunks].map((chunk) => [chunk.id, chunk.toRecord()])),
    };
  }
}

/** The bucket of a chunk; null if it has none. */
export const bucketOf = (chunk: Chunk): Bucket | null =>
  chunk.bucket instanceof Bucket ? chunk.bucket : null;

/** Maximum bytes of a chunk in a record, which it takes when all of its tasks have attempts. */
export function maxStoredBytes(chunk: Chunk, recordFormat: RecordFormat): number {
  const { overheadBytes: frame, taskBytes: task } = recordFormat.sizes;
  return recordFormat.specBytes(chunk.spec) + frame + task * chunk.size;
}
