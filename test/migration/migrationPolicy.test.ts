/** The choice of a shard for a job, by turnaround and utilisation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseShard, turnaround } from '../../src/coordination/migration/migrationPolicy.js';

test('turnaround and the factor gate, by the formula of the paper', () => {
  // max(wait, fetch) + run; output transfer is nothing.
  assert.equal(turnaround(12, 5, 30), 42);
  assert.equal(turnaround(3, 5, 30), 35);
  const at = (part: string, t: number, utilisation = 0.5): Parameters<typeof chooseShard>[0] => ({
    shard: part,
    wait: 0,
    turnaround: t,
    utilisation,
  });
  const options = { factor: 1.4, tolerance: 0.01 };
  const cases: [string, number, ReturnType<typeof at>[], string][] = [
    ['nobody answers', 100, [], 'home'],
    ['42 is within 1.4 times 30', 42, [at('b', 30)], 'home'],
    ['43 is not', 43, [at('b', 30)], 'b'],
    ['the smallest wins', 100, [at('b', 40), at('c', 30)], 'c'],
    [
      '30.2 is within 1 % of 30: the less used wins',
      100,
      [at('b', 30, 0.9), at('c', 30.2, 0.1)],
      'c',
    ],
    ['30.4 is not', 100, [at('b', 30, 0.9), at('c', 30.4, 0.1)], 'b'],
    ['no part can hold it', Infinity, [at('b', Infinity)], 'home'],
    ['home cannot hold it', Infinity, [at('b', 500)], 'b'],
  ];
  for (const [name, home, answers, part] of cases) {
    assert.equal(chooseShard(at('home', home), answers, options), part, name);
  }
});
