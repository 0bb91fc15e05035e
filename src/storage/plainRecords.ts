/**
 * Mapping of records in format 1, that of version 0.2, and of records that are stored alike in every format: each field is
 * stored under its stored name, and none is omitted.
 */
import { fromStoredSpec, toStoredSpec } from '../protocol/storedJobSpec.js';
import type { MachineType } from '../protocol/cloudProtocol.js';
import type { JobSpec } from '../protocol/job.js';
import { mapValues } from './mapValues.js';
import { CorruptRecordError } from './recordCodec.js';
import type {
  BucketRecord,
  ChunkRecord,
  AttemptRecord,
  GroupMachine,
  MachineGroupRecord,
  JobRecord,
  JobRecordFields,
  LastLeader,
  NodeCapabilityRecord,
  LeaderRecord,
  FencingTokenRecord,
} from './records.js';
import type {
  StoredBucketRecord,
  StoredChunkRecord,
  StoredAttemptRecord,
  StoredGroupMachine,
  StoredGroupRecord,
  StoredJobRecord,
  StoredLastLeader,
  StoredMachineType,
  StoredNodeRecord,
  StoredLeaderRecord,
  StoredTokenRecord,
} from './storedRecords.js';

/** Returns a job's record in format 1. */
export function toPlainJob(record: JobRecord): StoredJobRecord {
  return {
    spec: record.spec === null ? null : toStoredSpec(record.spec),
    home: record.homeShard,
    state: record.state,
    tasks: record.taskCount,
    at: record.submittedAt,
    size: record.chunkSize,
    zones: record.zones,
    cut: record.createdChunks,
    finished: record.doneChunks,
    away: record.migratedChunks,
  };
}

/** Decodes a job's record that is stored in format 1 under `key`. Throws `CorruptRecordError` for an unknown state. */
export function fromPlainJob(key: string, stored: StoredJobRecord): JobRecord {
  const spec = stored.spec === null ? null : fromStoredSpec(stored.spec);
  return jobRecordOf(key, stored.state, spec, {
    homeShard: stored.home,
    taskCount: stored.tasks,
    submittedAt: stored.at,
    chunkSize: stored.size,
    zones: stored.zones,
    createdChunks: stored.cut,
    doneChunks: stored.finished,
    migratedChunks: stored.away,
  });
}

/**
 * Builds a job's record from its stored parts. Throws `CorruptRecordError` for an open job without a description and for a
 * state that this build does not know: earlier builds reported either as done, and a final state cannot be revoked.
 */
export function jobRecordOf(
  key: string,
  state: StoredJobRecord['state'],
  spec: JobSpec | null,
  fields: JobRecordFields,
): JobRecord {
  switch (state) {
    case 'open':
      if (spec === null) throw new CorruptRecordError(key, 'it is open and has no description');
      return { ...fields, state, spec };
    case 'done':
    case 'cancelled':
      return { ...fields, state, spec };
    default:
      throw new CorruptRecordError(key, 'the job state is missing or unknown to this build');
  }
}

/** Returns a bucket of chunks in format 1. */
export const toPlainBucket = ({ chunks }: BucketRecord): StoredBucketRecord => ({
  chunks: mapValues(chunks, toPlainChunk),
});

/** Decodes a bucket of chunks that is stored in format 1. */
export const fromPlainBucket = ({ chunks }: StoredBucketRecord): BucketRecord => ({
  chunks: mapValues(chunks, fromPlainChunk),
});

function toPlainChunk(record: ChunkRecord): StoredChunkRecord {
  return {
    spec: toStoredSpec(record.spec),
    home: record.homeShard,
    at: record.submittedAt,
    from: record.firstTask,
    to: record.endTask,
    zone: record.zone,
    next: record.nextAttemptNumber,
    done: record.doneTasks,
    entries: record.attempts.map(toPlainAttempt),
    moves: record.migrationCount,
  };
}

function fromPlainChunk(stored: StoredChunkRecord): ChunkRecord {
  return {
    spec: fromStoredSpec(stored.spec),
    homeShard: stored.home,
    submittedAt: stored.at,
    firstTask: stored.from,
    endTask: stored.to,
    zone: stored.zone,
    nextAttemptNumber: stored.next,
    doneTasks: stored.done,
    attempts: stored.entries.map(fromPlainAttempt),
    migrationCount: stored.moves,
  };
}

