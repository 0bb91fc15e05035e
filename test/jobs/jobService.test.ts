/** Answers to users are never older than what the answering node knows when it sends them. */
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
import { jobRecord } from '../support/jobSpec.js';

const ID = 'wk-000901';

const PEER = '[[peers]]\nlabel = "q"\nsite = "a"\nendpoint = "127.0.0.1:1"\n';

const SETTINGS = parseSettings(settingsText(PEER));

const record = (state: JobRecord['state']): JobRecord => jobRecord(ID, 'q', state);

/** A node whose reads of the state service and relays to a peer are answered when the test decides. */
class NodeWithDelayedReads {
  readonly node: Controller;
  readonly jobs: JobService;
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
    this.jobs = new JobService(this.node);
    if (state !== null) this.node.stateCache.applyPut(keys.job(ID), record(state), 5);
    this.node.stateCache.applyPut(
      keys.leader('q'),
      { node: 'q', fencingToken: 1, process: 'y' },
      1,
    );
  }

  /** Delivers a newer record of the job to this node's cache. */
  deliverRecord(state: JobRecord['state']): void {
    this.node.stateCache.applyPut(keys.job(ID), record(state), 9);
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
  ask: (jobs: JobService) => Promise<Reply>;
  by: 'store' | 'peer';
}[] = [
  { name: 'a query', by: 'peer', ask: (jobs) => jobs.read(ID, false) },
  { name: 'a query relayed by a peer', by: 'store', ask: (jobs) => jobs.read(ID, true) },
  {
    name: 'a repeated submission',
    by: 'store',
    ask: (jobs) => jobs.submit(JSON.stringify(submission(ID)), false),
  },
];

for (const { name, ask, by } of cases) {
  for (const end of ['done', 'cancelled'] as const) {
    test(`${name}, answered by the ${by} before the job was ${end}, reports the newer cached state`, async () => {
      const fixture = new NodeWithDelayedReads('open');
      const reply = ask(fixture.jobs);
      await until(() => fixture.reads.length + fixture.relays.length > 0);
      fixture.deliverRecord(end);
      const item = { K: keys.job(ID), Value: toPlainJob(record('open')), Stamp: 5 };
      const body = JSON.stringify({ Uid: ID, Status: 'running', done: 0, running: 3 });
      fixture.reads[0]?.({ status: 200, body: item, retryAfter: null });
      fixture.relays[0]?.({ status: 200, body, retryAfter: null });
      assert.equal(statusOf(await reply), end);
    });
  }
}

test('a query for an unknown job that is accepted while the state service is read is not answered with 404', async () => {
  const fixture = new NodeWithDelayedReads(null);
  const reply = fixture.jobs.read(ID, true);
  await until(() => fixture.reads.length > 0);
  fixture.deliverRecord('open');
  fixture.reads[0]?.({ status: 404, body: { Epoch: 4 }, retryAfter: null });
  const { status } = replyAtSending(await reply);
  assert.equal(status, 200);
});

test('a cancellation of a job that ends while the state service is read reports the final state', async () => {
  const fixture = new NodeWithDelayedReads(null);
  const reply = fixture.jobs.cancel(ID, true);
  await until(() => fixture.reads.length > 0);
  fixture.deliverRecord('done');
  const item = { K: keys.job(ID), Value: toPlainJob(record('open')), Stamp: 5 };
  fixture.reads[0]?.({ status: 200, body: item, retryAfter: null });
  assert.equal(statusOf(await reply), 'done');
});

// A final state never changes, so "done" must be based on a record with that state. Only records of jobs that have ended lack
// a description; an open record without one was once reported as done.
for (const layout of ['plain', 'compact'] as const) {
  test(`an open record without a description (${layout}) is not reported as done`, async () => {
    const fixture = new NodeWithDelayedReads(null);
    const reply = fixture.jobs.read(ID, true);
    await until(() => fixture.reads.length > 0);
    // The types do not allow this, but stored records may contain anything.
    const stored = { ...record('open'), spec: null } as unknown as JobRecord;
    const value = layout === 'plain' ? toPlainJob(stored) : compactJob(stored);
    fixture.reads[0]?.({
      status: 200,
      body: { K: keys.job(ID), Value: value, Stamp: 5 },
      retryAfter: null,
    });
    assert.equal(replyAtSending(await reply).status, 503);
  });
}
