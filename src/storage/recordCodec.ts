/** How a record's text is compressed and expanded, without the library that does it. */

/** A record that is stored compressed. */
export interface CompressedValue {
  v: 3;
  /** Bytes of its text. */
  bytes: number;
  /** CRC-32 of its text. */
  sum: number;
  /** The compressed text, in base64. */
  data: string;
  /**
   * Of a job, its state: a build that cannot expand the record takes one without a state for a job that is over, and
   * would tell users so.
   */
  state?: string;
}

/** Compresses and expands the text of a record. */
export interface RecordCodec {
  /** Null: it is too large to be stored at all. */
  compress(text: string): CompressedValue | null;
  /** Throws `CorruptRecordError` for what was not made by `compress`. */
  expand(key: string, value: CompressedValue): string;
}

/** A stored record that cannot be read; it is never taken for an empty one. */
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
