/** What users may be told about a job, depending on the evidence and on what the node knows when the reply is sent. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AuditEvent, UserRequestKind } from '../../src/coordination/audit/auditEvent.js';
import { JobAnswers } from '../../src/coordination/jobs/jobAnswers.js';
import {
  NO_SUCH_JOB,
  statusReply,
  unavailable,
  type AnswerEvidence,
  type JobReply,
} from '../../src/coordination/jobs/replies.js';
import {
  createOwnedShard,
  type HomeJob,
  type OwnedShard,
} from '../../src/coordination/leadership/ownedShard.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { replyAtSending, type Reply } from '../../src/transport/httpServer.js';
import { emptyShard } from '../support/emptyShard.js';
import { jobRecord } from '../support/jobSpec.js';

const JOB = 'wk-000077';
const RECEIVED_AT = 10;

const record = (state: JobRecord['state']): JobRecord => jobRecord(JOB, 'p', state);

/** A node at the moment of sending a reply. */
class Node {
  cached: JobRecord | undefined = record('open');
  isLeaseValid = true;
  mayReportOpen = true;
  readonly events: AuditEvent[] = [];
  readonly homeShard: OwnedShard = createOwnedShard(
    emptyShard(1),
    { fencingToken: 5, revision: 1 },
    0,
  );
  readonly job: HomeJob = { id: JOB, record: record('open'), revision: 1, isWriteInFlight: false };
  private readonly answers: JobAnswers;

  constructor() {
    this.answers = new JobAnswers({
      clock: { now: () => 12 },
      stateCache: {
        revision: 7,
        get: (key) =>
          key === keys.job(JOB) && this.cached !== undefined
            ? { value: this.cached, revision: 7 }
            : undefined,
      },
      authority: { mayAct: ({ isOwned }) => isOwned && this.isLeaseValid },
      leadership: { leaseExpiresAt: 15 },
      pipelines: { mayReportOpen: () => this.mayReportOpen },
      audit: {
        note: (event) => {
          this.events.push(event);
        },
      },
    });
  }

  get asLeader(): AnswerEvidence {
    return { kind: 'leader', homeShard: this.homeShard, job: this.job };
  }

  send(reply: JobReply, kind: UserRequestKind = 'read'): Reply {
    const decided = this.answers.decideOnSending(
      { kind, job: JOB, receivedAt: RECEIVED_AT },
      reply,
    );
    return replyAtSending(decided);
  }

  get violations(): string[] {
    return this.events.flatMap((event) =>
      event.event === 'invariant-violated' ? [event.invariant] : [],
    );
  }
}

const outcomeOf = ({ status, body }: Reply): string | number =>
  (body as { Status?: string }).Status ?? status;

const fromStore = (asOf: number): AnswerEvidence => ({ kind: 'store', asOf });
const fromPeer = (asOf: number): AnswerEvidence => ({ kind: 'peer', peer: 'q', asOf });

