/** The average rate of arriving work. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ArrivalRate } from '../../src/coordination/scheduling/arrivalRate.js';

test('the arrival rate equals that of a steady stream of work, and decays to zero without arrivals', () => {
  const arrivals = new ArrivalRate(100);
  for (let t = 0; t < 1000; t++) arrivals.record(50, t);
  assert.ok(Math.abs(arrivals.rate(1000) - 50) < 2);
  assert.ok(arrivals.rate(1500) < 1);
});
