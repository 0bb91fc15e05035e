/** What is stored and when: machines by rental, chunks on buckets, and answers that get lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { chooseShardFor } from '../../src/coordination/autoscaling/machineGroups.js';
import { ShardLoader } from '../../src/coordination/leadership/shardLoader.js';
import { BucketWriter } from '../../src/coordination/persistence/bucketWriter.js';
import { rateShareOf } from '../../src/storage/rateLimiter.js';
import { MachineInventory } from '../../src/storage/machineInventory.js';
import { keys, type MachineGroupRecord, type BucketRecord } from '../../src/storage/records.js';
import { ChunkIndex } from '../../src/storage/chunkIndex.js';
import { layoutFor } from '../support/layout.js';
import { emptyShard, m8 } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';
import { MemoryStore } from '../support/store.js';

const group = (part: string, ...names: string[]): MachineGroupRecord => ({
  shard: part,
  type: 'm8',
  zone: 'a',
  spot: false,
  machines: Object.fromEntries(names.map((n) => [n, { launchedAt: 5 }])),
});

test('machines come and go with the record of their rental', () => {
  const fleet = new MachineInventory();
  const steps: [string, string, MachineGroupRecord | null, string[], string[], number][] = [
    [
      'a rental that is being asked for has none',
      'r1',
      { ...group('p'), requestedCount: 2 },
      [],
      [],
      0,
    ],
    ['its machines', 'r1', group('p', 'n1', 'n2'), ['n1', 'n2'], [], 2],
    ['another rental', 'r2', group('p', 'n3'), ['n3'], [], 3],
    ['one is returned', 'r1', group('p', 'n2'), ['n2'], ['n1'], 2],
    ['one that another record has is not taken over', 'r2', group('q', 'n3', 'n2'), ['n3'], [], 1],
    ['nor taken away with that record', 'r2', null, [], ['n3'], 1],
    ['the last', 'r1', null, [], ['n2'], 0],
  ];
  for (const [name, ask, record, present, gone, count] of steps) {
    const change = fleet.update(ask, record);
    assert.deepEqual(
      change.present.map(([n]) => n),
      present,
      name,
    );
    assert.deepEqual(change.gone, gone, name);
    assert.equal(fleet.countsOf('p').get('m8') ?? 0, count, name);
  }
});

test('a chunk is found where it was stored last', () => {
  const buckets = new ChunkIndex();
  const chunk = new Chunk(spec(), 0, 'p', 1, 0, 4, null, 0);
  const record = { chunks: { 'wk-1/0': chunk.toRecord() } };
  buckets.update('p', 's1', record, 1);
  assert.equal(buckets.find('wk-1/0')?.shard, 'p');
  // It moves: the new bucket may be heard of before the old one is changed.
  buckets.update('q', 's9', record, 2);
  buckets.update('p', 's1', { chunks: {} }, 2);
  assert.equal(buckets.find('wk-1/0')?.shard, 'q');
  buckets.update('q', 's9', null, 3);
  assert.equal(buckets.find('wk-1/0'), undefined);
});

test('nodes share a limit by need, and together stay below it', () => {
  const cases: [string, number[], number][] = [
    ['the others need nothing', [0, 0], 30],
    ['one needs a little', [4, 0], 26],
    ['one needs more than its even share', [25, 0], 20],
    ['both do', [25, 40], 10],
    ['one has not been heard', [2], 18],
    ['nobody has', [], 10],
  ];
  for (const [name, needs, share] of cases) assert.equal(rateShareOf(30, 3, needs), share, name);
  for (const needs of [
    [12, 3, 9],
    [10, 10, 10],
    [1, 2, 3],
    [40, 50, 60],
  ]) {
    const used = needs.map((n, i) =>
      Math.min(
        n,
        rateShareOf(
          30,
          3,
          needs.filter((_, k) => k !== i),
        ),
      ),
    );
    assert.ok(used.reduce((a, b) => a + b) <= 30 + 1e-9, `${needs.join(' ')} pass the limit`);
  }
});

/** One part with its buckets, on a store in memory. */
class Desk {
  now = 100;
  readonly store = new MemoryStore();
  readonly host: OwnedShard;
  readonly started: string[] = [];
  private readonly bucketWriter: BucketWriter;

  constructor() {
    const part = emptyShard(3, new Map([['m8', m8]]));
    for (const [label, stamp] of [
      ['p', 1],
      ['q', 2],
    ] as const) {
      this.store.rows.set(keys.leader(label), {
        key: keys.leader(label),
        value: {},
        revision: stamp,
      });
    }
    this.host = createOwnedShard(part, { fencingToken: 5, revision: 1 }, 0);
    const { rows } = this.store;
    this.bucketWriter = new BucketWriter(
      this.store,
      { get: (key) => rows.get(key), note: () => undefined, noteRemoved: () => undefined },
      { now: () => this.now, wall: () => this.now },
      {
        isLeaseValid: () => true,
        verifyLeadership: () => Promise.resolve(),
        stored: (_, chunks) => {
          for (const chunk of chunks) {
            for (const entry of chunk.attempts.values()) {
              const name = `${chunk.taskName(entry.task)}@${entry.machine}`;
              if (chunk.isDurable(entry) && !this.started.includes(name)) this.started.push(name);
            }
          }
        },
      },
      { txnOps: 16, recordFormat: layoutFor(), flushDelay: 2, retryDelay: 0.001, process: 'x' },
    );
  }

