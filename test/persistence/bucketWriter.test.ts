/** Which records are written and when: machines by rental, chunks in buckets, and transactions whose answer is lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { chooseShardFor } from '../../src/coordination/autoscaling/machineGroups.js';
import { ShardLoader } from '../../src/coordination/leadership/shardLoader.js';
import { BucketWriter } from '../../src/coordination/persistence/bucketWriter.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { rateShareOf } from '../../src/storage/rateLimiter.js';
import { MachineInventory } from '../../src/storage/machineInventory.js';
import { keys, type MachineGroupRecord, type BucketRecord } from '../../src/storage/records.js';
import { ChunkIndex } from '../../src/storage/chunkIndex.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { emptyShard, m8 } from '../support/emptyShard.js';
import { jobSpec } from '../support/jobSpec.js';
import { MemoryStore } from '../support/memoryStore.js';

const group = (shard: string, ...names: string[]): MachineGroupRecord => ({
  shard,
  type: 'm8',
  zone: 'a',
  spot: false,
  machines: Object.fromEntries(names.map((n) => [n, { launchedAt: 5 }])),
});

test('machines come and go with the record of their rental', () => {
  const inventory = new MachineInventory();
  const steps: [string, string, MachineGroupRecord | null, string[], string[], number][] = [
    [
      'a rental that is being requested has no machines',
      'r1',
      { ...group('p'), requestedCount: 2 },
      [],
      [],
      0,
    ],
    ['its machines', 'r1', group('p', 'n1', 'n2'), ['n1', 'n2'], [], 2],
    ['another rental', 'r2', group('p', 'n3'), ['n3'], [], 3],
    ['one machine is released', 'r1', group('p', 'n2'), ['n2'], ['n1'], 2],
    [
      'a machine that another record names stays in that one',
      'r2',
      group('q', 'n3', 'n2'),
      ['n3'],
      [],
      1,
    ],
    ['and stays when the later record is removed', 'r2', null, [], ['n3'], 1],
    ['the last record is removed', 'r1', null, [], ['n2'], 0],
  ];
  for (const [name, rental, record, present, gone, count] of steps) {
    const change = inventory.update(rental, record);
    assert.deepEqual(
      change.present.map(([n]) => n),
      present,
      name,
    );
    assert.deepEqual(change.gone, gone, name);
    assert.equal(inventory.countsOf('p').get('m8') ?? 0, count, name);
  }
});

test('the index finds a chunk in the bucket in which it was last stored', () => {
  const buckets = new ChunkIndex();
  const chunk = new Chunk(jobSpec(), 0, 'p', 1, 0, 4, null, 0);
  const record = { chunks: { 'wk-1/0': chunk.toRecord() } };
  buckets.update('p', 's1', record, 1);
  assert.equal(buckets.find('wk-1/0')?.shard, 'p');
  // The chunk migrates: the new bucket may be delivered before the change of the old one.
  buckets.update('q', 's9', record, 2);
  buckets.update('p', 's1', { chunks: {} }, 2);
  assert.equal(buckets.find('wk-1/0')?.shard, 'q');
  buckets.update('q', 's9', null, 3);
  assert.equal(buckets.find('wk-1/0'), undefined);
});

test('nodes divide a rate by demand, and together stay within it', () => {
  const cases: [string, number[], number][] = [
    ['the others demand nothing', [0, 0], 30],
    ['one demands a little', [4, 0], 26],
    ['one demands more than its even share', [25, 0], 20],
    ['both demand more than their even share', [25, 40], 10],
    ['the demand of one is unknown', [2], 18],
    ['the demand of both is unknown', [], 10],
  ];
  for (const [name, demands, share] of cases)
    assert.equal(rateShareOf(30, 3, demands), share, name);
  for (const demands of [
    [12, 3, 9],
    [10, 10, 10],
    [1, 2, 3],
    [40, 50, 60],
  ]) {
    const used = demands.map((demand, i) =>
      Math.min(
        demand,
        rateShareOf(
          30,
          3,
          demands.filter((_, k) => k !== i),
        ),
      ),
    );
    assert.ok(used.reduce((a, b) => a + b) <= 30 + 1e-9, `${demands.join(' ')} exceed the rate`);
  }
});

/** One shard with its bucket writer, on a state service in memory. */
class WriterFixture {
  now = 100;
  readonly store = new MemoryStore();
  readonly ownedShard: OwnedShard;
  readonly started: string[] = [];
  private readonly bucketWriter: BucketWriter;

