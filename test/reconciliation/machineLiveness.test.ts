/** Silent machines: when their attempts terminate, and which machines are lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardFixture } from '../support/shardFixture.js';

test('a silent machine keeps its tasks until nobody can have renewed its lease', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine);
  machine.leaseRenewedAt = fixture.now;
  fixture.shard.liveness.sweep(fixture.now + 18);
  assert.equal(chunk.attempts.size, 1);
  fixture.shard.liveness.sweep(fixture.now + 20);
  assert.equal(chunk.attempts.size, 0);
});

test('a silent machine is lost only while others respond', () => {
  const cases: [string, 'answers' | 'silent' | 'none', number, string[]][] = [
    ['the others respond', 'answers', 4, ['n-1']],
    ['nobody responds: the fault is on this side', 'silent', 4, []],
    ['there is no other: only after three heartbeat intervals', 'none', 4, []],
    ['there is no other, and it has been silent for longer', 'none', 10, ['n-1']],
  ];
  for (const [name, others, seconds, lost] of cases) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1');
    const otherMachines = others === 'none' ? [] : ['n-2', 'n-3'].map((n) => fixture.addMachine(n));
    fixture.now += 1;
    for (const m of [machine, ...(others === 'silent' ? otherMachines : [])])
      fixture.missTwoProbes(m);
    fixture.now += 1;
    if (others === 'answers') for (const m of otherMachines) fixture.applyHeartbeat(m, []);
    fixture.now += seconds - 2;
    assert.deepEqual(
      fixture.shard.liveness.lostMachines(fixture.now, () => 30, 1000),
      lost,
      name,
    );
  }
});

test('machines that never come up are released, but not right after a takeover', () => {
  const fixture = new ShardFixture();
  fixture.addMachine('n-1', false);
  const bootSecondsOf = (): number => 30;
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now + 5, bootSecondsOf, 1000),
    [],
    'its worker may still find the new leader',
  );
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now + 20, bootSecondsOf, 50),
    [],
    'it may still boot',
  );
  assert.deepEqual(fixture.shard.liveness.lostMachines(fixture.now + 20, bootSecondsOf, 60), [
    'n-1',
  ]);
});

test('after a restart a silent machine is lost too, but not when all are silent', () => {
  const lostMachines = (othersAnswer: boolean): string[] => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    const otherMachines = ['n-2', 'n-3'].map((n) => fixture.addMachine(n, false));
    for (const m of othersAnswer ? [machine] : [machine, ...otherMachines]) {
      m.reachability.missedProbes = 3;
      m.reachability.firstMissedProbeAt = fixture.now;
    }
    fixture.now += 12;
    if (othersAnswer) for (const m of otherMachines) fixture.applyHeartbeat(m, []);
    return fixture.shard.liveness.lostMachines(fixture.now, () => 30, 100);
  };
  assert.deepEqual(lostMachines(true), ['n-1']);
  assert.deepEqual(lostMachines(false), [], 'the fault is on this side');
});

test('an unreachable machine is not lost while the previous leader may still answer it', () => {
  const fixture = new ShardFixture();
  const record = {
    shard: 'p',
    type: 'm8',
    zone: 'a',
    spot: false,
    launchedAt: 0,
    address: '127.0.0.1:1',
  };
  const inheritedMachine = fixture.shard.addMachine('n-1', record, fixture.now, fixture.now + 36);
  const other = fixture.addMachine('n-2', false);
  inheritedMachine.reachability.missedProbes = 3;
  inheritedMachine.reachability.firstMissedProbeAt = fixture.now;
  fixture.now += 12;
  fixture.applyHeartbeat(other, []);
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now, () => 30, 100),
    [],
  );
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now + 30, () => 30, 100),
    ['n-1'],
  );
});

test('a machine that sends heartbeats but responds to no probe is released, and its replicas move to another machine', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine, { isService: true, rank: 'prod' });
  const other = fixture.addMachine('n-2');
  const since = fixture.now;
  for (let n = 0; n < 3; n++) {
    fixture.now += 3;
    machine.reachability.missedProbes++;
    machine.reachability.firstMissedProbeAt ??= since + 1;
    fixture.applyHeartbeat(machine, [{}], {}, 'unsolicited');
    fixture.applyHeartbeat(other, []);
  }
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now, () => 30, 1000),
    ['n-1'],
  );
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.get(0)?.machine, 'n-1', 'its attempt has not terminated yet');
  fixture.shard.removeMachine('n-1', fixture.now);
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.get(0)?.machine, 'n-2');
});

test('when a partition ends, machines that have not been probed since are not lost', () => {
  const fixture = new ShardFixture();
  const machines = [1, 2, 3, 4].map((n) => fixture.addMachine(`n-${n}`));
  const lost = (): string[] => fixture.shard.liveness.lostMachines(fixture.now, () => 30, 1000);
  for (const machine of machines) {
    machine.reachability.missedProbes = 3;
    machine.reachability.firstMissedProbeAt = machine.reachability.lastProbeAt = fixture.now + 1;
  }
  fixture.now += 20;
  assert.deepEqual(lost(), []);
  fixture.now += 1;
  for (const machine of machines.slice(1)) fixture.applyHeartbeat(machine, [], {}, 'response');
  assert.deepEqual(lost(), [], 'it was last probed during the partition');
  const [silent] = machines;
  if (silent === undefined) throw new Error('no machine');
  silent.reachability.lastProbeAt = fixture.now + 1;
  fixture.now += 3;
  assert.deepEqual(lost(), ['n-1']);
});

const heartbeatCases: { name: string; report: boolean; after: number; takesWork: boolean }[] = [
  { name: 'it sends heartbeats', report: true, after: 4, takesWork: true },
  { name: 'its heartbeats are overdue', report: true, after: 8, takesWork: true },
  {
    name: 'it has sent no heartbeat for half of its lease',
    report: true,
    after: 10,
    takesWork: false,
  },
  {
    name: 'it responds, but has never sent a heartbeat',
    report: false,
    after: 10,
    takesWork: false,
  },
];
for (const { name, report, after, takesWork } of heartbeatCases) {
  // Responses to probes do not renew a lease: tasks started there would be killed again and again.
  test(`whether a machine that responds to probes is given work: ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    fixture.applyHeartbeat(machine, [], {}, report ? 'follow-up' : 'response');
    fixture.now += after;
    fixture.applyHeartbeat(machine, [], {}, 'response');
    fixture.shard.liveness.sweep(fixture.now);
    const chunk = fixture.addChunk();
    fixture.runSchedulingRound();
    assert.equal(chunk.attempts.size, takesWork ? 1 : 0);
  });
}

test('the lease of a worker that only responds to probes counts from the first response of its agent epoch', () => {
  for (const isFirstEpoch of [true, false]) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine('n-1', false);
    if (!isFirstEpoch) fixture.applyHeartbeat(machine, []);
    fixture.now += 8;
    if (!isFirstEpoch) fixture.agentEpoch++;
    fixture.applyHeartbeat(machine, [], {}, 'response');
    const chunk = fixture.addChunk();
    fixture.runSchedulingRound();
    fixture.markStored(chunk);
    fixture.applyHeartbeat(machine, [{}], {}, 'response');
    assert.equal(chunk.attempts.size, 1);
    fixture.shard.liveness.sweep(fixture.now + 17);
    assert.equal(chunk.attempts.size, 1, 'the agent epoch may have begun just before the response');
    fixture.shard.liveness.sweep(fixture.now + 20);
    assert.equal(chunk.attempts.size, 0);
  }
});
