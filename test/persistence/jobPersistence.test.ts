/** Job records: how conflicting and unanswered writes are resolved, and when a cancellation is stored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationEvidence } from '../../src/coordination/persistence/cancellationEvidence.js';
import { keys } from '../../src/storage/records.js';
import { HomeShardFixture, ID } from '../support/homeShardFixture.js';
import { jobSpec } from '../support/jobSpec.js';

const KEY = keys.job(ID);

test('a finished chunk is recorded in its job although the first write conflicts with another change', async () => {
  const fixture = new HomeShardFixture(2);
  // A migration of the other chunk was applied and its answer lost.
  fixture.store.rows.set(KEY, {
    key: KEY,
    value: { ...fixture.job.record, migratedChunks: [1] },
    revision: 8,
  });
  fixture.complete(0);
  await fixture.runPasses(4);
  assert.deepEqual(fixture.stored.doneChunks, [0]);
  assert.deepEqual(fixture.stored.migratedChunks, [1]);
});

test('a chunk whose creation was applied without an answer is created in memory by the next conflict', async () => {
  const fixture = new HomeShardFixture(1);
  fixture.store.withholdNext = true;
  fixture.persistence.reconcileJobs();
  while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
  await new Promise((resolve) => setTimeout(resolve, 5));
  assert.equal(fixture.store.applyWithheld().kind, 'applied');
  fixture.complete(0);
  await fixture.runPasses(4);
  assert.equal(fixture.stored.createdChunks, 2);
  assert.ok(fixture.chunks.includes(`${ID}/1`), fixture.chunks.join(' '));
});

test('after a conflict the outcome counts as unknown until the record has been read', async () => {
  const fixture = new HomeShardFixture(1);
  const ended = { ...fixture.job.record, spec: null, state: 'cancelled' as const };
  fixture.store.rows.set(KEY, { key: KEY, value: ended, revision: 8 });
  const readRecord = fixture.store.get.bind(fixture.store);
  let reads = 0;
  fixture.store.get = (key) => {
    reads++;
    return reads < 3
      ? Promise.reject(new Error('the state service refused the request'))
      : readRecord(key);
  };
  fixture.complete(0);
  await fixture.runPasses(1);
  assert.equal(
    fixture.job.isOutcomeUnknown,
    true,
    'other nodes may have told users of the record that this node could not read',
  );
  await fixture.runPasses(4);
  assert.equal(fixture.job.record.state, 'cancelled');
});

test('the record of a cancelled job lists no done or migrated chunks', async () => {
  const fixture = new HomeShardFixture(3);
  fixture.job.record = { ...fixture.job.record, doneChunks: [0], migratedChunks: [1] };
  const evidence = CancellationEvidence.acknowledged(new Set([0, 1, 2]), new Map());
  const result = await fixture.persistence.cancel(
    fixture.ownedShard,
    fixture.job,
    evidence,
    fixture.now + 1,
  );
  assert.deepEqual(result, { kind: 'ended', state: 'cancelled' });
  const { spec: storedSpec, state, doneChunks, migratedChunks } = fixture.stored;
  assert.deepEqual(
    { spec: storedSpec, state, doneChunks, migratedChunks },
    { spec: null, state: 'cancelled', doneChunks: [], migratedChunks: [] },
  );
});

const outdatedEvidence: {
  name: string;
  chunks: number[];
  /** Revision of the other shard's leader record when its leader acknowledged, and in this node's cache. */
  acknowledgedRevision: number;
  cachedRevision: number;
}[] = [
  {
    name: 'a chunk was created since then',
    chunks: [0],
    acknowledgedRevision: 8,
    cachedRevision: 8,
  },
  {
    name: 'a leader is known to have changed',
    chunks: [0, 1],
    acknowledgedRevision: 7,
    cachedRevision: 8,
  },
  {
    name: 'a leader has changed, unknown to this node',
    chunks: [0, 1],
    acknowledgedRevision: 7,
    cachedRevision: 7,
  },
];
for (const { name, chunks, acknowledgedRevision, cachedRevision } of outdatedEvidence) {
  test(`a cancellation is not stored on outdated evidence: ${name}`, async () => {
    const fixture = new HomeShardFixture(2);
    const key = keys.leader('q');
    fixture.store.rows.set(key, { key, value: {}, revision: 8 });
    fixture.stateCache.applyPut(key, {}, cachedRevision);
    const evidence = CancellationEvidence.acknowledged(
      new Set(chunks),
      new Map([['q', acknowledgedRevision]]),
    );
    const result = await fixture.persistence.cancel(
      fixture.ownedShard,
      fixture.job,
      evidence,
      fixture.now + 1,
    );
    assert.deepEqual(result, { kind: 'outdated' });
    assert.equal(fixture.stored.state, 'open');
  });
}

// Guards against a job that an earlier version accepted and whose chunks it could never store.
test('the chunks of a stored job with thousands of unknown machine types are created without those', () => {
  const fixture = new HomeShardFixture(1);
  const { job, ownedShard } = fixture;
  const [chunk] = ownedShard.shard.chunks.values();
  if (chunk !== undefined) ownedShard.shard.dropChunk(chunk);
  const unknown = Array.from({ length: 3000 }, (_, n) => `type-${n}`);
  const spec = jobSpec({ id: ID, taskCount: 24, machineTypes: ['m8', ...unknown] });
  job.record = { ...job.record, state: 'open', spec };
  fixture.persistence.createMissingChunks(ownedShard, job);
  assert.deepEqual(ownedShard.shard.chunks.get(`${ID}/0`)?.spec.machineTypes, ['m8']);
});