const cases: {
  name: string;
  /** What has changed by the time that the reply is sent. */
  before?: (node: Node) => void;
  reply: (node: Node) => JobReply;
  expected: string | number;
  violations?: string[];
}[] = [
  {
    name: 'an open state from the leader is sent',
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    expected: 'queued',
  },
  {
    name: 'an open state from a leader whose lease has expired is withheld',
    before: (node) => (node.isLeaseValid = false),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    expected: 503,
  },
  {
    name: 'an open state from a leader that has lost the shard is withheld',
    before: (node) => (node.homeShard.isOwned = false),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    expected: 503,
  },
  {
    name: 'an open state from a leader is withheld while a change of the record is unanswered',
    before: (node) => (node.job.isOutcomeUnknown = true),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    expected: 503,
  },
  {
    name: 'an open state that was read from the state service at the time of the request is sent',
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT)),
    expected: 'running',
  },
  {
    name: 'an open state that was read from the state service before the request is withheld',
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT - 0.001)),
    expected: 503,
    violations: ['answer-older-than-question'],
  },
  {
    name: 'an open state that was requested from a peer before the request is withheld',
    reply: () => statusReply(JOB, 'running', fromPeer(RECEIVED_AT - 0.001)),
    expected: 503,
    violations: ['answer-older-than-question'],
  },
  {
    name: 'an open state from a peer is sent although this node cannot tell whether a dependency was cancelled',
    before: (node) => (node.mayReportOpen = false),
    reply: () => statusReply(JOB, 'queued', fromPeer(RECEIVED_AT)),
    expected: 'queued',
  },
  {
    name: 'an open state from the state service is withheld if this node cannot tell whether a dependency was cancelled',
    before: (node) => (node.mayReportOpen = false),
    reply: () => statusReply(JOB, 'queued', fromStore(RECEIVED_AT)),
    expected: 503,
  },
  {
    name: 'an open state is replaced by the final state in the cache',
    before: (node) => (node.cached = record('cancelled')),
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT)),
    expected: 'cancelled',
  },
  {
    name: 'a final state from a peer is sent although the cached record is open',
    reply: () => statusReply(JOB, 'done', fromPeer(RECEIVED_AT - 5)),
    expected: 'done',
  },
  {
    name: 'a final state that differs from the cached one is withheld',
    before: (node) => (node.cached = record('cancelled')),
    reply: () => statusReply(JOB, 'done', fromPeer(RECEIVED_AT)),
    expected: 503,
    violations: ['final-states-differ'],
  },
  {
    name: '"no such job" is withheld if the job is cached',
    reply: () => NO_SUCH_JOB,
    expected: 503,
  },
  {
    name: '"no such job" is sent if the job is not cached',
    before: (node) => (node.cached = undefined),
    reply: () => NO_SUCH_JOB,
    expected: 404,
  },
  {
    name: 'a refusal of an infeasible job is withheld if the job is cached',
    reply: () => ({ status: 422, body: { error: 'too large' } }),
    expected: 503,
  },
  { name: 'a reply that asks to retry is sent', reply: () => unavailable('busy'), expected: 503 },
];

for (const { name, before, reply, expected, violations = [] } of cases) {
  test(`answers: ${name}`, () => {
    const node = new Node();
    before?.(node);
    assert.equal(outcomeOf(node.send(reply(node))), expected);
    assert.deepEqual(node.violations, violations);
  });
}

test('answers: after a final state from a peer an open one is withheld, even if the cache shows no final state', () => {
  const node = new Node();
  assert.equal(
    outcomeOf(node.send(statusReply(JOB, 'cancelled', fromPeer(RECEIVED_AT)))),
    'cancelled',
  );
  assert.equal(outcomeOf(node.send(statusReply(JOB, 'running', fromStore(RECEIVED_AT)))), 503);
  assert.deepEqual(node.violations, []);
});

test('answers: after a final state from a peer a different one is withheld and violates an invariant', () => {
  const node = new Node();
  node.send(statusReply(JOB, 'cancelled', fromPeer(RECEIVED_AT)));
  assert.equal(outcomeOf(node.send(statusReply(JOB, 'done', fromPeer(RECEIVED_AT)))), 503);
  assert.deepEqual(node.violations, ['final-states-differ']);
});

test('answers: the audit trail records each reported state and its evidence', () => {
  const node = new Node();
  node.send(statusReply(JOB, 'queued', node.asLeader, 201), 'submit');
  node.send(statusReply(JOB, 'running', fromStore(11)));
  node.homeShard.isOwned = false;
  node.send(statusReply(JOB, 'queued', node.asLeader));
  const reported = { event: 'job-answered', job: JOB };
  assert.deepEqual(node.events, [
    {
      ...{ ...reported, request: 'submit', state: 'queued', source: 'leader' },
      ...{ shard: 'p', fencingToken: 5, leaseLeft: 3 },
    },
    { ...reported, request: 'read', state: 'running', source: 'store', age: 1 },
    { event: 'answer-withheld', request: 'read', job: JOB, reason: 'leadership-ended' },
  ]);
});
