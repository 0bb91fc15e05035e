/** Where and when work starts: ranks, backfilling, team limits, gangs, and the cost of a scheduling round. */
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
import { jobSpec } from '../support/jobSpec.js';

test('higher ranks go first; a live service preempts batch work, and batch work preempts nothing', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const batch = fixture.addChunk({ id: 'wk-1', cpus: 8 });
  fixture.runSchedulingRound();
  fixture.markStored(batch);
  fixture.applyHeartbeat(machine, [{}]);
  fixture.now++;
  const other = fixture.addChunk({ id: 'wk-2', cpus: 8 });
  fixture.runSchedulingRound();
  assert.deepEqual(fixture.dueCommandNames(machine), []);
  const live = fixture.addChunk({ id: 'wk-3', rank: 'prod', isService: true });
  fixture.runSchedulingRound();
  assert.deepEqual(fixture.dueCommandNames(machine), ['stop wk-1/0 1']);
  fixture.applyHeartbeat(machine, [{ state: 'ended', cause: 'halted' }]);
  fixture.runSchedulingRound();
  assert.equal(live.attempts.size, 1);
  assert.equal(other.attempts.size + batch.attempts.size, 0, 'there is no room beside the service');
});

test('later work is backfilled, but not on the machine that is reserved for the first blocked chunk', () => {
  const fixture = new ShardFixture();
  const first = fixture.addMachine('n-1');
  fixture.addMachine('n-2');
  const running = fixture.addChunk({ id: 'wk-1', cpus: 6, taskCount: 2 });
  fixture.runSchedulingRound();
  fixture.markStored(running);
  fixture.applyHeartbeat(first, [{ task: 'wk-1/0', attemptNumber: 1 }]);
  fixture.now++;
  const large = fixture.addChunk({ id: 'wk-2', cpus: 8 });
  fixture.now++;
  const long = fixture.addChunk({ id: 'wk-3', cpus: 2, taskCount: 2, expectedRunSeconds: 500 });
  fixture.runSchedulingRound();
  assert.equal(large.attempts.size, 0);
  assert.equal(long.attempts.size, 1, 'one of two tasks is placed: the other machine is reserved');
});

test('the next round continues where a round ran out of time', () => {
  const fixture = new ShardFixture();
  for (let n = 0; n < 4; n++) fixture.addMachine(`n-${n}`);
  const chunks = [1, 2, 3].map((n) => fixture.addChunk({ id: `wk-${n}` }));
  let timeChecks = 0;
  fixture.shard.scheduler.runRound(fixture.now, () => ++timeChecks > 1);
  assert.deepEqual(
    chunks.map((c) => c.attempts.size),
    [1, 0, 0],
  );
  fixture.runSchedulingRound();
  assert.deepEqual(
    chunks.map((c) => c.attempts.size),
    [1, 1, 1],
  );
});

test('machines that are loaded before the machine types are known get work once the types are known', () => {
  const fixture = new ShardFixture();
  fixture.machineTypes = new Map();
  fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.size, 0);
  fixture.machineTypes = new Map([['m8', m8]]);
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.size, 1);
});

test('a team reclaims its guarantee from teams that borrowed it, whatever their rank', () => {
  const cases: [string, number, number, string[]][] = [
    ['the team is within its guarantee, the others beyond theirs', 4, 0, ['stop wk-1/1 2']],
    ['the team is beyond its guarantee', 1, 0, []],
    ['the others are within their guarantees', 4, 8, []],
    ['its guarantee is used at another shard', 2, 0, []],
  ];
  for (const [name, smallGuarantee, largeGuarantee, commands] of cases) {
    const guarantee = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' ? smallGuarantee : largeGuarantee,
      gpus: 0,
    });
    const usedElsewhere = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' && smallGuarantee === 2 ? 2 : 0,
      gpus: 0,
    });
    const fixture = new ShardFixture({
      ...singleShardView,
      guarantee,
      usedElsewhere,
    });
    const machine = fixture.addMachine();
    const large = fixture.addChunk({
      id: 'wk-1',
      team: 'large',
      rank: 'high',
      cpus: 4,
      taskCount: 2,
    });
    fixture.runSchedulingRound();
    fixture.markStored(large);
    fixture.applyHeartbeat(machine, [{ task: 'wk-1/0', attemptNumber: 1 }]);
    fixture.now += 5;
    fixture.applyHeartbeat(machine, [
      { task: 'wk-1/0', attemptNumber: 1 },
      { task: 'wk-1/1', attemptNumber: 2 },
    ]);
    fixture.addChunk({ id: 'wk-2', team: 'small', rank: 'idle' });
    fixture.runSchedulingRound();
    assert.deepEqual(fixture.dueCommandNames(machine), commands, name);
  }
});

