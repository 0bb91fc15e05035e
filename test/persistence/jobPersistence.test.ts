/** Job records: how conflicting and unanswered writes are resolved, and when a cancellation is stored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { CancellationEvidence } from '../../src/coordination/persistence/cancellationEvidence.js';
import { JobPersistence } from '../../src/coordination/persistence/jobPersistence.js';
import {
  createOwnedShard,
  type HomeJob,
  type OwnedShard,
} from '../../src/coordination/leadership/ownedShard.js';
import { ChunkIndex } from '../../src/storage/chunkIndex.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { StateCache } from '../../src/storage/stateCache.js';
import { layoutFor } from '../support/layout.js';
import { emptyShard } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';
import { MemoryStore } from '../support/store.js';

const ID = 'wk-1';
const KEY = keys.job(ID);

/** The home shard of one job with three chunks of eight tasks, some of which are created. */
class Home {
  readonly store = new MemoryStore();
  readonly owned: OwnedShard;
  readonly job: HomeJob;
  readonly persistence: JobPersistence;
  readonly copy: StateCache;
  now = 100;

  constructor(cut: number) {
    const shard = emptyShard(3);
    this.owned = createOwnedShard(shard, { fencingToken: 5, revision: 1 }, 0);
    this.store.rows.set(keys.leader('p'), { key: keys.leader('p'), value: {}, revision: 1 });
    const clock = { now: () => this.now, wall: () => this.now };
    const silent = {
      readRange: () => Promise.reject(new Error()),
      readChanges: () => Promise.reject(new Error()),
    };
    const stateCache = new StateCache(silent, 'b/', clock, { hold: 1, pause: 1 }, () => undefined);
    this.copy = stateCache;
    const ownedShards = new Map([['p', this.owned]]);
    this.persistence = new JobPersistence(
      this.store,
      stateCache,
      new ChunkIndex(),
      clock,
      {
        ownedShards,
        isBeingCancelled: () => false,
        isBlockedOnDependencies: () => false,
        hasUnreadableChunks: false,
        isLeaseValid: () => true,
        verifyLeadership: () => Promise.resolve(),
        stored: () => undefined,
      },
      { txnOps: 16, recordFormat: layoutFor(), flushDelay: 2, retryDelay: 0.001, process: 'x' },
    );
    const record: JobRecord = {
      spec: spec({ id: ID, taskCount: 24 }),
      homeShard: 'p',
      state: 'open',
      taskCount: 24,
      submittedAt: 1,
      chunkSize: 8,
      zones: [],
      createdChunks: cut,
      doneChunks: [],
      migratedChunks: [],
    };
    this.store.rows.set(KEY, { key: KEY, value: record, revision: 3 });
    this.store.epoch = 3;
    this.job = { id: ID, record, revision: 3, isWriteInFlight: false };
    this.owned.jobs.set(ID, this.job);
    for (let index = 0; index < cut; index++) this.accept(index);
  }

  private accept(index: number): void {
    const from = index * 8;
    const chunk = new Chunk(
      spec({ id: ID, taskCount: 24 }),
      index,
      'p',
      1,
      from,
      from + 8,
      null,
      0,
    );
    this.owned.shard.acceptNewChunk(chunk, this.now);
  }

  /** Marks all tasks of a chunk as done. */
  complete(index: number): void {
    const chunk = this.owned.shard.chunks.get(`${ID}/${index}`);
    if (chunk === undefined) throw new Error('no such chunk');
    for (let task = chunk.firstTask; task < chunk.endTask; task++) chunk.doneTasks.add(task);
    this.owned.shard.noteChunkChanged(chunk, this.now);
  }

