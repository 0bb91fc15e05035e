/** Lowered limits of the state service: larger stored buckets are split, and no chunk is lost meanwhile. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BucketWriter } from '../../src/coordination/persistence/bucketWriter.js';
import type { JobPersistence } from '../../src/coordination/persistence/jobPersistence.js';
import type { OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { ShardLoader } from '../../src/coordination/leadership/shardLoader.js';
import { groupLimit } from '../../src/coordination/autoscaling/machineGroups.js';
import type { RecordFormat } from '../../src/storage/recordFormat.js';
import {
  keys,
  type BucketRecord,
  type ChunkRecord,
  type AttemptRecord,
  type MachineGroupRecord,
  type JobRecord,
  type FencingTokenRecord,
} from '../../src/storage/records.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { emptyShard, m8 } from '../support/emptyShard.js';
import { jobSpec } from '../support/jobSpec.js';
import { MemoryStore } from '../support/memoryStore.js';

const LIMITS = { value: 2048, txn: 64 * 1024 };
const TXN_OPS = 5;
const SERVICE_COUNT = 30;
const REPLICAS = 6;

const service = (id: string): ChunkRecord => ({
  ...{
    spec: jobSpec({ id, isService: true, rank: 'prod', taskCount: REPLICAS }),
    homeShard: 'p',
    submittedAt: 5,
  },
  ...{
    firstTask: 0,
    endTask: REPLICAS,
    zone: null,
    nextAttemptNumber: 50,
    doneTasks: [],
    migrationCount: 0,
  },
  attempts: Array.from({ length: REPLICAS }, (_, task): AttemptRecord => {
    return { task, attemptNumber: task + 1, machine: `n-${task}`, agentEpoch: 1 };
  }),
});

/** One shard whose bucket was stored under larger limits, on a state service whose limits were lowered. */
class LoweredLimitsFixture {
  now = 100;
  readonly store = new MemoryStore();
  readonly recordFormat: RecordFormat = recordFormatFor(LIMITS.value, TXN_OPS, true);
  ownedShard: OwnedShard;
  private writer: BucketWriter;
  private processes = 0;

  constructor(chunks: Record<string, ChunkRecord>) {
    const { rows } = this.store;
    rows.set(keys.leader('p'), { key: keys.leader('p'), value: {}, revision: 1 });
    rows.set(keys.leader('q'), { key: keys.leader('q'), value: {}, revision: 2 });
    const key = keys.bucket('p', 'old');
    rows.set(key, { key, value: { chunks }, revision: 3 });
    this.store.revision = 3;
    this.store.recordFormat = this.recordFormat;
    this.store.limits = LIMITS;
    this.store.txnOps = TXN_OPS;
    [this.ownedShard, this.writer] = this.loadAsNewLeader();
  }

  /** Loads the shard from the stored records, as a new leader would. */
  loadAsNewLeader(): [OwnedShard, BucketWriter] {
    const { rows } = this.store;
    const persistence: Pick<JobPersistence, 'createMissingChunks'> = {
      createMissingChunks: () => undefined,
    };
    const machine = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
    const machines = Array.from({ length: REPLICAS }, (_, i) => [`n-${i}`, machine] as const);
    const loader = new ShardLoader({
      clock: { now: () => this.now, wall: () => this.now },
      inventory: { machinesOf: () => new Map(machines).entries(), get: () => undefined },
      stateCache: {
        get: (name) => rows.get(name),
        *entriesWithPrefix(prefix) {
          for (const row of rows) if (row[0].startsWith(prefix)) yield row;
        },
        applyRemoval: () => undefined,
      },
      stateClient: this.store,
      persistence,
      recordFormat: this.recordFormat,
      requestSchedulingRound: () => undefined,
    });
    const shard = emptyShard(3, new Map([['m8', m8]]));
    this.ownedShard = loader.load(
      shard,
      { fencingToken: 7, revision: 1, previousLeaderLostAt: 0 },
      0,
    );
    this.writer = new BucketWriter(
      this.store,
      { get: (name) => rows.get(name), applyPut: () => undefined, applyRemoval: () => undefined },
      { now: () => this.now, wall: () => this.now },
      {
        isLeaseValid: () => true,
        verifyLeadership: () => Promise.resolve(),
        onChunksStored: () => undefined,
      },
      {
        ...{ txnOps: TXN_OPS, recordFormat: this.recordFormat, flushDelay: 1, retryDelay: 0.001 },
        process: `x${++this.processes}`,
      },
    );
    return [this.ownedShard, this.writer];
  }

