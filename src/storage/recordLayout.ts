/**
 * How records are laid out in the state service. Layout 1 is that of version 0.2, whose nodes read it by its field
 * names and pass over fields they don't know. Layout 2 leaves out what has its usual value and gathers tasks by machine,
 * so that a chunk of the usual size fits in a record of 2 KiB. Both are read at all times; layout 2 is written once
 * every node can read it (safety, V2).
 */
import type { JobSpec } from '../protocol/job.js';
import {
  BUCKETS,
  fromRanges,
  JOBS,
  keys,
  PIECES,
  toRanges,
  type BucketRecord,
  type ChunkRecord,
  type EntryRecord,
  type JobRecord,
} from './records.js';

/** The layout that this version can write; a node's mark in the store names it. */
export const LAYOUT = 2;

/** What a chunk's record takes at the most, beside its description. */
export interface RecordSizes {
  /** Everything but the description and the tasks. */
  frame: number;
  /** One task, as an entry or between two gaps of what is done. */
  task: number;
}

const SIZES: Record<1 | 2, RecordSizes> = {
  1: { frame: 260, task: 66 },
  2: { frame: 190, task: 30 },
};

/** A value and the key that it is stored under. */
export interface KeyedValue {
  key: string;
  value: unknown;
}

type UsualSpec = Omit<
  JobSpec,
  'id' | 'jobClass' | 'team' | 'rank' | 'tasks' | 'cpus' | 'memory' | 'image' | 'imageGb'
>;

/** What a field of a description is where layout 2 leaves it out. */
const usualSpec = (): UsualSpec => ({
  service: false,
  gang: false,
  gpus: 0,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  expect: 0,
  checkpoint: 0,
  save: 0,
  due: null,
  waitsOn: [],
});

type CompactSpec = Omit<JobSpec, keyof UsualSpec> & Partial<UsualSpec>;

interface CompactJob {
  v: 2;
  spec?: CompactSpec;
  home: string;
  state?: JobRecord['state'];
  tasks: number;
  at: number;
  size: number;
  zones?: string[];
  cut: number;
  /** Chunk numbers as ranges. */
  finished?: number[];
  away?: number[];
}

/** A machine, its session, and a task and its attempt for each task on it. */
type CompactEntries = [string, number, ...number[]];

interface CompactChunk {
  spec: CompactSpec;
  home: string;
  at: number;
  from: number;
  to: number;
  zone?: string;
  next: number;
  done?: number[];
  on?: CompactEntries[];
  moves?: number;
}

interface CompactBucket {
  v: 2;
  chunks: Record<string, CompactChunk>;
}

/** The first piece of a record that is stored in several. */
interface PieceHead {
  v: 2;
  pieces: number;
  text: string;
}

interface Piece {
  text: string;
}

/** Of a record, what one chunk may grow to. */
const CHUNK_SHARE = 0.9;

/** Room in a piece for what stands around its text. */
const PIECE_FRAME_BYTES = 40;

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

/** How many pieces belong to a value besides its head. */
export const pieceCount = (value: unknown): number => {
  const { pieces, text } = (value ?? {}) as Partial<PieceHead>;
  return typeof pieces === 'number' && typeof text === 'string' ? pieces : 0;
};

/** The value of a head and its pieces. */
export function joinPieces(head: unknown, pieces: unknown[]): unknown {
  const texts = [head, ...pieces].map((piece) => (piece as Piece).text);
  return JSON.parse(texts.join('')) as unknown;
}

export const isPiece = (key: string): boolean => key.startsWith(PIECES);

export class RecordLayout {
  private version: 1 | 2 = 1;
  /** Sizes of descriptions: each pass asks for them again. */
  private descriptions = new WeakMap<JobSpec, number>();

  constructor(
    /** What the state service takes, now and later. */
    private readonly limits: { valueBytes: number; txnOps: number },
  ) {}

  get isCompact(): boolean {
    return this.version === 2;
  }

  /** Every node reads layout 2. */
  useCompact(): void {
    this.version = 2;
    this.descriptions = new WeakMap();
  }