  machine(name: string): void {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: 'h:1',
    };
    const machine = this.host.shard.addMachine(name, record, this.now);
    const report = { machine: name, address: 'h:1', type: 'm8', zone: 'a', spot: false };
    const rest = {
      agentEpoch: 1,
      heartbeatSequence: 1,
      highestFencingToken: 5,
      preemptionWarning: null,
      attempts: [],
    };
    this.host.shard.heartbeats.apply(machine, { ...report, ...rest }, this.now, 'response');
  }

  job(id: string, tasks = 1): Chunk {
    const chunk = new Chunk(
      spec({ id, taskCount: tasks }),
      0,
      'p',
      this.now,
      0,
      tasks,
      null,
      this.now,
    );
    this.host.shard.acceptNewChunk(chunk, this.now);
    return chunk;
  }

  /** A round: decides, stores what is due and waits until all answers are in. */
  async round(seconds = 5): Promise<void> {
    this.now += seconds;
    this.host.shard.scheduler.runRound(this.now, () => false);
    this.bucketWriter.writeDueBuckets(this.host);
    while (this.host.writesInFlight > 0) await new Promise((r) => setTimeout(r, 1));
  }

  move(chunk: Chunk): ReturnType<BucketWriter['move']> {
    return this.bucketWriter.move(this.host, chunk, 'q', { conditions: [], puts: [] });
  }

  /** The peer sends the chunk back, and this part hears of it. */
  sendBack(chunk: Chunk): void {
    const { rows } = this.store;
    const found = [...rows.values()].find(({ key }) => key.startsWith('b/run/q/'));
    assert.ok(found, 'it is at the peer');
    rows.delete(found.key);
    const name = `${chunk.id.replace('/', '-')}-2`;
    const sent = { ...chunk.toRecord(), migrationCount: 2 };
    const value: BucketRecord = { chunks: { [chunk.id]: sent } };
    const key = keys.bucket('p', name);
    const revision = ++this.store.epoch;
    rows.set(key, { key, value, revision });
    const loader = new ShardLoader({
      clock: { now: () => this.now, wall: () => this.now },
      inventory: { of: () => new Map<string, never>().entries(), get: () => undefined },
      stateCache: {
        get: (any) => rows.get(any),
        *entriesWithPrefix() {
          // Nothing else is loaded.
        },
        noteRemoved: () => undefined,
      },
      stateClient: this.store,
      persistence: { acceptMissing: () => undefined },
      recordFormat: layoutFor(),
      requestSchedulingRound: () => undefined,
    });
    loader.noteBucket(this.host, name, value, revision);
  }

  /** Parts whose stored buckets hold the chunk. */
  where(chunk: Chunk): string[] {
    return [...this.store.rows.values()].flatMap(({ key, value }) =>
      key.startsWith('b/run/') && (value as BucketRecord).chunks[chunk.id] !== undefined
        ? [key.split('/')[2] ?? '']
        : [],
    );
  }
}

test('many chunks cost one change, and one that is over goes with the next', async () => {
  const desk = new Desk();
  desk.machine('n-1');
  const chunks = ['wk-1', 'wk-2', 'wk-3', 'wk-4'].map((id) => desk.job(id));
  await desk.round();
  assert.equal(desk.store.changes, 1);
  assert.equal(desk.started.length, 4);
  const [first] = chunks;
  if (first === undefined) throw new Error('no chunks');
  desk.host.shard.dropChunk(first);
  await desk.round();
  assert.equal(desk.store.changes, 1, 'nobody waits for that');
  const next = desk.job('wk-5');
  await desk.round();
  assert.equal(desk.store.changes, 2);
  assert.deepEqual(desk.where(first), []);
  assert.deepEqual(desk.where(next), ['p']);
});

test('an empty bucket is written anew by what comes next, also where its removal got no answer', async () => {
  for (const removal of ['none', 'applied', 'late'] as const) {
    const desk = new Desk();
    desk.machine('n-1');
    const first = desk.job('wk-1');
    await desk.round();
    desk.host.shard.dropChunk(first);
    if (removal !== 'none') {
      desk.store.loseNext = true;
      await desk.round();
      if (removal === 'applied') assert.equal(desk.store.late().kind, 'applied');
    }
    const before = desk.store.changes;
    const next = desk.job('wk-2');
    await desk.round();
    await desk.round();
    if (removal === 'late') assert.equal(desk.store.late().kind, 'conflict');
    assert.deepEqual([desk.where(first), desk.where(next)], [[], ['p']], removal);
    assert.ok(desk.started.includes('wk-2/0@n-1'), removal);
    assert.equal(desk.store.changes, before + 1, `${removal}: one change, no removal`);
  }
});