  constructor() {
    const shard = emptyShard(3, new Map([['m8', m8]]));
    for (const [label, revision] of [
      ['p', 1],
      ['q', 2],
    ] as const) {
      this.store.rows.set(keys.leader(label), {
        key: keys.leader(label),
        value: {},
        revision,
      });
    }
    this.ownedShard = createOwnedShard(shard, { fencingToken: 5, revision: 1 }, 0);
    const { rows } = this.store;
    this.bucketWriter = new BucketWriter(
      this.store,
      { get: (key) => rows.get(key), applyPut: () => undefined, applyRemoval: () => undefined },
      { now: () => this.now, wall: () => this.now },
      {
        isLeaseValid: () => true,
        verifyLeadership: () => Promise.resolve(),
        onChunksStored: (_, chunks) => {
          for (const chunk of chunks) {
            for (const attempt of chunk.attempts.values()) {
              const name = `${chunk.taskName(attempt.task)}@${attempt.machine}`;
              if (chunk.isDurable(attempt) && !this.started.includes(name)) this.started.push(name);
            }
          }
        },
      },
      {
        txnOps: 16,
        recordFormat: recordFormatFor(),
        flushDelay: 2,
        retryDelay: 0.001,
        process: 'x',
      },
    );
  }

  addMachine(name: string): void {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: 'h:1',
    };
    const machine = this.ownedShard.shard.addMachine(name, record, this.now);
    const report = { machine: name, address: 'h:1', type: 'm8', zone: 'a', spot: false };
    const rest = {
      agentEpoch: 1,
      heartbeatSequence: 1,
      highestFencingToken: 5,
      preemptionWarning: null,
      attempts: [],
    };
    this.ownedShard.shard.heartbeats.apply(machine, { ...report, ...rest }, this.now, 'response');
  }

  addJob(id: string, tasks = 1, changes: Partial<JobSpec> = {}): Chunk {
    const chunk = new Chunk(
      jobSpec({ id, taskCount: tasks, ...changes }),
      0,
      'p',
      this.now,
      0,
      tasks,
      null,
      this.now,
    );
    this.ownedShard.shard.acceptNewChunk(chunk, this.now);
    return chunk;
  }

  /** Runs a scheduling round, writes what is due and waits for all answers. */
  async runRound(seconds = 5): Promise<void> {
    this.now += seconds;
    this.ownedShard.shard.scheduler.runRound(this.now, () => false);
    this.bucketWriter.writeDueBuckets(this.ownedShard);
    while (this.ownedShard.writesInFlight > 0) await new Promise((r) => setTimeout(r, 1));
  }

  move(chunk: Chunk): ReturnType<BucketWriter['migrate']> {
    return this.bucketWriter.migrate(this.ownedShard, chunk, 'q', { conditions: [], puts: [] });
  }

  /** Migrates the chunk back from the peer, and delivers the change to this shard. */
  migrateBack(chunk: Chunk): void {
    const { rows } = this.store;
    const found = [...rows.values()].find(({ key }) => key.startsWith('b/run/q/'));
    assert.ok(found, 'the chunk is stored at the peer');
    rows.delete(found.key);
    const name = `${chunk.id.replace('/', '-')}-2`;
    const sent = { ...chunk.toRecord(), migrationCount: 2 };
    const value: BucketRecord = { chunks: { [chunk.id]: sent } };
    const key = keys.bucket('p', name);
    const revision = ++this.store.revision;
    rows.set(key, { key, value, revision });
    const loader = new ShardLoader({
      clock: { now: () => this.now, wall: () => this.now },
      inventory: { machinesOf: () => new Map<string, never>().entries(), get: () => undefined },
      stateCache: {
        get: (any) => rows.get(any),
        *entriesWithPrefix() {
          // No other records are loaded.
        },
        applyRemoval: () => undefined,
      },
      stateClient: this.store,
      persistence: { createMissingChunks: () => undefined },
      recordFormat: recordFormatFor(),
      requestSchedulingRound: () => undefined,
    });
    loader.onBucketChange(this.ownedShard, name, value, revision);
  }

  /** Returns the shards whose stored buckets hold the chunk. */
  shardsStoring(chunk: Chunk): string[] {
    return [...this.store.rows.values()].flatMap(({ key, value }) =>
      key.startsWith('b/run/') && (value as BucketRecord).chunks[chunk.id] !== undefined
        ? [key.split('/')[2] ?? '']
        : [],
    );
  }
}

