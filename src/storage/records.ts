/**
 * What is kept in the state service. All keys share one prefix, so that one watch follows them all.
 *
 *   b/token              the counter that tokens come from, and which node had each shard last
 *   b/types              the machine types, as the cloud last told them
 *   b/own/SHARD           who owns a shard (held by the owner's lease)
 *   b/job/ID             a job: its description, home shard and state
 *   b/run/SHARD/BUCKET     some chunks of jobs, at the shard that runs them
 *   b/fleet/RENTAL          a rental that was or will be sent, then its machines, and their shard
 *   b/quota/TEAM         how a team's limit is shared out to the shards
 *   b/node/LABEL         which record format a node can read; a node of the first version has none
 *   b/rollout/…           the cluster's version, and what concerns it (packages/rollout)
 *   b/run/~barrier/level the lowest level that a reader of the records needs
 *   b/piece/KEY/N        what did not fit in the record under KEY
 */
import type { JobSpec } from '../protocol/job.js';

/** In front of all keys. */
export const KEY_PREFIX = 'b/';
/** In front of jobs' keys. */
export const JOB_PREFIX = 'b/job/';
/** In front of buckets' keys. */
export const BUCKET_PREFIX = 'b/run/';
/** In front of machine groups' keys. */
export const MACHINE_GROUP_PREFIX = 'b/fleet/';
/** In front of leaders' keys. */
export const LEADER_PREFIX = 'b/own/';
/** In front of nodes' keys. */
export const NODE_PREFIX = 'b/node/';
/** In front of fragments' keys. */
export const FRAGMENT_PREFIX = 'b/piece/';

/** Kept in front of all buckets, for builds that know of no cluster version: they cannot read it (safety, R3). */
export const BARRIER_KEY = `${BUCKET_PREFIX}~barrier/level`;

/** The keys of all records. */
export const keys = {
  fencingTokens: 'b/token',
  machineTypes: 'b/types',
  leader: (shard: string): string => `${LEADER_PREFIX}${shard}`,
  job: (id: string): string => `${JOB_PREFIX}${id}`,
  bucket: (shard: string, bucket: string): string => `${BUCKET_PREFIX}${shard}/${bucket}`,
  bucketsOf: (shard: string): string => `${BUCKET_PREFIX}${shard}/`,
  machineGroup: (ask: string): string => `${MACHINE_GROUP_PREFIX}${ask}`,
  quota: (team: string): string => `b/quota/${team}`,
  node: (label: string): string => `${NODE_PREFIX}${label}`,
  fragment: (key: string, index: number): string => `${FRAGMENT_PREFIX}${key}/${index}`,
};

/** The kinds of records whose stored names differ from those that the program uses. */
export type RecordKind =
  'job' | 'bucket' | 'group' | 'owner' | 'node' | 'tokens' | 'types' | 'other';

/** Which kind of record is stored under a key; fragments are `other`, as they are parts of a text. */
export function kindOfRecord(key: string): RecordKind {
  if (key.startsWith(JOB_PREFIX)) return 'job';
  if (key.startsWith(BUCKET_PREFIX)) return 'bucket';
  if (key.startsWith(MACHINE_GROUP_PREFIX)) return 'group';
  if (key.startsWith(LEADER_PREFIX)) return 'owner';
  if (key.startsWith(NODE_PREFIX)) return 'node';
  if (key === keys.fencingTokens) return 'tokens';
  return key === keys.machineTypes ? 'types' : 'other';
}

/**
 * An owner's key goes with its lease; that another node may still answer a shard's workers must outlast it.
 */
export interface FencingTokenRecord {
  lastToken: number;
  lastLeaders?: Record<string, LastLeader>;
}

/** Who led a shard last, and who may not know that it leads no longer. */
export interface LastLeader {
  node: string;
  /** Nodes that lost the shard to another, and the time of day at which they did: they may not know it. */
  lostAtByNode: Record<string, number>;
}

/** Who leads a shard; the key goes with the lease of the leader (safety, O1). */
export interface LeaderRecord {
  node: string;
  /** The first of the leadership's fencing tokens. */
  fencingToken: number;
  /** Tells one start of a process from the next. */
  process: string;
}

/** Tells that a node has the version that it names, or a later one. */
export interface NodeCapabilityRecord {
  recordFormat: number;
}

/** A job: its description, home shard and state. Whether it is over is told by its state alone. */
export type JobRecord = OpenJobRecord | FinalJobRecord;

/** A job that is not over. */
export interface OpenJobRecord extends JobRecordFields {
  state: 'open';
  spec: JobSpec;
}

/** A job that is over; its record never changes. */
export interface FinalJobRecord extends JobRecordFields {
  state: 'done' | 'cancelled';
  /** Dropped with the end, so that final states, which are kept for good, stay small. */
  spec: JobSpec | null;
}

/** What all jobs' records have. */
export interface JobRecordFields {
  homeShard: string;
  taskCount: number;
  /** Time of day of the submission; orders the queues. */
  submittedAt: number;
  /** Tasks a chunk, and the zones that a spread job's two halves are held to. */
  chunkSize: number;
  zones: string[];
  /** Chunks that have been made so far, and those of them that are done. */
  createdChunks: number;
  doneChunks: number[];
  /**
   * Chunks that have ever left the home shard. Any other that is neither done nor on a bucket of the home
   * shard has not been stored yet: nothing of it was started, and its home has it.
   */
  migratedChunks: number[];
}

/** One attempt of one task that is, or may be, on a machine. */
export interface AttemptRecord {
  task: number;
  attemptNumber: number;
  machine: string;
  agentEpoch: number;
}

/** A range of a job's tasks, with what is done and what was started. */
export interface ChunkRecord {
  spec: JobSpec;
  homeShard: string;
  submittedAt: number;
  firstTask: number;
  endTask: number;
  zone: string | null;
  /** The next attempt number of any of its tasks; it only rises. */
  nextAttemptNumber: number;
  /** Done tasks as ranges: first, one past the last, first, … */
  doneTasks: number[];
  attempts: AttemptRecord[];
  /** How often it has been sent on. */
  migrationCount: number;
}

/** Chunks by their ids. */
export interface BucketRecord {
  chunks: Record<string, ChunkRecord>;
}

/** One machine, as its group's record tells of it. */
export interface MachineRecord {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Time of day at which it was rented, or first heard of. */
  launchedAt: number;
  /** Once the cloud has listed it: a restarted owner can ask it before it has found its way back. */
  address?: string;
}

/** Machines of one kind and shard that came together. */
export interface MachineGroupRecord {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  machines: Record<string, GroupMachine>;
  /** How many are being asked for; absent once the cloud has answered. */
  requestedCount?: number;
}

/** One machine of a group, without what all of the group have in common. */
export interface GroupMachine {
  launchedAt: number;
  address?: string;
}

/** How a team's limit is shared out, by shard. */
export type QuotaRecord = Record<string, { cpus: number; gpus: number }>;

/** Task numbers as sorted half-open ranges. */
export function toRanges(sorted: Iterable<number>): number[] {
  const ranges: number[] = [];
  for (const n of sorted) {
    if (ranges.length > 0 && ranges[ranges.length - 1] === n) ranges[ranges.length - 1] = n + 1;
    else ranges.push(n, n + 1);
  }
  return ranges;
}

/** The numbers of half-open ranges. */
export function fromRanges(ranges: number[]): Set<number> {
  const set = new Set<number>();
  for (let i = 0; i + 1 < ranges.length; i += 2) {
    for (let n = ranges[i] ?? 0; n < (ranges[i + 1] ?? 0); n++) set.add(n);
  }
  return set;
}
