/** Submitted jobs are stored: many in one transaction, each exactly once, even if answers are lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SubmissionWriter,
  type SubmissionWriterContext,
} from '../../src/coordination/jobs/submissionWriter.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { keys, type JobRecord, type BucketRecord } from '../../src/storage/records.js';
import type { Reply } from '../../src/transport/httpServer.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { emptyShard } from '../support/emptyShard.js';
import { jobSpec } from '../support/jobSpec.js';
import { MemoryStore } from '../support/memoryStore.js';

class WriterFixture {
  now = 0;
  readonly store = new MemoryStore();
  readonly homeShard: OwnedShard;
  readonly writer: SubmissionWriter;
  readonly answers = new Map<string, Reply>();
  /** The records in this node's cache. */
  readonly cache = new Map<string, { value: unknown; revision: number }>();

  constructor(value = 16 * 1024) {
    this.store.limits.value = value;
    const shard = emptyShard(3);
    this.homeShard = createOwnedShard(shard, { fencingToken: 5, revision: 1 }, 0);
    this.store.rows.set(keys.leader('q'), { key: keys.leader('q'), value: {}, revision: 2 });
    const { rows } = this.store;
    const node: SubmissionWriterContext = {
      process: 'x',
      shards: ['p', 'q'],
      settings: { txnOps: 16 },
      recordFormat: recordFormatFor(this.store.limits.value),
      clock: { now: () => this.now, wall: () => this.now },
      stateClient: this.store,
      stateCache: {
        get: (key) => this.cache.get(key) ?? rows.get(key),
        applyPut: (key, value, revision) => {
          if ((this.cache.get(key)?.revision ?? -1) < revision)
            this.cache.set(key, { value, revision });
        },
      },
      leadership: { isLeaseValid: true, verifyLeadership: () => Promise.resolve() },
      persistence: {
        write: (_, txn) => this.store.transact(txn),
        createMissingChunks: () => undefined,
      },
      requestSchedulingRound: () => undefined,
    };
    this.writer = new SubmissionWriter(node, (id) =>
      Promise.resolve({
        status: 200,
        body: { known: id },
        reported: { job: id, status: 'queued', evidence: { kind: 'final' } },
      }),
    );
  }

  /** Submits a job of two chunks, the second of which is placed at the peer's shard. */
  submit(
    id: string,
    timeoutSeconds = 4,
    at = this.now,
    changes: Partial<JobSpec> = {},
  ): Promise<void> {
    const s = jobSpec({ id, taskCount: 4, ...changes });
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
    return this.writer
      .submit(this.homeShard, { id, record, initialChunks }, timeoutSeconds)
      .then((reply) => {
        this.answers.set(id, reply);
      });
  }

  /** Number of stored buckets of the peer's shard that hold the job's second chunk. */
  transferCount(id: string): number {
    return [...this.store.rows.values()].filter(
      ({ key, value }) =>
        key.startsWith('b/run/q/') && (value as BucketRecord).chunks[`${id}/1`] !== undefined,
    ).length;
  }

  status(id: string): number | undefined {
    return this.answers.get(id)?.status;
  }
}

test('jobs that are submitted together are stored together, with one transfer for the peer', async () => {
  const fixture = new WriterFixture();
  const ids = ['wk-1', 'wk-2', 'wk-3', 'wk-4', 'wk-5', 'wk-6'];
  await Promise.all(ids.map((id) => fixture.submit(id)));
  for (const id of ids) {
    assert.equal(fixture.status(id), 201);
    assert.equal(fixture.transferCount(id), 1);
    assert.ok(fixture.homeShard.shard.chunks.has(`${id}/0`));
    assert.ok(!fixture.homeShard.shard.chunks.has(`${id}/1`));
  }
  assert.ok(fixture.store.changeCount < 2 * ids.length, `${fixture.store.changeCount} changes`);
});