test('a start waits for an answer, also when the first copy was applied without one', async () => {
  for (const applied of [true, false]) {
    const desk = new Desk();
    desk.machine('n-1');
    const chunk = desk.job('wk-1');
    desk.store.loseNext = true;
    await desk.round();
    assert.deepEqual(desk.started, [], 'started without an answer');
    if (applied) desk.store.late();
    await desk.round();
    await desk.round();
    assert.deepEqual(desk.started, ['wk-1/0@n-1']);
    assert.deepEqual(desk.where(chunk), ['p']);
    if (!applied) assert.equal(desk.store.late().kind, 'conflict', 'a late copy was applied');
  }
});

test('a move without an answer leaves the chunk at one part, whenever it is applied', async () => {
  for (const early of [true, false]) {
    const desk = new Desk();
    const chunk = desk.job('wk-1');
    const other = desk.job('wk-2');
    await desk.round();
    desk.store.loseNext = true;
    assert.equal((await desk.move(chunk)).kind, 'unknown');
    if (early) assert.equal(desk.store.late().kind, 'applied');
    // Room comes up here meanwhile, and both are placed.
    desk.machine('n-1');
    await desk.round();
    await desk.round();
    if (!early) assert.equal(desk.store.late().kind, 'conflict');
    assert.deepEqual(desk.where(chunk), [early ? 'q' : 'p']);
    assert.deepEqual(desk.where(other), ['p']);
    const mine = desk.started.filter((name) => name.startsWith('wk-1/'));
    assert.equal(mine.length, early ? 0 : 1, 'started here although it had gone');
    assert.ok(desk.started.includes('wk-2/0@n-1'));
  }
});

test('a bucket whose creation got no answer never comes back once its chunks have left it', async () => {
  for (const leave of ['moved', 'dropped before it was stored'] as const) {
    const desk = new Desk();
    const chunk = desk.job('wk-1');
    desk.store.loseNext = true;
    await desk.round();
    if (leave === 'moved') {
      await desk.round();
      assert.equal((await desk.move(chunk)).kind, 'applied');
    } else desk.host.shard.dropChunk(chunk);
    await desk.round();
    await desk.round();
    // Its condition is that there is no such record: a record that had been removed would let it pass.
    assert.equal(desk.store.late().kind, 'conflict');
    assert.deepEqual(desk.where(chunk), leave === 'moved' ? ['q'] : []);
    // The bucket serves what comes next.
    const next = desk.job('wk-2');
    await desk.round();
    assert.deepEqual(desk.where(next), ['p']);
    assert.equal([...desk.store.rows.keys()].filter((k) => k.startsWith('b/run/p/')).length, 1);
  }
});

test('a chunk that comes back before its move away is known to be applied is not lost', async () => {
  const desk = new Desk();
  const chunk = desk.job('wk-1');
  await desk.round();
  desk.store.loseNext = true;
  assert.equal((await desk.move(chunk)).kind, 'unknown');
  assert.equal(desk.store.late().kind, 'applied');
  desk.sendBack(chunk);
  await desk.round();
  desk.machine('n-1');
  for (let round = 0; round < 4; round++) await desk.round();
  assert.deepEqual(desk.where(chunk), ['p']);
  assert.ok(desk.started.includes('wk-1/0@n-1'), 'it waits for good');
});

test('a copy of an answered change brings back no chunk that has left its bucket', async () => {
  for (const leave of ['moved', 'dropped'] as const) {
    const desk = new Desk();
    const chunk = desk.job('wk-1');
    await desk.round();
    if (leave === 'moved') assert.equal((await desk.move(chunk)).kind, 'applied');
    else desk.host.shard.dropChunk(chunk);
    await desk.round();
    await desk.round();
    assert.deepEqual(new Set(desk.store.repeatAnswered()), new Set(['conflict']), leave);
    assert.deepEqual(desk.where(chunk), leave === 'moved' ? ['q'] : []);
  }
});

test('what has started does not move', async () => {
  const desk = new Desk();
  desk.machine('n-1');
  const chunk = desk.job('wk-1');
  await desk.round();
  assert.equal((await desk.move(chunk)).kind, 'refused');
  assert.deepEqual(desk.where(chunk), ['p']);
});

test('machines go to the part of their zone that wants them, or to the smallest', () => {
  const cases: [string, string, string, string][] = [
    ['wanted by a part there', 'p', 'a', 'p'],
    ['wanted by nobody', '', 'a', 'q'],
    ['wanted by a part of another zone', 'p', 'b', 'r'],
    ['in a zone without a part', '', 'c', 'q'],
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
  for (const [name, wanted, zone, part] of cases) {
    assert.equal(chooseShardFor(node, zone, wanted), part, name);
  }
});
