/**
 * Encoding of records in the state service. Format 1 is that of version 0.2, whose nodes read it by field name and ignore
 * unknown fields. Format 2 omits fields with their default value and groups attempts by machine, so that a chunk of
 * typical size fits in a record of 2 KiB. Both formats can always be read; format 2 is written once every node can read
 * it (safety, V2). Records beyond the size limit of a value are stored in fragments, or compressed if the cluster's
 * version allows that (safety, R5).
 */
import type { MachineType } from '../protocol/cloudProtocol.js';
import type { JobSpec } from '../protocol/job.js';
import { MAX_TRANSACTION_CHANGE_BYTES } from '../protocol/stateProtocol.js';
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

/** The newest record format that this build can read and write; a node's capability record names it. */
export const RECORD_FORMAT_VERSION = 2;

/** Maximum bytes of a chunk's record, besides the job description. */
export interface RecordSizes {
  /** Everything except the description and the tasks. */
  overheadBytes: number;
  /** One task, either as an attempt or as a range of done tasks. */
  taskBytes: number;
}

const SIZES: Record<1 | 2, RecordSizes> = {
  1: { overheadBytes: 260, taskBytes: 66 },
  2: { overheadBytes: 190, taskBytes: 30 },
};

/** Bytes of attempts in a record that is stored in fragments, where quotes are escaped, as a ratio to those in one value. */
export const FRAGMENT_ESCAPE_RATIO = 1.2;

/** Bytes of a put in a transaction besides its key and its value. */
const PUT_OVERHEAD_BYTES = '{"Put":"","Value":},'.length;

/** Share of a record's size limit that one chunk may grow to. */
const CHUNK_FILL_RATIO = 0.9;

/** How a record beyond the size limit of a value is stored; `plain` is any other record. */
export type StoredForm = 'plain' | 'pieces' | 'compressed';

/** Only records whose every write is conditional on a leader record are compressed, so that it can be reverted. */
const isCompressible = (key: string): boolean =>
  key.startsWith(JOB_PREFIX) ||
  key.startsWith(BUCKET_PREFIX) ||
  key.startsWith(MACHINE_GROUP_PREFIX);

/** Returns the form of a record, given its head and its joined but not expanded value. */
export function formOf(key: string, head: unknown, joined: unknown): StoredForm {
  if (isCompressed(joined)) return 'compressed';
  const isFragmented = fragmentCount(head) > 0 && !isMarkedIncompressible(head);
  return isFragmented && isCompressible(key) ? 'pieces' : 'plain';
}

/** The puts that store a value, and the form in which it is stored. */
export interface EncodedValue {
  puts: [KeyedValue, ...KeyedValue[]];
  form: StoredForm;
}

/** Encodes records for the state service, and decodes them. */
export class RecordFormat {
  private version: 1 | 2 = 1;
  /** Cached sizes of job descriptions, which each write pass needs again. */
  private specSizes = new WeakMap<JobSpec, number>();

  constructor(
    /** Limits of the state service: the smaller of those in force and those to come. */
    private readonly limits: { valueBytes: number; txnOps: number },
    /** Null if this node neither writes nor reads compressed records. */
    private readonly codec: RecordCodec | null = null,
    /** Whether the cluster's version allows compressed records to be written. */
    private readonly isCompressionAllowed: () => boolean = () => false,
  ) {}

  /** Whether format 2 is written. */
  get isCompact(): boolean {
    return this.version === 2;
  }

  /** Switches to writing format 2, once every node can read it. */
  useCompact(): void {
    this.version = 2;
    this.specSizes = new WeakMap();
  }

  /** Maximum sizes of a chunk's record in the format that is written. */
  get sizes(): RecordSizes {
    return SIZES[this.version];
  }

  /** Returns the maximum number of tasks of a chunk that fit in one record together with the description. */
  maxTasksPerChunk(spec: JobSpec): number {
    const { overheadBytes: frame, taskBytes: task } = this.sizes;
    const availableBytes = this.limits.valueBytes * CHUNK_FILL_RATIO - this.specBytes(spec) - frame;
    return Math.max(1, Math.floor(availableBytes / task));
  }

