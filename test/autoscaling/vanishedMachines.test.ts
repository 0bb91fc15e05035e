/**
 * Machines that are gone according to the cloud's lists. Guards against records of gone machines that stay, and against the
 * release of healthy machines that a late list does not name.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { VanishedMachines } from '../../src/coordination/autoscaling/vanishedMachines.js';

const LAG_S = 6;

interface List {
  at: number;
  names: string[];
}

const cases: { name: string; recorded?: string[]; lists: List[]; gone: string[] }[] = [
  {
    name: 'a machine that was just launched is not listed yet',
    lists: [
      { at: 0, names: [] },
      { at: LAG_S * 2, names: [] },
    ],
    gone: [],
  },
  {
    name: 'a list that certainly describes a later moment does not name it',
    lists: [
      { at: 0, names: [] },
      { at: LAG_S * 2 + 1, names: [] },
    ],
    gone: ['n-1'],
  },
  {
    name: 'a list older than the one before does not name it',
    lists: [
      { at: 0, names: [] },
      { at: 30, names: ['n-1'] },
      { at: 35, names: [] },
    ],
    gone: [],
  },
  {
    name: 'it was listed, and is not for longer than a list lags',
    lists: [
      { at: 0, names: ['n-1'] },
      { at: 30, names: ['n-1'] },
      { at: 30 + LAG_S * 2 + 1, names: [] },
    ],
    gone: ['n-1'],
  },
  {
    name: 'it is listed again after all',
    lists: [
      { at: 0, names: ['n-1'] },
      { at: 30, names: [] },
      { at: 35, names: ['n-1'] },
    ],
    gone: [],
  },
  {
    name: 'it is not recorded',
    recorded: [],
    lists: [
      { at: 0, names: [] },
      { at: 100, names: [] },
    ],
    gone: [],
  },
];

for (const { name, recorded = ['n-1'], lists, gone } of cases) {
  test(`gone according to the cloud's lists: ${name}`, () => {
    const vanished = new VanishedMachines(LAG_S);
    for (const { at, names } of lists)
      vanished.noteList(recorded, (machine) => names.includes(machine), at, at);
    assert.deepEqual(vanished.names, gone);
  });
}

test('an existing machine is never found to be gone, however late and out of order the lists are', () => {
  const arrivals = fc.array(
    fc.record({
      delay: fc.double({ min: 0, max: 20, noNaN: true }),
      lag: fc.double({ min: 0, max: 2, noNaN: true }),
    }),
    { minLength: 1, maxLength: 30 },
  );
  fc.assert(
    fc.property(arrivals, fc.double({ min: 0, max: 60, noNaN: true }), (lists, launchedAt) => {
      const vanished = new VanishedMachines(LAG_S);
      let now = 0;
      for (const { delay, lag } of lists) {
        now += delay;
        // The machine is recorded once its launch request has been answered.
        const recorded = now >= launchedAt ? ['n-1'] : [];
        const describedAt = now - lag * LAG_S;
        vanished.noteList(recorded, () => describedAt >= launchedAt, now, now);
        assert.deepEqual(vanished.names, []);
      }
    }),
  );
});
