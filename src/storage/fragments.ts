/**
 * Splitting of records beyond the state service's size limit into fragments: a head under the record's own key, and the
 * rest under keys of their own.
 */
import { keys, FRAGMENT_PREFIX } from './records.js';

/** The first fragment of a record that is stored in several. */
interface FragmentHead {
  v: 2;
  pieces: number;
  text: string;
  /** Set if compression was tried and did not make the record smaller. */
  kept?: true;
}

interface Fragment {
  text: string;
}

/** A value and the key that it is stored under. */
export interface KeyedValue {
  key: string;
  value: unknown;
}

/** Bytes reserved in a fragment for the JSON around its text. */
export const FRAGMENT_OVERHEAD_BYTES = 40;

/** Further bytes reserved in a head that marks its record as incompressible. */
const KEPT_MARK_BYTES = ',"kept":true'.length;

/** Returns the length of a value as JSON, in bytes. */
export const jsonBytes = (value: unknown): number =>
  value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));

/** Returns the number of fragments that belong to a stored value besides its head. */
export const fragmentCount = (value: unknown): number => {
  const { pieces, text } = (value ?? {}) as Partial<FragmentHead>;
  return typeof pieces === 'number' && typeof text === 'string' ? pieces : 0;
};

/** Whether a head marks its record as incompressible. */
export const isMarkedIncompressible = (value: unknown): boolean =>
  fragmentCount(value) > 0 && (value as FragmentHead).kept === true;

/** Joins a head and its fragments to the stored value; a head without fragments is the value itself. */
export function joinFragments(head: unknown, pieces: unknown[]): unknown {
  if (pieces.length === 0) return head;
  const texts = [head, ...pieces].map((piece) => (piece as Fragment).text);
  return JSON.parse(texts.join('')) as unknown;
}

/** Whether a key holds a fragment of another record. */
export const isFragmentKey = (key: string): boolean => key.startsWith(FRAGMENT_PREFIX);

/** Returns the puts for a value that takes several fragments; the first is under the record's own key. */
export function splitIntoFragments(
  key: string,
  value: unknown,
  valueBytes: number,
  isIncompressible: boolean,
): [KeyedValue, ...KeyedValue[]] {
  const maxTextBytes =
    valueBytes - FRAGMENT_OVERHEAD_BYTES - (isIncompressible ? KEPT_MARK_BYTES : 0);
  const [firstText = '', ...otherTexts] = splitText(JSON.stringify(value), maxTextBytes);
  const head: FragmentHead = { v: 2, pieces: otherTexts.length, text: firstText };
  if (isIncompressible) head.kept = true;
  const pieces = otherTexts.map((text, i) => ({ key: keys.fragment(key, i + 1), value: { text } }));
  return [{ key, value: head }, ...pieces];
}

/** Splits a text so that each piece, encoded as a JSON string, takes at most `maxBytes` without its quotes. */
function splitText(text: string, maxBytes: number): string[] {
  const pieces: string[] = [];
  let piece = '';
  let usedBytes = 0;
  for (const char of text) {
    const charBytes = jsonBytes(char) - 2;
    if (usedBytes + charBytes > maxBytes) {
      pieces.push(piece);
      [piece, usedBytes] = ['', 0];
    }
    piece += char;
    usedBytes += charBytes;
  }
  return [...pieces, piece];
}
