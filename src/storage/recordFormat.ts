/**
 * How records are laid out in the state service. Format 1 is that of version 0.2, whose nodes read it by its field
 * names and pass over fields they don't know. Format 2 leaves out what has its usual value and gathers tasks by machine,
 * so that a chunk of the usual size fits in a record of 2 KiB. Both are read at all times; format 2 is written once
 * every node can read it (safety, V2). Beyond the limit of a value records are stored in fragments, or compressed where
 * the cluster's version allows that (safety, R5).
 */
import type { MachineType } from '../protocol/cloudProtocol.js';
import type { JobSpec } from '../protocol/job.js';
import { toStoredSpec } from '../protocol/storedJobSpec.js';
import {
  compactBucket,
  compactJob,
  compactSpec,
  decodeBucket,
  decodeJob,
} from './compactRecords.js';
import {
  jsonBytes,
  splitIntoFragments,
  isMarkedIncompressible,
  FRAGMENT_OVERHEAD_BYTES,
  fragmentCount,
  type KeyedValue,
} from './fragments.js';
import {
  fromStoredGroup,
  fromStoredMachineType,
  fromStoredNode,
  fromStoredLeader,
  fromStoredTokens,
  toPlainBucket,
  toPlainJob,
  toStoredGroup,
  toStoredMachineType,
  toStoredNode,
  toStoredLeader,
  toStoredTokens,
} from './plainRecords.js';
import {
  CorruptRecordError,
  isCompressed,
  type CompressedValue,
  type RecordCodec,
} from './recordCodec.js';
import {
  BARRIER_KEY,
  BUCKET_PREFIX,
  MACHINE_GROUP_PREFIX,
  JOB_PREFIX,
  kindOfRecord,
  type BucketRecord,
  type MachineGroupRecord,
  type JobRecord,
  type NodeCapabilityRecord,
  type LeaderRecord,
  type FencingTokenRecord,
} from './records.js';
import type {
  StoredGroupRecord,
  StoredMachineType,
  StoredNodeRecord,
  StoredLeaderRecord,
  StoredTokenRecord,
} from './storedRecords.js';

/** The record format that this version can write; a node's capability record in the store names it. */
export const RECORD_FORMAT_VERSION = 2;

/** What a chunk's record takes at the most, beside its description. */
export interface RecordSizes {
  /** Everything but the description and the tasks. */
  overheadBytes: number;
  /** One task, as an entry or between two gaps of what is done. */
  taskBytes: number;
}

const SIZES: Record<1 | 2, RecordSizes> = {
  1: { overheadBytes: 260, taskBytes: 66 },
  2: { overheadBytes: 190, taskBytes: 30 },
};

/** Of a record, what one chunk may grow to. */
const CHUNK_SHARE = 0.9;

/** How a record of more than one value's size is stored; `plain` is any other. */
export type StoredForm = 'plain' | 'pieces' | 'compressed';

/** Only records whose every change is made under a leader key are compressed, so that it can be taken back. */
const isCompressible = (key: string): boolean =>
  key.startsWith(JOB_PREFIX) ||
  key.startsWith(BUCKET_PREFIX) ||
  key.startsWith(MACHINE_GROUP_PREFIX);

/** The form of a record by its head and its value, joined but not expanded. */
export function formOf(key: string, head: unknown, joined: unknown): StoredForm {
  if (isCompressed(joined)) return 'compressed';
  const isInPieces = fragmentCount(head) > 0 && !isMarkedIncompressible(head);
  return isInPieces && isCompressible(key) ? 'pieces' : 'plain';
}

/** A value as it is put. */
export interface EncodedValue {
  puts: [KeyedValue, ...KeyedValue[]];
  form: StoredForm;
}

/** How records are encoded for the state service, and decoded. */
export class RecordFormat {
  private version: 1 | 2 = 1;
  /** Sizes of descriptions: each pass asks for them again. */
  private descriptions = new WeakMap<JobSpec, number>();

  constructor(
    /** What the state service takes, now and later. */
    private readonly limits: { valueBytes: number; txnOps: number },
    /** Null: this node neither writes nor reads compressed records. */
    private readonly codec: RecordCodec | null = null,
    /** Whether the cluster's version allows that they are written. */
    private readonly mayCompress: () => boolean = () => false,
  ) {}

  /** Whether format 2 is written. */
  get isCompact(): boolean {
    return this.version === 2;
  }

  /** Every node reads format 2. */
  useCompact(): void {
    this.version = 2;
    this.descriptions = new WeakMap();
  }

  /** What a chunk's record takes in the format that is written. */
  get sizes(): RecordSizes {
    return SIZES[this.version];
  }

  /** Tasks of a chunk that one record holds at the most, with room for the description. */
  maxTasksPerChunk(spec: JobSpec): number {
    const { overheadBytes: frame, taskBytes: task } = this.sizes;
    const room = this.limits.valueBytes * CHUNK_SHARE - this.specBytes(spec) - frame;
    return Math.max(1, Math.floor(room / task));
  }

  /** The most that one value may take. */
  get valueBytes(): number {
    return this.limits.valueBytes;
  }

