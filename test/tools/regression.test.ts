/** Tests of the comparison that decides whether a change made a measured result worse. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  brokenRules,
  findRegressions,
  entriesOfLastSources,
  type ScoredDay,
  type ScoreEntry,
} from '../regression/comparison.js';

const day = (wait: number, price: number, changes: Partial<ScoredDay> = {}): ScoredDay => ({
  ...{ name: 'rough', score: 0.7, rules: {} },
  aims: [
    [`wait calendar 1 s: ${wait} (aim 0.92)`, 0.5],
    [`price: ${price} (aim 2)`, 0.5],
  ],
  ...changes,
});

const entry = (id: string, head: string, days: ScoredDay[], score = 0.75): ScoreEntry => ({
  ...{ id, head, days, score, cmd: 'score', at: [], site: 's', ok: true, error: null, tree: {} },
});

test('a result counts as fallen when it is more than 0.03 below the lowest of the last sources', () => {
  const recorded = [entry('a', 'x', [day(0.9, 1.6)]), entry('b', 'x', [day(0.88, 1.5)], 0.72)];
  const cases: [ScoreEntry, string[]][] = [
    [entry('c', 'y', [day(0.86, 1.62)], 0.7), []],
    [entry('c', 'y', [day(0.84, 1.6)]), ['rough, wait calendar 1 s']],
    [entry('c', 'y', [day(0.9, 1.7)]), ['rough, price']],
    [entry('c', 'y', [day(0.9, 1.5, { score: 0.6 })], 0.6), ['score', 'rough']],
    [entry('c', 'y', [day(0.2, 9, { name: 'fresh-1', score: 0 })]), []],
  ];
  for (const [now, expected] of cases) {
    assert.deepEqual(
      findRegressions(recorded, now).map(({ figure: what }) => what),
      expected,
    );
  }
});

test('broken rules are listed, and only completed scores of the last sources are used for comparison', () => {
  assert.deepEqual(brokenRules(entry('a', 'x', [day(1, 1, { rules: { quota: 2 } })])), [
    'rough: quota',
  ]);
  const entries = [
    entry('a', 'x', []),
    entry('b', 'y', []),
    { ...entry('c', 'y', []), cmd: 'run' },
    { ...entry('d', 'y', []), ok: false },
    entry('e', 'y', []),
    { ...entry('f', 'y', []), site: 'other' },
  ];
  assert.deepEqual(
    entriesOfLastSources(entries, 's').map(({ id }) => id),
    ['b', 'e'],
  );
});