test('a batch with an unanswered transaction is retried and stored once, whether that is applied early or late', async () => {
  for (const early of [true, false]) {
    const fixture = new WriterFixture();
    fixture.store.withholdNext = true;
    const submitted = fixture.submit('wk-1');
    while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
    if (early) fixture.store.applyWithheld();
    await submitted;
    assert.equal(fixture.status('wk-1'), 201);
    assert.equal(fixture.transferCount('wk-1'), 1);
    if (!early) assert.equal(fixture.store.applyWithheld().kind, 'conflict');
    assert.equal(fixture.homeShard.jobs.size, 1);
  }
});

test('a job that is stored already does not delay the other jobs of its batch', async () => {
  const fixture = new WriterFixture();
  const other = { state: 'open', submittedAt: 77, homeShard: 'q' };
  fixture.store.rows.set(keys.job('wk-2'), { key: keys.job('wk-2'), value: other, revision: 9 });
  await Promise.all(['wk-1', 'wk-2', 'wk-3'].map((id) => fixture.submit(id)));
  assert.deepEqual(
    ['wk-1', 'wk-2', 'wk-3'].map((id) => fixture.status(id)),
    [201, 200, 201],
  );
  assert.equal(fixture.transferCount('wk-2'), 0, 'its chunk was sent to the peer anyway');
  assert.equal(fixture.transferCount('wk-3'), 1);
});

test('nothing remains of a job that was abandoned while its batch was refused', async () => {
  const fixture = new WriterFixture();
  fixture.store.refuseNext = 1;
  const short = fixture.submit('wk-1', 0.05);
  const long = fixture.submit('wk-2', 4);
  await short;
  assert.equal(fixture.status('wk-1'), 503);
  // Its user has been asked to retry, and its deadline has passed when the batch is retried.
  fixture.now += 1;
  await long;
  assert.equal(fixture.status('wk-2'), 201);
  assert.equal(fixture.transferCount('wk-1'), 0, 'the peer would run a job that is not stored');
  assert.equal(fixture.transferCount('wk-2'), 1);
  await fixture.submit('wk-1');
  assert.equal(fixture.transferCount('wk-1'), 1);
});

test('in an outage users are asked to retry immediately, not at the end of their timeout', async () => {
  // After the first refusal there is no further attempt: waiting would keep users from asking a node that is served.
  const fixture = new WriterFixture();
  fixture.store.isHealthy = false;
  fixture.store.refuseNext = 2;
  await Promise.all([fixture.submit('wk-1'), fixture.submit('wk-2')]);
  assert.deepEqual([fixture.status('wk-1'), fixture.status('wk-2')], [503, 503]);
  assert.equal(fixture.answers.get('wk-1')?.retryAfter, 1);
  assert.equal(fixture.store.refuseNext, 1, 'the write was retried');
  fixture.store.isHealthy = true;
  fixture.store.refuseNext = 0;
  await fixture.submit('wk-1');
  assert.equal(fixture.status('wk-1'), 201);
  assert.equal(fixture.transferCount('wk-1'), 1);
});

test('after an unanswered transaction an outage does not end the batch', async () => {
  const fixture = new WriterFixture();
  fixture.store.withholdNext = true;
  const submitted = fixture.submit('wk-1');
  while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
  // The batch may be stored, so the writer retries until that is known.
  fixture.store.isHealthy = false;
  fixture.store.refuseNext = 1;
  await submitted;
  assert.equal(fixture.status('wk-1'), 201);
  assert.equal(fixture.transferCount('wk-1'), 1);
});

test('a burst for one idle peer stays within the limits of a record', async () => {
  // Some forty chunks for the peer would make a record that the state service rejects as malformed, and all submissions of
  // that moment were refused together.
  const fixture = new WriterFixture(4096);
  const ids = Array.from({ length: 40 }, (_, i) => `wk-${i}`);
  await Promise.all(ids.map((id) => fixture.submit(id)));
  assert.deepEqual(new Set(ids.map((id) => fixture.status(id))), new Set([201]));
  for (const id of ids) assert.equal(fixture.transferCount(id), 1);
});

