/** The features file, the feature table and the operations on the level. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FeatureFileError, parseFeatureFile } from '../src/featureSwitches.js';
import { FeatureTable, FeatureTableError } from '../src/levels.js';
import { planOperation, type Operation } from '../src/operations.js';
import { initialVersion, type ClusterVersion } from '../src/records.js';
import { features } from './support/features.js';

const known = ['rollout', 'compressed', 'merged'];

test('the features file enables the features that it names, and all others are off', () => {
  const cases: [string, string[]][] = [
    ['', []],
    ['[features]\n', []],
    ['[features]\nrollout = true\ncompressed = false\n', ['rollout']],
    ['[features]\nrollout = true\nmerged = true\n', ['merged', 'rollout']],
  ];
  for (const [text, names] of cases) {
    assert.deepEqual(parseFeatureFile(text, known).names, names, text);
  }
});

test('an invalid features file is rejected, with a suggestion for a misspelt name', () => {
  const cases: [string, RegExp][] = [
    ['[features]\nrolout = true\n', /unknown feature "rolout"; did you mean "rollout"\?/],
    ['[features]\ncompresed = true\n', /did you mean "compressed"\?/],
    ['[features]\nrollout = "yes"\n', /rollout: expected true or false/],
    ['[feature]\nrollout = true\n', /unknown table or key "feature"/],
    ['features = 3\n', /\[features\] is not a table/],
    ['[features\n', /not TOML/],
  ];
  for (const [text, message] of cases) {
    assert.throws(
      () => parseFeatureFile(text, known),
      (error) => {
        assert.ok(error instanceof FeatureFileError);
        assert.match(error.message, message);
        return true;
      },
    );
  }
});

test('the enabled level ends below the first feature that is off', () => {
  const cases: [string[], number][] = [
    [[], 2],
    [['compressed'], 3],
    [['merged'], 2],
    [['compressed', 'merged'], 4],
  ];
  for (const [on, level] of cases) {
    assert.equal(
      features.enabledLevel((name) => on.includes(name)),
      level,
      on.join(),
    );
  }
});

test('a feature table without features, or with a duplicate name or level, is rejected', () => {
  const one = { name: 'a', level: 1, writes: '', undo: null, isSwitchable: false };
  const invalidTables = [[], [one, { ...one, level: 2 }], [one, { ...one, name: 'b' }]];
  for (const table of invalidTables)
    assert.throws(() => new FeatureTable(table), FeatureTableError);
});

const at = (changes: Partial<ClusterVersion>): ClusterVersion => ({
  ...initialVersion(2),
  ...changes,
});
const hold = { by: 'anna', reason: 'one more day', at: 5 };

test('operations change the version or are rejected with a reason', () => {
  const level3 = at({ level: 3, target: 3, proposal: 2, walk: 1, verified: 2 });
  const lower = (to: number, isConfirmed = true): Operation => ({
    ...{ kind: 'lower', to, by: 'anna', isConfirmed },
  });
  const cases: [ClusterVersion, Operation, Partial<ClusterVersion> | RegExp][] = [
    [at({}), { kind: 'hold', by: 'anna', reason: 'one more day' }, { hold: { ...hold, at: 9 } }],
    [at({ hold }), { kind: 'hold', by: 'ben', reason: 'x' }, /held by anna already/],
    [at({ hold }), { kind: 'finalize', by: null }, { hold: null }],
    [at({ hold }), { kind: 'finalize', by: 'ben' }, /held by anna/],
    [at({}), { kind: 'finalize', by: null }, /nothing holds/],
    [at({ walk: 2 }), { kind: 'retry' }, { walk: 3, verified: 0 }],
    [level3, lower(2), { phase: 'lowering', target: 2, proposal: 3, walk: 2, verified: 0 }],
    [level3, lower(2, false), /takes back compressed: written plainly again\. Confirm/],
    [level3, lower(3), /can be lowered to 2 at least/],
    [level3, lower(1), /can be lowered to 2 at least/],
    [level3, lower(Number.NaN), /can be lowered to 2 at least/],
    [at({ phase: 'raising', target: 3 }), lower(2), /raising just now/],
  ];
  for (const [version, operation, expected] of cases) {
    const planned = planOperation(version, operation, features, 9);
    if (expected instanceof RegExp)
      assert.match('reason' in planned ? planned.reason : '', expected);
    else {
      const changed = 'version' in planned ? planned.version : null;
      assert.deepEqual({ ...changed, ...expected }, changed, operation.kind);
    }
  }
});

test('the level is not lowered below an irreversible feature', () => {
  const irreversible = new FeatureTable([
    { name: 'a', level: 1, writes: '', undo: null, isSwitchable: false },
    { name: 'b', level: 2, writes: '', undo: null, isSwitchable: false },
  ]);
  const operation: Operation = { kind: 'lower', to: 1, by: 'anna', isConfirmed: true };
  const planned = planOperation(at({}), operation, irreversible, 0);
  assert.deepEqual(planned, { reason: 'b (level 2) cannot be taken back' });
});

test('a lowered level is held, so that it does not rise again immediately', () => {
  const operation: Operation = { kind: 'lower', to: 2, by: 'anna', isConfirmed: true };
  const planned = planOperation(at({ level: 3, target: 3 }), operation, features, 9);
  assert.ok('version' in planned);
  assert.equal(planned.version.hold?.by, 'anna');
});
