/**
 * Interleavings that violate the invariants if one guard is missing. Each runs once with all guards and once without the
 * guard in question, which shows that the guard is needed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DamagedRecordError, decodeVersion, rolloutKeys } from '../src/records.js';
import { VersionTracker } from '../src/versionTracker.js';
import { features } from './support/features.js';
import {
  allGuards,
  BARRIER,
  checkInvariants,
  LEADER,
  ownerKey,
  SimulatedCluster,
  runLoops,
  type Guards,
  type SimulatedNode,
} from './support/simulatedCluster.js';

async function runAllLoops(cluster: SimulatedCluster, rounds = 8): Promise<void> {
  for (let i = 0; i < rounds; i++)
    for (const label of cluster.labels) await runLoops(cluster, label);
}

function nodeOf(cluster: SimulatedCluster, label: string): SimulatedNode {
  const node = cluster.nodes.get(label);
  assert.ok(node !== undefined);
  return node;
}

/** Three nodes that read levels 2 to 3, each leading its shard, with n0 as the coordinator; the level is held at 2. */
async function heldCluster(guards: Guards): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(3, guards);
  for (const label of cluster.labels) cluster.start(label, 3);
  const first = nodeOf(cluster, 'n0');
  await first.operate({ kind: 'hold', by: 'anna', reason: 'one more day' });
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 2);
  return cluster;
}

/** A cluster in which all nodes have answered the proposal of level 3 and the coordinator has not acted on it yet. */
async function answeredCluster(guards: Guards): Promise<SimulatedCluster> {
  const cluster = await heldCluster(guards);
  const leader = nodeOf(cluster, 'n0');
  await leader.operate({ kind: 'finalize', by: null });
  await leader.coordinator.step();
  assert.equal(cluster.version.phase, 'raising');
  for (const label of cluster.labels) {
    nodeOf(cluster, label).sync();
    await nodeOf(cluster, label).participant.reconcile();
  }
  leader.sync();
  return cluster;
}

async function raisedCluster(guards: Guards): Promise<SimulatedCluster> {
  const cluster = await answeredCluster(guards);
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 3);
  return cluster;
}

interface HardCase {
  name: string;
  guard: keyof Guards;
  run: (guards: Guards) => Promise<SimulatedCluster>;
}

const hardCases: HardCase[] = [
  {
    name: 'a node restarts with an old build and leads its shard between the answers and the raise',
    guard: 'owners',
    run: async (guards) => {
      const cluster = await answeredCluster(guards);
      cluster.start('n1', 0).claim(ownerKey('n1'));
      await nodeOf(cluster, 'n0').coordinator.step();
      return cluster;
    },
  },
  {
    name: 'a node restarts with an old build after the raise',
    guard: 'barrier',
    run: async (guards) => {
      const cluster = await raisedCluster(guards);
      const old = cluster.start('n1', 0);
      old.claim(ownerKey('n1'));
      old.sync();
      old.claim(ownerKey('n1'));
      return cluster;
    },
  },
  {
    name: 'a lease holder is paused between its read and its write, and another node gets the lease',
    guard: 'lease',
    run: async (guards) => {
      const cluster = await answeredCluster(guards);
      cluster.store.delaysNext = true;
      await nodeOf(cluster, 'n0').coordinator.step();
      // The key of the coordinator is deleted when the lease expires; the keys of the shards do not matter here.
      cluster.store.rows.delete(LEADER);
      const next = nodeOf(cluster, 'n1');
      next.sync();
      next.claim(LEADER);
      cluster.store.applyDelayed();
      return cluster;
    },
  },
  {
    name: 'a write in the new form is applied after the level was lowered',
    guard: 'newRevisions',
    run: async (guards) => {
      const cluster = await raisedCluster(guards);
      cluster.store.delaysNext = true;
      await nodeOf(cluster, 'n1').write(1);
      await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
      await runAllLoops(cluster);
      assert.equal(cluster.version.level, 2);
      cluster.store.applyDelayed();
      return cluster;
    },
  },
  {
    name: 'a record in the new form is written behind the cursor of the migration pass of a lowering',
    guard: 'verification',
    run: async (guards) => {
      const cluster = await raisedCluster(guards);
      const node = nodeOf(cluster, 'n1');
      cluster.store.delaysNext = true;
      await node.write(1);
      await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
      node.sync();
      await node.migrate();
      cluster.store.applyDelayed();
      await runAllLoops(cluster);
      assert.equal(cluster.version.level, 2);
      return cluster;
    },
  },
];