  /** Returns the maximum number of tasks of a chunk whose record is stored in as many fragments as a transaction holds. */
  maxTasksPerFragmentedChunk(spec: JobSpec): number {
    const { overheadBytes: frame, taskBytes: task } = this.sizes;
    // The leader's record may be written in the same transaction.
    const limitBytes = (this.maxRecordBytes(1) * CHUNK_FILL_RATIO) / FRAGMENT_ESCAPE_RATIO;
    return Math.max(1, Math.floor((limitBytes - this.specBytes(spec) - frame) / task));
  }

  /** Size limit of one value, in bytes. */
  get valueBytes(): number {
    return this.limits.valueBytes;
  }

  /** Returns the maximum bytes of one record in a transaction with this number of other operations. */
  maxRecordBytes(otherOperations: number): number {
    const fragments = this.isCompact ? Math.max(1, this.limits.txnOps - otherOperations) : 1;
    const fragmentBytes = this.limits.valueBytes - FRAGMENT_OVERHEAD_BYTES;
    return Math.min(fragments * fragmentBytes, MAX_TRANSACTION_CHANGE_BYTES);
  }

  /** Returns the bytes of the puts that store a value, in a transaction. */
  storedBytes(key: string, value: unknown): number {
    return this.encodePuts(key, value).reduce(
      (sum, put) => sum + jsonBytes(put.value) + put.key.length + PUT_OVERHEAD_BYTES,
      0,
    );
  }

  /** Returns the bytes of a job's description as its chunks store it. */
  specBytes(spec: JobSpec): number {
    const cachedBytes = this.specSizes.get(spec);
    if (cachedBytes !== undefined) return cachedBytes;
    const { dependencies: waitsOn } = spec;
    // Dependencies are stored only in the job's record.
    const stored = this.isCompact
      ? compactSpec({ ...spec, dependencies: [] })
      : { ...toStoredSpec(spec), waitsOn };
    const bytes = jsonBytes(stored);
    this.specSizes.set(spec, bytes);
    return bytes;
  }

  /** Returns the bytes of a record as it is stored, before fragmentation or compression. */
  encodedBytes(key: string, value: unknown): number {
    return jsonBytes(this.encode(key, value));
  }

  /** Returns the number of puts that a value takes: more than one if it is stored in fragments. */
  operations(key: string, value: unknown): number {
    return this.encodePuts(key, value).length;
  }

  /** Returns a record as it is stored, with the field names of `storedRecords.ts`. */
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

  /** Returns the puts for a value; the first is under the record's own key. */
  encodePuts(key: string, value: unknown): [KeyedValue, ...KeyedValue[]] {
    return this.encodeValue(key, value).puts;
  }

  /** Returns the puts for a value, and the form in which it is stored. */
  encodeValue(key: string, value: unknown): EncodedValue {
    const { valueBytes } = this.limits;
    const encoded = this.encode(key, value);
    if (!this.isCompact) return { puts: [{ key, value: encoded }], form: 'plain' };
    const bytes = jsonBytes(encoded);
    if (bytes <= valueBytes) return { puts: [{ key, value: encoded }], form: 'plain' };
    const isCompressionTried =
      this.codec !== null && this.isCompressionAllowed() && isCompressible(key);
    const compressed = isCompressionTried ? this.compress(key, value, encoded, bytes) : null;
    if (compressed === null) {
      const puts = splitIntoFragments(key, encoded, valueBytes, isCompressionTried);
      return { puts, form: formOf(key, puts[0].value, encoded) };
    }
    const fitsInOneValue = jsonBytes(compressed) <= valueBytes;
    const puts: EncodedValue['puts'] = fitsInOneValue
      ? [{ key, value: compressed }]
      : splitIntoFragments(key, compressed, valueBytes, false);
    return { puts, form: 'compressed' };
  }

  /** Compresses a value. Returns null if that does not make it smaller. */
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

  /** Decodes a stored value whose fragments are joined. */
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
      throw new CorruptRecordError(
        key,
        'it is compressed, but compressed records are disabled on this node',
      );
    }
    let expanded: unknown;
    try {
      expanded = JSON.parse(this.codec.expand(key, stored));
    } catch (error) {
      if (error instanceof CorruptRecordError) throw error;
      throw new CorruptRecordError(key, 'its decompressed value is not valid JSON');
    }
    if (isCompressed(expanded))
      throw new CorruptRecordError(key, 'its decompressed value is a compressed record again');
    return this.decode(key, expanded);
  }
}
