import type { JobSpec } from '../../src/protocol/job.js';
import type { ChunkRecord } from '../../src/storage/records.js';

export const spec = (changes: Partial<JobSpec> = {}): JobSpec => ({
  id: 'wk-1',
  jobClass: 'batch',
  team: 'crew',
  service: false,
  gang: false,
  rank: 'normal',
  tasks: 4,
  cpus: 2,
  gpus: 0,
  memory: 4,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  image: 'img',
  imageGb: 1,
  expect: 20,
  checkpoint: 0,
  save: 0,
  due: null,
  waitsOn: [],
  ...changes,
});

/** The stored record of a chunk of one task, whose first attempt an owner has placed on `n-1`. */
export const startedRecord = (): ChunkRecord => ({
  spec: spec({ tasks: 1 }),
  home: 'p',
  at: 1,
  from: 0,
  to: 1,
  zone: null,
  next: 2,
  done: [],
  entries: [{ task: 0, attempt: 1, machine: 'n-1', session: 1 }],
  moves: 0,
});
