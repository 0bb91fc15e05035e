/** Interface of the compression of records, independent of the library that implements it. */

/** A record that is stored compressed. */
export interface CompressedValue {
  v: 3;
  /** Length of the uncompressed text in bytes. */
  bytes: number;
  /** CRC-32 of the uncompressed text. */
  sum: number;
  /** The compressed text, in base64. */
  data: string;
  /**
   * State of a job, for job records only. A build that cannot expand the record would take one without a state for a
   * finished job and report that to users.
   */
  state?: string;
}

/** Compresses and expands the text of a record. */
export interface RecordCodec {
  /** Compresses a text. Returns null if it is too large to be stored at all. */
  compress(text: string): CompressedValue | null;
  /** Expands a compressed record. Throws `CorruptRecordError` for a value that `compress` did not produce. */
  expand(key: string, value: CompressedValue): string;
}

/** A stored record cannot be read. Such a record is never treated as an empty one. */
export class CorruptRecordError extends Error {
  constructor(
    readonly key: string,
    readonly reason: string,
  ) {
    super(`the record ${key} cannot be read: ${reason}`);
  }
}

/** Whether a stored value is a compressed record. */
export const isCompressed = (value: unknown): value is CompressedValue => {
  const { v, data } = (value ?? {}) as Partial<CompressedValue>;
  return v === 3 && typeof data === 'string';
};
