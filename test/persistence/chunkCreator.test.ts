/** Creation of a job's further chunks: what may hold them back, and what may not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartCommands } from '../../src/coordination/model/startCommands.js';
import type { Chunk } from '../../src/coordination/model/chunk.js';
import { MAX_OPEN_TASKS } from '../../src/coordination/persistence/openTaskBudget.js';
import { missingChunks } from '../../src/coordination/persistence/missingChunks.js';
import { startedChunkRecord } from '../support/jobSpec.js';
import { HomeShardFixture, ID } from '../support/homeShardFixture.js';

/** Number of reviews, after each of which all due writes are answered. */
const REVIEWS = 80;

async function review(fixture: HomeShardFixture, count = REVIEWS): Promise<void> {
  for (let i = 0; i < count; i++) {
    fixture.persistence.reconcileJobs();
    await fixture.runPasses(1);
  }
}

/** Marks the chunk's tasks as done but for the first, which has an attempt that runs for long. */
function leaveOneRunning(fixture: HomeShardFixture, chunk: Chunk): void {
  const { firstTask: task, endTask } = chunk;
  for (let done = task + 1; done < endTask; done++) chunk.doneTasks.add(done);
  chunk.attempts.set(task, {
    ...{ task, attemptNumber: 1, machine: 'n-1', agentEpoch: 1, chunkVersion: chunk.version + 1 },
    ...{ wasReported: true, isInherited: false, state: 'running', placedAt: 1, runningSince: 1 },
    ...{ startCommands: new StartCommands(), startSentInAnswer: false, stop: null },
  });
  fixture.ownedShard.shard.noteChunkChanged(chunk, fixture.now);
}

const services: { name: string; created: number; taskCount: number; zones: string[] }[] = [
  { name: 'accepted now', created: 2, taskCount: 80, zones: [] },
  { name: 'left short of chunks by an earlier version', created: 4, taskCount: 40, zones: [] },
  { name: 'of two zones', created: 4, taskCount: 80, zones: ['a', 'b'] },
  { name: 'of many chunks', created: 4, taskCount: 480, zones: [] },
];
for (const { name, created, taskCount, zones } of services) {
  // Guards against replicas beyond the fourth chunk that never started: no chunk of a service ends and makes way for another.
  test(`a service gets all of its chunks, although none of them ends: ${name}`, async () => {
    const fixture = new HomeShardFixture(created, { isService: true, taskCount }, zones);
    await review(fixture);
    assert.equal(fixture.chunks.length, taskCount / 8);
    assert.equal(fixture.stored.createdChunks, taskCount / 8);
  });
}

// Guards against replicas that wait at a shard without machines of their zone, until it asks its peers about blocked chunks.
test('the peers are asked at once about a chunk that is created after its job was accepted', async () => {
  const fixture = new HomeShardFixture(4, { isService: true, taskCount: 40 });
  await review(fixture, 2);
  assert.deepEqual(
    [0, 3, 4].map((index) => fixture.chunk(index).isNewlyCreated),
    [false, false, true],
  );
});

// Guards against an array that waits beside idle machines, because a few of its tasks run for long.
test('an array gets its next chunk while one long task is left of each chunk before', async () => {
  const fixture = new HomeShardFixture(4, { taskCount: 80 });
  for (const index of [0, 1, 2, 3]) leaveOneRunning(fixture, fixture.chunk(index));
  await review(fixture);
  assert.equal(fixture.stored.createdChunks, 8, 'four unstarted chunks besides those that run');
});

// Guards against the half of a spread array that waits, with its machines idle, for the zone of the other half.
test('the second half of a spread array is created while no machine takes the first', async () => {
  const fixture = new HomeShardFixture(2, { taskCount: 160 }, ['a', 'b']);
  await review(fixture);
  assert.equal(fixture.stored.createdChunks, 14, 'all ten of one zone, four of the other');
});

test('an array of which nothing can start has only a few chunks', async () => {
  const fixture = new HomeShardFixture(2, { taskCount: 800 });
  await review(fixture);
  assert.equal(fixture.stored.createdChunks, 4);
});

test('half of the replicas start if only one zone can run a spread service', async () => {
  const fixture = new HomeShardFixture(2, { isService: true, taskCount: 160 }, ['a', 'a']);
  await review(fixture);
  assert.equal(fixture.stored.createdChunks, 10);
});

test('chunks whose creation got no answer are created once, by the leader that finds them recorded', async () => {
  const fixture = new HomeShardFixture(2, { isService: true, taskCount: 80 });
  fixture.store.withholdNext = true;
  fixture.persistence.reconcileJobs();
  while (!fixture.store.hasWithheld) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.equal(fixture.store.applyWithheld().kind, 'applied');
  // The leader ends here. The next one loads the record, and no chunk but those that were stored.
  const loaded = missingChunks(ID, fixture.stored, fixture.ownedShard.shard.chunks, fixture.now);
  assert.equal(fixture.chunks.length + loaded.length, 10);
});

/** A chunk of another job, at another shard, that uses up the limit of open tasks. */
function useUpTaskLimit({ chunkIndex }: HomeShardFixture): void {
  const record = { ...startedChunkRecord(), firstTask: 0, endTask: MAX_OPEN_TASKS };
  chunkIndex.update('q', 'x', { chunks: { 'wk-2/0': record } }, 1);
}

// Guards against an array that never goes on, since a service of another user has used up the limit of open tasks for good.
test('an array is done although a service of another user uses up the limit of open tasks', async () => {
  const fixture = new HomeShardFixture(4, { taskCount: 80 });
  useUpTaskLimit(fixture);
  for (let index = 0; index < 10; index++) {
    await review(fixture, 2);
    fixture.complete(index);
  }
  await review(fixture, 4);
  assert.equal(fixture.stored.state, 'done');
});

test('a service has no more than four open chunks while others use up the limit of open tasks', async () => {
  const fixture = new HomeShardFixture(2, { isService: true, taskCount: 80 });
  useUpTaskLimit(fixture);
  await review(fixture, 20);
  assert.equal(fixture.stored.createdChunks, 4);
});
