/** Accepting jobs: many in one transaction, each exactly once, whatever becomes of the answers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SubmissionWriter,
  type SubmissionWriterContext,
} from '../../src/coordination/jobs/submissionWriter.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { keys, type JobRecord, type BucketRecord } from '../../src/storage/records.js';
import type { Reply } from '../../src/transport/httpServer.js';
import { layoutFor } from '../support/layout.js';
import { emptyShard } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';
import { MemoryStore } from '../support/store.js';

class Counter {
  now = 0;
  readonly store = new MemoryStore();
  readonly host: OwnedShard;
  readonly accepting: SubmissionWriter;
  readonly answers = new Map<string, Reply>();
  /** What this node has noted of the records. */
  readonly copies = new Map<string, { value: unknown; revision: number }>();

  constructor(value = 16 * 1024) {
    this.store.limits.value = value;
    const part = emptyShard(3);
    this.host = createOwnedShard(part, { fencingToken: 5, revision: 1 }, 0);
    this.store.rows.set(keys.leader('q'), { key: keys.leader('q'), value: {}, revision: 2 });
    const { rows } = this.store;
    const node: SubmissionWriterContext = {
      process: 'x',
      shards: ['p', 'q'],
      settings: { txnOps: 16 },
      recordFormat: layoutFor(this.store.limits.value),
      clock: { now: () => this.now, wall: () => this.now },
      stateClient: this.store,
      stateCache: {
        get: (key) => this.copies.get(key) ?? rows.get(key),
        note: (key, value, revision) => {
          if ((this.copies.get(key)?.revision ?? -1) < revision)
            this.copies.set(key, { value, revision });
        },
      },
      leadership: { isLeaseValid: true, verifyLeadership: () => Promise.resolve() },
      persistence: { write: (_, txn) => this.store.transact(txn), acceptMissing: () => undefined },
      requestSchedulingRound: () => undefined,
    };
    this.accepting = new SubmissionWriter(node, (id) =>
      Promise.resolve({
        status: 200,
        body: { known: id },
        stated: { job: id, status: 'queued', evidence: { kind: 'final' } },
      }),
    );
  }

  /** A job of two chunks, the second for the peer. */
  submit(id: string, patience = 4, at = this.now): Promise<void> {
    const s = spec({ id, taskCount: 4 });
    const chunk = (k: number): Chunk => new Chunk(s, k, 'p', at, 2 * k, 2 * k + 2, null, this.now);
    const initialChunks = [
      { shard: 'p', chunk: chunk(0) },
      { shard: 'q', chunk: chunk(1) },
    ];
    const record: JobRecord = {
      spec: s,
      homeShard: 'p',
      state: 'open',
      taskCount: 4,
      submittedAt: at,
      chunkSize: 2,
      zones: [],
      createdChunks: 2,
      doneChunks: [],
      migratedChunks: [1],
    };
    return this.accepting
      .submit(this.host, { id, record, initialChunks }, patience)
      .then((reply) => {
        this.answers.set(id, reply);
      });
  }

  /** How many stored buckets of the peer hold the job's second chunk. */
  transfers(id: string): number {
    return [...this.store.rows.values()].filter(
      ({ key, value }) =>
        key.startsWith('b/run/q/') && (value as BucketRecord).chunks[`${id}/1`] !== undefined,
    ).length;
  }

  status(id: string): number | undefined {
    return this.answers.get(id)?.status;
  }
}

test('jobs that come together are stored together, with one transfer for the peer', async () => {
  const c = new Counter();
  const ids = ['wk-1', 'wk-2', 'wk-3', 'wk-4', 'wk-5', 'wk-6'];
  await Promise.all(ids.map((id) => c.submit(id)));
  for (const id of ids) {
    assert.equal(c.status(id), 201);
    assert.equal(c.transfers(id), 1);
    assert.ok(c.host.shard.chunks.has(`${id}/0`));
    assert.ok(!c.host.shard.chunks.has(`${id}/1`));
  }
  assert.ok(c.store.changes < 2 * ids.length, `${c.store.changes} changes`);
});

test('no answer: the batch is asked again and stored once, early or late', async () => {
  for (const early of [true, false]) {
    const c = new Counter();
    c.store.loseNext = true;
    const submitted = c.submit('wk-1');
    while (!c.store.lost) await new Promise((resolve) => setTimeout(resolve, 1));
    if (early) c.store.late();
    await submitted;
    assert.equal(c.status('wk-1'), 201);
    assert.equal(c.transfers('wk-1'), 1);
    if (!early) assert.equal(c.store.late().kind, 'conflict');
    assert.equal(c.host.jobs.size, 1);
  }
});

test('a job that somebody else has stored does not hold up those that came with it', async () => {
  const c = new Counter();
  const other = { state: 'open', submittedAt: 77, homeShard: 'q' };
  c.store.rows.set(keys.job('wk-2'), { key: keys.job('wk-2'), value: other, revision: 9 });
  await Promise.all(['wk-1', 'wk-2', 'wk-3'].map((id) => c.submit(id)));
  assert.deepEqual(
    ['wk-1', 'wk-2', 'wk-3'].map((id) => c.status(id)),
    [201, 200, 201],
  );
  assert.equal(c.transfers('wk-2'), 0, 'its chunk was sent to the peer all the same');
  assert.equal(c.transfers('wk-3'), 1);
});

