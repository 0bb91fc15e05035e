/** Replies to users' requests about jobs: those that report a job's state, and those that do not. */
import {
  jobStatusAnswer,
  jobViewAnswer,
  type JobStatus,
  type JobView,
} from '../../protocol/job.js';
import type { Reply } from '../../transport/httpServer.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';

/** What a reported job state is based on. `asOf`: the state is not older than this monotonic time. */
export type AnswerEvidence =
  /** A record with a final state, from any source: a final state never changes. */
  | { readonly kind: 'final' }
  /** The state in memory of the leader of the job's home shard. */
  | { readonly kind: 'leader'; readonly homeShard: OwnedShard; readonly job: HomeJob }
  /** The stored record, requested at `asOf`. */
  | { readonly kind: 'store'; readonly asOf: number }
  /** The answer of a peer that was asked at `asOf`. */
  | { readonly kind: 'peer'; readonly peer: string; readonly asOf: number };

/** A job's state as reported to a user, and its evidence. */
export interface ReportedJob {
  readonly job: string;
  readonly status: JobStatus;
  readonly evidence: AnswerEvidence;
}

/** A reply that reports a job's state. */
export interface StateReply extends Reply {
  readonly status: 200 | 201;
  readonly reported: ReportedJob;
}

/** A reply that does not report a job's state. */
export interface StatelessReply extends Reply {
  readonly status: 400 | 404 | 422 | 503;
  readonly reported?: undefined;
}

/** A reply to a user's request about a job; `JobAnswers` decides whether it may be sent. */
export type JobReply = StateReply | StatelessReply;

/** The reply to a query for a job's state. */
export const viewReply = (job: string, view: JobView, evidence: AnswerEvidence): StateReply => ({
  status: 200,
  body: jobViewAnswer(job, view),
  reported: { job, status: view.status, evidence },
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
  reported: { job, status, evidence },
});

/** A reply that asks the user to retry after `retryAfter` seconds. */
export const unavailable = (reason: string, retryAfter = 1): StatelessReply => ({
  status: 503,
  body: { error: reason },
  retryAfter,
});

/** The reply of a node that can reach neither the state service nor any peer. */
export const isolatedReply = (): StatelessReply =>
  unavailable('this node is cut off from the others and the state service', 2);

/** The reply to a submission whose records would be beyond the limits of the state service. */
export const TOO_LARGE: StatelessReply = {
  status: 400,
  body: { error: 'the description is too large to be stored' },
};

/** The reply if no job with this id was ever accepted. */
export const NO_SUCH_JOB: StatelessReply = { status: 404, body: { error: 'no such job' } };