test('a transaction is unanswered and the shard is lost: the state that the next leader stored is not reverted', async () => {
  for (const state of ['cancelled', 'done'] as const) {
    const fixture = new WriterFixture();
    fixture.store.withholdNext = true;
    const submitted = fixture.submit('wk-1');
    while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
    fixture.store.applyWithheld();
    const key = keys.job('wk-1');
    const read = fixture.store.get.bind(fixture.store);
    // The second attempt fails since the job exists; before its record is read, the job ends at the next leader.
    fixture.store.get = (asked) => {
      const item = fixture.store.rows.get(key);
      const record = item?.value as JobRecord;
      fixture.homeShard.isOwned = false;
      fixture.store.rows.set(key, { key, value: { ...record, spec: null, state }, revision: 50 });
      return read(asked);
    };
    await submitted;
    assert.deepEqual(fixture.answers.get('wk-1')?.body, { Uid: 'wk-1', Status: state });
    assert.equal(
      (fixture.cache.get(key)?.value as JobRecord).state,
      state,
      'the cached record has the stored state',
    );
  }
});

test('each job of a batch that was stored without an answer is kept with the revision of its own record', async () => {
  const fixture = new WriterFixture();
  fixture.store.withholdNext = true;
  const submitted = [fixture.submit('wk-1'), fixture.submit('wk-2')];
  while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
  fixture.store.applyWithheld();
  const first = fixture.store.rows.get(keys.job('wk-1'));
  if (first !== undefined) fixture.store.rows.set(first.key, { ...first, revision: 60 });
  await Promise.all(submitted);
  for (const id of ['wk-1', 'wk-2']) {
    assert.equal(
      fixture.homeShard.jobs.get(id)?.revision,
      fixture.store.rows.get(keys.job(id))?.revision,
      id,
    );
  }
});

test('a job that has ended before the late answer to its submission is not reported as queued', async () => {
  const fixture = new WriterFixture();
  const write = fixture.store.transact.bind(fixture.store);
  fixture.store.transact = async (txn) => {
    const result = await write(txn);
    const ended = { state: 'cancelled', spec: null };
    fixture.cache.set(keys.job('wk-1'), { value: ended, revision: 90 });
    return result;
  };
  await fixture.submit('wk-1');
  assert.deepEqual(fixture.answers.get('wk-1')?.body, { Uid: 'wk-1', Status: 'cancelled' });
});

/** A description beyond the limits of a value. */
const LARGE = { machineTypes: Array.from({ length: 2000 }, (_, n) => `machine-type-${n}`) };

// Guards against users that are refused together with one whose job can't be stored, and who waits for a clear answer.
test('a job that the state service rejects as malformed is refused at once, and the others of its batch are stored', async () => {
  const fixture = new WriterFixture();
  const ids = ['wk-1', 'wk-2', 'wk-9', 'wk-3'];
  await Promise.all(ids.map((id) => fixture.submit(id, 4, 0, id === 'wk-9' ? LARGE : {})));
  assert.deepEqual(
    ids.map((id) => fixture.status(id)),
    [201, 201, 400, 201],
  );
  assert.deepEqual(fixture.answers.get('wk-9')?.body, {
    error: 'the description is too large to be stored',
  });
  for (const id of ['wk-1', 'wk-2', 'wk-3']) assert.equal(fixture.transferCount(id), 1);
});

test('a repeated submission is not refused as too large if the job is stored', async () => {
  const fixture = new WriterFixture();
  const key = keys.job('wk-9');
  fixture.store.rows.set(key, { key, value: { state: 'open', submittedAt: 77 }, revision: 9 });
  await fixture.submit('wk-9', 4, 0, LARGE);
  assert.equal(fixture.status('wk-9'), 200);
});

test('a job whose chunks at peers do not fit into its transaction is stored without them', async () => {
  const fixture = new WriterFixture();
  const types = Array.from({ length: 250 }, (_, n) => `machine-type-${n}`);
  fixture.store.limits.txn = 8 * 1024;
  await fixture.submit('wk-1', 4, 0, { machineTypes: types });
  assert.equal(fixture.status('wk-1'), 201);
  assert.equal(fixture.transferCount('wk-1'), 0);
  const stored = fixture.store.rows.get(keys.job('wk-1'))?.value as JobRecord;
  assert.deepEqual(stored.migratedChunks, [], 'the home shard creates the chunk');
});