const toPlainAttempt = (record: AttemptRecord): StoredAttemptRecord => ({
  task: record.task,
  attempt: record.attemptNumber,
  machine: record.machine,
  session: record.agentEpoch,
});

const fromPlainAttempt = (stored: StoredAttemptRecord): AttemptRecord => ({
  task: stored.task,
  attemptNumber: stored.attempt,
  machine: stored.machine,
  agentEpoch: stored.session,
});

/** Returns the fencing token counter as it is stored. */
export const toStoredTokens = (record: FencingTokenRecord): StoredTokenRecord => ({
  last: record.lastToken,
  ...(record.lastLeaders === undefined
    ? {}
    : { owners: mapValues(record.lastLeaders, toStoredLastLeader) }),
});

/** Decodes the stored fencing token counter. */
export const fromStoredTokens = (stored: StoredTokenRecord): FencingTokenRecord => ({
  lastToken: stored.last,
  ...(stored.owners === undefined
    ? {}
    : { lastLeaders: mapValues(stored.owners, fromStoredLastLeader) }),
});

const toStoredLastLeader = (record: LastLeader): StoredLastLeader => ({
  node: record.node,
  lost: record.lostAtByNode,
});

const fromStoredLastLeader = (stored: StoredLastLeader): LastLeader => ({
  node: stored.node,
  lostAtByNode: stored.lost,
});

/** Returns a leader record as it is stored. */
export const toStoredLeader = (record: LeaderRecord): StoredLeaderRecord => ({
  node: record.node,
  token: record.fencingToken,
  process: record.process,
});

/** Decodes a stored leader record. */
export const fromStoredLeader = (stored: StoredLeaderRecord): LeaderRecord => ({
  node: stored.node,
  fencingToken: stored.token,
  process: stored.process,
});

/** Returns a node's capability record as it is stored. */
export const toStoredNode = (record: NodeCapabilityRecord): StoredNodeRecord => ({
  layout: record.recordFormat,
});

/** Decodes a stored node capability record. */
export const fromStoredNode = (stored: StoredNodeRecord): NodeCapabilityRecord => ({
  recordFormat: stored.layout,
});

/** Returns a machine group as it is stored. */
export const toStoredGroup = (record: MachineGroupRecord): StoredGroupRecord => ({
  part: record.shard,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
  machines: mapValues(record.machines, toStoredGroupMachine),
  ...(record.requestedCount === undefined ? {} : { asked: record.requestedCount }),
});

/** Decodes a stored machine group. */
export const fromStoredGroup = (stored: StoredGroupRecord): MachineGroupRecord => ({
  shard: stored.part,
  type: stored.type,
  zone: stored.zone,
  spot: stored.spot,
  machines: mapValues(stored.machines, fromStoredGroupMachine),
  ...(stored.asked === undefined ? {} : { requestedCount: stored.asked }),
});

const toStoredGroupMachine = (record: GroupMachine): StoredGroupMachine => ({
  at: record.launchedAt,
  ...(record.address === undefined ? {} : { address: record.address }),
});

const fromStoredGroupMachine = (stored: StoredGroupMachine): GroupMachine => ({
  launchedAt: stored.at,
  ...(stored.address === undefined ? {} : { address: stored.address }),
});

/** Returns a machine type as it is stored. */
export const toStoredMachineType = (type: MachineType): StoredMachineType => ({
  name: type.name,
  cpus: type.cpus,
  gpus: type.gpus,
  memory: type.memoryGb,
  fetchRate: type.fetchGbPerSecond,
  cache: type.cacheGb,
  price: type.price,
  spotPrice: type.spotPrice,
  boot: type.bootSeconds,
  zones: type.zones,
});

/** Decodes a stored machine type. */
export const fromStoredMachineType = (stored: StoredMachineType): MachineType => ({
  name: stored.name,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memoryGb: stored.memory,
  fetchGbPerSecond: stored.fetchRate,
  cacheGb: stored.cache,
  price: stored.price,
  spotPrice: stored.spotPrice,
  bootSeconds: stored.boot,
  zones: stored.zones,
});