  /** Runs write passes and waits for the answers of each. */
  async passes(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this.now += 3;
      this.persistence.writeDueBuckets();
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  get stored(): JobRecord {
    return this.store.rows.get(KEY)?.value as JobRecord;
  }

  get chunks(): string[] {
    return [...this.owned.shard.chunks.keys()].sort();
  }
}

test('a finished chunk is recorded in its job although the first write conflicts with another change', async () => {
  const home = new Home(2);
  // A migration of the other chunk was applied and its answer lost.
  home.store.rows.set(KEY, {
    key: KEY,
    value: { ...home.job.record, migratedChunks: [1] },
    revision: 8,
  });
  home.complete(0);
  await home.passes(4);
  assert.deepEqual(home.stored.doneChunks, [0]);
  assert.deepEqual(home.stored.migratedChunks, [1]);
});

test('a chunk whose creation was applied without an answer is created in memory by the next conflict', async () => {
  const home = new Home(1);
  home.store.loseNext = true;
  home.persistence.reconcileJobs();
  while (!home.store.lost) await new Promise((resolve) => setTimeout(resolve, 1));
  await new Promise((resolve) => setTimeout(resolve, 5));
  assert.equal(home.store.late().kind, 'applied');
  home.complete(0);
  await home.passes(4);
  assert.equal(home.stored.createdChunks, 2);
  assert.ok(home.chunks.includes(`${ID}/1`), home.chunks.join(' '));
});

test('after a conflict the outcome counts as unknown until the record has been read', async () => {
  const home = new Home(1);
  const ended = { ...home.job.record, spec: null, state: 'cancelled' as const };
  home.store.rows.set(KEY, { key: KEY, value: ended, revision: 8 });
  const readRecord = home.store.get.bind(home.store);
  let reads = 0;
  home.store.get = (key) => {
    reads++;
    return reads < 3 ? Promise.reject(new Error('the state service refuses')) : readRecord(key);
  };
  home.complete(0);
  await home.passes(1);
  assert.equal(
    home.job.isOutcomeUnknown,
    true,
    'other nodes may have told users of the record that this node could not read',
  );
  await home.passes(4);
  assert.equal(home.job.record.state, 'cancelled');
});

test('the record of a cancelled job lists no done or migrated chunks', async () => {
  const home = new Home(3);
  home.job.record = { ...home.job.record, doneChunks: [0], migratedChunks: [1] };
  const evidence = CancellationEvidence.acknowledged(new Set([0, 1, 2]), new Map());
  const result = await home.persistence.cancel(home.owned, home.job, evidence, home.now + 1);
  assert.deepEqual(result, { kind: 'ended', state: 'cancelled' });
  const { spec: storedSpec, state, doneChunks, migratedChunks } = home.stored;
  assert.deepEqual(
    { spec: storedSpec, state, doneChunks, migratedChunks },
    { spec: null, state: 'cancelled', doneChunks: [], migratedChunks: [] },
  );
});

const outdatedEvidence: {
  name: string;
  chunks: number[];
  /** Revision of the other shard's leader record when its leader acknowledged, and in this node's cache. */
  acknowledged: number;
  copied: number;
}[] = [
  { name: 'a chunk was created since then', chunks: [0], acknowledged: 8, copied: 8 },
  { name: 'a leader is known to have changed', chunks: [0, 1], acknowledged: 7, copied: 8 },
  {
    name: 'a leader has changed, unknown to this node',
    chunks: [0, 1],
    acknowledged: 7,
    copied: 7,
  },
];
for (const { name, chunks, acknowledged, copied } of outdatedEvidence) {
  test(`a cancellation is not stored on outdated evidence: ${name}`, async () => {
    const home = new Home(2);
    const key = keys.leader('q');
    home.store.rows.set(key, { key, value: {}, revision: 8 });
    home.copy.note(key, {}, copied);
    const evidence = CancellationEvidence.acknowledged(
      new Set(chunks),
      new Map([['q', acknowledged]]),
    );
    const result = await home.persistence.cancel(home.owned, home.job, evidence, home.now + 1);
    assert.deepEqual(result, { kind: 'outdated' });
    assert.equal(home.stored.state, 'open');
  });
}
