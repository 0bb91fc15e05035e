/**
 * Runtime checks for cancelled jobs: a lease renewal without the stop, and a start that is about to be sent, are reported.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertNoCancelledStarts,
  CancelledTaskMonitor,
} from '../../src/coordination/commands/cancelledTaskMonitor.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { dueCommands } from '../../src/coordination/model/dueCommands.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import type { Command } from '../../src/protocol/workerProtocol.js';
import { ShardFixture } from '../support/shardFixture.js';

const HEARTBEAT_INTERVAL = 4;
const RESEND_INTERVALS = 1.5;

/** A machine that runs a task of a job whose cancellation is announced. */
function createCancelledTask(): {
  fixture: ShardFixture;
  machine: Machine;
  ownedShard: OwnedShard;
} {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine);
  fixture.shard.prepareCancel(chunk, fixture.now);
  return {
    fixture,
    machine,
    ownedShard: createOwnedShard(fixture.shard, { fencingToken: 7, revision: 1 }, fixture.now),
  };
}

const violations = (fixture: ShardFixture): string[] =>
  Object.keys(fixture.shard.audit.counters).filter((name) => name.startsWith('invariant-broken.'));

for (const { name, isSent, isViolation } of [
  { name: 'the answer carries the stop', isSent: true, isViolation: false },
  { name: 'no stop was ever sent', isSent: false, isViolation: true },
]) {
  test(`lease renewal over a task of a cancelled job: ${name}`, () => {
    const { fixture, machine, ownedShard } = createCancelledTask();
    const monitor = new CancelledTaskMonitor(contextOf(fixture), RESEND_INTERVALS);
    const resendAfter = HEARTBEAT_INTERVAL * RESEND_INTERVALS;
    const sent = isSent ? dueCommands(machine, fixture.now, resendAfter) : [];
    monitor.noteRenewal(ownedShard, machine, sent);
    assert.deepEqual(
      violations(fixture),
      isViolation ? ['invariant-broken.renewal-without-stop'] : [],
    );
    assert.equal(fixture.shard.audit.counters['cancellations.task-renewed'], 1);
  });
}

for (const { name, delay, isViolation } of [
  { name: 'before the stop is due again', delay: HEARTBEAT_INTERVAL, isViolation: false },
  { name: 'once the stop is due again', delay: HEARTBEAT_INTERVAL * 2, isViolation: true },
]) {
  test(`lease renewal after a stop without effect, ${name}`, () => {
    const { fixture, machine, ownedShard } = createCancelledTask();
    const monitor = new CancelledTaskMonitor(contextOf(fixture), RESEND_INTERVALS);
    dueCommands(machine, fixture.now, HEARTBEAT_INTERVAL * RESEND_INTERVALS);
    fixture.now += delay;
    monitor.noteRenewal(ownedShard, machine, []);
    assert.deepEqual(
      violations(fixture),
      isViolation ? ['invariant-broken.renewal-without-stop'] : [],
    );
  });
}

test('a start of a cancelled job that is about to be sent is a violation', () => {
  const { fixture, machine, ownedShard } = createCancelledTask();
  const start: Command = { verb: 'start', task: 'wk-1/0', attemptNumber: 1 };
  assertNoCancelledStarts(ownedShard, machine, [{ ...start, task: 'wk-2/0' }]);
  assert.deepEqual(violations(fixture), []);
  assertNoCancelledStarts(ownedShard, machine, [start]);
  assert.deepEqual(violations(fixture), ['invariant-broken.start-of-cancelled-job']);
});

const contextOf = (
  fixture: ShardFixture,
): ConstructorParameters<typeof CancelledTaskMonitor>[0] => ({
  settings: { heartbeatInterval: HEARTBEAT_INTERVAL },
  clock: { now: () => fixture.now },
  leadership: { leaseExpiresAt: fixture.now + 1 },
});
