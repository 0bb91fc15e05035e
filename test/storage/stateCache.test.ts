/** The cache of the state service's records: what it requests, and that late answers do not revert it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { KeyValueChange } from '../../src/protocol/stateProtocol.js';
import { StateCache, type ChangeLog } from '../../src/storage/stateCache.js';

const put = (key: string, revision: number): KeyValueChange => ({
  key,
  value: {},
  revision,
  removed: false,
});
const remove = (key: string, revision: number): KeyValueChange => ({
  key,
  value: null,
  revision,
  removed: true,
});

/** Returns a cache that has loaded `b/job/1` at revision 10, and the list of its requests from then on. */
async function loaded(answers: (ChangeLog | null | Promise<ChangeLog>)[]) {
  const asked: string[] = [];
  const client = {
    readRange: () => {
      asked.push('all');
      return Promise.resolve({
        items: [{ key: 'b/job/1', value: {}, revision: 10 }],
        revision: 10,
      });
    },
    readChanges: (_: string, from: number, hold: number) => {
      asked.push(`after ${from} for ${hold}`);
      const answer = answers.shift();
      return answer === undefined ? new Promise<never>(() => undefined) : Promise.resolve(answer);
    },
  };
  const options = { hold: 5, pause: 0 };
  const replica = new StateCache(client, 'b/', { now: () => 0 }, options, () => undefined);
  await replica.load();
  asked.length = 0;
  return { replica, asked };
}

for (const { name, answer, asked, known } of [
  {
    name: 'only the changes since the cached revision are read',
    answer: { revision: 12, changes: [put('b/job/2', 11), put('b/own/p', 12)] },
    asked: ['after 10 for 0'],
    known: ['b/job/1', 'b/job/2', 'b/own/p'],
  },
  {
    name: 'removed records are dropped',
    answer: { revision: 13, changes: [put('b/own/p', 12), remove('b/job/1', 13)] },
    asked: ['after 10 for 0'],
    known: ['b/own/p'],
  },
  {
    name: 'all records are read if the answer is older than the leader record',
    answer: { revision: 11, changes: [put('b/job/2', 11)] },
    asked: ['after 10 for 0', 'all'],
    known: ['b/job/1'],
  },
  {
    name: 'all records are read if the service no longer keeps the changes',
    answer: null,
    asked: ['after 10 for 0', 'all'],
    known: ['b/job/1'],
  },
]) {
  test(`the cache of a new leader whose leader record was written at revision 12: ${name}`, async () => {
    const fixture = await loaded([answer]);
    await fixture.replica.catchUp(12);
    assert.deepEqual(fixture.asked, asked);
    const keys = ['b/job/1', 'b/job/2', 'b/own/p'];
    assert.deepEqual(
      keys.filter((key) => fixture.replica.get(key) !== undefined),
      known,
    );
  });
}

test('an empty cache reads all records', async () => {
  const fixture = await loaded([]);
  const fresh = new StateCache(
    {
      readRange: () => {
        fixture.asked.push('all');
        return Promise.resolve({ items: [], revision: 12 });
      },
      readChanges: () => Promise.reject(new Error('not asked for')),
    },
    'b/',
    { now: () => 0 },
    { hold: 5, pause: 0 },
    () => undefined,
  );
  await fresh.catchUp(12);
  assert.deepEqual(fixture.asked, ['all']);
});

test('an outdated answer of the watch does not restore a removed record', async () => {
  let answerWatch: (log: ChangeLog) => void = () => undefined;
  const watch = new Promise<ChangeLog>((resolve) => (answerWatch = resolve));
  const late = { revision: 11, changes: [put('b/run/p/1', 11)] };
  const newer = { revision: 13, changes: [put('b/run/p/1', 11), remove('b/run/p/1', 12)] };
  const { replica } = await loaded([watch, newer]);
  void replica.run();
  await replica.catchUp(13);
  answerWatch(late);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(replica.get('b/run/p/1'), undefined);
  replica.stop();
});

test('a read that is older than the watch does not restore a removed record', async () => {
  const { replica } = await loaded([
    { revision: 20, changes: [put('b/own/p', 15), remove('b/own/p', 18)] },
  ]);
  await replica.catchUp(20);
  // The late answer to a read of one record from before its removal.
  replica.note('b/own/p', {}, 15);
  assert.equal(replica.get('b/own/p'), undefined);
  replica.note('b/own/p', {}, 21);
  assert.equal(replica.get('b/own/p')?.revision, 21);
});

test('an outdated read of all records does not revert the cache', async () => {
  type Read = { items: { key: string; value: unknown; revision: number }[]; revision: number };
  const reads: ((read: Read) => void)[] = [];
  const asked: number[] = [];
  const client = {
    readRange: () => new Promise<Read>((resolve) => reads.push(resolve)),
    readChanges: (_: string, from: number) => {
      asked.push(from);
      return new Promise<never>(() => undefined);
    },
  };
  const options = { hold: 5, pause: 0 };
  const replica = new StateCache(client, 'b/', { now: () => 0 }, options, () => undefined);
  const slow = replica.load();
  const quick = replica.load();
  const job = { key: 'b/job/1', value: {}, revision: 5 };
  reads[1]?.({ items: [job], revision: 30 });
  await quick;
  reads[0]?.({ items: [job, { key: 'b/run/p/1', value: {}, revision: 9 }], revision: 10 });
  await slow;
  assert.equal(replica.get('b/run/p/1'), undefined, 'its chunks are at another part by now');
  void replica.run();
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(asked, [30]);
  replica.stop();
});

test("the node's own removal is not undone by an answer of the watch from before it", async () => {
  const { replica } = await loaded([
    { revision: 15, changes: [put('b/run/p/1', 15)] },
    { revision: 30, changes: [remove('b/run/p/1', 20), put('b/run/p/1', 30)] },
  ]);
  replica.note('b/run/p/1', {}, 15);
  replica.noteRemoved('b/run/p/1', 20);
  await replica.catchUp(15);
  assert.equal(replica.get('b/run/p/1'), undefined, 'its chunks are at another part by now');
  await replica.catchUp(30);
  assert.equal(replica.get('b/run/p/1')?.revision, 30, 'it was created again after the removal');
});
