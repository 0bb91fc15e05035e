/**
 * The description of a job as it is stored and as controllers send it to each other. Its field names are those of
 * version 0.2 and never change; the rest of the program knows a job by `JobSpec`.
 */
import type { JobSpec, Rank } from './job.js';

/** A job's description with the field names of version 0.2. */
export interface StoredJobSpec {
  id: string;
  jobClass: string;
  team: string;
  service: boolean;
  gang: boolean;
  rank: Rank;
  tasks: number;
  cpus: number;
  gpus: number;
  memory: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  expect: number;
  checkpoint: number;
  save: number;
  due: number | null;
  /** Absent where the job depends on no other: version 0.2 knows no such field. */
  waitsOn?: string[];
}

/** The fields that may be left out of a stored description, since they mostly have one value. */
export type SpecDefaults = Omit<
  Required<StoredJobSpec>,
  'id' | 'jobClass' | 'team' | 'rank' | 'tasks' | 'cpus' | 'memory' | 'image' | 'imageGb'
>;

/** What a field of a description is where it was left out. */
export const specDefaults = (): SpecDefaults => ({
  service: false,
  gang: false,
  gpus: 0,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  expect: 0,
  checkpoint: 0,
  save: 0,
  due: null,
  waitsOn: [],
});

/** Fields that this version does not know are kept, since a later version may have written them. */
export function toStoredSpec(spec: JobSpec): StoredJobSpec {
  const {
    id,
    jobClass,
    team,
    isService: service,
    isGang: gang,
    rank,
    taskCount: tasks,
    cpus,
    gpus,
    memoryGb: memory,
    ...placement
  } = spec;
  const {
    machineTypes: types,
    zone,
    sameZone: oneZone,
    spreadZones: spread,
    allowsSpot: spot,
    image,
    imageGb,
    ...timing
  } = placement;
  const {
    expectedRunSeconds: expect,
    checkpointInterval: checkpoint,
    checkpointDuration: save,
    deadline: due,
    dependencies: waitsOn,
    ...unknownFields
  } = timing;
  return {
    id,
    jobClass,
    team,
    service,
    gang,
    rank,
    tasks,
    cpus,
    gpus,
    memory,
    types,
    zone,
    oneZone,
    spread,
    spot,
    image,
    imageGb,
    expect,
    checkpoint,
    save,
    due,
    ...(waitsOn.length === 0 ? {} : { waitsOn }),
    ...unknownFields,
  };
}

/** The description that was stored, or sent by a peer, with the names that the program uses. */
export function fromStoredSpec(
  stored: Omit<StoredJobSpec, keyof SpecDefaults> & Partial<SpecDefaults>,
): JobSpec {
  const { id, jobClass, team, service, gang, rank, tasks, cpus, gpus, memory, ...placement } = {
    ...specDefaults(),
    ...stored,
  };
  const { types, zone, oneZone, spread, spot, image, imageGb, ...timing } = placement;
  const { expect, checkpoint, save, due, waitsOn, ...unknownFields } = timing;
  return {
    id,
    jobClass,
    team,
    isService: service,
    isGang: gang,
    rank,
    taskCount: tasks,
    cpus,
    gpus,
    memoryGb: memory,
    machineTypes: types,
    zone,
    sameZone: oneZone,
    spreadZones: spread,
    allowsSpot: spot,
    image,
    imageGb,
    expectedRunSeconds: expect,
    checkpointInterval: checkpoint,
    checkpointDuration: save,
    deadline: due,
    dependencies: waitsOn,
    ...unknownFields,
  };
}
