/**
 * The description of a job in the form that is stored and sent between controllers. Its field names are those of version
 * 0.2 and never change; the rest of the program uses `JobSpec`.
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
  /** Absent if the job has no dependencies: version 0.2 does not know this field. */
  waitsOn?: string[];
}

/** The fields that a stored description may omit, since they usually have the same value. */
export type SpecDefaults = Omit<
  Required<StoredJobSpec>,
  'id' | 'jobClass' | 'team' | 'rank' | 'tasks' | 'cpus' | 'memory' | 'image' | 'imageGb'
>;

/** The values of omitted fields. */
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

/** Converts a description to its stored form. Unknown fields are kept, since a later version may have written them. */
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

/** Converts a description that was stored, or sent by a peer, to the form that the program uses. */
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
