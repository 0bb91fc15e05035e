/**
 * Records as they are stored, with the field names of version 0.2, which never change. All other code uses the types of
 * `records.ts`; `plainRecords.ts` and `compactRecords.ts` map between the two.
 */
import type { StoredJobSpec } from '../protocol/storedJobSpec.js';

/** The fencing token counter, under `b/token`. */
export interface StoredTokenRecord {
  last: number;
  owners?: Record<string, StoredLastLeader>;
}

/** The last leader of a shard, within `b/token`. */
export interface StoredLastLeader {
  node: string;
  lost: Record<string, number>;
}

/** A leader record, under `b/own/SHARD`. */
export interface StoredLeaderRecord {
  node: string;
  token: number;
  process: string;
}

/** A node capability record, under `b/node/LABEL`. */
export interface StoredNodeRecord {
  layout: number;
}

/** A job, under `b/job/ID`, in record format 1. */
export interface StoredJobRecord {
  spec: StoredJobSpec | null;
  home: string;
  state: 'open' | 'done' | 'cancelled';
  tasks: number;
  at: number;
  size: number;
  zones: string[];
  cut: number;
  finished: number[];
  away: number[];
}

/** One attempt within a chunk's record, in record format 1. */
export interface StoredAttemptRecord {
  task: number;
  attempt: number;
  machine: string;
  session: number;
}

/** One chunk within `b/run/SHARD/BUCKET`, in record format 1. */
export interface StoredChunkRecord {
  spec: StoredJobSpec;
  home: string;
  at: number;
  from: number;
  to: number;
  zone: string | null;
  next: number;
  done: number[];
  entries: StoredAttemptRecord[];
  moves: number;
}

/** A bucket of chunks, under `b/run/SHARD/BUCKET`, in record format 1. */
export interface StoredBucketRecord {
  chunks: Record<string, StoredChunkRecord>;
}

/** A machine group, under `b/fleet/RENTAL`. */
export interface StoredGroupRecord {
  part: string;
  type: string;
  zone: string;
  spot: boolean;
  machines: Record<string, StoredGroupMachine>;
  asked?: number;
}

/** One machine within `b/fleet/RENTAL`. */
export interface StoredGroupMachine {
  at: number;
  address?: string;
}

/** One machine type within `b/types`. */
export interface StoredMachineType {
  name: string;
  cpus: number;
  gpus: number;
  memory: number;
  fetchRate: number;
  cache: number;
  price: number;
  spotPrice: number;
  boot: number;
  zones: string[];
}