test('many chunks cost one write, and a finished chunk is removed with the next write', async () => {
  const fixture = new WriterFixture();
  fixture.addMachine('n-1');
  const chunks = ['wk-1', 'wk-2', 'wk-3', 'wk-4'].map((id) => fixture.addJob(id));
  await fixture.runRound();
  assert.equal(fixture.store.changeCount, 1);
  assert.equal(fixture.started.length, 4);
  const [first] = chunks;
  if (first === undefined) throw new Error('no chunks');
  fixture.ownedShard.shard.dropChunk(first);
  await fixture.runRound();
  assert.equal(
    fixture.store.changeCount,
    1,
    'the removal of a finished chunk is not written by itself',
  );
  const next = fixture.addJob('wk-5');
  await fixture.runRound();
  assert.equal(fixture.store.changeCount, 2);
  assert.deepEqual(fixture.shardsStoring(first), []);
  assert.deepEqual(fixture.shardsStoring(next), ['p']);
});

test('an empty bucket is reused for the next chunk, also if its removal got no answer', async () => {
  for (const removal of ['none', 'applied', 'late'] as const) {
    const fixture = new WriterFixture();
    fixture.addMachine('n-1');
    const first = fixture.addJob('wk-1');
    await fixture.runRound();
    fixture.ownedShard.shard.dropChunk(first);
    if (removal !== 'none') {
      fixture.store.withholdNext = true;
      await fixture.runRound();
      if (removal === 'applied') assert.equal(fixture.store.applyWithheld().kind, 'applied');
    }
    const before = fixture.store.changeCount;
    const next = fixture.addJob('wk-2');
    await fixture.runRound();
    await fixture.runRound();
    if (removal === 'late') assert.equal(fixture.store.applyWithheld().kind, 'conflict');
    assert.deepEqual(
      [fixture.shardsStoring(first), fixture.shardsStoring(next)],
      [[], ['p']],
      removal,
    );
    assert.ok(fixture.started.includes('wk-2/0@n-1'), removal);
    assert.equal(fixture.store.changeCount, before + 1, `${removal}: one write, no removal`);
  }
});

test('a start waits for the answer to its write, also if the first copy was applied without an answer', async () => {
  for (const applied of [true, false]) {
    const fixture = new WriterFixture();
    fixture.addMachine('n-1');
    const chunk = fixture.addJob('wk-1');
    fixture.store.withholdNext = true;
    await fixture.runRound();
    assert.deepEqual(fixture.started, [], 'started before the write was answered');
    if (applied) fixture.store.applyWithheld();
    await fixture.runRound();
    await fixture.runRound();
    assert.deepEqual(fixture.started, ['wk-1/0@n-1']);
    assert.deepEqual(fixture.shardsStoring(chunk), ['p']);
    if (!applied)
      assert.equal(fixture.store.applyWithheld().kind, 'conflict', 'a late copy was applied');
  }
});

test('a migration without an answer leaves the chunk in one shard, whenever it is applied', async () => {
  for (const early of [true, false]) {
    const fixture = new WriterFixture();
    const chunk = fixture.addJob('wk-1');
    const other = fixture.addJob('wk-2');
    await fixture.runRound();
    fixture.store.withholdNext = true;
    assert.equal((await fixture.move(chunk)).kind, 'unknown');
    if (early) assert.equal(fixture.store.applyWithheld().kind, 'applied');
    // A machine becomes available here meanwhile, and both chunks are placed.
    fixture.addMachine('n-1');
    await fixture.runRound();
    await fixture.runRound();
    if (!early) assert.equal(fixture.store.applyWithheld().kind, 'conflict');
    assert.deepEqual(fixture.shardsStoring(chunk), [early ? 'q' : 'p']);
    assert.deepEqual(fixture.shardsStoring(other), ['p']);
    const startedHere = fixture.started.filter((name) => name.startsWith('wk-1/'));
    assert.equal(startedHere.length, early ? 0 : 1, 'started here although it had migrated');
    assert.ok(fixture.started.includes('wk-2/0@n-1'));
  }
});

