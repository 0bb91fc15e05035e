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
async function loadedCache(answers: (ChangeLog | null | Promise<ChangeLog>)[]) {
  const requests: string[] = [];
  const client = {
    readRange: () => {
      requests.push('all');
      return Promise.resolve({
        items: [{ key: 'b/job/1', value: {}, revision: 10 }],
        revision: 10,
      });
    },
    readChanges: (_: string, from: number, hold: number) => {
      requests.push(`after ${from} for ${hold}`);
      const answer = answers.shift();
      return answer === undefined ? new Promise<never>(() => undefined) : Promise.resolve(answer);
    },
  };
  const options = { hold: 5, pause: 0 };
  const cache = new StateCache(client, 'b/', { now: () => 0 }, options, () => undefined);
  await cache.load();
  requests.length = 0;
  return { cache, requests };
}

for (const { name, answer, requests, cachedKeys } of [
  {
    name: 'only the changes since the cached revision are read',
    answer: { revision: 12, changes: [put('b/job/2', 11), put('b/own/p', 12)] },
    requests: ['after 10 for 0'],
    cachedKeys: ['b/job/1', 'b/job/2', 'b/own/p'],
  },
  {
    name: 'removed records are dropped',
    answer: { revision: 13, changes: [put('b/own/p', 12), remove('b/job/1', 13)] },
    requests: ['after 10 for 0'],
    cachedKeys: ['b/own/p'],
  },
  {
    name: 'all records are read if the answer is older than the leader record',
    answer: { revision: 11, changes: [put('b/job/2', 11)] },
    requests: ['after 10 for 0', 'all'],
    cachedKeys: ['b/job/1'],
  },
  {
    name: 'all records are read if the service no longer keeps the changes',
    answer: null,
    requests: ['after 10 for 0', 'all'],
    cachedKeys: ['b/job/1'],
  },
]) {
  test(`the cache of a new leader whose leader record was written at revision 12: ${name}`, async () => {
    const fixture = await loadedCache([answer]);
    await fixture.cache.catchUp(12);
    assert.deepEqual(fixture.requests, requests);
    const keys = ['b/job/1', 'b/job/2', 'b/own/p'];
    assert.deepEqual(
      keys.filter((key) => fixture.cache.get(key) !== undefined),
      cachedKeys,
    );
  });
}

test('an empty cache reads all records', async () => {
  const fixture = await loadedCache([]);
  const fresh = new StateCache(
    {
      readRange: () => {
        fixture.requests.push('all');
        return Promise.resolve({ items: [], revision: 12 });
      },
      readChanges: () =>
        Promise.reject(new Error('readChanges was called without a cached revision')),
    },
    'b/',
    { now: () => 0 },
    { hold: 5, pause: 0 },
    () => undefined,
  );
  await fresh.catchUp(12);
  assert.deepEqual(fixture.requests, ['all']);
});

test('an outdated answer of the watch does not restore a removed record', async () => {
  let answerWatch: (log: ChangeLog) => void = () => undefined;
  const watch = new Promise<ChangeLog>((resolve) => (answerWatch = resolve));
  const outdated = { revision: 11, changes: [put('b/run/p/1', 11)] };
  const newer = { revision: 13, changes: [put('b/run/p/1', 11), remove('b/run/p/1', 12)] };
  const { cache } = await loadedCache([watch, newer]);
  void cache.run();
  await cache.catchUp(13);
  answerWatch(outdated);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(cache.get('b/run/p/1'), undefined);
  cache.stop();
});

test('a read that is older than the watch does not restore a removed record', async () => {
  const { cache } = await loadedCache([
    { revision: 20, changes: [put('b/own/p', 15), remove('b/own/p', 18)] },
  ]);
  await cache.catchUp(20);
  // The late answer to a read of one record from before its removal.
  cache.applyPut('b/own/p', {}, 15);
  assert.equal(cache.get('b/own/p'), undefined);
  cache.applyPut('b/own/p', {}, 21);
  assert.equal(cache.get('b/own/p')?.revision, 21);
});

test('an outdated read of all records does not revert the cache', async () => {
  type Read = { items: { key: string; value: unknown; revision: number }[]; revision: number };
  const reads: ((read: Read) => void)[] = [];
  const requests: number[] = [];
  const client = {
    readRange: () => new Promise<Read>((resolve) => reads.push(resolve)),
    readChanges: (_: string, from: number) => {
      requests.push(from);
      return new Promise<never>(() => undefined);
    },
  };
  const options = { hold: 5, pause: 0 };
  const cache = new StateCache(client, 'b/', { now: () => 0 }, options, () => undefined);
  const slow = cache.load();
  const quick = cache.load();
  const job = { key: 'b/job/1', value: {}, revision: 5 };
  reads[1]?.({ items: [job], revision: 30 });
  await quick;
  reads[0]?.({ items: [job, { key: 'b/run/p/1', value: {}, revision: 9 }], revision: 10 });
  await slow;
  assert.equal(cache.get('b/run/p/1'), undefined, 'its chunks are at another shard by now');
  void cache.run();
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(requests, [30]);
  cache.stop();
});

test("the node's own removal is not undone by an answer of the watch from before it", async () => {
  const { cache } = await loadedCache([
    { revision: 15, changes: [put('b/run/p/1', 15)] },
    { revision: 30, changes: [remove('b/run/p/1', 20), put('b/run/p/1', 30)] },
  ]);
  cache.applyPut('b/run/p/1', {}, 15);
  cache.applyRemoval('b/run/p/1', 20);
  await cache.catchUp(15);
  assert.equal(cache.get('b/run/p/1'), undefined, 'its chunks are at another shard by now');
  await cache.catchUp(30);
  assert.equal(cache.get('b/run/p/1')?.revision, 30, 'it was created again after the removal');
});
