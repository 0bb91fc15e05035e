/**
 * Index of where each chunk is stored. A bucket stores several chunks in one record, because the state service limits
 * writes by records: a write of many chunks costs as much as a write of one.
 */
import type { ChunkRecord, BucketRecord } from './records.js';

/** A stored chunk, and the bucket that holds it. */
export interface IndexedChunk {
  shard: string;
  bucket: string;
  record: ChunkRecord;
  /** Revision of the bucket's record. */
  revision: number;
}

/** The stored chunks by id, as recent as the state cache. */
export class ChunkIndex {
  private readonly chunks = new Map<string, IndexedChunk>();
  private readonly idsByBucket = new Map<string, string[]>();

  /** Returns a stored chunk by its id. */
  find(chunk: string): IndexedChunk | undefined {
    return this.chunks.get(chunk);
  }

  /** Returns all stored chunks by id. */
  entries(): IterableIterator<[string, IndexedChunk]> {
    return this.chunks.entries();
  }

  /** Applies a changed bucket record; `value` is null if the record was removed. */
  update(shard: string, bucket: string, value: BucketRecord | null, revision: number): void {
    const key = `${shard}/${bucket}`;
    for (const id of this.idsByBucket.get(key) ?? []) {
      const indexed = this.chunks.get(id);
      // The chunk may be in another bucket by now, of this shard or another.
      const isInThisBucket = indexed?.shard === shard && indexed.bucket === bucket;
      if (isInThisBucket && value?.chunks[id] === undefined) this.chunks.delete(id);
    }
    if (value === null) {
      this.idsByBucket.delete(key);
      return;
    }
    this.idsByBucket.set(key, Object.keys(value.chunks));
    for (const [id, record] of Object.entries(value.chunks)) {
      const indexed = this.chunks.get(id);
      // A record beyond the size limit keeps outdated copies of chunks until it is removed (safety, V5).
      const isOutdated = indexed?.shard === shard && indexed.revision > revision;
      if (!isOutdated) this.chunks.set(id, { shard, bucket, record, revision });
    }
  }
}
