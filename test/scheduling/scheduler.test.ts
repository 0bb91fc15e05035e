/** Which work starts where and when: ranks, backfilling, limits, gangs, and what a round may cost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { Shard } from '../../src/coordination/shard/shard.js';
import type { MachineType } from '../../src/protocol/cloudProtocol.js';
import { rankOrder } from '../../src/protocol/job.js';
import type { ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { singleShardView } from '../../src/coordination/quota/teamUsage.js';
import { ShardFixture } from '../support/shardFixture.js';
import { m8 } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';

test('rank before arrival; a live service stops batch work, batch work stops nothing', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const batch = b.chunk({ id: 'wk-1', cpus: 8 });
  b.runSchedulingRound();
  b.store(batch);
  b.report(machine, [{}]);
  b.now++;
  const other = b.chunk({ id: 'wk-2', cpus: 8 });
  b.runSchedulingRound();
  assert.deepEqual(b.dueCommandNames(machine), []);
  const live = b.chunk({ id: 'wk-3', rank: 'prod', isService: true });
  b.runSchedulingRound();
  assert.deepEqual(b.dueCommandNames(machine), ['stop wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  b.runSchedulingRound();
  assert.equal(live.attempts.size, 1);
  assert.equal(other.attempts.size + batch.attempts.size, 0, 'no room beside the service');
});

test('later work fills in, but not on the machine kept for the first that waits', () => {
  const b = new ShardFixture();
  const first = b.machine('n-1');
  b.machine('n-2');
  const running = b.chunk({ id: 'wk-1', cpus: 6, taskCount: 2 });
  b.runSchedulingRound();
  b.store(running);
  b.report(first, [{ task: 'wk-1/0', attemptNumber: 1 }]);
  b.now++;
  const large = b.chunk({ id: 'wk-2', cpus: 8 });
  b.now++;
  const long = b.chunk({ id: 'wk-3', cpus: 2, taskCount: 2, expectedRunSeconds: 500 });
  b.runSchedulingRound();
  assert.equal(large.attempts.size, 0);
  assert.equal(long.attempts.size, 1, 'one of two: the other machine is kept');
});

test('a round that runs out of time goes on where it stopped', () => {
  const b = new ShardFixture();
  for (let n = 0; n < 4; n++) b.machine(`n-${n}`);
  const chunks = [1, 2, 3].map((n) => b.chunk({ id: `wk-${n}` }));
  let looks = 0;
  b.shard.scheduler.runRound(b.now, () => ++looks > 1);
  assert.deepEqual(
    chunks.map((c) => c.attempts.size),
    [1, 0, 0],
  );
  b.runSchedulingRound();
  assert.deepEqual(
    chunks.map((c) => c.attempts.size),
    [1, 1, 1],
  );
});

test('machines loaded before the types are known get work once they are', () => {
  const b = new ShardFixture();
  b.types = new Map();
  b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  assert.equal(chunk.attempts.size, 0);
  b.types = new Map([['m8', m8]]);
  b.runSchedulingRound();
  assert.equal(chunk.attempts.size, 1);
});

test('a team gets its guarantee back from those who borrowed it, whatever their rank', () => {
  const cases: [string, number, number, string[]][] = [
    ['within its guarantee, the others beyond theirs', 4, 0, ['stop wk-1/1 2']],
    ['beyond its own guarantee', 1, 0, []],
    ['the others within theirs', 4, 8, []],
    ['its guarantee is used elsewhere', 2, 0, []],
  ];
  for (const [name, mine, theirs, orders] of cases) {
    const guarantee = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' ? mine : theirs,
      gpus: 0,
    });
    const elsewhere = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' && mine === 2 ? 2 : 0,
      gpus: 0,
    });
    const b = new ShardFixture({ ...singleShardView, guarantee, usedElsewhere: elsewhere });
    const machine = b.machine();
    const large = b.chunk({ id: 'wk-1', team: 'large', rank: 'high', cpus: 4, taskCount: 2 });
    b.runSchedulingRound();
    b.store(large);
    b.report(machine, [{ task: 'wk-1/0', attemptNumber: 1 }]);
    b.now += 5;
    b.report(machine, [
      { task: 'wk-1/0', attemptNumber: 1 },
      { task: 'wk-1/1', attemptNumber: 2 },
    ]);
    b.chunk({ id: 'wk-2', team: 'small', rank: 'idle' });
    b.runSchedulingRound();
    assert.deepEqual(b.dueCommandNames(machine), orders, name);
  }
});

test('a replica goes where its image is, and batch work makes room for it there', () => {
  const b = new ShardFixture();
  const warm = b.machine('n-1');
  warm.noteImage('live', 1);
  const batch = b.chunk({ id: 'wk-1', cpus: 8 });
  b.runSchedulingRound();
  b.store(batch);
  b.report(warm, [{}]);
  const cold = b.machine('n-2');
  const live = b.chunk({ id: 'wk-2', rank: 'prod', isService: true, image: 'live' });
  b.runSchedulingRound();
  assert.equal(live.attempts.size, 0);
  assert.deepEqual(b.dueCommandNames(warm), ['stop wk-1/0 1']);
  b.report(warm, [{ state: 'ended', cause: 'halted' }]);
  b.runSchedulingRound();
  assert.equal(live.attempts.get(0)?.machine, 'n-1');
  const other = b.chunk({ id: 'wk-3', rank: 'prod', isService: true, image: 'unheard of' });
  b.runSchedulingRound();
  assert.equal(other.attempts.size, 1, 'nobody has its image: any machine will do');
  assert.ok(cold.isUp);
});

test('a gang starts whole, and goes back whole when one of it is lost', () => {
  const b = new ShardFixture();
  const first = b.machine('n-1');
  const gang = b.chunk({ isGang: true, taskCount: 6, cpus: 2 });
  b.runSchedulingRound();
  assert.equal(gang.attempts.size, 0, 'four of six fit');
  const second = b.machine('n-2');
  b.runSchedulingRound();
  assert.equal(gang.attempts.size, 6);
  const attempts = new Set([...gang.attempts.values()].map((e) => e.attemptNumber));
  assert.equal(attempts.size, 1, 'its tasks know each other by a common attempt');
  b.store(gang);
  const on = (m: Machine): Partial<ReportedAttempt>[] =>
    [...gang.attempts.values()]
      .filter((e) => e.machine === m.name)
      .map((e) => ({ task: `wk-1/${e.task}`, attempt: e.attemptNumber }));
  b.report(first, on(first));
  b.report(second, on(second));
  const [lost, ...rest] = on(first);
  b.report(first, [{ ...lost, state: 'ended', cause: 'error' }, ...rest]);
  const halts = [...b.dueCommandNames(first), ...b.dueCommandNames(second)].filter((v) =>
    v.startsWith('stop'),
  );
  assert.equal(halts.length, 5);
  b.now += 100;
  b.runSchedulingRound();
  assert.equal(gang.attempts.size, 5, 'nothing starts before all are over');
});

test('a large task begins although smaller work goes on arriving', () => {
  const b = new ShardFixture();
  const machines = [b.machine('n-1'), b.machine('n-2')];
  const running = new Map<string, { machine: Machine; chunk: Chunk; ends: number }>();
  let large: Chunk | null = null;
  let began: number | null = null;
  for (let step = 0; step < 120 && began === null; step++) {
    b.now += 1;
    // As much as the machines can do, so that room for one small task is all that ever comes free.
    if (step < 8 || step % 5 < 2) b.chunk({ id: `wk-s${step}`, cpus: 2, expectedRunSeconds: 20 });
    if (step === 30) large = b.chunk({ id: 'wk-large', cpus: 8, expectedRunSeconds: 20 });
    for (const [task, { machine, chunk, ends }] of running) {
      if (ends > b.now) continue;
      running.delete(task);
      const entry = [...chunk.attempts.values()][0];
      const rest = [...running].filter(([, r]) => r.machine === machine);
      b.report(machine, [
        { task, attemptNumber: entry?.attemptNumber ?? 1, state: 'ended', cause: 'done' },
        ...rest.map(([t]) => ({ task: t })),
      ]);
    }
    b.runSchedulingRound();
    for (const machine of machines) {
      for (const [task, { chunk }] of machine.placements) {
        if (running.has(task)) continue;
        running.set(task, { machine, chunk, ends: b.now + 20 });
        if (chunk === large) began = step;
      }
      const here = [...running].filter(([, r]) => r.machine === machine);
      b.report(
        machine,
        here.map(([task]) => ({ task })),
      );
    }
  }
  assert.ok(began !== null && began <= 30 + 30, `it began at ${began}`);
});

test('at its limit a team is served in order, here and across parts', () => {
  let allowance = 4;
  let starved: { team: string; submittedAt: number; rank: number } | null = null;
  const b = new ShardFixture({
    ...singleShardView,
    allowance: () => ({ cpus: allowance, gpus: Infinity }),
    starvedElsewhere: () => starved,
  });
  b.machine('n-1');
  b.machine('n-2');
  const small = b.chunk({ id: 'wk-1', cpus: 2 });
  b.runSchedulingRound();
  b.now += 1;
  const large = b.chunk({ id: 'wk-2', cpus: 4 });
  b.now += 1;
  const later = b.chunk({ id: 'wk-3', cpus: 2 });
  b.runSchedulingRound();
  assert.deepEqual(
    [small, large, later].map((c) => c.attempts.size),
    [1, 0, 0],
  );
  assert.equal(b.shard.scheduler.starvedJobs.size, 0, 'it has not waited for long');
  b.now += 10;
  b.runSchedulingRound();
  assert.equal(b.shard.scheduler.starvedJobs.get('crew')?.submittedAt, large.submittedAt);
  allowance = 8;
  b.runSchedulingRound();
  assert.deepEqual(
    [small, large, later].map((c) => c.attempts.size),
    [1, 1, 1],
  );
  // Another part's job of the team has waited for longer: what is younger here lets it go first.
  starved = { team: 'crew', submittedAt: b.now, rank: 1 };
  b.now += 1;
  const younger = b.chunk({ id: 'wk-4', cpus: 2 });
  allowance = 100;
  b.runSchedulingRound();
  assert.equal(younger.attempts.size, 0);
  assert.equal(
    b.shard.scheduler.pendingDemand('crew').cpus,
    0,
    'it keeps the share that the other waits for',
  );
  starved = null;
  b.runSchedulingRound();
  assert.equal(younger.attempts.size, 1);
});

const rounds: { name: string; most: number; play: (part: Shard, now: number) => void }[] = [
  {
    name: 'a round of decisions',
    most: 12,
    play: (p, now) => p.scheduler.runRound(now, () => false),
  },
  {
    name: 'what may be returned',
    most: 12,
    play: (p, now) => void p.demand.cordonIdleMachines(now, 1),
  },
  { name: 'what is asked for', most: 12, play: (p, now) => void p.demand.demands(now) },
  {
    name: 'a peer that asks for the wait',
    most: 12,
    play: (p, now) => {
      const asked = spec({ taskCount: 20 });
      p.waitEstimates.estimateWait({ spec: asked, zone: null, count: 20, run: 20 }, now);
    },
  },
];
for (const { name, most, play } of rounds) {
  for (const waiting of [0, 300]) {
    test(`2,000 machines, ${waiting} waiting jobs: visits grow with machines plus jobs: ${name}`, () => {
      const b = new ShardFixture();
      for (let i = 0; i < 2000; i++) {
        const machine = b.machine(`n-${i}`);
        machine.idleSince = b.now - 1000;
      }
      for (let i = 0; i < waiting; i++) {
        const s = spec({ id: `wk-${i}`, taskCount: 40, cpus: 4, image: `img-${i % 12}` });
        b.shard.acceptNewChunk(new Chunk(s, 0, 'p', b.now, 0, 40, null, b.now), b.now);
      }
      b.runSchedulingRound();
      b.now += 1;
      let visits = 0;
      const types = new Map(b.types);
      const counted = {
        get: (key: string) => {
          visits++;
          return types.get(key);
        },
        values: () => types.values(),
      };
      b.types = counted as unknown as Map<string, MachineType>;
      play(b.shard, b.now);
      assert.ok(visits <= most * (2000 + waiting), `${visits} visits`);
    });
  }
}

const backlogs: { name: string; tasks: number; service?: boolean; pressing: boolean }[] = [
  // 8 processors: 4 tasks of 20 s at once. Objectives of 60 s and 120 s, half of each for the wait.
  { name: 'more than the first objective allows, less than the last', tasks: 12, pressing: false },
  { name: 'the last objective is at risk', tasks: 80, pressing: true },
  { name: 'replicas do not go by it', tasks: 80, service: true, pressing: false },
];
for (const { name, tasks, service = false, pressing } of backlogs) {
  test(`machines at full price for batch work: ${name}`, () => {
    const b = new ShardFixture();
    b.machine();
    b.chunk({ taskCount: tasks, isService: service, expectedRunSeconds: service ? 0 : 20 });
    b.runSchedulingRound();
    const demands = b.shard.demand.demands(b.now);
    assert.equal(
      demands.some((d) => d.onDemandCount > 0),
      pressing,
    );
    // Never for more than what could not be through in time.
    for (const d of demands) assert.ok(d.onDemandCount < d.count || d.count === 0);
  });
}

test('a job that an urgent one needs goes first, stops nothing for that, and is not stopped for less', () => {
  const inherited = new Map<string, number>();
  const view = {
    ...singleShardView,
    inheritedRank: (job: string) => inherited.get(job) ?? -Infinity,
  };
  const b = new ShardFixture(view);
  const machine = b.machine();
  const ordinary = b.createRunningChunk(machine, { id: 'wk-1', taskCount: 1, cpus: 5 });
  const other = b.chunk({ id: 'wk-2', cpus: 5 });
  b.now += 1;
  const stage = b.chunk({ id: 'wk-3', rank: 'idle', cpus: 5 });
  inherited.set('wk-3', rankOrder.high);
  b.shard.updateRank('wk-3');
  assert.deepEqual(b.shard.queuedChunks(), [stage, other]);
  b.runSchedulingRound();
  assert.deepEqual(b.dueCommandNames(machine), [], 'what runs goes on');
  b.report(machine, [{ task: 'wk-1/0', state: 'ended', cause: 'done' }]);
  assert.ok(ordinary.isComplete);
  b.runSchedulingRound();
  assert.equal(stage.attempts.size, 1);
  b.store(stage);
  b.report(machine, [{ task: 'wk-3/0' }]);
  const urgent = b.chunk({ id: 'wk-4', rank: 'high', cpus: 5 });
  b.runSchedulingRound();
  assert.equal(stage.attempts.get(0)?.stop, null, 'it is as urgent as the job that needs it');
  assert.equal(urgent.attempts.size, 0);
  // Nobody needs it any more.
  inherited.clear();
  b.shard.updateRank('wk-3');
  b.runSchedulingRound();
  assert.notEqual(stage.attempts.get(0)?.stop, null);
});
