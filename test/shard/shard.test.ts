/** A part: starts once they are stored, cancellations, adoption. */
import { dueCommands, unconditionalStops } from '../../src/coordination/model/dueCommands.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { Machine } from '../../src/coordination/model/machine.js';
import type { Command } from '../../src/protocol/workerProtocol.js';
import { ShardFixture } from '../support/shardFixture.js';
import { spec } from '../support/spec.js';

test('a start goes out only after its placement is stored, and only while it may', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  assert.deepEqual(b.dueCommandNames(machine), []);
  b.store(chunk);
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  const withheld = new Machine(
    machine.name,
    record,
    () => b.types,
    b.now,
    () => false,
  );
  for (const placement of machine.placements.values()) withheld.place(placement);
  assert.equal(withheld.placements.size, 1);
  assert.deepEqual(dueCommands(withheld, b.now, 4), []);
  assert.deepEqual(b.dueCommandNames(machine), ['start wk-1/0 1']);
});

test("a job's chunks are found, whichever of them are at other parts", () => {
  // The third was passed over where the second had gone: a cancellation of the job neither ended nor confirmed it.
  for (const here of [[0, 1, 2], [0, 2], [1], [3], [0, 3, 5], []]) {
    const b = new ShardFixture();
    const job = spec({ taskCount: 6 });
    const chunks = here.map((k) => new Chunk(job, k, 'p', b.now, k, k + 1, null, b.now));
    for (const chunk of chunks) b.shard.acceptNewChunk(chunk, b.now);
    b.chunk({ id: 'wk-2' });
    assert.deepEqual(b.shard.chunksOf(job.id), chunks);
    for (const chunk of chunks) b.shard.dropChunk(chunk);
    assert.deepEqual(b.shard.chunksOf(job.id), []);
  }
});

test('a machine that is known to be gone frees its tasks at once', () => {
  const b = new ShardFixture();
  b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  b.shard.removeMachine('n-1', b.now);
  assert.equal(chunk.attempts.size, 0);
});

test('a chunk that its home has counted as over is not run again by an adopter', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine, { taskCount: 2 });
  b.shard.discardFinishedChunk(chunk, b.now);
  assert.deepEqual(b.dueCommandNames(machine), ['stop wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  b.runSchedulingRound();
  assert.equal(chunk.attempts.size, 0);
  assert.ok(b.shard.finishedChunks.has(chunk));
});

/** Each look at a machine's size asks for its type, so the questions count the visits. */

test('what its user has asked to cancel starts nothing, and ends with every answer, until it is resumed', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const other = b.machine('n-2');
  const [runs, waits] = [b.chunk({ id: 'wk-1' }), b.chunk({ id: 'wk-2', cpus: 8 })];
  b.runSchedulingRound();
  b.store(runs, waits);
  const on = runs.attempts.get(0)?.machine === machine.name ? machine : other;
  b.report(on, [{}]);
  assert.deepEqual(unconditionalStops(on), []);
  b.shard.prepareCancel(runs, b.now);
  b.shard.prepareCancel(waits, b.now);
  const halt = { verb: 'stop', task: 'wk-1/0', attemptNumber: 1, gracePeriod: 0 };
  // With every answer: one of them may be lost, and the next would renew the lease.
  assert.deepEqual([unconditionalStops(on), unconditionalStops(on)], [[halt], [halt]]);
  assert.deepEqual(waits.attempts.size, 0, 'its start was never sent, so nothing can come of it');
  b.report(on, [{ state: 'ended', cause: 'halted' }]);
  b.runSchedulingRound();
  assert.deepEqual([runs.attempts.size, waits.attempts.size], [0, 0]);
  b.shard.abandonCancellation(runs);
  b.shard.abandonCancellation(waits);
  b.runSchedulingRound();
  assert.deepEqual([runs.attempts.size, waits.attempts.size], [1, 1]);
});

test('a machine that the records put into another shard keeps its attempts, and gets no work or command', () => {
  // Its lease was taken for over while the other leader renewed it, and its task was started on another machine too.
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.createRunningChunk(machine);
  const record = { shard: 'q', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  b.shard.addMachine('n-1', record, b.now);
  b.now += 1000;
  b.machine('n-2');
  b.shard.liveness.sweep(b.now);
  assert.equal(chunk.attempts.get(0)?.machine, 'n-1');
  const other = b.chunk({ id: 'wk-2', cpus: 8 });
  b.runSchedulingRound();
  assert.equal(other.attempts.get(0)?.machine, 'n-2');
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now, () => 30, 0),
    [],
  );
  b.shard.addMachine('n-1', { ...record, shard: 'p' }, b.now);
  b.shard.liveness.sweep(b.now);
  assert.equal(chunk.attempts.size, 1, 'who answered its worker meanwhile is not known');
  assert.deepEqual(
    b.shard.liveness.lostMachines(b.now, () => 30, 0),
    ['n-1'],
  );
  b.shard.removeMachine('n-1', b.now);
  assert.equal(chunk.attempts.size, 0);
});

for (const { name, isLeaseValid } of [
  { name: 'with a valid lease', isLeaseValid: true },
  { name: 'without one', isLeaseValid: false },
]) {
  const stopsOn = (b: ShardFixture, machine: Machine): Command[] =>
    isLeaseValid ? dueCommands(machine, b.now, 6) : unconditionalStops(machine);
  const stop = { verb: 'stop', task: 'wk-1/0', attemptNumber: 1, gracePeriod: 0 };

  test(`a task that saves before a preemption is ended once its job is cancelled, ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine();
    const chunk = b.createRunningChunk(machine, {
      checkpointInterval: 20,
      checkpointDuration: 300,
    });
    const attempt = chunk.attempts.get(0) ?? assert.fail();
    b.shard.requestStop(machine, attempt, 300);
    dueCommands(machine, b.now, 6);
    b.report(machine, [{ state: 'saving' }]);
    assert.deepEqual(dueCommands(machine, b.now, 6), []);
    b.shard.prepareCancel(chunk, b.now);
    assert.deepEqual(stopsOn(b, machine), [stop]);
  });

  test(`an attempt that the shard does not know is stopped, ${name}`, () => {
    const b = new ShardFixture();
    const machine = b.machine();
    b.report(machine, [{}]);
    assert.deepEqual(stopsOn(b, machine), [stop]);
  });
}
