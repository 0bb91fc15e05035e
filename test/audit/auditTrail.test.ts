/** The audit trail: how a line reads, what is counted, and that decisions about attempts leave their evidence. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AuditTrail, formatAuditEvent } from '../../src/coordination/audit/auditTrail.js';
import { ShardFixture } from '../support/shardFixture.js';

test('a line names time, node and event, and quotes what has spaces', () => {
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

for (const { name, end, rule, broken = {} } of [
  {
    name: 'its worker reports the end',
    rule: 'ended',
    end: (b: ShardFixture) => b.report(b.machineOf('n-1'), [{ state: 'ended', cause: 'halted' }]),
  },
  {
    name: 'it is in no report any more, which its worker owes us an end for',
    rule: 'absent',
    broken: { 'invariant-broken.attempt-vanished': 1 },
    end: (b: ShardFixture) => b.report(b.machineOf('n-1'), []),
  },
  {
    name: 'its worker has a newer session',
    rule: 'new-session',
    end: (b: ShardFixture) => b.report(b.machineOf('n-1'), [], { agentEpoch: 2 }),
  },
  {
    name: 'nobody can have renewed the lease',
    rule: 'lease-over',
    end: (b: ShardFixture) => {
      b.now += 30;
      b.shard.liveness.sweep(b.now);
    },
  },
  {
    name: 'its machine is gone',
    rule: 'machine-gone',
    end: (b: ShardFixture) => {
      b.shard.removeMachine('n-1', b.now);
    },
  },
]) {
  test(`an attempt that is over is counted by the rule that ended it: ${name}`, () => {
    const b = new ShardFixture();
    b.createRunningChunk(b.machine());
    end(b);
    assert.deepEqual(b.shard.audit.counters, { [`attempt-over.${rule}`]: 1, ...broken });
  });
}

test('broken invariants are counted by their kind', () => {
  const audit = new AuditTrail('drone-0', () => 0);
  const detail = 'seen by a test';
  audit.note({ event: 'invariant-violated', invariant: 'attempt-vanished', shard: 'p', detail });
  audit.note({ event: 'leadership-lost', shard: 'p', fencingToken: 1 });
  assert.deepEqual(audit.counters, { 'invariant-broken.attempt-vanished': 1, 'part-lost': 1 });
});
