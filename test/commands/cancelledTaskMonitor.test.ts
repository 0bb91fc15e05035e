/** What must not happen to cancelled jobs is noticed when it does. */
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
function cancelledTask(): { b: ShardFixture; machine: Machine; owned: OwnedShard } {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine);
  b.shard.prepareCancel(chunk, b.now);
  return { b, machine, owned: createOwnedShard(b.shard, { fencingToken: 7, revision: 1 }, b.now) };
}

const violations = (b: ShardFixture): string[] =>
  Object.keys(b.shard.audit.counters).filter((name) => name.startsWith('invariant-broken.'));

for (const { name, isSent, broken } of [
  { name: 'the answer carries the stop', isSent: true, broken: false },
  { name: 'no stop was ever sent', isSent: false, broken: true },
]) {
  test(`a renewal over a task of a cancelled job: ${name}`, () => {
    const { b, machine, owned } = cancelledTask();
    const monitor = new CancelledTaskMonitor(contextOf(b), RESEND_INTERVALS);
    const repeatAfter = HEARTBEAT_INTERVAL * RESEND_INTERVALS;
    const sent = isSent ? dueCommands(machine, b.now, repeatAfter) : [];
    monitor.noteRenewal(owned, machine, sent);
    assert.deepEqual(violations(b), broken ? ['invariant-broken.renewal-without-stop'] : []);
    assert.equal(b.shard.audit.counters['cancellations.task-renewed'], 1);
  });
}

for (const { name, later, broken } of [
  { name: 'while it is on its way', later: HEARTBEAT_INTERVAL, broken: false },
  { name: 'once it should have been sent again', later: HEARTBEAT_INTERVAL * 2, broken: true },
]) {
  test(`a renewal after a stop without effect, ${name}`, () => {
    const { b, machine, owned } = cancelledTask();
    const monitor = new CancelledTaskMonitor(contextOf(b), RESEND_INTERVALS);
    dueCommands(machine, b.now, HEARTBEAT_INTERVAL * RESEND_INTERVALS);
    b.now += later;
    monitor.noteRenewal(owned, machine, []);
    assert.deepEqual(violations(b), broken ? ['invariant-broken.renewal-without-stop'] : []);
  });
}

test('a start of a cancelled job that is about to leave', () => {
  const { b, machine, owned } = cancelledTask();
  const start: Command = { verb: 'start', task: 'wk-1/0', attemptNumber: 1 };
  assertNoCancelledStarts(owned, machine, [{ ...start, task: 'wk-2/0' }]);
  assert.deepEqual(violations(b), []);
  assertNoCancelledStarts(owned, machine, [start]);
  assert.deepEqual(violations(b), ['invariant-broken.start-of-cancelled-job']);
});

const contextOf = (b: ShardFixture): ConstructorParameters<typeof CancelledTaskMonitor>[0] => ({
  settings: { heartbeatInterval: HEARTBEAT_INTERVAL },
  clock: { now: () => b.now },
  leadership: { leaseExpiresAt: b.now + 1 },
});
