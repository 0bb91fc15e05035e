/**
 * Keys and types of the records in the state service. All keys share one prefix, so that one watch covers them all.
 *
 *   b/token               the counter of fencing tokens, and the last leaders of each shard
 *   b/types               the machine types, as the cloud last reported them
 *   b/own/SHARD           the leader of a shard (attached to the leader's lease)
 *   b/job/ID              a job: its description, home shard and state
 *   b/run/SHARD/BUCKET    chunks of jobs, at the shard that runs them
 *   b/fleet/RENTAL        a rental that was or will be requested; then its machines and their shard
 *   b/quota/TEAM          the shares of a team's limit, by shard
 *   b/node/LABEL          the record format that a node can read; absent for a node of the first version
 *   b/rollout/…           the cluster's version and the state of rollouts (packages/rollout)
 *   b/run/~barrier/level  the lowest level that a reader of the records needs
 *   b/piece/KEY/N         a fragment of the record under KEY
 */
import type { JobSpec } from '../protocol/job.js';

/** Prefix of all keys. */
export const KEY_PREFIX = 'b/';
/** Prefix of the keys of jobs. */
export const JOB_PREFIX = 'b/job/';
/** Prefix of the keys of buckets. */
export const BUCKET_PREFIX = 'b/run/';
/** Prefix of the keys of machine groups. */
export const MACHINE_GROUP_PREFIX = 'b/fleet/';
/** Prefix of the keys of leader records. */
export const LEADER_PREFIX = 'b/own/';
/** Prefix of the keys of node capability records. */
export const NODE_PREFIX = 'b/node/';
/** Prefix of the keys of fragments. */
export const FRAGMENT_PREFIX = 'b/piece/';

/** Key of a barrier among the buckets: builds that know no cluster versions cannot read this record (safety, R3). */
export const BARRIER_KEY = `${BUCKET_PREFIX}~barrier/level`;

/** Builds the keys of records. */
export const keys = {
  fencingTokens: 'b/token',
  machineTypes: 'b/types',
  leader: (shard: string): string => `${LEADER_PREFIX}${shard}`,
  job: (id: string): string => `${JOB_PREFIX}${id}`,
  bucket: (shard: string, bucket: string): string => `${BUCKET_PREFIX}${shard}/${bucket}`,
  bucketsOf: (shard: string): string => `${BUCKET_PREFIX}${shard}/`,
  machineGroup: (rental: string): string => `${MACHINE_GROUP_PREFIX}${rental}`,
  quota: (team: string): string => `b/quota/${team}`,
  node: (label: string): string => `${NODE_PREFIX}${label}`,
  fragment: (key: string, index: number): string => `${FRAGMENT_PREFIX}${key}/${index}`,
};

/** The kinds of records whose stored field names differ from those in memory; `other` is any other record. */
export type RecordKind =
  'job' | 'bucket' | 'group' | 'owner' | 'node' | 'tokens' | 'types' | 'other';

/** Returns the kind of record under a key; fragments are `other`, as each is only a part of a text. */
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
 * The counter of fencing tokens, and the last leaders by shard. A leader record is removed with its lease; which other nodes
 * may still answer a shard's workers must remain known after that.
 */
export interface FencingTokenRecord {
  lastToken: number;
  lastLeaders?: Record<string, LastLeader>;
}

/** The last leader of a shard, and earlier leaders that may not know that they have lost it. */
export interface LastLeader {
  node: string;
  /** Wall-clock time at which each node lost the shard to another; the nodes may not know it. */
  lostAtByNode: Record<string, number>;
}

/** The leader of a shard; the record is removed with the leader's lease (safety, O1). */
export interface LeaderRecord {
  node: string;
  /** First fencing token of the leadership. */
  fencingToken: number;
  /** Identifies one run of the process. */
  process: string;
}

/** The newest record format that a node can read. */
export interface NodeCapabilityRecord {
  recordFormat: number;
}

/** A job: its description, home shard and state. Only `state` says whether it is over. */
export type JobRecord = OpenJobRecord | FinalJobRecord;

/** A job that is not in a final state. */
export interface OpenJobRecord extends JobRecordFields {
  state: 'open';
  spec: JobSpec;
}

/** A job in a final state; its record never changes. */
export interface FinalJobRecord extends JobRecordFields {
  state: 'done' | 'cancelled';
  /** Dropped when the job ends: records of final states are kept permanently and have to stay small. */
  spec: JobSpec | null;
}

/** Fields of every job record. */
export interface JobRecordFields {
  homeShard: string;
  taskCount: number;
  /** Wall-clock time of the submission; it orders the queues. */
  submittedAt: number;
  /** Tasks per chunk, and the zones that the two halves of a spread job are restricted to. */
  chunkSize: number;
  zones: string[];
  /** Number of chunks created so far, and the indices of those that are done. */
  createdChunks: number;
  doneChunks: number[];
  /**
   * Indices of the chunks that have ever left the home shard. Any other chunk that is neither done nor in a bucket of the
   * home shard has not been stored yet: no task of it was started, and it exists only in the memory of the home shard.
   */
  migratedChunks: number[];
}

/** An attempt of a task that is, or may be, on a machine. */
export interface AttemptRecord {
  task: number;
  attemptNumber: number;
  machine: string;
  agentEpoch: number;
}

/** A range of a job's tasks, with the tasks that are done and the attempts that may be running. */
export interface ChunkRecord {
  spec: JobSpec;
  homeShard: string;
  submittedAt: number;
  firstTask: number;
  endTask: number;
  zone: string | null;
  /** Next attempt number, shared by all tasks of the chunk; it only increases. */
  nextAttemptNumber: number;
  /** Done tasks as half-open ranges: start, end, start, end, … */
  doneTasks: number[];
  attempts: AttemptRecord[];
  /** Number of migrations between shards. */
  migrationCount: number;
}

/** The chunks of a bucket, by id. */
export interface BucketRecord {
  chunks: Record<string, ChunkRecord>;
}

/** A machine, with the fields of its group. */
export interface MachineRecord {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Wall-clock time at which the machine was rented or first reported. */
  launchedAt: number;
  /** Set once the cloud has listed the machine. A restarted leader can contact it there before the worker reports again. */
  address?: string;
}

/** Machines of one type and shard from one rental. */
export interface MachineGroupRecord {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  machines: Record<string, GroupMachine>;
  /** Number of machines requested; absent once the cloud has answered. */
  requestedCount?: number;
}

/** A machine of a group, without the fields that all of the group share. */
export interface GroupMachine {
  launchedAt: number;
  address?: string;
}

/** The shares of a team's limit, by shard. */
export type QuotaRecord = Record<string, { cpus: number; gpus: number }>;

/** Returns sorted numbers as half-open ranges. */
export function toRanges(sorted: Iterable<number>): number[] {
  const ranges: number[] = [];
  for (const n of sorted) {
    if (ranges.length > 0 && ranges[ranges.length - 1] === n) ranges[ranges.length - 1] = n + 1;
    else ranges.push(n, n + 1);
  }
  return ranges;
}

/** Returns the numbers in half-open ranges. */
export function fromRanges(ranges: number[]): Set<number> {
  const set = new Set<number>();
  for (let i = 0; i + 1 < ranges.length; i += 2) {
    for (let n = ranges[i] ?? 0; n < (ranges[i + 1] ?? 0); n++) set.add(n);
  }
  return set;
}