test('a bucket whose creation got no answer is not created again after its chunks have left it', async () => {
  for (const leave of ['moved', 'dropped before it was stored'] as const) {
    const fixture = new WriterFixture();
    const chunk = fixture.addJob('wk-1');
    fixture.store.withholdNext = true;
    await fixture.runRound();
    if (leave === 'moved') {
      await fixture.runRound();
      assert.equal((await fixture.move(chunk)).kind, 'applied');
    } else fixture.ownedShard.shard.dropChunk(chunk);
    await fixture.runRound();
    await fixture.runRound();
    // The late copy is conditional on the absence of the record: it would be applied if the record had been removed.
    assert.equal(fixture.store.applyWithheld().kind, 'conflict');
    assert.deepEqual(fixture.shardsStoring(chunk), leave === 'moved' ? ['q'] : []);
    // The bucket is reused for the next chunk.
    const next = fixture.addJob('wk-2');
    await fixture.runRound();
    assert.deepEqual(fixture.shardsStoring(next), ['p']);
    assert.equal([...fixture.store.rows.keys()].filter((k) => k.startsWith('b/run/p/')).length, 1);
  }
});

// Guards against a job that neither runs nor can be cancelled: the write that settles an unanswered move was never due.
test('an unanswered move of a waiting chunk is settled by the next write of its bucket, whenever it is applied', async () => {
  for (const early of [true, false]) {
    const fixture = new WriterFixture();
    const chunk = fixture.addJob('wk-1');
    await fixture.runRound();
    fixture.store.withholdNext = true;
    assert.equal((await fixture.move(chunk)).kind, 'unknown');
    if (early) assert.equal(fixture.store.applyWithheld().kind, 'applied');
    assert.ok(!chunk.isMigratable, 'it may be in either shard');
    // There is no machine here, so nothing else makes a write due.
    for (let round = 0; round < 3; round++) await fixture.runRound();
    assert.ok(chunk.isDropped === early && chunk.isMigratable === !early);
    if (!early) assert.equal(fixture.store.applyWithheld().kind, 'conflict');
    assert.deepEqual(fixture.shardsStoring(chunk), [early ? 'q' : 'p']);
  }
});

// Guards against the loss of a chunk that was moved back before its move away was known to be applied.
test('a chunk that comes back before its move away is known to be applied is not lost', async () => {
  const fixture = new WriterFixture();
  const chunk = fixture.addJob('wk-1');
  await fixture.runRound();
  fixture.store.withholdNext = true;
  assert.equal((await fixture.move(chunk)).kind, 'unknown');
  assert.equal(fixture.store.applyWithheld().kind, 'applied');
  fixture.migrateBack(chunk);
  await fixture.runRound();
  fixture.addMachine('n-1');
  for (let round = 0; round < 4; round++) await fixture.runRound();
  assert.deepEqual(fixture.shardsStoring(chunk), ['p']);
  assert.ok(fixture.started.includes('wk-1/0@n-1'), 'it waits forever');
});

// Guards against a late answer that removes the chunk that has come back, instead of the one that had left.
test('a chunk that comes back before the answer to its move away arrives is not lost', async () => {
  const fixture = new WriterFixture();
  const chunk = fixture.addJob('wk-1');
  await fixture.runRound();
  fixture.store.onApplied = () => {
    fixture.store.onApplied = () => undefined;
    fixture.migrateBack(chunk);
  };
  assert.equal((await fixture.move(chunk)).kind, 'applied');
  fixture.addMachine('n-1');
  for (let round = 0; round < 4; round++) await fixture.runRound();
  assert.deepEqual(fixture.shardsStoring(chunk), ['p']);
  assert.ok(fixture.started.includes('wk-1/0@n-1'), 'it waits forever');
});

test('a late copy of an answered transaction does not restore a chunk that has left its bucket', async () => {
  for (const leave of ['moved', 'dropped'] as const) {
    const fixture = new WriterFixture();
    const chunk = fixture.addJob('wk-1');
    await fixture.runRound();
    if (leave === 'moved') assert.equal((await fixture.move(chunk)).kind, 'applied');
    else fixture.ownedShard.shard.dropChunk(chunk);
    await fixture.runRound();
    await fixture.runRound();
    assert.deepEqual(new Set(fixture.store.applyDuplicates()), new Set(['conflict']), leave);
    assert.deepEqual(fixture.shardsStoring(chunk), leave === 'moved' ? ['q'] : []);
  }
});

test('a chunk with started tasks does not migrate', async () => {
  const fixture = new WriterFixture();
  fixture.addMachine('n-1');
  const chunk = fixture.addJob('wk-1');
  await fixture.runRound();
  assert.equal((await fixture.move(chunk)).kind, 'refused');
  assert.deepEqual(fixture.shardsStoring(chunk), ['p']);
});

