/** The times at which scheduling rounds run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulingRounds } from '../../src/coordination/scheduling/schedulingRounds.js';

const HEARTBEAT_S = 4;

for (const { name, duration, pause } of [
  { name: 'a short round', duration: 0.1, pause: 0.3 },
  { name: 'a round during which the process was suspended', duration: 14, pause: 2 },
]) {
  test(`a pause of limited length follows a scheduling round: ${name}`, async (t) => {
    t.mock.timers.enable({ apis: ['setTimeout'] });
    let now = 0;
    let roundCount = 0;
    const clock = { now: () => now, wall: () => now };
    const schedulingRounds = new SchedulingRounds(clock, HEARTBEAT_S, () => {
      roundCount++;
      if (roundCount === 1) now += duration;
    });
    schedulingRounds.request();
    t.mock.timers.tick(1000);
    assert.equal(roundCount, 1);
    schedulingRounds.request();
    t.mock.timers.tick(pause * 1000 - 10);
    assert.equal(roundCount, 1, 'heartbeats and requests of users are handled during the pause');
    t.mock.timers.tick(20);
    assert.equal(roundCount, 2);
    await Promise.resolve();
  });
}
