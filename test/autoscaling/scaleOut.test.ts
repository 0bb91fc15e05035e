/** Sizes of launch requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { requestSizes } from '../../src/coordination/autoscaling/scaleOut.js';

test('a large scale-out is split into several requests, and is a single probe if the kind was out of stock', () => {
  const cases: [number, number, boolean, number[]][] = [
    [30, 13, false, [13, 13, 4]],
    [30, 13, true, [13]],
    [5, 13, true, [5]],
    [0, 13, false, []],
  ];
  for (const [count, limit, wasOutOfStock, sizes] of cases) {
    assert.deepEqual(requestSizes(count, limit, wasOutOfStock), sizes);
  }
});
