/** The choice of a shard for a job by turnaround and utilisation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseShard, turnaround } from '../../src/coordination/migration/migrationPolicy.js';

test('the choice follows the turnaround formula of the paper and the factor', () => {
  // max(wait, fetch) + run; there is no output transfer.
  assert.equal(turnaround(12, 5, 30), 42);
  assert.equal(turnaround(3, 5, 30), 35);
  const estimate = (
    shard: string,
    seconds: number,
    utilisation = 0.5,
  ): Parameters<typeof chooseShard>[0] => ({
    shard,
    wait: 0,
    turnaround: seconds,
    utilisation,
  });
  const options = { factor: 1.4, tolerance: 0.01 };
  const cases: [string, number, ReturnType<typeof estimate>[], string][] = [
    ['no peer answers', 100, [], 'home'],
    ['42 is within 1.4 times 30', 42, [estimate('b', 30)], 'home'],
    ['43 is not', 43, [estimate('b', 30)], 'b'],
    ['the shortest turnaround wins', 100, [estimate('b', 40), estimate('c', 30)], 'c'],
    [
      '30.2 is within 1 % of 30: the lower utilisation wins',
      100,
      [estimate('b', 30, 0.9), estimate('c', 30.2, 0.1)],
      'c',
    ],
    ['30.4 is not', 100, [estimate('b', 30, 0.9), estimate('c', 30.4, 0.1)], 'b'],
    ['no shard can hold the job', Infinity, [estimate('b', Infinity)], 'home'],
    ['the home shard cannot hold the job', Infinity, [estimate('b', 500)], 'b'],
  ];
  for (const [name, homeTurnaround, answers, shard] of cases) {
    assert.equal(chooseShard(estimate('home', homeTurnaround), answers, options), shard, name);
  }
});
