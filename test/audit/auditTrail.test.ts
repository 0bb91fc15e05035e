/** The audit trail: the format of a line, the counters, and the rule recorded for each terminated attempt. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AuditTrail, formatAuditEvent } from '../../src/coordination/audit/auditTrail.js';
import { ShardFixture } from '../support/shardFixture.js';

test('a line shows time, node and event, and quotes values with spaces', () => {
  const line = formatAuditEvent('drone-0', 12.5, {
    event: 'commands-sent',
    shard: 'drone-1',
    fencingToken: 7,
    startToken: null,
    seenToken: 6,
    machine: 'n-1',
    agentEpoch: 1,
    route: 'command',
    commands: 'start wk-1/0#1',
    leaseLeft: 1.25,
  });
  assert.equal(
    line,
    'audit at=12.500 node=drone-0 event=commands-sent shard=drone-1 fencingToken=7 startToken=null seenToken=6 machine=n-1 ' +
      'agentEpoch=1 route=command commands="start wk-1/0#1" leaseLeft=1.250',
  );
});

for (const { name, endAttempt, rule, violations = {} } of [
  {
    name: 'its worker reports the end',
    rule: 'ended',
    endAttempt: (fixture: ShardFixture) =>
      fixture.applyHeartbeat(fixture.getMachine('n-1'), [{ state: 'ended', cause: 'halted' }]),
  },
  {
    name: 'it is missing from a heartbeat although its worker has not reported the end',
    rule: 'absent',
    violations: { 'invariant-broken.attempt-vanished': 1 },
    endAttempt: (fixture: ShardFixture) => fixture.applyHeartbeat(fixture.getMachine('n-1'), []),
  },
  {
    name: 'its worker has a newer agent epoch',
    rule: 'new-session',
    endAttempt: (fixture: ShardFixture) =>
      fixture.applyHeartbeat(fixture.getMachine('n-1'), [], { agentEpoch: 2 }),
  },
  {
    name: 'nobody can have renewed the lease',
    rule: 'lease-over',
    endAttempt: (fixture: ShardFixture) => {
      fixture.now += 30;
      fixture.shard.liveness.sweep(fixture.now);
    },
  },
  {
    name: 'its machine is gone',
    rule: 'machine-gone',
    endAttempt: (fixture: ShardFixture) => {
      fixture.shard.removeMachine('n-1', fixture.now);
    },
  },
]) {
  test(`a terminated attempt is counted by the rule of its termination: ${name}`, () => {
    const fixture = new ShardFixture();
    fixture.createRunningChunk(fixture.addMachine());
    endAttempt(fixture);
    assert.deepEqual(fixture.shard.audit.counters, { [`attempt-over.${rule}`]: 1, ...violations });
  });
}

test('violated invariants are counted by their kind', () => {
  const audit = new AuditTrail('drone-0', () => 0);
  const detail = 'seen by a test';
  audit.note({ event: 'invariant-violated', invariant: 'attempt-vanished', shard: 'p', detail });
  audit.note({ event: 'leadership-lost', shard: 'p', fencingToken: 1 });
  assert.deepEqual(audit.counters, { 'invariant-broken.attempt-vanished': 1, 'part-lost': 1 });
});
