/** When rounds of decisions take place. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulingRounds } from '../../src/coordination/scheduling/schedulingRounds.js';

const REPORT_S = 4;

for (const { name, took, rest } of [
  { name: 'a short one', took: 0.1, rest: 0.3 },
  { name: 'one in which the process stood still', took: 14, rest: 2 },
]) {
  test(`after a round there is a rest, but never a long one: ${name}`, async (t) => {
    t.mock.timers.enable({ apis: ['setTimeout'] });
    let now = 0;
    let rounds = 0;
    const clock = { now: () => now, wall: () => now };
    const decisions = new SchedulingRounds(clock, REPORT_S, () => {
      rounds++;
      if (rounds === 1) now += took;
    });
    decisions.request();
    t.mock.timers.tick(1000);
    assert.equal(rounds, 1);
    decisions.request();
    t.mock.timers.tick(rest * 1000 - 10);
    assert.equal(rounds, 1, 'reports and users get their turn');
    t.mock.timers.tick(20);
    assert.equal(rounds, 2);
    await Promise.resolve();
  });
}
