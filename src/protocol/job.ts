/** Jobs as users submit them, and as the rest of the program knows them. */
import * as v from 'valibot';

/** The priority class of a job. */
export type Rank = 'prod' | 'high' | 'normal' | 'idle';
/** Larger goes first. */
export const rankOrder: Record<Rank, number> = { prod: 3, high: 2, normal: 1, idle: 0 };

/** The rank's name. */
export function rankName(order: number): Rank {
  const names = Object.keys(rankOrder) as Rank[];
  return names.find((name) => rankOrder[name] === order) ?? 'idle';
}

/** The description of a job as its user submitted it. Times in seconds, memory and images in GB. */
export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  isService: boolean;
  /** All tasks start together, or none. */
  isGang: boolean;
  rank: Rank;
  taskCount: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  sameZone: boolean;
  spreadZones: boolean;
  allowsSpot: boolean;
  image: string;
  imageGb: number;
  expectedRunSeconds: number;
  checkpointInterval: number;
  checkpointDuration: number;
  deadline: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  dependencies: string[];
}

const LIMIT = 1e12;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(LIMIT));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0), v.maxValue(LIMIT));
const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(256));

/** The form of an id, which also makes it safe inside a key of the state service. */
export const jobIdPattern = /^wk-[0-9A-Za-z_.-]{1,100}$/;

const jobId = v.pipe(v.string(), v.regex(jobIdPattern));

const schema = v.object({
  Uid: jobId,
  Jobclass: name,
  Owner: name,
  Shape: v.picklist(['sweep', 'daemon', 'ensemble']),
  Rank: v.picklist(['prod', 'high', 'normal', 'idle']),
  Pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  Cores: positive,
  Accelerators: amount,
  MemoryGb: amount,
  Flavours: v.nullish(v.array(name)),
  Yard: v.nullish(name),
  SamePlace: v.boolean(),
  Apart: v.boolean(),
  Loaners: v.boolean(),
  Bundle: name,
  PullGb: amount,
  ExpectS: amount,
  SnapshotS: amount,
  FlushS: amount,
  DueS: v.nullish(amount),
  WaitsOn: v.nullish(v.array(jobId)),
});

/** A description, or what is wrong with it. */
export type ParsedJob = { job: JobSpec } | { error: string };

/** Checks the body of a submission; the error names the first field that is wrong. */
export function parseJob(body: string): ParsedJob {
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    return { error: 'not JSON' };
  }
  const result = v.safeParse(schema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    return { error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const w = result.output;
  return {
    job: {
      id: w.Uid,
      jobClass: w.Jobclass,
      team: w.Owner,
      isService: w.Shape === 'daemon',
      isGang: w.Shape === 'ensemble',
      rank: w.Rank,
      taskCount: w.Pieces,
      cpus: w.Cores,
      gpus: w.Accelerators,
      memoryGb: w.MemoryGb,
      machineTypes: w.Flavours ?? null,
      zone: w.Yard ?? null,
      sameZone: w.SamePlace,
      spreadZones: w.Apart,
      allowsSpot: w.Loaners,
      image: w.Bundle,
      imageGb: w.PullGb,
      expectedRunSeconds: w.ExpectS,
      checkpointInterval: w.SnapshotS,
      checkpointDuration: w.FlushS,
      deadline: w.DueS ?? null,
      dependencies: [...new Set(w.WaitsOn)],
    },
  };
}

/** What users are told of a job. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** A job's state as one node sees it. */
export interface JobView {
  status: JobStatus;
  done: number;
  running: number;
  /** In plain words, what the job waits for. */
  reason: string | null;
}

/** The answer to a question about a job. */
export const jobViewAnswer = (id: string, view: JobView): Record<string, unknown> => ({
  Uid: id,
  Status: view.status,
  done: view.done,
  running: view.running,
  ...(view.reason === null ? {} : { Reason: view.reason }),
});

const toldJob = v.object({
  Uid: jobId,
  Status: v.picklist(['queued', 'running', 'done', 'cancelled']),
});

/** Which job an answer tells of and what it says, for an answer that a peer has passed on; null: it is none. */
export function parseJobAnswer(body: unknown): { id: string; status: JobStatus } | null {
  const result = v.safeParse(toldJob, body);
  return result.success ? { id: result.output.Uid, status: result.output.Status } : null;
}

/** The answer to a submission or a cancellation. */
export const jobStatusAnswer = (id: string, status: JobStatus): Record<string, unknown> => ({
  Uid: id,
  Status: status,
});
