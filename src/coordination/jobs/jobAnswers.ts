/**
 * Decides what users may be told about a job (safety, U10 to U12). This is the only place that does, and it does so just
 * before the first byte of a reply is sent. A final state may always be sent. An open state may be sent only on evidence
 * that is not older than the request, and only if this node knows nothing newer; otherwise the user is asked to retry.
 */
import type { Clock } from '../../base/clock.js';
import type { JobStatus } from '../../protocol/job.js';
import type { FinalJobRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { Reply } from '../../transport/httpServer.js';
import type {
  AnswerSource,
  AnswerWithheldReason,
  Invariant,
  UserRequestKind,
} from '../audit/auditEvent.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { Authority } from '../leadership/authority.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import { finalView } from './jobViews.js';
import {
  statusReply,
  unavailable,
  viewReply,
  type AnswerEvidence,
  type JobReply,
  type StateReply,
} from './replies.js';

/** A user's request about a job; `receivedAt` is monotonic time. */
export interface UserRequest {
  readonly kind: UserRequestKind;
  readonly job: string;
  readonly receivedAt: number;
}

/** Dependencies of `JobAnswers`. */
export interface JobAnswersContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly stateCache: Pick<StateCache, 'get' | 'revision'>;
  readonly authority: Pick<Authority, 'mayAct'>;
  readonly leadership: { readonly leaseExpiresAt: number };
  readonly pipelines: Pick<Pipelines, 'mayReportOpen'>;
  readonly audit: Pick<AuditTrail, 'note'>;
}

/** Number of remembered final states at which those that the cache shows by now are dropped. */
const PRUNE_THRESHOLD = 256;

/** Statuses that tell a user that the job is not, and will not be, accepted. */
const DENYING_STATUSES = [400, 404, 422];

const isFinal = (status: JobStatus): boolean => status === 'done' || status === 'cancelled';

/** Decides which replies about jobs may be sent. */
export class JobAnswers {
  /** Final states that this node has reported on a peer's answer, before its own cache showed them. */
  private readonly reportedFinalStates = new Map<string, JobStatus>();

  constructor(private readonly context: JobAnswersContext) {}

  /** Attaches the decision to the reply; it is made when the reply is sent. */
  decideOnSending(request: UserRequest, reply: JobReply): Reply {
    return { ...reply, atSending: () => this.decide(request, reply) };
  }

  /** The reply that may be sent now: the given one, a newer one or a refusal. */
  private decide(request: UserRequest, reply: JobReply): Reply {
    if (reply.reported === undefined) return this.decideOnStatelessReply(request, reply);
    const cached = this.cachedFinalRecord(request.job);
    if (cached !== null) return this.decideOnCachedFinal(request, reply, cached);
    const { status, evidence } = reply.reported;
    if (isFinal(status)) return this.decideOnUncachedFinal(request, reply);
    const reason = this.withholdingReason(request, evidence);
    return reason === null ? this.approve(request, reply) : this.withhold(request, reason);
  }

  private cachedFinalRecord(job: string): FinalJobRecord | null {
    const record = cachedJob(this.context.stateCache, job);
    return record === undefined || record.state === 'open' ? null : record;
  }

  /** Withholds a reply that denies a cached job: the job was accepted, and users may know that already. */
  private decideOnStatelessReply(request: UserRequest, reply: Reply): Reply {
    const deniesJob = DENYING_STATUSES.includes(reply.status);
    if (!deniesJob || cachedJob(this.context.stateCache, request.job) === undefined) return reply;
    return this.withhold(request, 'job-is-known');
  }

  /** The cache shows a final state, which is sent; the given reply may be older than that. */
  private decideOnCachedFinal(
    request: UserRequest,
    reply: StateReply,
    cached: FinalJobRecord,
  ): Reply {
    this.reportedFinalStates.delete(request.job);
    const view = finalView(cached);
    const { status } = reply.reported;
    if (isFinal(status) && status !== view.status) {
      return this.withholdConflictingFinal(request, `${status}, cached: ${view.status}`);
    }
    if (isFinal(status)) return this.approve(request, reply);
    const evidence = { kind: 'final' } as const;
    return this.approve(
      request,
      request.kind === 'read'
        ? viewReply(request.job, view, evidence)
        : statusReply(request.job, view.status, evidence),
    );
  }