for (const { name, guard, run } of hardCases) {
  test(`${name}: the invariants hold, and not without the guard "${guard}"`, async () => {
    checkInvariants(await run(allGuards), 0);
    const broken = await run({ ...allGuards, [guard]: false });
    assert.throws(() => {
      checkInvariants(broken, 0);
    });
  });
}

test('a node that keeps an old build blocks the raise of the level and nothing else', async () => {
  const cluster = new SimulatedCluster(3);
  for (const [label, max] of [
    ['n0', 3],
    ['n1', 0],
    ['n2', 3],
  ] as const)
    cluster.start(label, max);
  await runAllLoops(cluster, 30);
  assert.equal(cluster.version.level, 2);
  assert.equal(cluster.servingNodes().length, 3);
  // The node crashes and restarts with the old build, then is replaced by the new one.
  cluster.start('n1', 0);
  cluster.expire('n1');
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 2);
  cluster.start('n1', 3);
  cluster.expire('n1');
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 3);
});

test('after a rollback of one, two or all three nodes, every node serves at the old level', async () => {
  for (const replaced of [['n0'], ['n0', 'n1'], ['n0', 'n1', 'n2']]) {
    const cluster = await heldCluster(allGuards);
    for (const label of cluster.labels) if (!replaced.includes(label)) cluster.start(label, 0);
    for (const label of cluster.labels) cluster.expire(label);
    await runAllLoops(cluster);
    for (const label of replaced) {
      cluster.start(label, 0);
      cluster.expire(label);
      await runAllLoops(cluster);
    }
    checkInvariants(cluster, 0);
    assert.equal(cluster.version.level, 2);
    assert.equal(cluster.servingNodes().length, 3);
  }
});

test('lowering the level during a migration leaves no record in the new form', async () => {
  const cluster = await answeredCluster(allGuards);
  for (const name of [1, 2, 3, 0]) await nodeOf(cluster, 'n1').write(name);
  const leader = nodeOf(cluster, 'n0');
  await leader.coordinator.step();
  const node = nodeOf(cluster, 'n1');
  node.sync();
  await node.migrate();
  const forms = cluster.records().map(([, { form }]) => form);
  assert.deepEqual(new Set(forms), new Set([2, 3]));
  await leader.operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
  await runAllLoops(cluster, 12);
  assert.equal(cluster.version.level, 2);
  assert.deepEqual(cluster.outdatedRecords(cluster.version), []);
  checkInvariants(cluster, 0);
});

test('an outage and a lost response during a migration do not change the outcome', async () => {
  const cluster = await answeredCluster(allGuards);
  const node = nodeOf(cluster, 'n1');
  for (const name of [1, 2, 3, 0]) await node.write(name);
  await nodeOf(cluster, 'n0').coordinator.step();
  node.sync();
  cluster.store.losesNextResponse = true;
  await node.migrate();
  cluster.store.isDown = true;
  await runAllLoops(cluster);
  cluster.store.isDown = false;
  await runAllLoops(cluster, 12);
  assert.deepEqual(cluster.outdatedRecords(cluster.version), []);
  const { verified, proposal } = cluster.version;
  assert.equal(verified, proposal);
});

