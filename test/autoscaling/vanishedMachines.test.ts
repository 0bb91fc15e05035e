/**
 * Machines that are gone by the cloud's lists. Guards against records of machines that nobody gives up, and against the release
 * of healthy machines that a late list does not name.
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
    name: 'a machine that was just rented is not listed yet',
    lists: [
      { at: 0, names: [] },
      { at: LAG_S * 2, names: [] },
    ],
    gone: [],
  },
  {
    name: 'no list that surely describes a later moment names it',
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
    name: 'nobody records it',
    recorded: [],
    lists: [
      { at: 0, names: [] },
      { at: 100, names: [] },
    ],
    gone: [],
  },
];

for (const { name, recorded = ['n-1'], lists, gone } of cases) {
  test(`gone by the cloud's lists: ${name}`, () => {
    const vanished = new VanishedMachines(LAG_S);
    for (const { at, names } of lists)
      vanished.noteList(recorded, (machine) => names.includes(machine), at, at);
    assert.deepEqual(vanished.names, gone);
  });
}

test('a machine that exists is never taken for gone, however late and disordered the lists are', () => {
  const arrivals = fc.array(
    fc.record({
      pause: fc.double({ min: 0, max: 20, noNaN: true }),
      lag: fc.double({ min: 0, max: 2, noNaN: true }),
    }),
    { minLength: 1, maxLength: 30 },
  );
  fc.assert(
    fc.property(arrivals, fc.double({ min: 0, max: 60, noNaN: true }), (lists, rentedAt) => {
      const vanished = new VanishedMachines(LAG_S);
      let now = 0;
      for (const { pause, lag } of lists) {
        now += pause;
        // It is recorded once the rental has been answered.
        const recorded = now >= rentedAt ? ['n-1'] : [];
        const describes = now - lag * LAG_S;
        vanished.noteList(recorded, () => describes >= rentedAt, now, now);
        assert.deepEqual(vanished.names, []);
      }
    }),
  );
});
