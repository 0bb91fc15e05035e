/** Replies to users' requests about jobs: those that tell a job's state, and those that tell nothing of it. */
import {
  jobStatusAnswer,
  jobViewAnswer,
  type JobStatus,
  type JobView,
} from '../../protocol/job.js';
import type { Reply } from '../../transport/httpServer.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';

/** On what a job's state is told. `asOf`: steady time from which on, at the earliest, the evidence tells of the job. */
export type AnswerEvidence =
  /** A record that says how the job ended, from whatever copy: it never changes. */
  | { readonly kind: 'final' }
  /** The memory of the leader of the job's home shard. */
  | { readonly kind: 'leader'; readonly homeShard: OwnedShard; readonly job: HomeJob }
  /** The stored record, asked for at `asOf`. */
  | { readonly kind: 'store'; readonly asOf: number }
  /** What a peer has answered when it was asked at `asOf`. */
  | { readonly kind: 'peer'; readonly peer: string; readonly asOf: number };

/** A job's state, and on what it is told. */
export interface ReportedJob {
  readonly job: string;
  readonly status: JobStatus;
  readonly evidence: AnswerEvidence;
}

/** A reply that tells a job's state. */
export interface StateReply extends Reply {
  readonly status: 200 | 201;
  readonly stated: ReportedJob;
}

/** A reply that says nothing of how a job stands. */
export interface StatelessReply extends Reply {
  readonly status: 400 | 404 | 422 | 503;
  readonly stated?: undefined;
}

/** A reply to a user's request about a job; `JobAnswers` decides whether it may leave. */
export type JobReply = StateReply | StatelessReply;

/** The reply to a question about a job. */
export const viewReply = (job: string, view: JobView, evidence: AnswerEvidence): StateReply => ({
  status: 200,
  body: jobViewAnswer(job, view),
  stated: { job, status: view.status, evidence },
});

/** The reply to a submission or a cancellation; 201: the job was accepted just now. */
export const statusReply = (
  job: string,
  status: JobStatus,
  evidence: AnswerEvidence,
  httpStatus: 200 | 201 = 200,
): StateReply => ({
  status: httpStatus,
  body: jobStatusAnswer(job, status),
  stated: { job, status, evidence },
});

/** Not now: the user should come back after `retryAfter` seconds. */
export const unavailable = (reason: string, retryAfter = 1): StatelessReply => ({
  status: 503,
  body: { error: reason },
  retryAfter,
});

/** Neither the state service nor any peer is in reach of this node. */
export const isolatedReply = (): StatelessReply =>
  unavailable('this node is cut off from the others and the state service', 2);

/** No job of this id was ever accepted. */
export const NO_SUCH_JOB: StatelessReply = { status: 404, body: { error: 'no such job' } };