test('a machine is assigned to the shard of its zone that requests it, or else to the smallest', () => {
  const cases: [string, string, string, string][] = [
    ['requested by a shard of the zone', 'p', 'a', 'p'],
    ['requested by no shard', '', 'a', 'q'],
    ['requested by a shard of another zone', 'p', 'b', 'r'],
    ['in a zone without a shard', '', 'c', 'q'],
  ];
  const inventory = new MachineInventory();
  inventory.update('r1', group('p', 'n-1', 'n-2'));
  const zoneOf = new Map([
    ['p', 'a'],
    ['q', 'a'],
    ['r', 'b'],
  ]);
  const machineTypes = new Map([['m8', { cpus: 8 }]]);
  const node = {
    shards: ['p', 'q', 'r'],
    zoneOf,
    machineTypes: machineTypes,
    inventory: inventory,
  };
  for (const [name, wanted, zone, shard] of cases) {
    assert.equal(chooseShardFor(node, zone, wanted), shard, name);
  }
});

/** A description beyond the limits of a value. */
const LARGE = { machineTypes: Array.from({ length: 2000 }, (_, n) => `machine-type-${n}`) };

// Guards against a shard that starts nothing any more: chunks that can't be stored held all of its writes.
test('chunks that the state service rejects as malformed are set aside, and hold up no others', async () => {
  const fixture = new WriterFixture();
  fixture.addMachine('n-1');
  const large = [0, 1, 2, 3, 4].map((n) =>
    fixture.addJob(`wk-9${n}`, 1, { ...LARGE, machineTypes: ['m8', ...LARGE.machineTypes] }),
  );
  await fixture.runRound(0.1);
  const ordinary = ['wk-1', 'wk-2'].map((id) => fixture.addJob(id));
  for (let round = 0; round < 6; round++) await fixture.runRound();
  assert.deepEqual(
    ordinary.map((chunk) => fixture.shardsStoring(chunk)),
    [['p'], ['p']],
  );
  assert.deepEqual(fixture.started, ['wk-1/0@n-1', 'wk-2/0@n-1']);
  assert.ok(large.every((chunk) => chunk.isUnstorable && chunk.attempts.size === 0));
  // Once the limits allow it they are stored, and start.
  fixture.store.limits.value = 64 * 1024;
  for (const chunk of ordinary) fixture.ownedShard.shard.dropChunk(chunk);
  for (let round = 0; round < 12; round++) await fixture.runRound();
  assert.ok(large.some((chunk) => !chunk.isUnstorable && chunk.attempts.size === 1));
});

test('a write that is rejected as malformed is not repeated as it is', async () => {
  const fixture = new WriterFixture();
  fixture.addMachine('n-1');
  fixture.addJob('wk-9', 1, { machineTypes: ['m8', ...LARGE.machineTypes] });
  let transactions = 0;
  const transact = fixture.store.transact.bind(fixture.store);
  fixture.store.transact = (transaction) => {
    transactions++;
    return transact(transaction);
  };
  for (let round = 0; round < 20; round++) await fixture.runRound(0.5);
  assert.equal(transactions, 1);
});

test('the chunks of a bucket that is rejected as malformed are stored apart, and none is lost', async () => {
  for (const isStored of [false, true]) {
    const fixture = new WriterFixture();
    fixture.addMachine('n-1');
    if (!isStored) fixture.store.limits.value = 600;
    const chunks = ['wk-1', 'wk-2', 'wk-3'].map((id) => fixture.addJob(id));
    await fixture.runRound();
    if (isStored) {
      fixture.store.limits.value = 600;
      for (const chunk of chunks) fixture.ownedShard.shard.noteChunkChanged(chunk, fixture.now);
    }
    for (let round = 0; round < 6; round++) await fixture.runRound();
    for (const chunk of chunks) {
      assert.deepEqual(fixture.shardsStoring(chunk), ['p'], chunk.id);
      assert.equal(chunk.retiredFrom, null);
    }
    assert.equal(fixture.started.length, 3);
  }
});

test('a migration that is rejected as malformed is not tried again, and the chunk stays', async () => {
  const fixture = new WriterFixture();
  const chunk = fixture.addJob('wk-1');
  await fixture.runRound();
  const { value } = fixture.store.limits;
  fixture.store.limits.value = 100;
  assert.equal((await fixture.move(chunk)).kind, 'malformed');
  fixture.store.limits.value = value;
  assert.equal((await fixture.move(chunk)).kind, 'refused');
  assert.deepEqual(fixture.shardsStoring(chunk), ['p']);
});