  async runPass(): Promise<void> {
    this.now += 10;
    this.writer.writeDueBuckets(this.ownedShard);
    for (let i = 0; i < 20; i++) await new Promise((resolve) => setTimeout(resolve, 1));
  }

  async runAllPasses(): Promise<void> {
    for (let i = 0; i < 40; i++) await this.runPass();
  }

  /** The stored chunks, each from the newest record that holds it. */
  get stored(): Map<string, ChunkRecord> {
    const found = new Map<string, ChunkRecord>();
    const rows = [...this.store.rows.values()].filter(({ key }) => key.startsWith('b/run/p/'));
    for (const { value } of rows.sort((a, b) => a.revision - b.revision)) {
      for (const [id, chunk] of Object.entries((value as BucketRecord).chunks))
        found.set(id, chunk);
    }
    return found;
  }

  get hasOldRecord(): boolean {
    return this.store.rows.has(keys.bucket('p', 'old'));
  }
}

const services = (): Record<string, ChunkRecord> =>
  Object.fromEntries(
    Array.from({ length: SERVICE_COUNT }, (_, i) => [`wk-${i}/0`, service(`wk-${i}`)]),
  );

test('the chunks of a bucket beyond the limit move to other buckets, and then the bucket is removed', async () => {
  const fixture = new LoweredLimitsFixture(services());
  await fixture.runAllPasses();
  assert.ok(!fixture.hasOldRecord);
  assert.equal(fixture.stored.size, SERVICE_COUNT);
  for (const [id, chunk] of fixture.stored) {
    assert.equal(chunk.attempts.length, REPLICAS, id);
    assert.equal(fixture.ownedShard.shard.chunks.get(id)?.attempts.size, REPLICAS, id);
  }
  assert.ok(
    [...fixture.ownedShard.shard.chunks.values()].every((chunk) => chunk.retiredFrom === null),
  );
});

for (const passes of [1, 2, 3, 4, 5]) {
  test(`a new leader that loads a half emptied bucket, after ${passes} pass(es), has every chunk once`, async () => {
    const fixture = new LoweredLimitsFixture(services());
    // One chunk changes meanwhile: the old record does not contain the change.
    const changed = fixture.ownedShard.shard.chunks.get('wk-3/0');
    for (let i = 0; i < passes; i++) await fixture.runPass();
    if (changed !== undefined) {
      changed.attempts.delete(0);
      fixture.ownedShard.shard.noteChunkChanged(changed, fixture.now);
    }
    await fixture.runPass();
    const storedAttempts = fixture.stored.get('wk-3/0')?.attempts.length;
    fixture.loadAsNewLeader();
    assert.equal(fixture.ownedShard.shard.chunks.size, SERVICE_COUNT);
    assert.equal(fixture.ownedShard.shard.chunks.get('wk-3/0')?.attempts.size, storedAttempts);
    await fixture.runAllPasses();
    assert.ok(!fixture.hasOldRecord);
    assert.equal(fixture.stored.size, SERVICE_COUNT);
    assert.equal(fixture.stored.get('wk-3/0')?.attempts.length, storedAttempts);
  });
}

test('the old record stays until its chunks are stored elsewhere, also if transactions are refused meanwhile', async () => {
  for (const refused of [0, 1, 2, 3]) {
    const fixture = new LoweredLimitsFixture(services());
    fixture.store.refuseNext = refused;
    for (let i = 0; i < 4; i++) {
      await fixture.runPass();
      assert.equal(
        fixture.stored.size,
        SERVICE_COUNT,
        `${refused} refused, after ${i + 1} pass(es)`,
      );
    }
    await fixture.runAllPasses();
    assert.ok(!fixture.hasOldRecord);
  }
});

test('a chunk that is still in the old record does not migrate to another shard', async () => {
  const waiting = { ...service('wk-0'), attempts: [] };
  const fixture = new LoweredLimitsFixture({ ...services(), 'wk-0/0': waiting });
  const chunk = fixture.ownedShard.shard.chunks.get('wk-0/0');
  assert.ok(chunk?.isMigratable);
  await fixture.runPass();
  const wasMigratable: boolean[] = [];
  for (let i = 0; i < 40; i++) {
    wasMigratable.push(chunk.isMigratable);
    assert.ok(!chunk.isMigratable || !fixture.hasOldRecord);
    await fixture.runPass();
  }
  assert.ok(
    wasMigratable.includes(false) && chunk.isMigratable,
    'it may migrate once the old record is removed',
  );
});

