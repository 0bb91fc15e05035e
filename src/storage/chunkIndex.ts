/**
 * Where each chunk is stored. Chunks stand on buckets, several in one record, since the state service
 * counts changes by records: a change of many chunks costs as much as a change of one.
 */
import type { ChunkRecord, BucketRecord } from './records.js';

/** Where a chunk is stored. */
export interface IndexedChunk {
  shard: string;
  bucket: string;
  record: ChunkRecord;
  /** The revision of the bucket's record. */
  revision: number;
}

/** The stored chunks by their ids, as far as the state cache has followed. */
export class ChunkIndex {
  private readonly chunks = new Map<string, IndexedChunk>();
  private readonly members = new Map<string, string[]>();

  /** The chunk's stored record, by its id. */
  find(chunk: string): IndexedChunk | undefined {
    return this.chunks.get(chunk);
  }

  /** All stored chunks by their ids. */
  entries(): IterableIterator<[string, IndexedChunk]> {
    return this.chunks.entries();
  }

  /** Follows one bucket's record; null: it has been removed. */
  update(shard: string, bucket: string, value: BucketRecord | null, revision: number): void {
    const key = `${shard}/${bucket}`;
    for (const id of this.members.get(key) ?? []) {
      const known = this.chunks.get(id);
      // It may stand on another bucket by now, at this shard or another.
      const here = known?.shard === shard && known.bucket === bucket;
      if (here && value?.chunks[id] === undefined) this.chunks.delete(id);
    }
    if (value === null) {
      this.members.delete(key);
      return;
    }
    this.members.set(key, Object.keys(value.chunks));
    for (const [id, record] of Object.entries(value.chunks)) {
      const known = this.chunks.get(id);
      // A record beyond the limit keeps old copies of chunks until it is removed (safety, V5).
      const isOlder = known?.shard === shard && known.revision > revision;
      if (!isOlder) this.chunks.set(id, { shard, bucket, record, revision });
    }
  }
}