  /** The most that may be stored under one key by a transaction that changes so much else. */
  maxRecordBytes(otherOperations: number): number {
    const pieces = this.isCompact ? Math.max(1, this.limits.txnOps - otherOperations) : 1;
    return pieces * (this.limits.valueBytes - FRAGMENT_OVERHEAD_BYTES);
  }

  /** Bytes of a job's description as it is stored. */
  specBytes(spec: JobSpec): number {
    const known = this.descriptions.get(spec);
    if (known !== undefined) return known;
    const { dependencies: waitsOn } = spec;
    const stored = this.isCompact ? compactSpec(spec) : { ...toStoredSpec(spec), waitsOn };
    const bytes = jsonBytes(stored);
    this.descriptions.set(spec, bytes);
    return bytes;
  }

  /** Bytes of a record as it is stored, before fragments or compression. */
  encodedBytes(key: string, value: unknown): number {
    return jsonBytes(this.encode(key, value));
  }

  /** Puts that a value takes: more than one where it is stored in fragments. */
  operations(key: string, value: unknown): number {
    return this.encodePuts(key, value).length;
  }

  /** A record as it is stored, under the field names of `storedRecords.ts`. */
  encode(key: string, value: unknown): unknown {
    if (key === BARRIER_KEY) return value;
    switch (kindOfRecord(key)) {
      case 'job':
        return this.isCompact ? compactJob(value as JobRecord) : toPlainJob(value as JobRecord);
      case 'bucket':
        return this.isCompact
          ? compactBucket(value as BucketRecord)
          : toPlainBucket(value as BucketRecord);
      case 'group':
        return toStoredGroup(value as MachineGroupRecord);
      case 'owner':
        return toStoredLeader(value as LeaderRecord);
      case 'node':
        return toStoredNode(value as NodeCapabilityRecord);
      case 'tokens':
        return toStoredTokens(value as FencingTokenRecord);
      case 'types':
        return (value as MachineType[]).map(toStoredMachineType);
      case 'other':
        return value;
    }
  }

  /** What is put for a value; the first is under its own key. */
  encodePuts(key: string, value: unknown): [KeyedValue, ...KeyedValue[]] {
    return this.encodeValue(key, value).puts;
  }

  /** What is put for a value, and in which form it is stored. */
  encodeValue(key: string, value: unknown): EncodedValue {
    const { valueBytes } = this.limits;
    const encoded = this.encode(key, value);
    if (!this.isCompact) return { puts: [{ key, value: encoded }], form: 'plain' };
    const bytes = jsonBytes(encoded);
    if (bytes <= valueBytes) return { puts: [{ key, value: encoded }], form: 'plain' };
    const isTried = this.codec !== null && this.mayCompress() && isCompressible(key);
    const smaller = isTried ? this.compress(key, value, encoded, bytes) : null;
    if (smaller === null) {
      const puts = splitIntoFragments(key, encoded, valueBytes, isTried);
      return { puts, form: formOf(key, puts[0].value, encoded) };
    }
    const isWhole = jsonBytes(smaller) <= valueBytes;
    const puts: EncodedValue['puts'] = isWhole
      ? [{ key, value: smaller }]
      : splitIntoFragments(key, smaller, valueBytes, false);
    return { puts, form: 'compressed' };
  }

  /** Null where it would be no smaller. */
  private compress(
    key: string,
    value: unknown,
    encoded: unknown,
    bytes: number,
  ): CompressedValue | null {
    const compressed = this.codec?.compress(JSON.stringify(encoded)) ?? null;
    if (compressed === null) return null;
    if (key.startsWith(JOB_PREFIX)) compressed.state = (value as JobRecord).state;
    return jsonBytes(compressed) < bytes ? compressed : null;
  }

  /** A stored value, its fragments joined, as the program knows it. */
  decode(key: string, stored: unknown): unknown {
    if (stored === null || stored === undefined || key === BARRIER_KEY) return stored;
    if (isCompressed(stored)) return this.decodeCompressed(key, stored);
    switch (kindOfRecord(key)) {
      case 'job':
        return decodeJob(key, stored);
      case 'bucket':
        return decodeBucket(stored);
      case 'group':
        return fromStoredGroup(stored as StoredGroupRecord);
      case 'owner':
        return fromStoredLeader(stored as StoredLeaderRecord);
      case 'node':
        return fromStoredNode(stored as StoredNodeRecord);
      case 'tokens':
        return fromStoredTokens(stored as StoredTokenRecord);
      case 'types':
        return (stored as StoredMachineType[]).map(fromStoredMachineType);
      case 'other':
        return stored;
    }
  }

  private decodeCompressed(key: string, stored: CompressedValue): unknown {
    if (this.codec === null) {
      throw new CorruptRecordError(key, 'it is compressed, which is switched off here');
    }
    let expanded: unknown;
    try {
      expanded = JSON.parse(this.codec.expand(key, stored));
    } catch (error) {
      if (error instanceof CorruptRecordError) throw error;
      throw new CorruptRecordError(key, 'what it holds is no JSON');
    }
    if (isCompressed(expanded)) throw new CorruptRecordError(key, 'it is compressed twice');
    return this.decode(key, expanded);
  }
}
