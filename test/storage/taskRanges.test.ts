/** Ranges of tasks in stored records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fromRanges, toRanges } from '../../src/storage/records.js';

test('done tasks are stored as half-open ranges', () => {
  const ranges = toRanges([0, 1, 2, 5, 7, 8]);
  assert.deepEqual(ranges, [0, 3, 5, 6, 7, 9]);
  assert.deepEqual([...fromRanges(ranges)], [0, 1, 2, 5, 7, 8]);
});
