/** Parsing the plan of a rollout, and rejecting an invalid one before any controller is changed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkControllers, expandCommand, parsePlan, PlanError } from '../src/driver/plan.js';
import { planFor, planText } from './support/simulatedControllers.js';

test('a plan is parsed, with defaults for missing settings', () => {
  const plan = planFor(['a', 'b'], { concurrency: '', 'drain.timeout': '' });
  assert.deepEqual(plan.order, ['a', 'b']);
  assert.deepEqual(plan.command, ['replace', '{controller}', '{version}']);
  const {
    concurrency,
    drainsFirst: drains,
    drainTimeout,
    onFailure,
    autoFinalize: finalizes,
  } = plan;
  assert.deepEqual(
    { concurrency, drains, drainTimeout, onFailure, finalizes },
    { concurrency: 1, drains: true, drainTimeout: 30, onFailure: 'pause', finalizes: true },
  );
  assert.deepEqual(expandCommand(plan.command, 'a', plan.version), ['replace', 'a', '2.0']);
  assert.notEqual(plan.digest, planFor(['b', 'a']).digest);
});

test('an invalid plan is rejected with the reason', () => {
  const cases: [Record<string, string>, RegExp][] = [
    [{ order: 'a, b, a' }, /order names a twice/],
    [{ order: 'a, c' }, /order names c, and address\.c is missing/],
    [{ order: '' }, /order is missing/],
    [{ command: '' }, /command is missing/],
    [{ version: '' }, /version is missing/],
    [{ concurency: '1' }, /unknown key "concurency"; did you mean "concurrency"\?/],
    [{ concurrency: '0' }, /concurrency: expected a number of at least 1/],
    [{ concurrency: '1.5' }, /concurrency: expected a whole number/],
    [{ soak: 'long' }, /soak: expected a number of at least 0/],
    [{ 'on.failure': 'panic' }, /on\.failure: expected one of pause, rollback/],
    [{ drain: 'maybe' }, /drain: expected one of true, false/],
    [{ 'on.failure': 'rollback', 'rollback.command': '' }, /rollback\.command is missing/],
  ];
  for (const [changes, message] of cases) {
    assert.throws(
      () => parsePlan(planText(['a', 'b'], changes)),
      (error) => {
        assert.ok(error instanceof PlanError);
        assert.match(error.message, message);
        return true;
      },
    );
  }
});

test('a plan with controllers that are not in the cluster is rejected', () => {
  assert.throws(() => {
    checkControllers(planFor(['a', 'b']), ['a', 'c']);
  }, /b is no controller of this cluster \(a, c\)/);
});