test('nothing is left of a job that was given up while its batch was refused', async () => {
  const c = new Counter();
  c.store.refuseNext = 1;
  const short = c.submit('wk-1', 0.05);
  const long = c.submit('wk-2', 4);
  await short;
  assert.equal(c.status('wk-1'), 503);
  // Its user has been told to come back; the clock is past its deadline when the batch is tried again.
  c.now += 1;
  await long;
  assert.equal(c.status('wk-2'), 201);
  assert.equal(c.transfers('wk-1'), 0, 'the peer would run a job that is not stored');
  assert.equal(c.transfers('wk-2'), 1);
  await c.submit('wk-1');
  assert.equal(c.transfers('wk-1'), 1);
});

test('in an outage users are told at once to come back, not when their patience is over', async () => {
  // One attempt is refused and none is made after it: held back, they would not ask a node that is served.
  const c = new Counter();
  c.store.isHealthy = false;
  c.store.refuseNext = 2;
  await Promise.all([c.submit('wk-1'), c.submit('wk-2')]);
  assert.deepEqual([c.status('wk-1'), c.status('wk-2')], [503, 503]);
  assert.equal(c.answers.get('wk-1')?.retryAfter, 1);
  assert.equal(c.store.refuseNext, 1, 'it was tried again');
  c.store.isHealthy = true;
  c.store.refuseNext = 0;
  await c.submit('wk-1');
  assert.equal(c.status('wk-1'), 201);
  assert.equal(c.transfers('wk-1'), 1);
});

test('after a transaction without an answer an outage does not end the batch', async () => {
  const c = new Counter();
  c.store.loseNext = true;
  const submitted = c.submit('wk-1');
  while (!c.store.lost) await new Promise((resolve) => setTimeout(resolve, 1));
  // It may be stored, so it is asked for until that is known.
  c.store.isHealthy = false;
  c.store.refuseNext = 1;
  await submitted;
  assert.equal(c.status('wk-1'), 201);
  assert.equal(c.transfers('wk-1'), 1);
});

test('a burst for one idle peer stays within the limits of a record', async () => {
  // Some forty chunks for the peer would make a record that the state service calls malformed, and then
  // everybody's submissions of that moment were turned away together.
  const c = new Counter(4096);
  const ids = Array.from({ length: 40 }, (_, i) => `wk-${i}`);
  await Promise.all(ids.map((id) => c.submit(id)));
  assert.deepEqual(new Set(ids.map((id) => c.status(id))), new Set([201]));
  for (const id of ids) assert.equal(c.transfers(id), 1);
});

test('no answer, and the part is lost meanwhile: what its adopter stored of the job is not taken back', async () => {
  for (const state of ['cancelled', 'done'] as const) {
    const c = new Counter();
    c.store.loseNext = true;
    const submitted = c.submit('wk-1');
    while (!c.store.lost) await new Promise((resolve) => setTimeout(resolve, 1));
    c.store.late();
    const key = keys.job('wk-1');
    const read = c.store.get.bind(c.store);
    // The second copy fails since the job is known; before its record is read it ends at the adopter.
    c.store.get = (asked) => {
      const item = c.store.rows.get(key);
      const record = item?.value as JobRecord;
      c.host.isOwned = false;
      c.store.rows.set(key, { key, value: { ...record, spec: null, state }, revision: 50 });
      return read(asked);
    };
    await submitted;
    assert.deepEqual(c.answers.get('wk-1')?.body, { Uid: 'wk-1', Status: state });
    assert.equal((c.copies.get(key)?.value as JobRecord).state, state, 'the copy under its stamp');
  }
});

test('jobs of a batch that was stored without an answer are each known by their own record', async () => {
  const c = new Counter();
  c.store.loseNext = true;
  const submitted = [c.submit('wk-1'), c.submit('wk-2')];
  while (!c.store.lost) await new Promise((resolve) => setTimeout(resolve, 1));
  c.store.late();
  const first = c.store.rows.get(keys.job('wk-1'));
  if (first !== undefined) c.store.rows.set(first.key, { ...first, revision: 60 });
  await Promise.all(submitted);
  for (const id of ['wk-1', 'wk-2']) {
    assert.equal(c.host.jobs.get(id)?.revision, c.store.rows.get(keys.job(id))?.revision, id);
  }
});

test('the answer to a submission comes late: a job that has ended since is not called queued', async () => {
  const c = new Counter();
  const write = c.store.transact.bind(c.store);
  c.store.transact = async (txn) => {
    const result = await write(txn);
    const ended = { state: 'cancelled', spec: null };
    c.copies.set(keys.job('wk-1'), { value: ended, revision: 90 });
    return result;
  };
  await c.submit('wk-1');
  assert.deepEqual(c.answers.get('wk-1')?.body, { Uid: 'wk-1', Status: 'cancelled' });
});
