/**
 * Records in format 1, that of version 0.2, and those whose form is the same in every format: each field by its stored
 * name and nothing left out.
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

/** A job's record as format 1 stores it. */
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

/** A job's record that was stored in format 1 under `key`. Throws `CorruptRecordError` where it tells no state. */
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
 * A job's record from its stored parts. Throws `CorruptRecordError` for an open job without a description and for a state
 * that this build does not know: either was told as done, which can't be taken back.
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
      throw new CorruptRecordError(key, 'it tells no state that is known here');
  }
}

/** A bucket of chunks as format 1 stores it. */
export const toPlainBucket = ({ chunks }: BucketRecord): StoredBucketRecord => ({
  chunks: mapValues(chunks, toPlainChunk),
});

/** A bucket of chunks that was stored in format 1. */
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
    entries: record.attempts.map(toPlainEntry),
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
    attempts: stored.entries.map(fromPlainEntry),
    migrationCount: stored.moves,
  };
}

const toPlainEntry = (record: AttemptRecord): StoredAttemptRecord => ({
  task: record.task,
  attempt: record.attemptNumber,
  machine: record.machine,
  session: record.agentEpoch,
});

const fromPlainEntry = (stored: StoredAttemptRecord): AttemptRecord => ({
  task: stored.task,
  attemptNumber: stored.attempt,
  machine: stored.machine,
  agentEpoch: stored.session,
});

/** The counter of fencing tokens as it is stored. */
export const toStoredTokens = (record: FencingTokenRecord): StoredTokenRecord => ({
  last: record.lastToken,
  ...(record.lastLeaders === undefined
    ? {}
    : { owners: mapValues(record.lastLeaders, toStoredLastOwner) }),
});

/** The counter of fencing tokens that was stored. */
export const fromStoredTokens = (stored: StoredTokenRecord): FencingTokenRecord => ({
  lastToken: stored.last,
  ...(stored.owners === undefined
    ? {}
    : { lastLeaders: mapValues(stored.owners, fromStoredLastOwner) }),
});

const toStoredLastOwner = (record: LastLeader): StoredLastLeader => ({
  node: record.node,
  lost: record.lostAtByNode,
});

const fromStoredLastOwner = (stored: StoredLastLeader): LastLeader => ({
  node: stored.node,
  lostAtByNode: stored.lost,
});

/** A leader's key as it is stored. */
export const toStoredLeader = (record: LeaderRecord): StoredLeaderRecord => ({
  node: record.node,
  token: record.fencingToken,
  process: record.process,
});

/** A leader's key that was stored. */
export const fromStoredLeader = (stored: StoredLeaderRecord): LeaderRecord => ({
  node: stored.node,
  fencingToken: stored.token,
  process: stored.process,
});

/** What a node can read, as it is stored. */
export const toStoredNode = (record: NodeCapabilityRecord): StoredNodeRecord => ({
  layout: record.recordFormat,
});

/** What a node can read, as it was stored. */
export const fromStoredNode = (stored: StoredNodeRecord): NodeCapabilityRecord => ({
  recordFormat: stored.layout,
});

/** The machines of one rental as they are stored. */
export const toStoredGroup = (record: MachineGroupRecord): StoredGroupRecord => ({
  part: record.shard,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
  machines: mapValues(record.machines, toStoredGroupMachine),
  ...(record.requestedCount === undefined ? {} : { asked: record.requestedCount }),
});

/** The machines of one rental that were stored. */
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

/** A machine type as it is stored. */
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

/** A machine type that was stored. */
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