test('a replica is placed on the machine with its image, where batch work is preempted for it', () => {
  const fixture = new ShardFixture();
  const warm = fixture.addMachine('n-1');
  warm.noteImage('live', 1);
  const batch = fixture.addChunk({ id: 'wk-1', cpus: 8 });
  fixture.runSchedulingRound();
  fixture.markStored(batch);
  fixture.applyHeartbeat(warm, [{}]);
  const cold = fixture.addMachine('n-2');
  const live = fixture.addChunk({ id: 'wk-2', rank: 'prod', isService: true, image: 'live' });
  fixture.runSchedulingRound();
  assert.equal(live.attempts.size, 0);
  assert.deepEqual(fixture.dueCommandNames(warm), ['stop wk-1/0 1']);
  fixture.applyHeartbeat(warm, [{ state: 'ended', cause: 'halted' }]);
  fixture.runSchedulingRound();
  assert.equal(live.attempts.get(0)?.machine, 'n-1');
  const other = fixture.addChunk({ id: 'wk-3', rank: 'prod', isService: true, image: 'unknown' });
  fixture.runSchedulingRound();
  assert.equal(other.attempts.size, 1, 'no machine has its image, so it may start on any machine');
  assert.ok(cold.isUp);
});

test('a gang starts as a whole, and is stopped as a whole once one of its tasks fails', () => {
  const fixture = new ShardFixture();
  const first = fixture.addMachine('n-1');
  const gang = fixture.addChunk({ isGang: true, taskCount: 6, cpus: 2 });
  fixture.runSchedulingRound();
  assert.equal(gang.attempts.size, 0, 'only four of its six tasks fit');
  const second = fixture.addMachine('n-2');
  fixture.runSchedulingRound();
  assert.equal(gang.attempts.size, 6);
  const attempts = new Set([...gang.attempts.values()].map((e) => e.attemptNumber));
  assert.equal(attempts.size, 1, 'its tasks share a common attempt number');
  fixture.markStored(gang);
  const reportsOf = (m: Machine): Partial<ReportedAttempt>[] =>
    [...gang.attempts.values()]
      .filter((e) => e.machine === m.name)
      .map((e) => ({ task: `wk-1/${e.task}`, attempt: e.attemptNumber }));
  fixture.applyHeartbeat(first, reportsOf(first));
  fixture.applyHeartbeat(second, reportsOf(second));
  const [failed, ...others] = reportsOf(first);
  fixture.applyHeartbeat(first, [{ ...failed, state: 'ended', cause: 'error' }, ...others]);
  const stops = [...fixture.dueCommandNames(first), ...fixture.dueCommandNames(second)].filter(
    (v) => v.startsWith('stop'),
  );
  assert.equal(stops.length, 5);
  fixture.now += 100;
  fixture.runSchedulingRound();
  assert.equal(gang.attempts.size, 5, 'no task starts before all attempts have terminated');
});

