import type { BucketRecord } from '../storage/records.js';
import type { Chunk } from './chunk.js';

/** Of a chunk's record, what its description and numbers take beside its entries. */
export const FRAME_BYTES = 260;
/** One task, as an entry or between two gaps of what is done. */
export const ENTRY_BYTES = 66;

/** Some chunks of a part that are stored in one record. */
export class Bucket {
  readonly chunks = new Set<Chunk>();
  /** A transaction that changes it is on its way, or waits for its turn. */
  busy = false;
  /** Its record still holds chunks that are over; nobody needs that stored in a hurry. */
  stale = false;
  /**
   * A transaction that creates its record got no answer. Were the record removed, that transaction could be
   * applied late and bring back chunks that are at other parts by then. So the record stays, empty if need
   * be, for as long as the ownership that the transaction is conditional on.
   */
  unsettled = false;

  constructor(
    readonly name: string,
    /** The record's stamp; 0 while there is none. */
    public stamp: number,
  ) {}

  add(chunk: Chunk): void {
    this.chunks.add(chunk);
    chunk.bucket = this;
  }

  remove(chunk: Chunk): void {
    if (!this.chunks.delete(chunk)) return;
    chunk.bucket = null;
    this.stale = true;
  }

  /** What its record may grow to while all tasks of all its chunks run. */
  get potential(): number {
    let bytes = 0;
    for (const chunk of this.chunks) bytes += potentialOf(chunk);
    return bytes;
  }

  /** About what its record takes now. */
  get bytes(): number {
    let bytes = 0;
    for (const chunk of this.chunks) {
      bytes +=
        chunk.specBytes + FRAME_BYTES + ENTRY_BYTES * chunk.entries.size + 8 * chunk.done.size;
    }
    return bytes;
  }

  record(): BucketRecord {
    return { chunks: Object.fromEntries([...this.chunks].map((c) => [c.id, c.record()])) };
  }
}

export const potentialOf = (chunk: Chunk): number =>
  chunk.specBytes + FRAME_BYTES + ENTRY_BYTES * chunk.size;
