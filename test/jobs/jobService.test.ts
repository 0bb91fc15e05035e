/** Answers to users: never older than what the node that answers knows by then. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import { Controller } from '../../src/coordination/controller/controller.js';
import { JobService } from '../../src/coordination/jobs/jobService.js';
import { defaultTuning, parseSettings } from '../../src/protocol/settings.js';
import { compactJob } from '../../src/storage/compactRecords.js';
import { toPlainJob } from '../../src/storage/plainRecords.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import type { Response } from '../../src/transport/httpClient.js';
import { replyAtSending, type Reply } from '../../src/transport/httpServer.js';
import { submission } from '../support/cluster.js';
import { settingsText } from '../support/settings.js';
import { jobRecord } from '../support/spec.js';

const ID = 'wk-000901';

const PEER = '[[peers]]\nlabel = "q"\nsite = "a"\nendpoint = "127.0.0.1:1"\n';

const SETTINGS = parseSettings(settingsText(PEER));

const record = (state: JobRecord['state']): JobRecord => jobRecord(ID, 'q', state);

/** A node whose reads of the state service are answered when the test says so, and which hears a peer. */
class Asked {
  readonly node: Controller;
  readonly users: JobService;
  readonly reads: ((response: Response) => void)[] = [];
  relays: ((answer: { status: number; body: string; retryAfter: null }) => void)[] = [];

  constructor(state: JobRecord['state'] | null) {
    const call = (_: string, method: string, target: string): Promise<Response> =>
      method === 'GET' && target.startsWith('/kv/')
        ? new Promise((resolve) => this.reads.push(resolve))
        : Promise.reject(new Error('refused'));
    const clock = { now: () => 100, wall: () => 1000 };
    const links = { services: { call }, machines: { call } };
    this.node = new Controller(SETTINGS, defaultTuning, clock, seededRandom(1), links, 'x');
    Object.defineProperty(this.node, 'isIsolated', { value: false });
    Object.defineProperty(this.node.leadership, 'isLeaseValid', { value: true });
    this.node.peers.relay = () => new Promise((resolve) => this.relays.push(resolve));
    this.users = new JobService(this.node);
    if (state !== null) this.node.stateCache.note(keys.job(ID), record(state), 5);
    this.node.stateCache.note(keys.leader('q'), { node: 'q', fencingToken: 1, process: 'y' }, 1);
  }

  /** Meanwhile the record of the job's end reaches this node. */
  hearEnd(state: JobRecord['state']): void {
    this.node.stateCache.note(keys.job(ID), record(state), 9);
  }
}

const until = async (test: () => boolean): Promise<void> => {
  for (let turns = 0; !test() && turns < 100; turns++) await new Promise((r) => setImmediate(r));
  assert.ok(test());
};

const statusOf = (reply: Reply): unknown =>
  (replyAtSending(reply).body as { Status?: string }).Status;

const cases: {
  name: string;
  ask: (users: JobService) => Promise<Reply>;
  by: 'store' | 'peer';
}[] = [
  { name: 'a question', by: 'peer', ask: (users) => users.read(ID, false) },
  { name: 'a question that a peer passed on', by: 'store', ask: (users) => users.read(ID, true) },
  {
    name: 'a repeated submission',
    by: 'store',
    ask: (users) => users.submit(JSON.stringify(submission(ID)), false),
  },
];

for (const { name, ask, by } of cases) {
  for (const end of ['done', 'cancelled'] as const) {
    test(`${name}, answered by the ${by} before the job was ${end}, tells what this node has heard since`, async () => {
      const asked = new Asked('open');
      const reply = ask(asked.users);
      await until(() => asked.reads.length + asked.relays.length > 0);
      asked.hearEnd(end);
      const item = { K: keys.job(ID), Value: toPlainJob(record('open')), Stamp: 5 };
      const body = JSON.stringify({ Uid: ID, Status: 'running', done: 0, running: 3 });
      asked.reads[0]?.({ status: 200, body: item, retryAfter: null });
      asked.relays[0]?.({ status: 200, body, retryAfter: null });
      assert.equal(statusOf(await reply), end);
    });
  }
}

test('a question about a job that is unknown here, and accepted while the store is asked, is no 404', async () => {
  const asked = new Asked(null);
  const reply = asked.users.read(ID, true);
  await until(() => asked.reads.length > 0);
  asked.hearEnd('open');
  asked.reads[0]?.({ status: 404, body: { Epoch: 4 }, retryAfter: null });
  const { status } = replyAtSending(await reply);
  assert.equal(status, 200);
});

test('a cancellation of a job that has ended while the store was read says how it ended', async () => {
  const asked = new Asked(null);
  const reply = asked.users.cancel(ID, true);
  await until(() => asked.reads.length > 0);
  asked.hearEnd('done');
  const item = { K: keys.job(ID), Value: toPlainJob(record('open')), Stamp: 5 };
  asked.reads[0]?.({ status: 200, body: item, retryAfter: null });
  assert.equal(statusOf(await reply), 'done');
});

// A job's final state never changes, so "done" must rest on a record that says so. An open record whose description was lost
// was called done: only records of jobs that are over have none.
for (const layout of ['plain', 'compact'] as const) {
  test(`an open record without a description (${layout}) is not called done`, async () => {
    const asked = new Asked(null);
    const reply = asked.users.read(ID, true);
    await until(() => asked.reads.length > 0);
    // No type allows it; what is stored may be anything.
    const stored = { ...record('open'), spec: null } as unknown as JobRecord;
    const value = layout === 'plain' ? toPlainJob(stored) : compactJob(stored);
    asked.reads[0]?.({
      status: 200,
      body: { K: keys.job(ID), Value: value, Stamp: 5 },
      retryAfter: null,
    });
    assert.equal(replyAtSending(await reply).status, 503);
  });
}
