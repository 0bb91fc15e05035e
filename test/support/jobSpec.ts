import type { JobSpec } from '../../src/protocol/job.js';
import type { ChunkRecord, JobRecord } from '../../src/storage/records.js';

export const jobSpec = (changes: Partial<JobSpec> = {}): JobSpec => ({
  id: 'wk-1',
  jobClass: 'batch',
  team: 'crew',
  isService: false,
  isGang: false,
  rank: 'normal',
  taskCount: 4,
  cpus: 2,
  gpus: 0,
  memoryGb: 4,
  machineTypes: null,
  zone: null,
  sameZone: false,
  spreadZones: false,
  allowsSpot: true,
  image: 'img',
  imageGb: 1,
  expectedRunSeconds: 20,
  checkpointInterval: 0,
  checkpointDuration: 0,
  deadline: null,
  dependencies: [],
  ...changes,
});

/** The stored record of a chunk with one task, whose first attempt a leader has placed on `n-1`. */
export const startedChunkRecord = (): ChunkRecord => ({
  spec: jobSpec({ taskCount: 1 }),
  homeShard: 'p',
  submittedAt: 1,
  firstTask: 0,
  endTask: 1,
  zone: null,
  nextAttemptNumber: 2,
  doneTasks: [],
  attempts: [{ task: 0, attemptNumber: 1, machine: 'n-1', agentEpoch: 1 }],
  migrationCount: 0,
});

/** The record of a job without chunks; the record of a finished or cancelled job has no spec. */
export function jobRecord(id: string, homeShard: string, state: JobRecord['state']): JobRecord {
  const fields = {
    homeShard,
    taskCount: 3,
    submittedAt: 1,
    chunkSize: 8,
    zones: [],
    createdChunks: 0,
    doneChunks: [],
    migratedChunks: [],
  };
  return state === 'open'
    ? { ...fields, state, spec: jobSpec({ id }) }
    : { ...fields, state, spec: null };
}
