/** Silent machines: when their tasks are over, and which machines are lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardFixture } from '../support/shardFixture.js';

test('a silent machine keeps its tasks until nobody can have renewed its lease', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine);
  machine.leaseRenewedAt = b.now;
  b.shard.liveness.sweep(b.now + 18);
  assert.equal(chunk.attempts.size, 1);
  b.shard.liveness.sweep(b.now + 20);
  assert.equal(chunk.attempts.size, 0);
});

test('a silent machine is lost only while others answer', () => {
  const cases: [string, 'answers' | 'silent' | 'none', number, string[]][] = [
    ['the others answer', 'answers', 4, ['n-1']],
    ['nobody answers: the fault is ours', 'silent', 4, []],
    ['there is no other: only after three reports', 'none', 4, []],
    ['there is no other, and it is long silent', 'none', 10, ['n-1']],
  ];
  for (const [name, others, seconds, lost] of cases) {
    const b = new ShardFixture();
    const machine = b.machine('n-1');
    const rest = others === 'none' ? [] : ['n-2', 'n-3'].map((n) => b.machine(n));
    b.now += 1;
    for (const m of [machine, ...(others === 'silent' ? rest : [])]) b.missTwoProbes(m);
    b.now += 1;
    if (others === 'answers') for (const m of rest) b.report(m, []);
    b.now += seconds - 2;
    assert.deepEqual(
      b.shard.liveness.lostMachines(b.now, () => 30, 1000),
      lost,
      name,
    );
  }
});

test('machines that never come up are given back, but not right after a takeover', () => {
  const b = new ShardFixture();
  b.machine('n-1', false);
  const boot = (): number => 30;
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now + 5, boot, 1000),
    [],
    'its worker may be on its way',
  );
  assert.deepEqual(b.shard.liveness.lostMachines(b.now + 20, boot, 50), [], 'it may still boot');
  assert.deepEqual(b.shard.liveness.lostMachines(b.now + 20, boot, 60), ['n-1']);
});

test('after a restart a silent machine is lost too, but not when all are silent', () => {
  const setUp = (othersAnswer: boolean): string[] => {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    const rest = ['n-2', 'n-3'].map((n) => b.machine(n, false));
    for (const m of othersAnswer ? [machine] : [machine, ...rest]) {
      m.reachability.missedProbes = 3;
      m.reachability.firstMissedProbeAt = b.now;
    }
    b.now += 12;
    if (othersAnswer) for (const m of rest) b.report(m, []);
    return b.shard.liveness.lostMachines(b.now, () => 30, 100);
  };
  assert.deepEqual(setUp(true), ['n-1']);
  assert.deepEqual(setUp(false), [], 'the fault is ours');
});

test('a machine that its last owner may still answer is not lost for being out of our reach', () => {
  const b = new ShardFixture();
  const record = {
    shard: 'p',
    type: 'm8',
    zone: 'a',
    spot: false,
    launchedAt: 0,
    address: '127.0.0.1:1',
  };
  const adopted = b.shard.addMachine('n-1', record, b.now, b.now + 36);
  const other = b.machine('n-2', false);
  adopted.reachability.missedProbes = 3;
  adopted.reachability.firstMissedProbeAt = b.now;
  b.now += 12;
  b.report(other, []);
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now, () => 30, 100),
    [],
  );
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now + 30, () => 30, 100),
    ['n-1'],
  );
});

test('a machine that reports but answers nothing is returned, and its replicas go elsewhere', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine, { isService: true, rank: 'prod' });
  const other = b.machine('n-2');
  const since = b.now;
  for (let n = 0; n < 3; n++) {
    b.now += 3;
    machine.reachability.missedProbes++;
    machine.reachability.firstMissedProbeAt ??= since + 1;
    b.report(machine, [{}], {}, 'unsolicited');
    b.report(other, []);
  }
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now, () => 30, 1000),
    ['n-1'],
  );
  b.runSchedulingRound();
  assert.equal(chunk.attempts.get(0)?.machine, 'n-1', 'its attempt is not known to be over yet');
  b.shard.removeMachine('n-1', b.now);
  b.runSchedulingRound();
  assert.equal(chunk.attempts.get(0)?.machine, 'n-2');
});

test('when a cut ends, those that have not been asked since are not lost', () => {
  const b = new ShardFixture();
  const machines = [1, 2, 3, 4].map((n) => b.machine(`n-${n}`));
  const lost = (): string[] => b.shard.liveness.lostMachines(b.now, () => 30, 1000);
  for (const machine of machines) {
    machine.reachability.missedProbes = 3;
    machine.reachability.firstMissedProbeAt = machine.reachability.lastProbeAt = b.now + 1;
  }
  b.now += 20;
  assert.deepEqual(lost(), []);
  b.now += 1;
  for (const machine of machines.slice(1)) b.report(machine, [], {}, 'response');
  assert.deepEqual(lost(), [], 'it was last asked during the cut');
  const [silent] = machines;
  if (silent === undefined) throw new Error('no machine');
  silent.reachability.lastProbeAt = b.now + 1;
  b.now += 3;
  assert.deepEqual(lost(), ['n-1']);
});

const silences: { name: string; report: boolean; after: number; used: boolean }[] = [
  { name: 'it reports', report: true, after: 4, used: true },
  { name: 'its reports are overdue', report: true, after: 8, used: true },
  { name: 'it has not reported for half of its lease', report: true, after: 10, used: false },
  { name: 'it answers, but has never reported', report: false, after: 10, used: false },
];
for (const { name, report, after, used } of silences) {
  // Answers do not renew a lease: what starts there would be killed again and again.
  test(`a machine that answers questions is given work: ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    b.report(machine, [], {}, report ? 'follow-up' : 'response');
    b.now += after;
    b.report(machine, [], {}, 'response');
    b.shard.liveness.sweep(b.now);
    const chunk = b.chunk();
    b.runSchedulingRound();
    assert.equal(chunk.attempts.size, used ? 1 : 0);
  });
}

test('a worker that is only known by its answers: its lease counts from the first of its session', () => {
  for (const firstSession of [true, false]) {
    const b = new ShardFixture();
    const machine = b.machine('n-1', false);
    if (!firstSession) b.report(machine, []);
    b.now += 8;
    if (!firstSession) b.agentEpoch++;
    b.report(machine, [], {}, 'response');
    const chunk = b.chunk();
    b.runSchedulingRound();
    b.store(chunk);
    b.report(machine, [{}], {}, 'response');
    assert.equal(chunk.attempts.size, 1);
    b.shard.liveness.sweep(b.now + 17);
    assert.equal(chunk.attempts.size, 1, 'the worker may have begun just before its answer');
    b.shard.liveness.sweep(b.now + 20);
    assert.equal(chunk.attempts.size, 0);
  }
});
