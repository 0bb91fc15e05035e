/** Heartbeats: stale ones, new agent epochs, starts with an unknown outcome, failures, preemption and reachability. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HeartbeatOrigin } from '../../src/coordination/reconciliation/heartbeatReconciler.js';
import type { JobSpec } from '../../src/protocol/job.js';
import type { Heartbeat, ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { ShardFixture, FENCING_TOKEN } from '../support/shardFixture.js';
import { startedChunkRecord } from '../support/jobSpec.js';

test('the end of a task is stored before it is acknowledged', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine);
  fixture.applyHeartbeat(machine, [{ state: 'ended', cause: 'done' }]);
  assert.ok(chunk.isComplete);
  assert.deepEqual(fixture.dueCommandNames(machine), []);
  fixture.markStored(chunk);
  assert.deepEqual(fixture.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('older heartbeats change nothing', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  fixture.markStored(chunk);
  fixture.applyHeartbeat(machine, [{}], { heartbeatSequence: 50 });
  assert.equal(fixture.applyHeartbeat(machine, [], { heartbeatSequence: 49 }), false);
  assert.equal(
    fixture.applyHeartbeat(machine, [], { heartbeatSequence: 90, agentEpoch: 0 }),
    false,
  );
  assert.equal(chunk.attempts.size, 1);
});

const attemptCases: {
  name: string;
  wasReported: boolean;
  unansweredToken?: number;
  heartbeat: Partial<Heartbeat>;
  hasTerminated: boolean;
}[] = [
  { name: 'reported before, now absent', wasReported: true, heartbeat: {}, hasTerminated: true },
  {
    name: 'never reported, and no start command was sent: still to be started',
    wasReported: false,
    heartbeat: {},
    hasTerminated: false,
  },
  {
    name: 'reported before, now absent, but a copy of the start may still arrive',
    wasReported: true,
    unansweredToken: FENCING_TOKEN,
    heartbeat: {},
    hasTerminated: false,
  },
  {
    name: 'the worker has shown a higher fencing token',
    wasReported: true,
    unansweredToken: FENCING_TOKEN,
    heartbeat: { highestFencingToken: FENCING_TOKEN + 1 },
    hasTerminated: true,
  },
  {
    name: 'a new agent epoch terminates all attempts',
    wasReported: false,
    unansweredToken: FENCING_TOKEN,
    heartbeat: { agentEpoch: 2 },
    hasTerminated: true,
  },
];
for (const { name, wasReported, unansweredToken, heartbeat, hasTerminated } of attemptCases) {
  test(`whether an attempt has terminated: ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    const chunk = fixture.addChunk();
    fixture.runSchedulingRound();
    fixture.markStored(chunk);
    if (wasReported) fixture.applyHeartbeat(machine, [{}]);
    const attempt = chunk.attempts.get(0);
    assert.ok(attempt);
    if (unansweredToken !== undefined)
      attempt.startCommands.noteOutcome(unansweredToken, 'unanswered');
    fixture.applyHeartbeat(machine, [], heartbeat);
    assert.equal(chunk.attempts.size, hasTerminated ? 0 : 1);
    if (hasTerminated) {
      fixture.runSchedulingRound();
      assert.equal(chunk.attempts.get(0)?.attemptNumber, 2, 'attempt numbers only increase');
    }
  });
}

test('a start that may still be executed is neither acknowledged nor terminated when its job is cancelled', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  fixture.markStored(chunk);
  const attempt = chunk.attempts.get(0);
  assert.ok(attempt);
  attempt.startCommands.noteOutcome(FENCING_TOKEN, 'unanswered');
  fixture.shard.cancel(chunk, fixture.now);
  fixture.applyHeartbeat(machine, []);
  assert.equal(chunk.attempts.size, 1, 'the start may still be executed');
  fixture.applyHeartbeat(machine, [{}]);
  assert.deepEqual(fixture.dueCommandNames(machine), ['stop wk-1/0 1']);
  fixture.applyHeartbeat(machine, [{ state: 'ended', cause: 'halted' }]);
  assert.deepEqual(
    fixture.dueCommandNames(machine),
    [],
    'a late copy of the start would run it once more',
  );
  fixture.applyHeartbeat(machine, [{ state: 'ended', cause: 'halted' }], {
    highestFencingToken: FENCING_TOKEN + 1,
  });
  fixture.markStored(chunk);
  assert.deepEqual(fixture.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('after a takeover the new fencing token settles which attempts of the previous leader exist', () => {
  const cases: [string, Partial<ReportedAttempt>[], Partial<Heartbeat>, number][] = [
    ['it runs: kept', [{}], { highestFencingToken: 3 }, 1],
    ['absent, new token not seen: kept', [], { highestFencingToken: 3 }, 1],
    ['absent after the new token: restarted', [], { highestFencingToken: FENCING_TOKEN }, 0],
  ];
  for (const [name, tasks, heartbeat, attemptCount] of cases) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    const chunk = fixture.shard.loadChunk(0, startedChunkRecord(), FENCING_TOKEN, fixture.now);
    // The attempt was stored before its start was sent; whether the start was sent is not known.
    fixture.applyHeartbeat(machine, tasks, heartbeat);
    const attempt = chunk.attempts.get(0);
    if (attemptCount === 0 && attempt !== undefined) {
      assert.ok(!attempt.startCommands.mayStillExecute(machine.highestFencingToken), name);
      assert.deepEqual(fixture.dueCommandNames(machine), ['start wk-1/0 1'], name);
    } else assert.equal(chunk.attempts.size, attemptCount, name);
  }
});

test('a job that fails everywhere does not quarantine machines; a machine on which several jobs fail is quarantined', () => {
  const fixture = new ShardFixture();
  const machines = [1, 2, 3, 4].map((n) => fixture.addMachine(`n-${n}`));
  const chunk = fixture.addChunk();
  for (let i = 0; i < 3; i++) {
    fixture.now += 100;
    fixture.runSchedulingRound();
    fixture.markStored(chunk);
    const attempt = chunk.attempts.get(0);
    assert.ok(attempt, `try ${i}`);
    const machine = fixture.shard.machines.get(attempt.machine);
    assert.ok(machine);
    fixture.applyHeartbeat(machine, [
      { attemptNumber: attempt.attemptNumber, state: 'ended', cause: 'error' },
    ]);
  }
  assert.equal(chunk.failedMachines.size, 3, 'each try on another machine');
  assert.ok(machines.every((m) => m.isSchedulable(fixture.now)));
  assert.ok(chunk.retryNotBefore > fixture.now, 'the job waits before its next try');

  const secondFixture = new ShardFixture();
  const faulty = secondFixture.addMachine();
  for (const id of ['wk-1', 'wk-2']) {
    const failing = secondFixture.addChunk({ id });
    secondFixture.runSchedulingRound();
    secondFixture.markStored(failing);
    secondFixture.applyHeartbeat(faulty, [{ task: `${id}/0`, state: 'ended', cause: 'error' }]);
  }
  assert.ok(!faulty.isSchedulable(secondFixture.now), 'two jobs failed on it');
});

test('a preemption warning stops replicas and leaves time to save checkpoints', () => {
  const cases: [string, Partial<JobSpec>, number, string[]][] = [
    ['a replica moves at once', { isService: true, rank: 'prod' }, 60, ['stop wk-1/0 1']],
    [
      'a checkpoint waits for the last moment',
      { checkpointInterval: 30, checkpointDuration: 4 },
      60,
      [],
    ],
    [
      'a checkpoint is saved at the last moment',
      { checkpointInterval: 30, checkpointDuration: 4 },
      9,
      ['stop wk-1/0 1'],
    ],
    ['without a checkpoint the task may still complete', {}, 9, []],
  ];
  for (const [name, changes, preemptionWarning, commands] of cases) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    fixture.createRunningChunk(machine, changes);
    fixture.applyHeartbeat(machine, [{}], { preemptionWarning });
    assert.deepEqual(fixture.dueCommandNames(machine), commands, name);
    assert.ok(!machine.isSchedulable(fixture.now), name);
  }
});

const reachabilityCases: {
  name: string;
  isLost?: boolean;
  origins: HeartbeatOrigin[];
  takesWork: boolean;
}[] = [
  {
    name: 'its heartbeats arrive, but it responds to no probe',
    origins: ['unsolicited'],
    takesWork: false,
  },
  { name: 'it responds to a probe', origins: ['unsolicited', 'response'], takesWork: true },
  { name: 'a heartbeat follows an answer', origins: ['follow-up'], takesWork: true },
  {
    name: 'it was lost, and a late copy of a heartbeat arrives',
    isLost: true,
    origins: ['unsolicited'],
    takesWork: false,
  },
];
for (const { name, isLost = false, origins, takesWork } of reachabilityCases) {
  test(`an unsolicited heartbeat does not make a machine reachable: ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    if (isLost) machine.isLost = true;
    else fixture.missTwoProbes(machine);
    for (const origin of origins) fixture.applyHeartbeat(machine, [], {}, origin);
    const chunk = fixture.addChunk();
    fixture.runSchedulingRound();
    assert.equal(chunk.attempts.size, takesWork ? 1 : 0);
    assert.equal(machine.isSchedulable(fixture.now), takesWork);
  });
}

const lateCopies: { name: string; copy: Partial<Heartbeat>; tasks: Partial<ReportedAttempt>[] }[] =
  [
    { name: 'from before the start', copy: { highestFencingToken: 1 }, tasks: [] },
    {
      name: 'of an earlier agent epoch',
      copy: { agentEpoch: 0, highestFencingToken: 1 },
      tasks: [],
    },
    {
      name: 'of an earlier attempt that ended',
      copy: { highestFencingToken: 1 },
      tasks: [{ attemptNumber: 0, state: 'ended', cause: 'error' }],
    },
    {
      name: 'from while it was fetching the image',
      copy: { highestFencingToken: 1 },
      tasks: [{ state: 'fetching' }],
    },
  ];
for (const { name, copy, tasks } of lateCopies) {
  test(`a late copy of a heartbeat after a takeover terminates nothing: ${name}`, () => {
    const fixture = new ShardFixture();
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: '127.0.0.1:1',
    };
    const machine = fixture.shard.addMachine('n-1', record, fixture.now, fixture.now + 36);
    const chunk = fixture.shard.loadChunk(0, startedChunkRecord(), FENCING_TOKEN, fixture.now);
    fixture.applyHeartbeat(
      machine,
      tasks,
      { heartbeatSequence: 3, address: '127.0.0.9:9', ...copy },
      'unsolicited',
    );
    assert.equal(chunk.attempts.get(0)?.attemptNumber, 1, 'the attempt was terminated');
    assert.equal(machine.address, '127.0.0.1:1', 'the copy changed the address');
    assert.equal(machine.isUp, false, 'the copy made the machine seem up');
    fixture.runSchedulingRound();
    assert.equal(chunk.nextAttemptNumber, 2);
    // The late copy does not hide what the worker reports next.
    fixture.applyHeartbeat(machine, [{}], { heartbeatSequence: 40 }, 'response');
    assert.equal(machine.isUp, true);
    assert.equal(chunk.attempts.get(0)?.state, 'running');
  });
}

test('a heartbeat without news is recognised, so that it triggers no scheduling round', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine('n-1', false);
  const chunk = fixture.addChunk();
  const task = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
  const heartbeat = {
    ...{ machine: 'n-1', address: '127.0.0.1:1', type: 'm8', zone: 'a', spot: false },
    ...{
      agentEpoch: 1,
      highestFencingToken: FENCING_TOKEN,
      preemptionWarning: null as number | null,
    },
  };
  const heartbeats: [string, number, 'fetching' | 'running' | null, number | null, string][] = [
    ['the first one: the machine has room now', 1, null, null, 'changed'],
    ['a copy of it', 1, null, null, 'stale'],
    ['the next one, without a change', 2, null, null, 'unchanged'],
    ['a task has arrived', 3, 'fetching', null, 'changed'],
    ['it is still there', 4, 'fetching', null, 'unchanged'],
    ['it runs', 5, 'running', null, 'changed'],
    ['the machine will be preempted', 6, 'running', 9, 'changed'],
    ['it still will be', 7, 'running', 5, 'unchanged'],
    ['the task has gone', 8, null, 1, 'changed'],
  ];
  for (const [name, heartbeatSequence, state, preemptionWarning, effect] of heartbeats) {
    const tasks = state === null ? [] : [{ ...task, state }];
    assert.equal(
      fixture.shard.heartbeats.apply(
        machine,
        { ...heartbeat, heartbeatSequence, preemptionWarning, attempts: tasks },
        fixture.now,
        'follow-up',
      ),
      effect,
      name,
    );
    if (heartbeatSequence === 2) {
      fixture.runSchedulingRound();
      fixture.markStored(chunk);
    }
  }
});

test('a machine that comes up long after its launch is given work at once', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine('n-1', false);
  fixture.now += 60;
  fixture.shard.liveness.sweep(fixture.now);
  const chunk = fixture.addChunk();
  fixture.applyHeartbeat(machine, []);
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.size, 1);
});

test('an attempt that a new leader loads but no heartbeat shows is terminated, not started: a peer may use its quota by now', () => {
  for (const { name, tasks, entries } of [
    { name: 'it is there', tasks: [{ task: 'wk-1/0', attemptNumber: 1 }], entries: 1 },
    { name: 'it is not', tasks: [], entries: 0 },
  ]) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    const chunk = fixture.shard.loadChunk(0, startedChunkRecord(), FENCING_TOKEN, fixture.now);
    fixture.applyHeartbeat(machine, tasks, { highestFencingToken: FENCING_TOKEN - 1 });
    assert.equal(chunk.attempts.size, 1, `${name}: the previous leader's start may still arrive`);
    assert.deepEqual(fixture.dueCommandNames(machine), [], name);
    fixture.applyHeartbeat(machine, tasks, { highestFencingToken: FENCING_TOKEN });
    assert.equal(chunk.attempts.size, entries, name);
    assert.equal(fixture.shard.teamUsage.usedBy('crew').cpus, entries * 2, name);
    assert.deepEqual(fixture.dueCommandNames(machine), [], name);
  }
});