  /** The reply has a final state that the cache does not show yet; it is sent unless another one was sent before. */
  private decideOnUncachedFinal(request: UserRequest, reply: StateReply): Reply {
    const { status } = reply.reported;
    const reported = this.reportedFinalStates.get(request.job);
    if (reported !== undefined && reported !== status) {
      return this.withholdConflictingFinal(request, `${status}, after ${reported}`);
    }
    if (this.reportedFinalStates.size >= PRUNE_THRESHOLD) this.prune();
    this.reportedFinalStates.set(request.job, status);
    return this.approve(request, reply);
  }

  private prune(): void {
    for (const job of this.reportedFinalStates.keys()) {
      if (this.cachedFinalRecord(job) !== null) this.reportedFinalStates.delete(job);
    }
  }

  /** Why an open state must not be sent now; null if it may be sent. */
  private withholdingReason(
    request: UserRequest,
    evidence: AnswerEvidence,
  ): AnswerWithheldReason | null {
    if (this.reportedFinalStates.has(request.job)) return 'told-final-before';
    if (evidence.kind === 'leader' && !this.isCurrent(evidence)) return 'leadership-ended';
    if ('asOf' in evidence && evidence.asOf < request.receivedAt) {
      this.reportViolation(request, 'answer-older-than-question', evidence.kind);
      return 'older-than-question';
    }
    // The job may have been cancelled with one of its dependencies without this node knowing. A peer has checked that itself.
    const needsLocalCheck = evidence.kind !== 'peer';
    if (needsLocalCheck && !this.context.pipelines.mayReportOpen(request.job)) {
      return 'dependency-may-be-cancelled';
    }
    return null;
  }

  /** Whether the leader's state in memory is the latest: its leadership is valid and no change of the record is unanswered. */
  private isCurrent({ homeShard, job }: Extract<AnswerEvidence, { kind: 'leader' }>): boolean {
    return this.context.authority.mayAct(homeShard) && job.isOutcomeUnknown !== true;
  }

  private withholdConflictingFinal(request: UserRequest, detail: string): Reply {
    this.reportViolation(request, 'final-states-differ', detail);
    return this.withhold(request, 'final-states-differ');
  }

  private reportViolation({ kind, job }: UserRequest, invariant: Invariant, detail: string): void {
    const shard = cachedJob(this.context.stateCache, job)?.homeShard ?? '-';
    this.context.audit.note({
      event: 'invariant-violated',
      invariant,
      shard,
      detail: `${kind} ${job}: ${detail}`,
    });
  }

  private withhold({ kind: request, job }: UserRequest, reason: AnswerWithheldReason): Reply {
    this.context.audit.note({ event: 'answer-withheld', request, job, reason });
    return unavailable('the state of the job is being asked for anew');
  }

  private approve({ kind: request }: UserRequest, reply: StateReply): Reply {
    const { job, status: state, evidence } = reply.reported;
    const source = this.sourceOf(evidence);
    this.context.audit.note({ event: 'job-answered', request, job, state, ...source });
    return reply;
  }

  private sourceOf(evidence: AnswerEvidence): AnswerSource {
    const { clock, leadership, stateCache } = this.context;
    const now = clock.now();
    switch (evidence.kind) {
      case 'final':
        return { source: 'final', revision: stateCache.revision };
      case 'leader': {
        const { shard, fencingToken } = evidence.homeShard;
        const leaseLeft = leadership.leaseExpiresAt - now;
        return { source: 'leader', shard: shard.label, fencingToken, leaseLeft };
      }
      case 'store':
        return { source: 'store', age: now - evidence.asOf };
      case 'peer':
        return { source: 'peer', peer: evidence.peer, age: now - evidence.asOf };
    }
  }
}
