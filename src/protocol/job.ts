/** Jobs in the form that users submit, and in the form that the rest of the program uses. */
import * as v from 'valibot';

/** The priority class of a job. */
export type Rank = 'prod' | 'high' | 'normal' | 'idle';
/** Numeric ranks; a larger one goes first. */
export const rankOrder: Record<Rank, number> = { prod: 3, high: 2, normal: 1, idle: 0 };

/** The name of a numeric rank. */
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
  /** Jobs that must be done before any task of this one starts. */
  dependencies: string[];
}

const LIMIT = 1e12;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(LIMIT));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0), v.maxValue(LIMIT));
const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(256));

/** The format of a job id, which also makes it safe inside a key of the state service. */
export const jobIdPattern = /^wk-[0-9A-Za-z_.-]{1,100}$/;

const jobId = v.pipe(v.string(), v.regex(jobIdPattern));

const submissionSchema = v.object({
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

/** A parsed job, or the error in its description. */
export type ParsedJob = { job: JobSpec } | { error: string };

/** Parses the body of a submission; the error names the first invalid field. */
export function parseJob(body: string): ParsedJob {
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    return { error: 'not JSON' };
  }
  const result = v.safeParse(submissionSchema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    return { error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const fields = result.output;
  return {
    job: {
      id: fields.Uid,
      jobClass: fields.Jobclass,
      team: fields.Owner,
      isService: fields.Shape === 'daemon',
      isGang: fields.Shape === 'ensemble',
      rank: fields.Rank,
      taskCount: fields.Pieces,
      cpus: fields.Cores,
      gpus: fields.Accelerators,
      memoryGb: fields.MemoryGb,
      machineTypes: fields.Flavours ?? null,
      zone: fields.Yard ?? null,
      sameZone: fields.SamePlace,
      spreadZones: fields.Apart,
      allowsSpot: fields.Loaners,
      image: fields.Bundle,
      imageGb: fields.PullGb,
      expectedRunSeconds: fields.ExpectS,
      checkpointInterval: fields.SnapshotS,
      checkpointDuration: fields.FlushS,
      deadline: fields.DueS ?? null,
      dependencies: [...new Set(fields.WaitsOn)],
    },
  };
}

/** A job's status as users see it. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** A job's state as one node sees it. */
export interface JobView {
  status: JobStatus;
  done: number;
  running: number;
  /** What the job waits for, as sentences for users. */
  reason: string | null;
}

/** The answer to a query for a job's state. */
export const jobViewAnswer = (id: string, view: JobView): Record<string, unknown> => ({
  Uid: id,
  Status: view.status,
  done: view.done,
  running: view.running,
  ...(view.reason === null ? {} : { Reason: view.reason }),
});

const jobAnswerSchema = v.object({
  Uid: jobId,
  Status: v.picklist(['queued', 'running', 'done', 'cancelled']),
});

/** Parses a peer's answer about a job into its id and status; null if it is malformed. */
export function parseJobAnswer(body: unknown): { id: string; status: JobStatus } | null {
  const result = v.safeParse(jobAnswerSchema, body);
  return result.success ? { id: result.output.Uid, status: result.output.Status } : null;
}

/** The answer to a submission or a cancellation. */
export const jobStatusAnswer = (id: string, status: JobStatus): Record<string, unknown> => ({
  Uid: id,
  Status: status,
});