test('after all nodes crash at once at any step of a lowering, they continue where they stopped', async () => {
  for (let steps = 0; steps < 24; steps++) {
    const cluster = await raisedCluster(allGuards);
    await nodeOf(cluster, 'n1').write(1);
    await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
    for (let i = 0; i < steps; i++) await runLoops(cluster, cluster.labels[i % 3]);
    for (const label of cluster.labels) {
      cluster.start(label, 3);
      cluster.expire(label);
    }
    await runAllLoops(cluster, 12);
    assert.equal(cluster.version.level, 2, `killed after ${steps} steps`);
    checkInvariants(cluster, 0);
  }
});

test('a node added to the settings blocks the raise until it has published its levels; a removed node does not', async () => {
  const cluster = await answeredCluster(allGuards);
  cluster.labels.push('n3');
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 2);
  cluster.labels.pop();
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 3);
});

test('a node without access to the store blocks the raise until it is served again', async () => {
  const cluster = await answeredCluster(allGuards);
  // Its lease expires without its knowledge.
  cluster.store.expireLease(nodeOf(cluster, 'n2').leaseId ?? 0);
  for (let i = 0; i < 4; i++) for (const label of ['n0', 'n1']) await runLoops(cluster, label);
  assert.equal(cluster.version.level, 2);
  await runAllLoops(cluster);
  assert.equal(cluster.version.level, 3);
});

test('a damaged version record is reported by its key, and the previous version stays valid', () => {
  const good = {
    level: 3,
    target: 3,
    phase: 'steady',
    proposal: 4,
    walk: 1,
    verified: 4,
    hold: null,
    token: 7,
  };
  const damaged: unknown[] = [
    null,
    'level 3',
    { ...good, level: 0 },
    { ...good, level: 3.5 },
    { ...good, phase: 'sideways' },
    { ...good, target: 4 },
    { ...good, phase: 'lowering' },
    { ...good, hold: { by: 1 } },
  ];
  for (const value of damaged) {
    assert.throws(() => decodeVersion(rolloutKeys.version, value), DamagedRecordError);
    const tracker = new VersionTracker(features, { min: 2, max: 4 }, 2);
    tracker.updateVersion(good);
    if (value === null) continue;
    tracker.updateVersion(value);
    assert.equal(tracker.current.level, 3);
    assert.match(tracker.damage ?? '', /b\/rollout\/version is damaged/);
    // No feature is written while the level is unknown.
    assert.equal(tracker.isActive('compressed'), false);
    assert.equal(tracker.refusal, null);
  }
});

test('a node that cannot read the level refuses to serve, also if only the barrier shows the level', () => {
  const version = (level: number) => ({
    ...{ level, target: level, phase: 'steady', proposal: 1, walk: 0, verified: 1, hold: null },
    token: 1,
  });
  const cases: [number, unknown, unknown, number | null][] = [
    [3, version(3), { readers: 3 }, null],
    [3, version(4), { readers: 4 }, 4],
    [2, version(3), { readers: 3 }, 3],
    [3, 'damaged', { readers: 4 }, 4],
    [3, 'damaged', { readers: 3 }, null],
    [3, 'damaged', 'damaged too', Infinity],
    [3, null, null, null],
  ];
  for (const [max, value, barrier, level] of cases) {
    const tracker = new VersionTracker(features, { min: 2, max }, 2);
    tracker.updateVersion(value);
    tracker.updateBarrier(BARRIER, barrier);
    assert.equal(tracker.refusal?.level ?? null, level, JSON.stringify({ max, value, barrier }));
  }
});

test('a damaged version record is not overwritten, and every node continues to serve', async () => {
  const cluster = await raisedCluster(allGuards);
  cluster.store.put(rolloutKeys.version, 'torn');
  for (const label of cluster.labels) cluster.start(label, 3);
  for (const label of cluster.labels) cluster.expire(label);
  await runAllLoops(cluster);
  assert.equal(cluster.store.rows.get(rolloutKeys.version)?.value, 'torn');
  assert.equal(cluster.servingNodes().length, 3);
});
