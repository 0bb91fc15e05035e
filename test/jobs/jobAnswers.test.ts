/** What users may be told of a job, by the evidence and by what is known as the reply leaves. */
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
import { jobRecord } from '../support/spec.js';

const JOB = 'wk-000077';
const RECEIVED_AT = 10;

const record = (state: JobRecord['state']): JobRecord => jobRecord(JOB, 'p', state);

/** A node at the moment at which a reply leaves it. */
class Node {
  copy: JobRecord | undefined = record('open');
  isLeaseValid = true;
  mayCallOpen = true;
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
          key === keys.job(JOB) && this.copy !== undefined
            ? { value: this.copy, revision: 7 }
            : undefined,
      },
      authority: { mayAct: ({ isOwned }) => isOwned && this.isLeaseValid },
      leadership: { leaseExpiresAt: 15 },
      pipelines: { mayCallOpen: () => this.mayCallOpen },
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

const saidBy = ({ status, body }: Reply): string | number =>
  (body as { Status?: string }).Status ?? status;

const fromStore = (asOf: number): AnswerEvidence => ({ kind: 'store', asOf });
const fromPeer = (asOf: number): AnswerEvidence => ({ kind: 'peer', peer: 'q', asOf });

const cases: {
  name: string;
  /** What has happened by the time that the reply leaves. */
  given?: (node: Node) => void;
  reply: (node: Node) => JobReply;
  said: string | number;
  violations?: string[];
}[] = [
  {
    name: 'open by the leader',
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    said: 'queued',
  },
  {
    name: 'open by a leader whose lease has lapsed',
    given: (node) => (node.isLeaseValid = false),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    said: 503,
  },
  {
    name: 'open by a leader that has lost the shard',
    given: (node) => (node.homeShard.isOwned = false),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    said: 503,
  },
  {
    name: 'open by a leader while a change of the record has no answer',
    given: (node) => (node.job.isOutcomeUnknown = true),
    reply: (node) => statusReply(JOB, 'queued', node.asLeader),
    said: 503,
  },
  {
    name: 'open by the store, asked as the question came',
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT)),
    said: 'running',
  },
  {
    name: 'open by the store, asked before the question came',
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT - 0.001)),
    said: 503,
    violations: ['answer-older-than-question'],
  },
  {
    name: 'open by a peer, asked before the question came',
    reply: () => statusReply(JOB, 'running', fromPeer(RECEIVED_AT - 0.001)),
    said: 503,
    violations: ['answer-older-than-question'],
  },
  {
    name: 'open by a peer, while this node can not tell whether a dependency was cancelled',
    given: (node) => (node.mayCallOpen = false),
    reply: () => statusReply(JOB, 'queued', fromPeer(RECEIVED_AT)),
    said: 'queued',
  },
  {
    name: 'open by the store, while this node can not tell whether a dependency was cancelled',
    given: (node) => (node.mayCallOpen = false),
    reply: () => statusReply(JOB, 'queued', fromStore(RECEIVED_AT)),
    said: 503,
  },
  {
    name: 'open, while the copy has learned of the end',
    given: (node) => (node.copy = record('cancelled')),
    reply: () => statusReply(JOB, 'running', fromStore(RECEIVED_AT)),
    said: 'cancelled',
  },
  {
    name: 'a final state by a peer, whatever the copy says',
    reply: () => statusReply(JOB, 'done', fromPeer(RECEIVED_AT - 5)),
    said: 'done',
  },
  {
    name: 'a final state other than that of the copy',
    given: (node) => (node.copy = record('cancelled')),
    reply: () => statusReply(JOB, 'done', fromPeer(RECEIVED_AT)),
    said: 503,
    violations: ['final-states-differ'],
  },
  {
    name: 'no such job, while the copy has it',
    reply: () => NO_SUCH_JOB,
    said: 503,
  },
  {
    name: 'no such job, and the copy has none',
    given: (node) => (node.copy = undefined),
    reply: () => NO_SUCH_JOB,
    said: 404,
  },
  {
    name: 'a refusal as impossible, while the copy has the job',
    reply: () => ({ status: 422, body: { error: 'too large' } }),
    said: 503,
  },
  { name: 'come back later', reply: () => unavailable('busy'), said: 503 },
];

for (const { name, given, reply, said, violations = [] } of cases) {
  test(`answers: ${name}`, () => {
    const node = new Node();
    given?.(node);
    assert.equal(saidBy(node.send(reply(node))), said);
    assert.deepEqual(node.violations, violations);
  });
}

test('answers: after a final state by a peer an open one is withheld, though the copy is behind', () => {
  const node = new Node();
  assert.equal(
    saidBy(node.send(statusReply(JOB, 'cancelled', fromPeer(RECEIVED_AT)))),
    'cancelled',
  );
  assert.equal(saidBy(node.send(statusReply(JOB, 'running', fromStore(RECEIVED_AT)))), 503);
  assert.deepEqual(node.violations, []);
});

test('answers: after a final state by a peer another one is withheld, and violates an invariant', () => {
  const node = new Node();
  node.send(statusReply(JOB, 'cancelled', fromPeer(RECEIVED_AT)));
  assert.equal(saidBy(node.send(statusReply(JOB, 'done', fromPeer(RECEIVED_AT)))), 503);
  assert.deepEqual(node.violations, ['final-states-differ']);
});

test('answers: what was told and on what evidence is in the audit trail', () => {
  const node = new Node();
  node.send(statusReply(JOB, 'queued', node.asLeader, 201), 'submit');
  node.send(statusReply(JOB, 'running', fromStore(11)));
  node.homeShard.isOwned = false;
  node.send(statusReply(JOB, 'queued', node.asLeader));
  const told = { event: 'job-answered', job: JOB };
  assert.deepEqual(node.events, [
    {
      ...{ ...told, request: 'submit', state: 'queued', source: 'leader' },
      ...{ shard: 'p', fencingToken: 5, leaseLeft: 3 },
    },
    { ...told, request: 'read', state: 'running', source: 'store', age: 1 },
    { event: 'answer-withheld', request: 'read', job: JOB, reason: 'leadership-ended' },
  ]);
});