test('a large task starts although smaller tasks keep arriving', () => {
  const fixture = new ShardFixture();
  const machines = [fixture.addMachine('n-1'), fixture.addMachine('n-2')];
  const running = new Map<string, { machine: Machine; chunk: Chunk; endsAt: number }>();
  let large: Chunk | null = null;
  let startedAtStep: number | null = null;
  for (let step = 0; step < 120 && startedAtStep === null; step++) {
    fixture.now += 1;
    // The load equals the machines' capacity, so that at any time only the room of one small task becomes free.
    if (step < 8 || step % 5 < 2)
      fixture.addChunk({ id: `wk-s${step}`, cpus: 2, expectedRunSeconds: 20 });
    if (step === 30) large = fixture.addChunk({ id: 'wk-large', cpus: 8, expectedRunSeconds: 20 });
    for (const [task, { machine, chunk, endsAt }] of running) {
      if (endsAt > fixture.now) continue;
      running.delete(task);
      const attempt = [...chunk.attempts.values()][0];
      const others = [...running].filter(([, r]) => r.machine === machine);
      fixture.applyHeartbeat(machine, [
        { task, attemptNumber: attempt?.attemptNumber ?? 1, state: 'ended', cause: 'done' },
        ...others.map(([t]) => ({ task: t })),
      ]);
    }
    fixture.runSchedulingRound();
    for (const machine of machines) {
      for (const [task, { chunk }] of machine.placements) {
        if (running.has(task)) continue;
        running.set(task, { machine, chunk, endsAt: fixture.now + 20 });
        if (chunk === large) startedAtStep = step;
      }
      const here = [...running].filter(([, r]) => r.machine === machine);
      fixture.applyHeartbeat(
        machine,
        here.map(([task]) => ({ task })),
      );
    }
  }
  assert.ok(
    startedAtStep !== null && startedAtStep <= 30 + 30,
    `it started at step ${startedAtStep}`,
  );
});

test('at its limit a team is served in queue order, within a shard and across shards', () => {
  let allowance = 4;
  let starved: { team: string; submittedAt: number; rank: number } | null = null;
  const fixture = new ShardFixture({
    ...singleShardView,
    allowance: () => ({ cpus: allowance, gpus: Infinity }),
    starvedElsewhere: () => starved,
  });
  fixture.addMachine('n-1');
  fixture.addMachine('n-2');
  const small = fixture.addChunk({ id: 'wk-1', cpus: 2 });
  fixture.runSchedulingRound();
  fixture.now += 1;
  const large = fixture.addChunk({ id: 'wk-2', cpus: 4 });
  fixture.now += 1;
  const later = fixture.addChunk({ id: 'wk-3', cpus: 2 });
  fixture.runSchedulingRound();
  assert.deepEqual(
    [small, large, later].map((c) => c.attempts.size),
    [1, 0, 0],
  );
  assert.equal(
    fixture.shard.scheduler.starvedJobs.size,
    0,
    'it has not been blocked for long enough',
  );
  fixture.now += 10;
  fixture.runSchedulingRound();
  assert.equal(fixture.shard.scheduler.starvedJobs.get('crew')?.submittedAt, large.submittedAt);
  allowance = 8;
  fixture.runSchedulingRound();
  assert.deepEqual(
    [small, large, later].map((c) => c.attempts.size),
    [1, 1, 1],
  );
  // A job of the team at another shard was submitted earlier and is starved: younger work here yields to it.
  starved = { team: 'crew', submittedAt: fixture.now, rank: 1 };
  fixture.now += 1;
  const younger = fixture.addChunk({ id: 'wk-4', cpus: 2 });
  allowance = 100;
  fixture.runSchedulingRound();
  assert.equal(younger.attempts.size, 0);
  assert.equal(
    fixture.shard.scheduler.pendingDemand('crew').cpus,
    0,
    'its demand would take the quota that the other job waits for',
  );
  starved = null;
  fixture.runSchedulingRound();
  assert.equal(younger.attempts.size, 1);
});

const operations: { name: string; maxVisits: number; run: (shard: Shard, now: number) => void }[] =
  [
    {
      name: 'a scheduling round',
      maxVisits: 12,
      run: (shard, now) => shard.scheduler.runRound(now, () => false),
    },
    {
      name: 'the machines that may be released',
      maxVisits: 12,
      run: (shard, now) => void shard.demand.cordonIdleMachines(now, 1),
    },
    {
      name: 'the demands for machines',
      maxVisits: 12,
      run: (shard, now) => void shard.demand.demands(now),
    },
    {
      name: 'a wait estimate for a peer',
      maxVisits: 12,
      run: (shard, now) => {
        const requested = jobSpec({ taskCount: 20 });
        shard.waitEstimates.estimateWait({ spec: requested, zone: null, count: 20, run: 20 }, now);
      },
    },
  ];
