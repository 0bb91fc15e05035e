/**
 * Records in format 1, that of version 0.2, and those whose form is the same in every format: each field by its stored
 * name and nothing left out.
 */
import { fromStoredSpec, toStoredSpec } from '../protocol/storedJobSpec.js';
import type { MachineType } from '../protocol/cloudProtocol.js';
import { mapValues } from './mapValues.js';
import type {
  BucketRecord,
  ChunkRecord,
  AttemptRecord,
  GroupMachine,
  MachineGroupRecord,
  JobRecord,
  LastLeader,
  NodeCapabilityRecord,
  LeaderRecord,
  FencingTokenRecord,
} from './records.js';
import type {
  StoredBucketRecord,
  StoredChunkRecord,
  StoredEntryRecord,
  StoredGroupMachine,
  StoredGroupRecord,
  StoredJobRecord,
  StoredLastOwner,
  StoredMachineType,
  StoredNodeRecord,
  StoredOwnerRecord,
  StoredTokenRecord,
} from './storedRecords.js';

/** A job's record as format 1 stores it. */
export function toPlainJob(record: JobRecord): StoredJobRecord {
  return {
    spec: record.spec === null ? null : toStoredSpec(record.spec),
    home: record.home,
    state: record.state,
    tasks: record.tasks,
    at: record.at,
    size: record.size,
    zones: record.zones,
    cut: record.cut,
    finished: record.finished,
    away: record.away,
  };
}

/** A job's record that was stored in format 1. */
export function fromPlainJob(stored: StoredJobRecord): JobRecord {
  return {
    spec: stored.spec === null ? null : fromStoredSpec(stored.spec),
    home: stored.home,
    state: stored.state,
    tasks: stored.tasks,
    at: stored.at,
    size: stored.size,
    zones: stored.zones,
    cut: stored.cut,
    finished: stored.finished,
    away: stored.away,
  };
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
    home: record.home,
    at: record.at,
    from: record.from,
    to: record.to,
    zone: record.zone,
    next: record.next,
    done: record.done,
    entries: record.entries.map(toPlainEntry),
    moves: record.moves,
  };
}

function fromPlainChunk(stored: StoredChunkRecord): ChunkRecord {
  return {
    spec: fromStoredSpec(stored.spec),
    home: stored.home,
    at: stored.at,
    from: stored.from,
    to: stored.to,
    zone: stored.zone,
    next: stored.next,
    done: stored.done,
    entries: stored.entries.map(fromPlainEntry),
    moves: stored.moves,
  };
}

const toPlainEntry = (record: AttemptRecord): StoredEntryRecord => ({
  task: record.task,
  attempt: record.attempt,
  machine: record.machine,
  session: record.session,
});

const fromPlainEntry = (stored: StoredEntryRecord): AttemptRecord => ({
  task: stored.task,
  attempt: stored.attempt,
  machine: stored.machine,
  session: stored.session,
});

/** The counter of fencing tokens as it is stored. */
export const toStoredTokens = (record: FencingTokenRecord): StoredTokenRecord => ({
  last: record.last,
  ...(record.owners === undefined ? {} : { owners: mapValues(record.owners, toStoredLastOwner) }),
});

/** The counter of fencing tokens that was stored. */
export const fromStoredTokens = (stored: StoredTokenRecord): FencingTokenRecord => ({
  last: stored.last,
  ...(stored.owners === undefined ? {} : { owners: mapValues(stored.owners, fromStoredLastOwner) }),
});

const toStoredLastOwner = (record: LastLeader): StoredLastOwner => ({
  node: record.node,
  lost: record.lost,
});

const fromStoredLastOwner = (stored: StoredLastOwner): LastLeader => ({
  node: stored.node,
  lost: stored.lost,
});

/** A leader's key as it is stored. */
export const toStoredOwner = (record: LeaderRecord): StoredOwnerRecord => ({
  node: record.node,
  token: record.token,
  process: record.process,
});

/** A leader's key that was stored. */
export const fromStoredOwner = (stored: StoredOwnerRecord): LeaderRecord => ({
  node: stored.node,
  token: stored.token,
  process: stored.process,
});

/** What a node can read, as it is stored. */
export const toStoredNode = (record: NodeCapabilityRecord): StoredNodeRecord => ({
  layout: record.layout,
});

/** What a node can read, as it was stored. */
export const fromStoredNode = (stored: StoredNodeRecord): NodeCapabilityRecord => ({
  layout: stored.layout,
});

/** The machines of one rental as they are stored. */
export const toStoredGroup = (record: MachineGroupRecord): StoredGroupRecord => ({
  part: record.part,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
  machines: mapValues(record.machines, toStoredGroupMachine),
  ...(record.asked === undefined ? {} : { asked: record.asked }),
});

/** The machines of one rental that were stored. */
export const fromStoredGroup = (stored: StoredGroupRecord): MachineGroupRecord => ({
  part: stored.part,
  type: stored.type,
  zone: stored.zone,
  spot: stored.spot,
  machines: mapValues(stored.machines, fromStoredGroupMachine),
  ...(stored.asked === undefined ? {} : { asked: stored.asked }),
});

const toStoredGroupMachine = (record: GroupMachine): StoredGroupMachine => ({
  at: record.at,
  ...(record.address === undefined ? {} : { address: record.address }),
});

const fromStoredGroupMachine = (stored: StoredGroupMachine): GroupMachine => ({
  at: stored.at,
  ...(stored.address === undefined ? {} : { address: stored.address }),
});

/** A machine type as it is stored. */
export const toStoredMachineType = (type: MachineType): StoredMachineType => ({
  name: type.name,
  cpus: type.cpus,
  gpus: type.gpus,
  memory: type.memory,
  fetchRate: type.fetchRate,
  cache: type.cache,
  price: type.price,
  spotPrice: type.spotPrice,
  boot: type.boot,
  zones: type.zones,
});

/** A machine type that was stored. */
export const fromStoredMachineType = (stored: StoredMachineType): MachineType => ({
  name: stored.name,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memory: stored.memory,
  fetchRate: stored.fetchRate,
  cache: stored.cache,
  price: stored.price,
  spotPrice: stored.spotPrice,
  boot: stored.boot,
  zones: stored.zones,
});
