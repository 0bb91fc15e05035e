/**
 * What users may be told of a job (safety, U10 to U12): the one place that decides it, asked just before the first byte of a
 * reply leaves. A final state always may. An open one may only on evidence that is not older than the question, and while
 * nothing newer is known here; else the user is told to come back.
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

/** A request of a user about a job; `receivedAt` is a steady time. */
export interface UserRequest {
  readonly kind: UserRequestKind;
  readonly job: string;
  readonly receivedAt: number;
}

/** What deciding on answers needs of a node. */
export interface JobAnswersContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly stateCache: Pick<StateCache, 'get' | 'revision'>;
  readonly authority: Pick<Authority, 'mayAct'>;
  readonly leadership: { readonly leaseExpiresAt: number };
  readonly pipelines: Pick<Pipelines, 'mayCallOpen'>;
  readonly audit: Pick<AuditTrail, 'note'>;
}

/** Final states from peers that this node's copy does not show yet: beyond so many, those that it shows are dropped. */
const PRUNE_SIZE = 256;

const isFinal = (status: JobStatus): boolean => status === 'done' || status === 'cancelled';

/** Decides whether replies about jobs may leave. */
export class JobAnswers {
  /** Final states that this node has told of, by a peer's word, before its own copy showed them. */
  private readonly toldFinal = new Map<string, JobStatus>();

  constructor(private readonly context: JobAnswersContext) {}

  /** The reply with the decision on it, which is taken as it leaves. */
  decideOnSending(request: UserRequest, reply: JobReply): Reply {
    return { ...reply, atSending: () => this.decide(request, reply) };
  }

  /** What may leave at this moment in place of the reply. */
  private decide(request: UserRequest, reply: JobReply): Reply {
    if (reply.stated === undefined) return this.decideOnRefusal(request, reply);
    const copy = this.finalCopyOf(request.job);
    if (copy !== null) return this.tellFinal(request, reply, copy);
    const { status, evidence } = reply.stated;
    if (isFinal(status)) return this.tellNewFinal(request, reply);
    const reason = this.whyWithheld(request, evidence);
    return reason === null ? this.tell(request, reply) : this.withhold(request, reason);
  }

  private finalCopyOf(job: string): FinalJobRecord | null {
    const record = cachedJob(this.context.stateCache, job);
    return record === undefined || record.state === 'open' ? null : record;
  }

  /** A job that is known here was accepted: to say that there is none would be older than what users were told. */
  private decideOnRefusal(request: UserRequest, reply: Reply): Reply {
    const deniesJob = reply.status === 404 || reply.status === 422;
    if (!deniesJob || cachedJob(this.context.stateCache, request.job) === undefined) return reply;
    return this.withhold(request, 'job-is-known');
  }

  /** This node's copy says how the job ended; the reply may be of before. */
  private tellFinal(request: UserRequest, reply: StateReply, copy: FinalJobRecord): Reply {
    this.toldFinal.delete(request.job);
    const view = finalView(copy);
    const { status } = reply.stated;
    if (isFinal(status) && status !== view.status) {
      return this.withholdSecondEnd(request, `${status}, by the copy ${view.status}`);
    }
    if (isFinal(status)) return this.tell(request, reply);
    const evidence = { kind: 'final' } as const;
    return this.tell(
      request,
      request.kind === 'read'
        ? viewReply(request.job, view, evidence)
        : statusReply(request.job, view.status, evidence),
    );
  }

  /** This node's copy does not show the end yet. */
  private tellNewFinal(request: UserRequest, reply: StateReply): Reply {
    const { status } = reply.stated;
    const told = this.toldFinal.get(request.job);
    if (told !== undefined && told !== status) {
      return this.withholdSecondEnd(request, `${status}, after ${told}`);
    }
    if (this.toldFinal.size >= PRUNE_SIZE) this.prune();
    this.toldFinal.set(request.job, status);
    return this.tell(request, reply);
  }

  private prune(): void {
    for (const job of this.toldFinal.keys()) {
      if (this.finalCopyOf(job) !== null) this.toldFinal.delete(job);
    }
  }

  /** Why an open state may not be told now; null: it may. */
  private whyWithheld(request: UserRequest, evidence: AnswerEvidence): AnswerWithheldReason | null {
    if (this.toldFinal.has(request.job)) return 'told-final-before';
    if (evidence.kind === 'leader' && !this.isCurrent(evidence)) return 'leadership-ended';
    if ('asOf' in evidence && evidence.asOf < request.receivedAt) {
      this.noteViolation(request, 'answer-older-than-question', evidence.kind);
      return 'older-than-question';
    }
    // A peer has asked itself that. It may have been cancelled with a job that it needs, and this node have missed it.
    const isJudgedHere = evidence.kind !== 'peer';
    if (isJudgedHere && !this.context.pipelines.mayCallOpen(request.job)) {
      return 'dependency-may-be-cancelled';
    }
    return null;
  }

  /** The leader's memory is the latest while its leadership is valid, but for a change of the record without an answer. */
  private isCurrent({ homeShard, job }: Extract<AnswerEvidence, { kind: 'leader' }>): boolean {
    return this.context.authority.mayAct(homeShard) && job.isOutcomeUnknown !== true;
  }

  private withholdSecondEnd(request: UserRequest, detail: string): Reply {
    this.noteViolation(request, 'final-states-differ', detail);
    return this.withhold(request, 'final-states-differ');
  }

  private noteViolation({ kind, job }: UserRequest, invariant: Invariant, detail: string): void {
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

  private tell({ kind: request }: UserRequest, reply: StateReply): Reply {
    const { job, status: state, evidence } = reply.stated;
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
