/** Records beyond the state service's limit are stored in fragments: a head under their own key, and the rest apart. */
import { keys, FRAGMENT_PREFIX } from './records.js';

/** The first piece of a record that is stored in several. */
interface FragmentHead {
  v: 2;
  pieces: number;
  text: string;
  /** It was tried to compress it, which made it no smaller. */
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

/** Room in a piece for what stands around its text. */
export const FRAGMENT_OVERHEAD_BYTES = 40;

/** And in a head that tells that its record is kept as it is. */
const KEPT_BYTES = ',"kept":true'.length;

/** Bytes that a value takes as JSON. */
export const jsonBytes = (value: unknown): number =>
  value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value));

/** How many fragments belong to a value besides its head. */
export const fragmentCount = (value: unknown): number => {
  const { pieces, text } = (value ?? {}) as Partial<FragmentHead>;
  return typeof pieces === 'number' && typeof text === 'string' ? pieces : 0;
};

/** Whether a head tells that its record cannot be made smaller. */
export const isMarkedIncompressible = (value: unknown): boolean =>
  fragmentCount(value) > 0 && (value as FragmentHead).kept === true;

/** The value of a head and its fragments; a record without fragments is its head. */
export function joinFragments(head: unknown, pieces: unknown[]): unknown {
  if (pieces.length === 0) return head;
  const texts = [head, ...pieces].map((piece) => (piece as Fragment).text);
  return JSON.parse(texts.join('')) as unknown;
}

/** Whether a key holds a fragment of another record. */
export const isFragmentKey = (key: string): boolean => key.startsWith(FRAGMENT_PREFIX);

/** What is put for a value that takes several fragments; the first is under its own key. */
export function splitIntoFragments(
  key: string,
  value: unknown,
  valueBytes: number,
  isKept: boolean,
): [KeyedValue, ...KeyedValue[]] {
  const room = valueBytes - FRAGMENT_OVERHEAD_BYTES - (isKept ? KEPT_BYTES : 0);
  const [first = '', ...rest] = splitText(JSON.stringify(value), room);
  const head: FragmentHead = { v: 2, pieces: rest.length, text: first };
  if (isKept) head.kept = true;
  const pieces = rest.map((text, i) => ({ key: keys.fragment(key, i + 1), value: { text } }));
  return [{ key, value: head }, ...pieces];
}

/** Cuts a text so that each piece, quoted as a JSON string, takes no more than so many bytes. */
function splitText(text: string, most: number): string[] {
  const pieces: string[] = [];
  let piece = '';
  let used = 0;
  for (const char of text) {
    const size = jsonBytes(char) - 2;
    if (used + size > most) {
      pieces.push(piece);
      [piece, used] = ['', 0];
    }
    piece += char;
    used += size;
  }
  return [...pieces, piece];
}