  get sizes(): RecordSizes {
    return SIZES[this.version];
  }

  /** Tasks of a chunk that one record holds at the most, with room for the description. */
  tasksFor(spec: JobSpec): number {
    const { frame, task } = this.sizes;
    const room = this.limits.valueBytes * CHUNK_SHARE - this.specBytes(spec) - frame;
    return Math.max(1, Math.floor(room / task));
  }

  /** The most that one value may take. */
  get valueBytes(): number {
    return this.limits.valueBytes;
  }

  /** The most that may be stored under one key by a transaction that changes so much else. */
  capacity(otherOperations: number): number {
    const pieces = this.isCompact ? Math.max(1, this.limits.txnOps - otherOperations) : 1;
    return pieces * (this.limits.valueBytes - PIECE_FRAME_BYTES);
  }

  specBytes(spec: JobSpec): number {
    const known = this.descriptions.get(spec);
    if (known !== undefined) return known;
    const bytes = bytesOf(this.isCompact ? compactSpec(spec) : spec);
    this.descriptions.set(spec, bytes);
    return bytes;
  }

  bytes(key: string, value: unknown): number {
    return bytesOf(this.encode(key, value));
  }

  /** Puts that a value takes: more than one where it is stored in pieces. */
  operations(key: string, value: unknown): number {
    return this.encodePuts(key, value).length;
  }

  encode(key: string, value: unknown): unknown {
    if (key.startsWith(JOBS)) {
      return this.isCompact ? compactJob(value as JobRecord) : plainJob(value as JobRecord);
    }
    if (key.startsWith(BUCKETS)) {
      const bucket = value as BucketRecord;
      return this.isCompact ? compactBucket(bucket) : plainBucket(bucket);
    }
    return value;
  }

  /** What is put for a value; the first is under its own key. */
  encodePuts(key: string, value: unknown): [KeyedValue, ...KeyedValue[]] {
    const encoded = this.encode(key, value);
    if (!this.isCompact || bytesOf(encoded) <= this.limits.valueBytes) {
      return [{ key, value: encoded }];
    }
    const [first = '', ...rest] = splitText(
      JSON.stringify(encoded),
      this.limits.valueBytes - PIECE_FRAME_BYTES,
    );
    const head: PieceHead = { v: 2, pieces: rest.length, text: first };
    const pieces = rest.map((text, i) => ({ key: keys.piece(key, i + 1), value: { text } }));
    return [{ key, value: head }, ...pieces];
  }

  /** A stored value, its pieces joined, as the program knows it. */
  decode(key: string, stored: unknown): unknown {
    if (stored === null || stored === undefined) return stored;
    if (key.startsWith(JOBS)) return decodeJob(stored);
    if (key.startsWith(BUCKETS)) return decodeBucket(stored);
    return stored;
  }
}

/** Cuts a text so that each piece, quoted as a JSON string, takes no more than so many bytes. */
function splitText(text: string, most: number): string[] {
  const pieces: string[] = [];
  let piece = '';
  let used = 0;
  for (const char of text) {
    const size = bytesOf(char) - 2;
    if (used + size > most) {
      pieces.push(piece);
      [piece, used] = ['', 0];
    }
    piece += char;
    used += size;
  }
  return [...pieces, piece];
}

// ---- Layout 1 ----

const plainSpec = ({ waitsOn, ...spec }: JobSpec): unknown =>
  waitsOn.length === 0 ? spec : { ...spec, waitsOn };

const plainJob = (record: JobRecord): unknown =>
  record.spec === null ? record : { ...record, spec: plainSpec(record.spec) };

const plainBucket = ({ chunks }: BucketRecord): unknown => ({
  chunks: mapValues(chunks, (chunk) => ({ ...chunk, spec: plainSpec(chunk.spec) })),
});

// ---- Layout 2 ----

function compactSpec(spec: JobSpec): CompactSpec {
  const usual: Record<string, unknown> = { ...usualSpec() };
  const told = Object.entries(spec).filter(([name, value]) => {
    if (!(name in usual)) return true;
    return Array.isArray(value) ? name !== 'waitsOn' || value.length > 0 : value !== usual[name];
  });
  return Object.fromEntries(told) as unknown as CompactSpec;
}

