/** Shards: starts of stored attempts, cancellations, and chunks and machines that other shards take over. */
import { dueCommands, unconditionalStops } from '../../src/coordination/model/dueCommands.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { Machine } from '../../src/coordination/model/machine.js';
import type { Command } from '../../src/protocol/workerProtocol.js';
import { ShardFixture } from '../support/shardFixture.js';
import { jobSpec } from '../support/jobSpec.js';

test('a start is sent only after its placement is stored, and not while it is withheld', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  assert.deepEqual(fixture.dueCommandNames(machine), []);
  fixture.markStored(chunk);
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  const withheld = new Machine(
    machine.name,
    record,
    () => fixture.machineTypes,
    fixture.now,
    () => false,
  );
  for (const placement of machine.placements.values()) withheld.place(placement);
  assert.equal(withheld.placements.size, 1);
  assert.deepEqual(dueCommands(withheld, fixture.now, 4), []);
  assert.deepEqual(fixture.dueCommandNames(machine), ['start wk-1/0 1']);
});

test("a job's chunks are found, whichever of them are in other shards", () => {
  // Guards against a lookup that missed the third chunk after the second had migrated: a cancellation of the job then neither
  // stopped the third chunk nor reported it as cancelled.
  for (const indexes of [[0, 1, 2], [0, 2], [1], [3], [0, 3, 5], []]) {
    const fixture = new ShardFixture();
    const job = jobSpec({ taskCount: 6 });
    const chunks = indexes.map(
      (k) => new Chunk(job, k, 'p', fixture.now, k, k + 1, null, fixture.now),
    );
    for (const chunk of chunks) fixture.shard.acceptNewChunk(chunk, fixture.now);
    fixture.addChunk({ id: 'wk-2' });
    assert.deepEqual(fixture.shard.chunksOf(job.id), chunks);
    for (const chunk of chunks) fixture.shard.dropChunk(chunk);
    assert.deepEqual(fixture.shard.chunksOf(job.id), []);
  }
});

test('attempts on a machine that is known to be gone terminate at once', () => {
  const fixture = new ShardFixture();
  fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  fixture.shard.removeMachine('n-1', fixture.now);
  assert.equal(chunk.attempts.size, 0);
});

test('a chunk that its home shard has recorded as finished is not run again by a new leader', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine, { taskCount: 2 });
  fixture.shard.discardFinishedChunk(chunk, fixture.now);
  assert.deepEqual(fixture.dueCommandNames(machine), ['stop wk-1/0 1']);
  fixture.applyHeartbeat(machine, [{ state: 'ended', cause: 'halted' }]);
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.size, 0);
  assert.ok(fixture.shard.finishedChunks.has(chunk));
});

test('while a cancellation is prepared, a chunk starts nothing and each answer stops its attempts', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const other = fixture.addMachine('n-2');
  const [running, queued] = [
    fixture.addChunk({ id: 'wk-1' }),
    fixture.addChunk({ id: 'wk-2', cpus: 8 }),
  ];
  fixture.runSchedulingRound();
  fixture.markStored(running, queued);
  const host = running.attempts.get(0)?.machine === machine.name ? machine : other;
  fixture.applyHeartbeat(host, [{}]);
  assert.deepEqual(unconditionalStops(host), []);
  fixture.shard.prepareCancel(running, fixture.now);
  fixture.shard.prepareCancel(queued, fixture.now);
  const stop = { verb: 'stop', task: 'wk-1/0', attemptNumber: 1, gracePeriod: 0 };
  // Each answer contains the stop: an answer may be lost, and a later one without it would renew the worker's lease.
  assert.deepEqual([unconditionalStops(host), unconditionalStops(host)], [[stop], [stop]]);
  assert.deepEqual(
    queued.attempts.size,
    0,
    'its start was never sent, so its attempt can be removed',
  );
  fixture.applyHeartbeat(host, [{ state: 'ended', cause: 'halted' }]);
  fixture.runSchedulingRound();
  assert.deepEqual([running.attempts.size, queued.attempts.size], [0, 0]);
  fixture.shard.abandonCancellation(running);
  fixture.shard.abandonCancellation(queued);
  fixture.runSchedulingRound();
  assert.deepEqual([running.attempts.size, queued.attempts.size], [1, 1]);
});

test('a machine that its record assigns to another shard keeps its attempts, and gets no work or command', () => {
  // Guards against a second start of its task on another machine: this shard presumed the worker's lease expired, while the
  // other shard's leader renewed it.
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.createRunningChunk(machine);
  const record = { shard: 'q', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  fixture.shard.addMachine('n-1', record, fixture.now);
  fixture.now += 1000;
  fixture.addMachine('n-2');
  fixture.shard.liveness.sweep(fixture.now);
  assert.equal(chunk.attempts.get(0)?.machine, 'n-1');
  const other = fixture.addChunk({ id: 'wk-2', cpus: 8 });
  fixture.runSchedulingRound();
  assert.equal(other.attempts.get(0)?.machine, 'n-2');
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now, () => 30, 0),
    [],
  );
  fixture.shard.addMachine('n-1', { ...record, shard: 'p' }, fixture.now);
  fixture.shard.liveness.sweep(fixture.now);
  assert.equal(
    chunk.attempts.size,
    1,
    'another leader may have renewed the lease of its worker meanwhile',
  );
  assert.deepEqual(
    fixture.shard.liveness.lostMachines(fixture.now, () => 30, 0),
    ['n-1'],
  );
  fixture.shard.removeMachine('n-1', fixture.now);
  assert.equal(chunk.attempts.size, 0);
});

for (const { name, isLeaseValid } of [
  { name: 'with a valid lease', isLeaseValid: true },
  { name: 'without one', isLeaseValid: false },
]) {
  const stopsOn = (fixture: ShardFixture, machine: Machine): Command[] =>
    isLeaseValid ? dueCommands(machine, fixture.now, 6) : unconditionalStops(machine);
  const stop = { verb: 'stop', task: 'wk-1/0', attemptNumber: 1, gracePeriod: 0 };

  test(`a task that saves a checkpoint before a preemption is stopped once its job is cancelled, ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    const chunk = fixture.createRunningChunk(machine, {
      checkpointInterval: 20,
      checkpointDuration: 300,
    });
    const attempt = chunk.attempts.get(0) ?? assert.fail();
    fixture.shard.requestStop(machine, attempt, 300);
    dueCommands(machine, fixture.now, 6);
    fixture.applyHeartbeat(machine, [{ state: 'saving' }]);
    assert.deepEqual(dueCommands(machine, fixture.now, 6), []);
    fixture.shard.prepareCancel(chunk, fixture.now);
    assert.deepEqual(stopsOn(fixture, machine), [stop]);
  });

  test(`an attempt that the shard does not know is stopped, ${name}`, () => {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    fixture.applyHeartbeat(machine, [{}]);
    assert.deepEqual(stopsOn(fixture, machine), [stop]);
  });
}
