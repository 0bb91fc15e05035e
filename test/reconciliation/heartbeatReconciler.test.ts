/** What reports say: stale ones, sessions, starts in doubt, failures. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HeartbeatOrigin } from '../../src/coordination/reconciliation/heartbeatReconciler.js';
import type { JobSpec } from '../../src/protocol/job.js';
import type { Heartbeat, ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { ShardFixture, TOKEN } from '../support/shardFixture.js';
import { startedRecord } from '../support/spec.js';

test('done is stored before it is reaped', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine);
  b.report(machine, [{ state: 'ended', cause: 'done' }]);
  assert.ok(chunk.isComplete);
  assert.deepEqual(b.dueCommandNames(machine), []);
  b.store(chunk);
  assert.deepEqual(b.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('older reports change nothing', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  b.store(chunk);
  b.report(machine, [{}], { heartbeatSequence: 50 });
  assert.equal(b.report(machine, [], { heartbeatSequence: 49 }), false);
  assert.equal(b.report(machine, [], { heartbeatSequence: 90, agentEpoch: 0 }), false);
  assert.equal(chunk.attempts.size, 1);
});

const ends: {
  name: string;
  seen: boolean;
  unanswered?: number;
  report: Partial<Heartbeat>;
  over: boolean;
}[] = [
  { name: 'seen, now absent', seen: true, report: {}, over: true },
  {
    name: 'never seen, nothing in doubt: still wanted',
    seen: false,
    report: {},
    over: false,
  },
  {
    name: 'seen, absent, but a copy of the start is in doubt',
    seen: true,
    unanswered: TOKEN,
    report: {},
    over: false,
  },
  {
    name: 'the worker has shown a higher token',
    seen: true,
    unanswered: TOKEN,
    report: { highestFencingToken: TOKEN + 1 },
    over: true,
  },
  {
    name: 'a new session ends everything',
    seen: false,
    unanswered: TOKEN,
    report: { agentEpoch: 2 },
    over: true,
  },
];
for (const { name, seen, unanswered, report, over } of ends) {
  test(`whether an attempt is over: ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine();
    const chunk = b.chunk();
    b.runSchedulingRound();
    b.store(chunk);
    if (seen) b.report(machine, [{}]);
    const entry = chunk.attempts.get(0);
    assert.ok(entry);
    if (unanswered !== undefined) entry.startCommands.noteOutcome(unanswered, 'unanswered');
    b.report(machine, [], report);
    assert.equal(chunk.attempts.size, over ? 0 : 1);
    if (over) {
      b.runSchedulingRound();
      assert.equal(chunk.attempts.get(0)?.attemptNumber, 2, 'attempts only rise');
    }
  });
}

test('a start in doubt is neither reaped nor given up when its job is cancelled', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  b.store(chunk);
  const entry = chunk.attempts.get(0);
  assert.ok(entry);
  entry.startCommands.noteOutcome(TOKEN, 'unanswered');
  b.shard.cancel(chunk, b.now);
  b.report(machine, []);
  assert.equal(chunk.attempts.size, 1, 'it may still be carried out');
  b.report(machine, [{}]);
  assert.deepEqual(b.dueCommandNames(machine), ['stop wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  assert.deepEqual(
    b.dueCommandNames(machine),
    [],
    'a late copy of the start would run it once more',
  );
  b.report(machine, [{ state: 'ended', cause: 'halted' }], { highestFencingToken: TOKEN + 1 });
  b.store(chunk);
  assert.deepEqual(b.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('after a takeover, what the last owner started is settled by our token', () => {
  const cases: [string, Partial<ReportedAttempt>[], Partial<Heartbeat>, number][] = [
    ['it runs: kept', [{}], { highestFencingToken: 3 }, 1],
    ['absent, our token not seen: kept', [], { highestFencingToken: 3 }, 1],
    ['absent after our token: started anew', [], { highestFencingToken: TOKEN }, 0],
  ];
  for (const [name, tasks, report, left] of cases) {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    const chunk = b.shard.loadChunk(0, startedRecord(), TOKEN, b.now);
    // The entry was stored before it was sent, but whether it was sent nobody knows.
    b.report(machine, tasks, report);
    const entry = chunk.attempts.get(0);
    if (left === 0 && entry !== undefined) {
      assert.ok(!entry.startCommands.mayStillExecute(machine.highestFencingToken), name);
      assert.deepEqual(b.dueCommandNames(machine), ['start wk-1/0 1'], name);
    } else assert.equal(chunk.attempts.size, left, name);
  }
});

test('a job that fails everywhere does not take the machines with it, nor a machine the jobs', () => {
  const b = new ShardFixture();
  const machines = [1, 2, 3, 4].map((n) => b.machine(`n-${n}`));
  const chunk = b.chunk();
  for (let i = 0; i < 3; i++) {
    b.now += 100;
    b.runSchedulingRound();
    b.store(chunk);
    const entry = chunk.attempts.get(0);
    assert.ok(entry, `try ${i}`);
    const machine = b.shard.machines.get(entry.machine);
    assert.ok(machine);
    b.report(machine, [{ attemptNumber: entry.attemptNumber, state: 'ended', cause: 'error' }]);
  }
  assert.equal(chunk.failedMachines.size, 3, 'each try on another machine');
  assert.ok(machines.every((m) => m.isSchedulable(b.now)));
  assert.ok(chunk.retryNotBefore > b.now, 'the job waits before its next try');

  const c = new ShardFixture();
  const faulty = c.machine();
  for (const id of ['wk-1', 'wk-2']) {
    const failing = c.chunk({ id });
    c.runSchedulingRound();
    c.store(failing);
    c.report(faulty, [{ task: `${id}/0`, state: 'ended', cause: 'error' }]);
  }
  assert.ok(!faulty.isSchedulable(c.now), 'two jobs failed on it');
});

test('a notice stops replicas and lets checkpoints be saved in time', () => {
  const cases: [string, Partial<JobSpec>, number, string[]][] = [
    ['a replica moves at once', { isService: true, rank: 'prod' }, 60, ['stop wk-1/0 1']],
    [
      'a checkpoint waits for the last moment',
      { checkpointInterval: 30, checkpointDuration: 4 },
      60,
      [],
    ],
    ['and is saved then', { checkpointInterval: 30, checkpointDuration: 4 }, 9, ['stop wk-1/0 1']],
    ['without one the task may still be done', {}, 9, []],
  ];
  for (const [name, changes, warning, orders] of cases) {
    const b = new ShardFixture();
    const machine = b.machine();
    b.createRunningChunk(machine, changes);
    b.report(machine, [{}], { preemptionWarning: warning });
    assert.deepEqual(b.dueCommandNames(machine), orders, name);
    assert.ok(!machine.isSchedulable(b.now), name);
  }
});

const unreached: {
  name: string;
  isLost?: boolean;
  heard: HeartbeatOrigin[];
  takesWork: boolean;
}[] = [
  {
    name: 'its reports arrive, but it answers no question',
    heard: ['unsolicited'],
    takesWork: false,
  },
  { name: 'then it answers one', heard: ['unsolicited', 'response'], takesWork: true },
  { name: 'then a report follows an answer of ours', heard: ['follow-up'], takesWork: true },
  {
    name: 'it was lost, and a late copy comes',
    isLost: true,
    heard: ['unsolicited'],
    takesWork: false,
  },
];
for (const { name, isLost = false, heard, takesWork } of unreached) {
  test(`being heard is not being reachable: ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine();
    if (isLost) machine.isLost = true;
    else b.missTwoProbes(machine);
    for (const source of heard) b.report(machine, [], {}, source);
    const chunk = b.chunk();
    b.runSchedulingRound();
    assert.equal(chunk.attempts.size, takesWork ? 1 : 0);
    assert.equal(machine.isSchedulable(b.now), takesWork);
  });
}

const copies: { name: string; copy: Partial<Heartbeat>; tasks: Partial<ReportedAttempt>[] }[] = [
  { name: 'from before the start', copy: { highestFencingToken: 1 }, tasks: [] },
  { name: 'of an earlier session', copy: { agentEpoch: 0, highestFencingToken: 1 }, tasks: [] },
  {
    name: 'of an earlier attempt that ended',
    copy: { highestFencingToken: 1 },
    tasks: [{ attemptNumber: 0, state: 'ended', cause: 'error' }],
  },
  {
    name: 'while it was fetching',
    copy: { highestFencingToken: 1 },
    tasks: [{ state: 'fetching' }],
  },
];
for (const { name, copy, tasks } of copies) {
  test(`a late copy at a node that has just adopted the part ends nothing: ${name}`, () => {
    const b = new ShardFixture();
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: '127.0.0.1:1',
    };
    const machine = b.shard.addMachine('n-1', record, b.now, b.now + 36);
    const chunk = b.shard.loadChunk(0, startedRecord(), TOKEN, b.now);
    b.report(
      machine,
      tasks,
      { heartbeatSequence: 3, address: '127.0.0.9:9', ...copy },
      'unsolicited',
    );
    assert.equal(chunk.attempts.get(0)?.attemptNumber, 1, 'the attempt in doubt was given up');
    assert.equal(machine.address, '127.0.0.1:1', 'the copy moved its address');
    assert.equal(machine.isUp, false, 'the copy made it look alive');
    b.runSchedulingRound();
    assert.equal(chunk.nextAttemptNumber, 2);
    // Nor does it stand in the way of what the worker itself says next.
    b.report(machine, [{}], { heartbeatSequence: 40 }, 'response');
    assert.equal(machine.isUp, true);
    assert.equal(chunk.attempts.get(0)?.state, 'running');
  });
}

test('a report that says nothing new is known as such: nothing is decided anew for it', () => {
  const b = new ShardFixture();
  const machine = b.machine('n-1', false);
  const chunk = b.chunk();
  const task = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
  const report = {
    ...{ machine: 'n-1', address: '127.0.0.1:1', type: 'm8', zone: 'a', spot: false },
    ...{ agentEpoch: 1, highestFencingToken: TOKEN, preemptionWarning: null as number | null },
  };
  const told: [string, number, 'fetching' | 'running' | null, number | null, string][] = [
    ['the first one: there is room now', 1, null, null, 'changed'],
    ['a copy of it', 1, null, null, 'stale'],
    ['the next, the same', 2, null, null, 'unchanged'],
    ['a task has come', 3, 'fetching', null, 'changed'],
    ['it is still there', 4, 'fetching', null, 'unchanged'],
    ['it runs', 5, 'running', null, 'changed'],
    ['the machine will be taken', 6, 'running', 9, 'changed'],
    ['it still will', 7, 'running', 5, 'unchanged'],
    ['the task has gone', 8, null, 1, 'changed'],
  ];
  for (const [name, tick, state, warning, says] of told) {
    const tasks = state === null ? [] : [{ ...task, state }];
    assert.equal(
      b.shard.heartbeats.apply(
        machine,
        { ...report, heartbeatSequence: tick, preemptionWarning: warning, attempts: tasks },
        b.now,
        'follow-up',
      ),
      says,
      name,
    );
    if (tick === 2) {
      b.runSchedulingRound();
      b.store(chunk);
    }
  }
});

test('a machine that comes up long after it was rented is given work at once', () => {
  const b = new ShardFixture();
  const machine = b.machine('n-1', false);
  b.now += 60;
  b.shard.liveness.sweep(b.now);
  const chunk = b.chunk();
  b.report(machine, []);
  b.runSchedulingRound();
  assert.equal(chunk.attempts.size, 1);
});

test("what an adopter loads and does not find is over, not started: the room it had may be a peer's by now", () => {
  for (const { name, tasks, entries } of [
    { name: 'it is there', tasks: [{ task: 'wk-1/0', attemptNumber: 1 }], entries: 1 },
    { name: 'it is not', tasks: [], entries: 0 },
  ]) {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    const chunk = b.shard.loadChunk(0, startedRecord(), TOKEN, b.now);
    b.report(machine, tasks, { highestFencingToken: TOKEN - 1 });
    assert.equal(chunk.attempts.size, 1, `${name}: the last owner's start may still come`);
    assert.deepEqual(b.dueCommandNames(machine), [], name);
    b.report(machine, tasks, { highestFencingToken: TOKEN });
    assert.equal(chunk.attempts.size, entries, name);
    assert.equal(b.shard.teamUsage.usedBy('crew').cpus, entries * 2, name);
    assert.deepEqual(b.dueCommandNames(machine), [], name);
  }
});