const decodeSpec = (stored: CompactSpec): JobSpec => ({ ...usualSpec(), ...stored });

function compactJob(record: JobRecord): CompactJob {
  const { spec, home, state, tasks, at, size, zones, cut, finished, away } = record;
  return {
    v: 2,
    ...(spec === null ? {} : { spec: compactSpec(spec) }),
    home,
    ...(state === 'open' ? {} : { state }),
    tasks,
    at,
    size,
    ...(zones.length === 0 ? {} : { zones }),
    cut,
    ...(finished.length === 0 ? {} : { finished: toRanges(sorted(finished)) }),
    ...(away.length === 0 ? {} : { away: toRanges(sorted(away)) }),
  };
}

function decodeJob(stored: unknown): JobRecord {
  if ((stored as Partial<CompactJob>).v !== 2) {
    const record = stored as JobRecord;
    return record.spec === null ? record : { ...record, spec: decodeSpec(record.spec) };
  }
  const { spec, home, state, tasks, at, size, zones, cut, finished, away } = stored as CompactJob;
  return {
    spec: spec === undefined ? null : decodeSpec(spec),
    home,
    state: state ?? 'open',
    tasks,
    at,
    size,
    zones: zones ?? [],
    cut,
    finished: [...fromRanges(finished ?? [])],
    away: [...fromRanges(away ?? [])],
  };
}

const compactBucket = ({ chunks }: BucketRecord): CompactBucket => ({
  v: 2,
  chunks: mapValues(chunks, compactChunk),
});

function compactChunk(record: ChunkRecord): CompactChunk {
  const { spec, home, at, from, to, zone, next, done, entries, moves } = record;
  return {
    // Only the job's own record tells what it waits for: what is stored of a chunk has been released.
    spec: compactSpec({ ...spec, waitsOn: [] }),
    home,
    at,
    from,
    to,
    ...(zone === null ? {} : { zone }),
    next,
    ...(done.length === 0 ? {} : { done }),
    ...(entries.length === 0 ? {} : { on: compactEntries(entries) }),
    ...(moves === 0 ? {} : { moves }),
  };
}

function compactEntries(entries: EntryRecord[]): CompactEntries[] {
  const groups = new Map<string, CompactEntries>();
  for (const { task, attempt, machine, session } of entries) {
    const group = groups.get(`${machine} ${session}`) ?? [machine, session];
    groups.set(`${machine} ${session}`, group);
    group.push(task, attempt);
  }
  return [...groups.values()];
}

function decodeEntries(groups: CompactEntries[]): EntryRecord[] {
  return groups.flatMap(([machine, session, ...numbers]) => {
    const entries: EntryRecord[] = [];
    for (let i = 0; i + 1 < numbers.length; i += 2) {
      const [task = 0, attempt = 0] = numbers.slice(i, i + 2);
      entries.push({ task, attempt, machine, session });
    }
    return entries;
  });
}

function decodeBucket(stored: unknown): BucketRecord {
  if ((stored as Partial<CompactBucket>).v !== 2) {
    const { chunks } = stored as BucketRecord;
    return { chunks: mapValues(chunks, (c) => ({ ...c, spec: decodeSpec(c.spec) })) };
  }
  return { chunks: mapValues((stored as CompactBucket).chunks, decodeChunk) };
}

const decodeChunk = (stored: CompactChunk): ChunkRecord => ({
  spec: decodeSpec(stored.spec),
  home: stored.home,
  at: stored.at,
  from: stored.from,
  to: stored.to,
  zone: stored.zone ?? null,
  next: stored.next,
  done: stored.done ?? [],
  entries: decodeEntries(stored.on ?? []),
  moves: stored.moves ?? 0,
});

const sorted = (numbers: number[]): number[] => [...numbers].sort((a, b) => a - b);

const mapValues = <From, To>(
  values: Record<string, From>,
  change: (value: From) => To,
): Record<string, To> =>
  Object.fromEntries(Object.entries(values).map(([name, value]) => [name, change(value)]));