for (const { name, maxVisits, run } of operations) {
  for (const waiting of [0, 300]) {
    test(`2,000 machines, ${waiting} queued jobs: visits of machines are linear in machines plus jobs: ${name}`, () => {
      const fixture = new ShardFixture();
      for (let i = 0; i < 2000; i++) {
        const machine = fixture.addMachine(`n-${i}`);
        machine.idleSince = fixture.now - 1000;
      }
      for (let i = 0; i < waiting; i++) {
        const s = jobSpec({ id: `wk-${i}`, taskCount: 40, cpus: 4, image: `img-${i % 12}` });
        fixture.shard.acceptNewChunk(
          new Chunk(s, 0, 'p', fixture.now, 0, 40, null, fixture.now),
          fixture.now,
        );
      }
      fixture.runSchedulingRound();
      fixture.now += 1;
      // Each read of a machine's capacity looks up its type, so the lookups count the visits.
      let visits = 0;
      const types = new Map(fixture.machineTypes);
      const countingTypes = {
        get: (key: string) => {
          visits++;
          return types.get(key);
        },
        values: () => types.values(),
      };
      fixture.machineTypes = countingTypes as unknown as Map<string, MachineType>;
      run(fixture.shard, fixture.now);
      assert.ok(visits <= maxVisits * (2000 + waiting), `${visits} visits`);
    });
  }
}

const backlogs: { name: string; tasks: number; service?: boolean; needsOnDemand: boolean }[] = [
  // With 8 CPUs 4 tasks of 20 s run at once. The objectives are 60 s and 120 s, half of each for the wait.
  {
    name: 'the backlog exceeds the first objective, but not the last',
    tasks: 12,
    needsOnDemand: false,
  },
  { name: 'the last objective is at risk', tasks: 80, needsOnDemand: true },
  {
    name: 'replicas of a service are not subject to the objectives',
    tasks: 80,
    service: true,
    needsOnDemand: false,
  },
];
for (const { name, tasks, service = false, needsOnDemand } of backlogs) {
  test(`on-demand machines for batch work: ${name}`, () => {
    const fixture = new ShardFixture();
    fixture.addMachine();
    fixture.addChunk({
      taskCount: tasks,
      isService: service,
      expectedRunSeconds: service ? 0 : 20,
    });
    fixture.runSchedulingRound();
    const demands = fixture.shard.demand.demands(fixture.now);
    assert.equal(
      demands.some((d) => d.onDemandCount > 0),
      needsOnDemand,
    );
    // On-demand machines are requested only for the tasks that could not be completed in time.
    for (const d of demands) assert.ok(d.onDemandCount < d.count || d.count === 0);
  });
}

test('an inherited rank lets a job go first and protects it from preemption, but preempts nothing', () => {
  const inherited = new Map<string, number>();
  const view = {
    ...singleShardView,
    inheritedRank: (job: string) => inherited.get(job) ?? -Infinity,
  };
  const fixture = new ShardFixture(view);
  const machine = fixture.addMachine();
  const ordinary = fixture.createRunningChunk(machine, { id: 'wk-1', taskCount: 1, cpus: 5 });
  const other = fixture.addChunk({ id: 'wk-2', cpus: 5 });
  fixture.now += 1;
  const stage = fixture.addChunk({ id: 'wk-3', rank: 'idle', cpus: 5 });
  inherited.set('wk-3', rankOrder.high);
  fixture.shard.updateRank('wk-3');
  assert.deepEqual(fixture.shard.queuedChunks(), [stage, other]);
  fixture.runSchedulingRound();
  assert.deepEqual(fixture.dueCommandNames(machine), [], 'running tasks are not preempted');
  fixture.applyHeartbeat(machine, [{ task: 'wk-1/0', state: 'ended', cause: 'done' }]);
  assert.ok(ordinary.isComplete);
  fixture.runSchedulingRound();
  assert.equal(stage.attempts.size, 1);
  fixture.markStored(stage);
  fixture.applyHeartbeat(machine, [{ task: 'wk-3/0' }]);
  const urgent = fixture.addChunk({ id: 'wk-4', rank: 'high', cpus: 5 });
  fixture.runSchedulingRound();
  assert.equal(stage.attempts.get(0)?.stop, null, 'it has the rank of the job that depends on it');
  assert.equal(urgent.attempts.size, 0);
  // The dependent job is gone.
  inherited.clear();
  fixture.shard.updateRank('wk-3');
  fixture.runSchedulingRound();
  assert.notEqual(stage.attempts.get(0)?.stop, null);
});
