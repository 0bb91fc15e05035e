/** Constraints, best fit and the victims of preemption, with numbers calculated by hand. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import {
  satisfiesConstraints,
  bestFit,
  sampleCandidates,
  selectVictims,
} from '../../src/coordination/scheduling/placement.js';
import { jobSpec } from '../support/jobSpec.js';

const room = (cpus: number, memory = 64): { cpus: number; gpus: number; memoryGb: number } => ({
  cpus,
  gpus: 0,
  memoryGb: memory,
});

test('constraints of a job allow or exclude a machine', () => {
  const machine = { type: 'm8', zone: 'a', spot: true };
  const cases: [Parameters<typeof jobSpec>[0], string | null, boolean][] = [
    [{ allowsSpot: true }, null, true],
    [{ allowsSpot: false }, null, false],
    [{ allowsSpot: true, machineTypes: ['g8'] }, null, false],
    [{ allowsSpot: true, zone: 'b' }, null, false],
    [{ allowsSpot: true }, 'b', false],
    [{ allowsSpot: true, machineTypes: ['m8'], zone: 'a' }, 'a', true],
  ];
  for (const [changes, zone, expected] of cases) {
    assert.equal(
      satisfiesConstraints(jobSpec(changes), zone, machine),
      expected,
      JSON.stringify([changes, zone]),
    );
  }
});

test('best fit prefers a cached image, then the fewest resources left over; slow machines come last', () => {
  const machine = (name: string, cpus: number, hasImage: boolean, slowness = 1) => ({
    name,
    type: 'm8',
    zone: 'a',
    spot: false,
    free: room(cpus),
    slowness,
    serviceCpus: 0,
    hasImage: () => hasImage,
  });
  const pick = (...machines: ReturnType<typeof machine>[]): string | undefined =>
    bestFit(machines, jobSpec({ cpus: 2 }))?.name;
  assert.equal(pick(machine('a', 8, true), machine('b', 4, true)), 'b');
  assert.equal(pick(machine('a', 8, true), machine('b', 4, false)), 'a');
  assert.equal(pick(machine('a', 8, true, 3), machine('b', 8, false)), 'b');
  assert.equal(pick(), undefined);
  // Replicas are spread, but not onto a machine that could be released if it stays without services.
  const withServices = (name: string, serviceCpus: number) => ({
    ...machine(name, 8, true),
    serviceCpus,
  });
  const replica = jobSpec({ cpus: 2, isService: true });
  assert.equal(bestFit([withServices('a', 4), withServices('b', 2)], replica)?.name, 'b');
  assert.equal(bestFit([withServices('a', 0), withServices('b', 6)], replica)?.name, 'b');
  const many = Array.from({ length: 20 }, (_, i) => machine(`m${i}`, 8, i === 13));
  const sampled = sampleCandidates(many, 'img', 3, seededRandom(1));
  assert.equal(sampled.length, 4);
  assert.ok(sampled.some((m) => m.name === 'm13'));
});

test('victims have a lower rank, and those of the lowest rank and loss are selected first', () => {
  const running = [
    { rank: 1, resources: room(4, 1), loss: 20 },
    { rank: 1, resources: room(4, 1), loss: 5 },
    { rank: 0, resources: room(2, 1), loss: 90 },
    { rank: 3, resources: room(8, 1), loss: 0 },
  ];
  const losses = (cpus: number, rank: number): number[] | undefined =>
    selectVictims(room(0), room(cpus, 0), running, rank)?.map((v) => v.loss);
  assert.deepEqual(losses(2, 3), [90]);
  assert.deepEqual(losses(4, 3), [90, 5]);
  assert.deepEqual(losses(2, 1), [90]);
  assert.equal(losses(4, 1), undefined);
  assert.equal(losses(11, 3), undefined);
});
