/** Format 2 of stored records: fields with their default value are omitted, and attempts are grouped by machine. */
import type { JobSpec } from '../protocol/job.js';
import {
  fromStoredSpec,
  specDefaults,
  toStoredSpec,
  type SpecDefaults,
  type StoredJobSpec,
} from '../protocol/storedJobSpec.js';
import {
  fromRanges,
  toRanges,
  type BucketRecord,
  type ChunkRecord,
  type AttemptRecord,
  type JobRecord,
} from './records.js';
import { mapValues } from './mapValues.js';
import { fromPlainBucket, fromPlainJob, jobRecordOf } from './plainRecords.js';
import type { StoredBucketRecord, StoredJobRecord } from './storedRecords.js';

type CompactSpec = Omit<StoredJobSpec, keyof SpecDefaults> & Partial<SpecDefaults>;

interface CompactJob {
  v: 2;
  spec?: CompactSpec;
  home: string;
  state?: StoredJobRecord['state'];
  tasks: number;
  at: number;
  size: number;
  zones?: string[];
  cut: number;
  /** Chunk indices as ranges. */
  finished?: number[];
  away?: number[];
}

/** A machine and its agent epoch, followed by the task number and attempt number of each attempt on it. */
type CompactAttempts = [string, number, ...number[]];

interface CompactChunk {
  spec: CompactSpec;
  home: string;
  at: number;
  from: number;
  to: number;
  zone?: string;
  next: number;
  done?: number[];
  on?: CompactAttempts[];
  moves?: number;
}

interface CompactBucket {
  v: 2;
  chunks: Record<string, CompactChunk>;
}

/** Returns a job's description in format 2, without the fields that have their default value. */
export function compactSpec(spec: JobSpec): CompactSpec {
  const defaults: Record<string, unknown> = { ...specDefaults() };
  const stored = Object.entries(toStoredSpec(spec)).filter(([name, value]) => {
    if (!(name in defaults)) return true;
    return Array.isArray(value) || value !== defaults[name];
  });
  return Object.fromEntries(stored) as unknown as CompactSpec;
}

/** Returns a job's record in format 2. */
export function compactJob(record: JobRecord): CompactJob {
  const {
    spec,
    homeShard: home,
    state,
    taskCount: tasks,
    submittedAt: at,
    chunkSize: size,
    zones,
    createdChunks: cut,
    doneChunks: finished,
    migratedChunks: away,
  } = record;
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

/** Decodes a job's record of either format, stored under `key`. Throws `CorruptRecordError` for an unknown state. */
export function decodeJob(key: string, stored: unknown): JobRecord {
  if ((stored as Partial<CompactJob>).v !== 2) {
    return fromPlainJob(key, stored as StoredJobRecord);
  }
  const { spec, home, state, tasks, at, size, zones, cut, finished, away } = stored as CompactJob;
  return jobRecordOf(key, state ?? 'open', spec === undefined ? null : fromStoredSpec(spec), {
    homeShard: home,
    taskCount: tasks,
    submittedAt: at,
    chunkSize: size,
    zones: zones ?? [],
    createdChunks: cut,
    doneChunks: [...fromRanges(finished ?? [])],
    migratedChunks: [...fromRanges(away ?? [])],
  });
}

/** Returns a bucket of chunks in format 2. */
export const compactBucket = ({ chunks }: BucketRecord): CompactBucket => ({
  v: 2,
  chunks: mapValues(chunks, compactChunk),
});

function compactChunk(record: ChunkRecord): CompactChunk {
  const {
    spec,
    homeShard: home,
    submittedAt: at,
    firstTask: from,
    endTask: to,
    zone,
    nextAttemptNumber: next,
    doneTasks: done,
    attempts,
    migrationCount: moves,
  } = record;
  return {
    // Dependencies are stored only in the job's record: a stored chunk belongs to a job that has been released.
    spec: compactSpec({ ...spec, dependencies: [] }),
    home,
    at,
    from,
    to,
    ...(zone === null ? {} : { zone }),
    next,
    ...(done.length === 0 ? {} : { done }),
    ...(attempts.length === 0 ? {} : { on: compactAttempts(attempts) }),
    ...(moves === 0 ? {} : { moves }),
  };
}

function compactAttempts(attempts: AttemptRecord[]): CompactAttempts[] {
  const groupsByMachine = new Map<string, CompactAttempts>();
  for (const { task, attemptNumber, machine, agentEpoch } of attempts) {
    const grouped = groupsByMachine.get(`${machine} ${agentEpoch}`) ?? [machine, agentEpoch];
    groupsByMachine.set(`${machine} ${agentEpoch}`, grouped);
    grouped.push(task, attemptNumber);
  }
  return [...groupsByMachine.values()];
}

function decodeAttempts(groups: CompactAttempts[]): AttemptRecord[] {
  return groups.flatMap(([machine, agentEpoch, ...numbers]) => {
    const attempts: AttemptRecord[] = [];
    for (let i = 0; i + 1 < numbers.length; i += 2) {
      const [task = 0, attemptNumber = 0] = numbers.slice(i, i + 2);
      attempts.push({ task, attemptNumber, machine, agentEpoch });
    }
    return attempts;
  });
}

/** Decodes a bucket of chunks of either format. */
export function decodeBucket(stored: unknown): BucketRecord {
  if ((stored as Partial<CompactBucket>).v !== 2) {
    return fromPlainBucket(stored as StoredBucketRecord);
  }
  return { chunks: mapValues((stored as CompactBucket).chunks, decodeChunk) };
}

const decodeChunk = (stored: CompactChunk): ChunkRecord => ({
  spec: fromStoredSpec(stored.spec),
  homeShard: stored.home,
  submittedAt: stored.at,
  firstTask: stored.from,
  endTask: stored.to,
  zone: stored.zone ?? null,
  nextAttemptNumber: stored.next,
  doneTasks: stored.done ?? [],
  attempts: decodeAttempts(stored.on ?? []),
  migrationCount: stored.moves ?? 0,
});

const sorted = (numbers: number[]): number[] => [...numbers].sort((a, b) => a - b);
