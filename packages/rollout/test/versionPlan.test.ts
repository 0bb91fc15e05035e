/** Planning the next change of the cluster's version, case by case. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { initialVersion, rolloutKeys, type ClusterVersion, type Presence } from '../src/records.js';
import {
  maxNodesPerTransaction,
  planVersion,
  type BlockerCause,
  type ClusterSnapshot,
  type Decision,
  type NodeView,
} from '../src/versionPlan.js';
import { features } from './support/features.js';

const options = { features, presenceKey: rolloutKeys.presence, barrierMinLevel: 3 };

const presence = (changes: Partial<Presence> = {}): Presence => ({
  ...{ min: 2, max: 3, wants: 3, process: 'x', answer: 0 },
  ...changes,
});

function node(label: string, value: Presence | null, changes: Partial<NodeView> = {}): NodeView {
  const stored = value === null ? null : { value, revision: 10 };
  return { label, presence: stored, hasPublished: true, observedProcess: null, ...changes };
}

function snapshot(
  version: Partial<ClusterVersion>,
  nodes: NodeView[],
  changes: Partial<ClusterSnapshot> = {},
): ClusterSnapshot {
  return {
    version: { ...initialVersion(2), ...version },
    damage: null,
    versionCondition: { key: rolloutKeys.version, revision: 3 },
    nodes,
    owners: nodes.map(({ label }) => ({
      shard: label,
      key: `b/own/${label}`,
      revision: 7,
      owner: { node: label, process: 'x' },
    })),
    migration: { unfinished: [], quarantined: [] },
    ...changes,
  };
}

const two = (value: Presence): NodeView[] => [node('a', value), node('b', value)];
const raising = { phase: 'raising' as const, target: 3, proposal: 1 };
const lowering = { level: 3, target: 2, phase: 'lowering' as const, proposal: 5, walk: 2 };
const hold = { by: 'anna', reason: 'wait', at: 0 };

test('the blockers of a raise are reported', () => {
  const good = presence();
  const cases: [string, NodeView, BlockerCause][] = [
    ['down', node('b', null), 'away'],
    ['new in the settings', node('b', null, { hasPublished: false }), 'never-seen'],
    ['back with an old build', node('b', null, { observedProcess: 'y' }), 'publishes-no-levels'],
    ['messages from another process', node('b', good, { observedProcess: 'y' }), 'other-process'],
    ['too old', node('b', presence({ max: 2, wants: 2 })), 'cannot-read'],
    ['too new', node('b', presence({ min: 4, max: 5, wants: 5 })), 'cannot-read'],
    ['not switched on', node('b', presence({ wants: 2 })), 'switched-off'],
  ];
  for (const [what, other, cause] of cases) {
    const decision = planVersion(snapshot({}, [node('a', good), other]), options);
    assert.equal(decision.kind, 'wait', what);
    const blockers = decision.kind === 'wait' ? decision.blockers : [];
    assert.deepEqual(
      blockers.map((blocker) => [blocker.subject, blocker.cause]),
      [['b', cause]],
      what,
    );
  }
});

const transitionOf = (decision: Decision): string =>
  decision.kind === 'change' ? decision.transition : decision.kind;

test('each phase continues only when all of its preconditions hold', () => {
  const answered = presence({ answer: 1 });
  const owner = { shard: 'a', key: 'b/own/a', revision: 1, owner: { node: 'a', process: 'old' } };
  const cases: [string, ClusterSnapshot, string][] = [
    ['all read the next level', snapshot({}, two(presence())), 'propose'],
    ['held', snapshot({ hold }, two(presence())), 'wait'],
    ['nobody has answered', snapshot(raising, two(presence())), 'wait'],
    ['all have answered', snapshot(raising, two(answered)), 'raise'],
    ['held meanwhile', snapshot({ ...raising, hold }, two(answered)), 'withdraw'],
    [
      'one came back older',
      snapshot(raising, [node('a', answered), node('b', presence({ max: 2 }))]),
      'withdraw',
    ],
    ['one is down', snapshot(raising, [node('a', answered), node('b', null)]), 'wait'],
    ['owned by an old process', snapshot(raising, two(answered), { owners: [owner] }), 'wait'],
    [
      'raised, and walked through',
      snapshot({ level: 3, target: 3, proposal: 2, walk: 1 }, two(presence({ answer: 2 }))),
      'verify',
    ],
    [
      'verified, and there is a level more that nobody reads',
      snapshot(
        { level: 3, target: 3, proposal: 2, walk: 1, verified: 2 },
        two(presence({ answer: 2 })),
      ),
      'wait',
    ],
    ['not all write the old form', snapshot(lowering, two(presence({ answer: 4 }))), 'wait'],
    ['all do', snapshot(lowering, two(presence({ answer: 5 }))), 'verify'],
    ['proven', snapshot({ ...lowering, verified: 5 }, two(presence({ answer: 5 }))), 'lower'],
    [
      'proven, and one has come since',
      snapshot({ ...lowering, verified: 5 }, two(presence({ answer: 0 }))),
      'wait',
    ],
  ];
  for (const [what, given, expected] of cases) {
    assert.equal(transitionOf(planVersion(given, options)), expected, what);
  }
});

test('an unfinished migration pass and quarantined records block the verification of a level', () => {
  for (const migration of [
    { unfinished: ['a'], quarantined: [] },
    { unfinished: [], quarantined: ['b/job/x'] },
  ]) {
    const given = snapshot({ ...lowering, verified: 0 }, two(presence({ answer: 5 })), {
      migration,
    });
    assert.equal(planVersion(given, options).kind, 'wait');
  }
});

test('a raise is conditional on the revisions of all observed records, and writes the barrier', () => {
  const decision = planVersion(snapshot(raising, two(presence({ answer: 1 }))), options);
  assert.ok(decision.kind === 'change');
  assert.deepEqual(decision.change.conditions, [
    { key: rolloutKeys.version, revision: 3 },
    { key: rolloutKeys.presence('a'), revision: 10 },
    { key: rolloutKeys.presence('b'), revision: 10 },
    { key: 'b/own/a', revision: 7 },
    { key: 'b/own/b', revision: 7 },
  ]);
  assert.deepEqual(decision.change.barrier, { readers: 3 });
  const { level, phase, target, verified } = decision.change.version;
  assert.deepEqual(
    { level, phase, target, verified },
    { level: 3, phase: 'steady', target: 3, verified: 0 },
  );
});

test('the barrier is deleted when the level falls below it', () => {
  const given = snapshot({ ...lowering, verified: 5 }, two(presence({ answer: 5 })));
  const decision = planVersion(given, options);
  assert.ok(decision.kind === 'change');
  assert.equal(decision.change.barrier, null);
});

test('the number of nodes per transaction follows from its condition limit', () => {
  for (const [conditions, nodes] of [
    [64, 31],
    [20, 9],
    [12, 5],
  ]) {
    assert.equal(maxNodesPerTransaction(conditions), nodes);
  }
});
