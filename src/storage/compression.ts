/**
 * Compression of records. The library is loaded only if the feature table may need it (docs/rollout.md), so other modules
 * load this one only with a dynamic `import()`.
 */
import { deflateSync, inflateSync, strFromU8, strToU8 } from 'fflate';
import { crc32 } from 'node:zlib';
import { MAX_REQUEST_BYTES } from '../protocol/stateProtocol.js';
import { CorruptRecordError, type CompressedValue, type RecordCodec } from './recordCodec.js';

/** Compression level. Records are a few kilobytes long: a higher level takes longer and saves nothing. */
const COMPRESSION_LEVEL = 6;

/** Maximum length of a record's text. No longer text was ever stored: requests to the state service have this limit. */
const MAX_TEXT_BYTES = MAX_REQUEST_BYTES;

function compress(text: string): CompressedValue | null {
  const bytes = strToU8(text);
  if (bytes.length > MAX_TEXT_BYTES) return null;
  const compressed = deflateSync(bytes, { level: COMPRESSION_LEVEL });
  return {
    v: 3,
    bytes: bytes.length,
    sum: crc32(bytes),
    data: Buffer.from(compressed).toString('base64'),
  };
}

function expand(key: string, { bytes, sum, data }: CompressedValue): string {
  if (!Number.isInteger(bytes) || bytes < 0 || bytes > MAX_TEXT_BYTES) {
    throw new CorruptRecordError(key, `it claims to expand to ${String(bytes)} bytes`);
  }
  // The output buffer has a fixed size, so that a record cannot expand without limit. Excess output is dropped, and the
  // checksum then fails.
  const output = new Uint8Array(bytes);
  let expanded: Uint8Array;
  try {
    expanded = inflateSync(Buffer.from(data, 'base64'), { out: output });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CorruptRecordError(key, `it cannot be expanded: ${reason}`);
  }
  if (expanded.length !== bytes || crc32(expanded) !== sum) {
    throw new CorruptRecordError(key, 'its checksum does not match');
  }
  return strFromU8(expanded);
}

/** Compresses with deflate, and verifies the expanded text with a CRC-32. */
export const deflateCodec: RecordCodec = { compress, expand };
