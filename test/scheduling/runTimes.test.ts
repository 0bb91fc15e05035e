/** Expected run times, corrected by measured ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunTimes } from '../../src/coordination/scheduling/runTimes.js';

test('estimated run times are corrected by the median of the measured ones', () => {
  const times = new RunTimes();
  for (const actual of [20, 21, 20, 19]) times.record('c', 10, actual);
  assert.equal(times.expected('c', 10), 10, 'four run times are not enough for a correction');
  times.record('c', 10, 400);
  assert.ok(Math.abs(times.expected('c', 10) - 20) < 2);
  assert.equal(times.expected('other', 10), 10);
});
