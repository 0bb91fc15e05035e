/** The pure parts of scheduling, with numbers worked out by hand. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextMigrationCandidates } from '../../src/coordination/migration/migrationInitiator.js';
import { seededRandom } from '../../src/base/random.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import {
  chunkRanges,
  chunkSize,
  mayCreateChunk,
  totalChunks,
  zonesFor,
} from '../../src/coordination/model/chunking.js';
import { ArrivalRate } from '../../src/coordination/scheduling/arrivalRate.js';
import { RunTimes } from '../../src/coordination/scheduling/runTimes.js';
import { chooseShard, turnaround } from '../../src/coordination/migration/migrationPolicy.js';
import {
  satisfiesConstraints,
  bestFit,
  sampleCandidates,
  victimsFor,
} from '../../src/coordination/scheduling/placement.js';
import { reshare } from '../../src/coordination/quota/quotaShares.js';
import { requestSizes } from '../../src/coordination/autoscaling/scaleOut.js';
import {
  mergePlans,
  planScaleOut,
  type ScaleOutPlan,
} from '../../src/coordination/autoscaling/scaleOutPlan.js';
import {
  replay,
  ReplayStart,
  type ReplayMachine,
} from '../../src/coordination/scheduling/queueReplay.js';
import type { JobRecord } from '../../src/storage/records.js';
import { fromRanges, toRanges } from '../../src/storage/records.js';
import { spec } from '../support/spec.js';

const room = (cpus: number, memory = 64): { cpus: number; gpus: number; memoryGb: number } => ({
  cpus,
  gpus: 0,
  memoryGb: memory,
});

const host = (free: number, running: [number, number][] = [], readyIn = 0): ReplayMachine => ({
  type: 'm8',
  zone: 'a',
  spot: false,
  free: room(free),
  readyIn,
  running: running.map(([endsIn, cpus]) => ({ endsIn, resources: room(cpus, 0) })),
});

test('the wait comes from replaying the queue', () => {
  const job = spec({ cpus: 4 });
  const item = (count: number, run: number): Parameters<typeof replay>[2] => ({
    spec: job,
    zone: null,
    count,
    run,
  });
  const cases: [string, ReplayMachine[], ReturnType<typeof item>[], number, number][] = [
    ['room now', [host(8)], [], 2, 0],
    ['the second task waits for the first of what runs', [host(4, [[7, 4]])], [], 2, 7],
    ['behind one that waits: 7 s, then its 10 s', [host(0, [[7, 4]])], [item(1, 10)], 1, 17],
    ['two machines, the earlier end counts', [host(0, [[9, 4]]), host(0, [[5, 4]])], [], 1, 5],
    ['a machine that boots', [host(8, [], 30)], [], 1, 30],
    ['its own tasks follow each other: 3 waves of 20 s', [host(4)], [], 3, 40],
    ['too large for any machine', [host(2)], [], 1, Infinity],
    ['no machines', [], [], 1, Infinity],
  ];
  for (const [name, hosts, queue, count, wait] of cases) {
    assert.equal(replay(new ReplayStart(hosts), queue, item(count, 20)).wait, wait, name);
  }
});

test('later work fills what earlier work leaves in the replay', () => {
  const large = { spec: spec({ cpus: 8 }), zone: null, count: 1, run: 10 };
  const small = { spec: spec({ cpus: 2 }), zone: null, count: 1, run: 1 };
  assert.equal(replay(new ReplayStart([host(4, [[6, 4]])]), [large], small).wait, 0);
});

test('turnaround and the factor gate, by the formula of the paper', () => {
  // max(wait, fetch) + run; output transfer is nothing.
  assert.equal(turnaround(12, 5, 30), 42);
  assert.equal(turnaround(3, 5, 30), 35);
  const at = (part: string, t: number, utilisation = 0.5): Parameters<typeof chooseShard>[0] => ({
    shard: part,
    wait: 0,
    turnaround: t,
    utilisation,
  });
  const options = { factor: 1.4, tolerance: 0.01 };
  const cases: [string, number, ReturnType<typeof at>[], string][] = [
    ['nobody answers', 100, [], 'home'],
    ['42 is within 1.4 times 30', 42, [at('b', 30)], 'home'],
    ['43 is not', 43, [at('b', 30)], 'b'],
    ['the smallest wins', 100, [at('b', 40), at('c', 30)], 'c'],
    [
      '30.2 is within 1 % of 30: the less used wins',
      100,
      [at('b', 30, 0.9), at('c', 30.2, 0.1)],
      'c',
    ],
    ['30.4 is not', 100, [at('b', 30, 0.9), at('c', 30.4, 0.1)], 'b'],
    ['no part can hold it', Infinity, [at('b', Infinity)], 'home'],
    ['home cannot hold it', Infinity, [at('b', 500)], 'b'],
  ];
  for (const [name, home, answers, part] of cases) {
    assert.equal(chooseShard(at('home', home), answers, options), part, name);
  }
});

test('chunks cover all tasks once, and a spread job has at most half in a zone', () => {
  for (const tasks of [1, 2, 3, 5, 9, 100]) {
    for (const size of [1, 2, 3, 50, 200]) {
      for (const zones of [[], ['a'], ['a', 'b']]) {
        const ranges = chunkRanges(tasks, size, zones);
        const record = { spec: spec({ taskCount: tasks }), chunkSize: size, zones } as JobRecord;
        assert.equal(totalChunks(record), ranges.length);
        const seen = ranges.flatMap((r) =>
          Array.from({ length: r.endTask - r.firstTask }, (_, i) => r.firstTask + i),
        );
        assert.deepEqual(seen, [...Array(tasks).keys()]);
        assert.ok(ranges.every((r) => r.endTask - r.firstTask <= size));
        if (zones.length < 2) continue;
        for (const zone of zones) {
          const there = ranges.filter((r) => r.zone === zone);
          const count = there.reduce((n, r) => n + r.endTask - r.firstTask, 0);
          assert.ok(count <= Math.ceil(tasks / 2), `${count} of ${tasks} in ${zone}`);
        }
      }
    }
  }
});

test('zones that jobs are held to', () => {
  const cases: [Parameters<typeof spec>[0], string[], string[]][] = [
    [{}, ['a', 'b'], []],
    [{ spreadZones: true }, ['b', 'a'], ['b', 'a']],
    [{ sameZone: true }, ['b', 'a'], ['b']],
    [{ spreadZones: true, zone: 'a' }, ['b', 'a'], ['a', 'a']],
    [{ spreadZones: true, sameZone: true }, ['b', 'a'], ['b', 'b']],
    [{ spreadZones: true }, ['a'], ['a', 'a']],
  ];
  for (const [changes, byRoom, expected] of cases) {
    assert.deepEqual(zonesFor(spec(changes), byRoom), expected, JSON.stringify(changes));
  }
});

test('the second half of a spread job in one zone waits for the first', () => {
  const record = (finished: number[]): JobRecord => ({
    spec: spec({ taskCount: 5, spreadZones: true }),
    homeShard: 'p',
    state: 'open',
    taskCount: 5,
    submittedAt: 0,
    chunkSize: 2,
    zones: ['a', 'a'],
    createdChunks: 0,
    doneChunks: finished,
    migratedChunks: [],
  });
  // Halves of 3 and 2 tasks in chunks of 2: chunks 0 and 1 are the first half.
  assert.deepEqual(
    [0, 1, 2].map((k) => mayCreateChunk(record([0]), k)),
    [true, true, false],
  );
  assert.ok(mayCreateChunk(record([0, 1]), 2));
});

test('chunks fit a part and a record', () => {
  const cases: [string, number, number, number, number, number, number][] = [
    ['what the part can run at once', 4, 60, 128, 273, 3, 32],
    ['what a record can hold', 1, 100_000, 100_000, 136, 5, 136],
    ['a part without machines gets the job whole', 4, 60, 0, 273, 3, 60],
    ['a small part: no more than two chunks for each part', 4, 60, 8, 273, 3, 10],
    ['never less than eight', 4, 12, 8, 273, 3, 8],
  ];
  for (const [name, cpus, tasks, partCpus, mostTasks, parts, size] of cases) {
    assert.equal(
      chunkSize(spec({ cpus, taskCount: tasks }), partCpus, mostTasks, parts),
      size,
      name,
    );
  }
});

test('done tasks are kept as ranges', () => {
  const ranges = toRanges([0, 1, 2, 5, 7, 8]);
  assert.deepEqual(ranges, [0, 3, 5, 6, 7, 9]);
  assert.deepEqual([...fromRanges(ranges)], [0, 1, 2, 5, 7, 8]);
});

test('what a job allows', () => {
  const machine = { type: 'm8', zone: 'a', spot: true };
  const cases: [Parameters<typeof spec>[0], string | null, boolean][] = [
    [{ allowsSpot: true }, null, true],
    [{ allowsSpot: false }, null, false],
    [{ allowsSpot: true, machineTypes: ['g8'] }, null, false],
    [{ allowsSpot: true, zone: 'b' }, null, false],
    [{ allowsSpot: true }, 'b', false],
    [{ allowsSpot: true, machineTypes: ['m8'], zone: 'a' }, 'a', true],
  ];
  for (const [changes, zone, expected] of cases) {
    assert.equal(
      satisfiesConstraints(spec(changes), zone, machine),
      expected,
      JSON.stringify([changes, zone]),
    );
  }
});

test('best fit: the image first, then the least left over; slow machines last', () => {
  const machine = (name: string, cpus: number, image: boolean, slowness = 1) => ({
    name,
    type: 'm8',
    zone: 'a',
    spot: false,
    free: room(cpus),
    slowness,
    serviceCpus: 0,
    hasImage: () => image,
  });
  const pick = (...hosts: ReturnType<typeof machine>[]): string | undefined =>
    bestFit(hosts, spec({ cpus: 2 }))?.name;
  assert.equal(pick(machine('a', 8, true), machine('b', 4, true)), 'b');
  assert.equal(pick(machine('a', 8, true), machine('b', 4, false)), 'a');
  assert.equal(pick(machine('a', 8, true, 3), machine('b', 8, false)), 'b');
  assert.equal(pick(), undefined);
  // Replicas: apart from each other, but not on a machine that could be returned without them.
  const live = (name: string, cpus: number) => ({ ...machine(name, 8, true), serviceCpus: cpus });
  const replica = spec({ cpus: 2, isService: true });
  assert.equal(bestFit([live('a', 4), live('b', 2)], replica)?.name, 'b');
  assert.equal(bestFit([live('a', 0), live('b', 6)], replica)?.name, 'b');
  const many = Array.from({ length: 20 }, (_, i) => machine(`m${i}`, 8, i === 13));
  const sampled = sampleCandidates(many, 'img', 3, seededRandom(1));
  assert.equal(sampled.length, 4);
  assert.ok(sampled.some((h) => h.name === 'm13'));
});

test('only lower ranks make room, the cheapest first', () => {
  const running = [
    { rank: 1, need: room(4, 1), loss: 20 },
    { rank: 1, need: room(4, 1), loss: 5 },
    { rank: 0, need: room(2, 1), loss: 90 },
    { rank: 3, need: room(8, 1), loss: 0 },
  ];
  const losses = (cpus: number, rank: number): number[] | undefined =>
    victimsFor(room(0), room(cpus, 0), running, rank)?.map((v) => v.loss);
  assert.deepEqual(losses(2, 3), [90]);
  assert.deepEqual(losses(4, 3), [90, 5]);
  assert.deepEqual(losses(2, 1), [90]);
  assert.equal(losses(4, 1), undefined);
  assert.equal(losses(11, 3), undefined);
});

test('run times are corrected by the median of what was seen', () => {
  const times = new RunTimes();
  for (const actual of [20, 21, 20, 19]) times.note('c', 10, actual);
  assert.equal(times.expected('c', 10), 10, 'four say too little');
  times.note('c', 10, 400);
  assert.ok(Math.abs(times.expected('c', 10) - 20) < 2);
  assert.equal(times.expected('other', 10), 10);
});

test('arrivals: a steady stream gives its rate, and silence forgets it', () => {
  const arrivals = new ArrivalRate(100);
  for (let t = 0; t < 1000; t++) arrivals.note(50, t);
  assert.ok(Math.abs(arrivals.rate(1000) - 50) < 2);
  assert.ok(arrivals.rate(1500) < 1);
});

test('shares of a limit never add up to more than it, whoever asks for how much', () => {
  const random = seededRandom(3);
  const limit = { cpus: 40, gpus: Infinity };
  let shares: Parameters<typeof reshare>[0] = {};
  const used: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let step = 0; step < 500; step++) {
    const part = ['a', 'b', 'c'][Math.floor(random() * 3)];
    const share = shares[part]?.cpus ?? 0;
    used[part] = Math.floor(random() * (share + 1));
    const want = { cpus: Math.floor(random() * 60), gpus: 0 };
    shares = reshare(shares, part, { cpus: used[part], gpus: 0 }, want, limit);
    const sum = Object.values(shares).reduce((n, s) => n + s.cpus, 0);
    assert.ok(sum <= 40, `${sum}`);
    assert.ok((shares[part]?.cpus ?? 0) >= used[part]);
  }
});

const type = (name: string, cpus: number, price: number, spotPrice: number, boot: number) => ({
  name,
  cpus,
  gpus: 0,
  memoryGb: cpus * 4,
  fetchGbPerSecond: 1,
  cacheGb: 50,
  price,
  spotPrice,
  bootSeconds: boot,
  zones: ['a', 'b'],
});

test('renting: the cheapest kind for the work, within what a job allows', () => {
  const outOfStock = new Set<string>();
  const context = {
    machineTypes: [type('small', 4, 0.2, 0.08, 50), type('large', 32, 1.9, 0.7, 15)],
    isOutOfStock: (t: string, zone: string, spot: boolean) =>
      outOfStock.has(`${t}/${zone}/${spot}`),
    shardFor: () => 'p',
    zoneOf: () => 'a',
    pending: [] as ScaleOutPlan[],
    batchWindow: 60,
    serviceHorizon: 600,
    promptHorizon: 60,
  };
  const demand = {
    shard: 'p',
    cpus: 4,
    gpus: 0,
    memoryGb: 4,
    machineTypes: null,
    zone: null,
    allowsSpot: true,
    rank: 'normal',
    isService: true,
    image: 'i',
    imageGb: 1,
    count: 1,
    isUrgent: false,
    onDemandCount: 0,
    expectedRunSeconds: 0,
  };
  const kinds = (d: typeof demand): string[] =>
    planScaleOut([d], context).map((p) => `${p.count} ${p.type}/${p.zone}/${p.spot}`);
  assert.deepEqual(kinds(demand), ['1 small/a/true']);
  assert.deepEqual(kinds({ ...demand, allowsSpot: false, count: 8 }), ['8 small/a/false']);
  assert.deepEqual(kinds({ ...demand, zone: 'b' as unknown as null }), ['1 small/b/true']);
  assert.deepEqual(kinds({ ...demand, cpus: 5 }), ['1 large/a/true']);
  assert.deepEqual(kinds({ ...demand, cpus: 64 }), []);
  // Replicas that wait get what boots sooner, where it is not much dearer.
  assert.deepEqual(kinds({ ...demand, allowsSpot: false, count: 8, isUrgent: true }), [
    '1 large/a/false',
  ]);
  // What is on its way and not counted yet is not rented once more.
  const plan = { shard: 'p', type: 'large', zone: 'a', spot: true, count: 1 };
  const pending: [string, Partial<ScaleOutPlan>, number, string[]][] = [
    ['holds all of it', {}, 8, []],
    ['holds some of it', {}, 10, ['2 small/a/true']],
    ['goes to another part', { shard: 'q' }, 8, ['8 small/a/true']],
  ];
  for (const [name, change, count, rented] of pending) {
    context.pending = [{ ...plan, ...change }];
    assert.deepEqual(kinds({ ...demand, count }), rented, name);
  }
  context.pending = [];
  outOfStock.add('small/a/true');
  assert.deepEqual(kinds(demand), ['1 small/b/true']);
  // Where no cheap machine is left, only what could not be through in time has machines at full price.
  outOfStock.add('small/b/true').add('large/a/true').add('large/b/true');
  const batch = { ...demand, isService: false, expectedRunSeconds: 30, count: 80 };
  assert.deepEqual(kinds(batch), []);
  assert.deepEqual(kinds({ ...batch, onDemandCount: 8 }), ['1 large/a/false']);
  for (const kind of ['small/b/true', 'large/a/true', 'large/b/true']) outOfStock.delete(kind);
  const merged = mergePlans(planScaleOut([demand, { ...demand, count: 2 }], context));
  assert.equal(merged.length, 1);
});

test('all that waits is asked for in turn, live services first', () => {
  const chunks = [1, 2, 3, 4, 5, 6, 7].map((n) => {
    const of = spec({ id: `wk-${n}`, rank: n === 6 ? 'prod' : 'normal' });
    return new Chunk(of, 0, 'p', 0, 0, 1, null, 0);
  });
  const asked: string[] = [];
  // Rounds come three times as often as one of them may be asked for again.
  for (let now = 0; now < 8; now++) {
    for (const chunk of nextMigrationCandidates(chunks, 2, (c) => now - c.peersAskedAt >= 3)) {
      chunk.peersAskedAt = now;
      asked.push(chunk.spec.id);
    }
  }
  assert.equal(asked[0], 'wk-6');
  assert.equal(new Set(asked).size, 7, 'some were never asked for');
});

test('a large rental is several requests, and one to see where the kind was out of stock', () => {
  const cases: [number, number, boolean, number[]][] = [
    [30, 13, false, [13, 13, 4]],
    [30, 13, true, [13]],
    [5, 13, true, [5]],
    [0, 13, false, []],
  ];
  for (const [count, most, wasRefused, sizes] of cases) {
    assert.deepEqual(requestSizes(count, most, wasRefused), sizes);
  }
});