// Guards against a chunk in two shards: a new leader let it migrate while an older record still held a copy of it.
test('a chunk with an outdated copy in another record migrates only once that record is written without it', async () => {
  const waiting = { ...service('wk-0'), attempts: [] };
  const fixture = new LoweredLimitsFixture({ 'wk-0/0': waiting, 'wk-1/0': service('wk-1') });
  const key = keys.bucket('p', 'new');
  const revision = ++fixture.store.revision;
  fixture.store.rows.set(key, { key, value: { chunks: { 'wk-0/0': waiting } }, revision });
  fixture.loadAsNewLeader();
  const chunk = fixture.ownedShard.shard.chunks.get('wk-0/0');
  assert.equal(chunk?.isMigratable, false);
  await fixture.runAllPasses();
  const old = fixture.store.rows.get(keys.bucket('p', 'old'))?.value as BucketRecord;
  assert.deepEqual(Object.keys(old.chunks), ['wk-1/0'], 'the copy was never removed');
  assert.ok(chunk.isMigratable);
});

test('a chunk with more attempts than one record holds is stored in fragments and can change', async () => {
  const attempts = Array.from({ length: 150 }, (_, task): AttemptRecord => {
    return { task, attemptNumber: task + 1, machine: `n-${task % REPLICAS}`, agentEpoch: 1 };
  });
  const large = { ...service('wk-0'), endTask: 150, nextAttemptNumber: 200, attempts };
  const fixture = new LoweredLimitsFixture({ 'wk-0/0': large });
  const chunk = fixture.ownedShard.shard.chunks.get('wk-0/0');
  chunk?.attempts.delete(4);
  if (chunk !== undefined) fixture.ownedShard.shard.noteChunkChanged(chunk, fixture.now);
  await fixture.runAllPasses();
  assert.equal(fixture.stored.get('wk-0/0')?.attempts.length, 149);
});

test('the largest records at about 4,000 machines stay within 2 KiB, or a transaction of five', () => {
  const recordFormat = recordFormatFor(LIMITS.value, TXN_OPS, true);
  const machines = Array.from({ length: groupLimit(LIMITS.value) }, (_, i) => [
    `n-${String(i).padStart(9, '0')}`,
    { launchedAt: 1764637200.123, address: '10.255.255.255:65535' },
  ]);
  const group: MachineGroupRecord = {
    ...{ shard: 'drone-100', type: 'panyard-large', zone: 'port-of-spain', spot: true },
    machines: Object.fromEntries(machines),
  };
  const labels = Array.from({ length: 12 }, (_, i) => `drone-${i}`);
  const lost = Object.fromEntries(labels.map((label) => [label, 1764637200.123]));
  const owners = labels.map((label) => [label, { node: 'drone-11', lostAtByNode: { ...lost } }]);
  const token: FencingTokenRecord = { lastToken: 99_999, lastLeaders: Object.fromEntries(owners) };
  const shares = Object.fromEntries(labels.map((label) => [label, { cpus: 123456.5, gpus: 123 }]));
  const job: JobRecord = {
    ...{
      spec: jobSpec({ taskCount: 100_000 }),
      homeShard: 'drone-11',
      state: 'open',
      taskCount: 100_000,
    },
    ...{
      submittedAt: 1764637200.123,
      chunkSize: 50,
      zones: ['zagreb-core', 'split-coast'],
      createdChunks: 2000,
    },
    doneChunks: Array.from({ length: 2000 }, (_, i) => i).filter((i) => i % 400 !== 7),
    migratedChunks: [7, 407],
  };
  const cases: [string, string, unknown, number][] = [
    ['a machine group', keys.machineGroup('x'), group, 1],
    ["shares of a team's limit", keys.quota('crew'), shares, 1],
    ['a job of 100,000 tasks', keys.job('wk-1'), job, 1],
    // One operation is left for the leader record, which is written in the same transaction.
    [
      'the fencing token counter of 12 shards, each lost by all nodes',
      keys.fencingTokens,
      token,
      TXN_OPS - 1,
    ],
  ];
  for (const [name, key, value, maxOperations] of cases) {
    assert.ok(
      recordFormat.operations(key, value) <= maxOperations,
      `${name}: ${recordFormat.encodedBytes(key, value)} bytes`,
    );
  }
});
