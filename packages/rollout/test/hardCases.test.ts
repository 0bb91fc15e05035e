/**
 * Interleavings that break the invariants where one guard is missing: each is played with all guards, and once more
 * without the one that it is about, to see that it is needed.
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
  tend,
  type Guards,
  type SimulatedNode,
} from './support/simulatedCluster.js';

async function tendAll(cluster: SimulatedCluster, rounds = 8): Promise<void> {
  for (let i = 0; i < rounds; i++) for (const label of cluster.labels) await tend(cluster, label);
}

function nodeOf(cluster: SimulatedCluster, label: string): SimulatedNode {
  const node = cluster.nodes.get(label);
  assert.ok(node !== undefined);
  return node;
}

/** Three nodes with parts and a leader, n0; they read levels 2 to 3, and so far are held at level 2. */
async function heldCluster(guards: Guards): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(3, guards);
  for (const label of cluster.labels) cluster.start(label, 3);
  const first = nodeOf(cluster, 'n0');
  await first.operate({ kind: 'hold', by: 'anna', reason: 'one more day' });
  await tendAll(cluster);
  assert.equal(cluster.version.level, 2);
  return cluster;
}

/** All nodes have answered the proposal of level 3, and the leader has not looked yet. */
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
  await tendAll(cluster);
  assert.equal(cluster.version.level, 3);
  return cluster;
}

interface HardCase {
  what: string;
  guard: keyof Guards;
  play: (guards: Guards) => Promise<SimulatedCluster>;
}

const hardCases: HardCase[] = [
  {
    what: 'a node returns with an old build, and owns its shard, between the answers and the raise',
    guard: 'owners',
    play: async (guards) => {
      const cluster = await answeredCluster(guards);
      cluster.start('n1', 0).claim(ownerKey('n1'));
      await nodeOf(cluster, 'n0').coordinator.step();
      return cluster;
    },
  },
  {
    what: 'a node returns with an old build after the raise',
    guard: 'barrier',
    play: async (guards) => {
      const cluster = await raisedCluster(guards);
      const old = cluster.start('n1', 0);
      old.claim(ownerKey('n1'));
      old.sync();
      old.claim(ownerKey('n1'));
      return cluster;
    },
  },
  {
    what: 'a lease holder stands still between its reading and its write, and another has the lease',
    guard: 'lease',
    play: async (guards) => {
      const cluster = await answeredCluster(guards);
      cluster.store.keepsBack = true;
      await nodeOf(cluster, 'n0').coordinator.step();
      // Its key goes with its lease; what its parts' keys were does not matter to the version.
      cluster.store.rows.delete(LEADER);
      const next = nodeOf(cluster, 'n1');
      next.sync();
      next.claim(LEADER);
      cluster.store.applyLate();
      return cluster;
    },
  },
  {
    what: 'a write in the new form is carried out after the level has fallen',
    guard: 'restamp',
    play: async (guards) => {
      const cluster = await raisedCluster(guards);
      cluster.store.keepsBack = true;
      await nodeOf(cluster, 'n1').write(1);
      await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
      await tendAll(cluster);
      assert.equal(cluster.version.level, 2);
      cluster.store.applyLate();
      return cluster;
    },
  },
  {
    what: 'a record in the new form comes behind the walk that takes it back',
    guard: 'verification',
    play: async (guards) => {
      const cluster = await raisedCluster(guards);
      const node = nodeOf(cluster, 'n1');
      cluster.store.keepsBack = true;
      await node.write(1);
      await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
      node.sync();
      await node.migrate();
      cluster.store.applyLate();
      await tendAll(cluster);
      assert.equal(cluster.version.level, 2);
      return cluster;
    },
  },
];

for (const { what, guard, play } of hardCases) {
  test(`${what}; not without the guard "${guard}"`, async () => {
    checkInvariants(await play(allGuards), 0);
    const broken = await play({ ...allGuards, [guard]: false });
    assert.throws(() => {
      checkInvariants(broken, 0);
    });
  });
}

test('a node that was left old for a day holds the level back, and nothing else', async () => {
  const cluster = new SimulatedCluster(3);
  for (const [label, max] of [
    ['n0', 3],
    ['n1', 0],
    ['n2', 3],
  ] as const)
    cluster.start(label, max);
  await tendAll(cluster, 30);
  assert.equal(cluster.version.level, 2);
  assert.equal(cluster.serving().length, 3);
  // It crashes and returns old, then is replaced at last.
  cluster.start('n1', 0);
  cluster.expire('n1');
  await tendAll(cluster);
  assert.equal(cluster.version.level, 2);
  cluster.start('n1', 3);
  cluster.expire('n1');
  await tendAll(cluster);
  assert.equal(cluster.version.level, 3);
});

test('rolling back with one, two or all of three replaced leaves every node serving at the old level', async () => {
  for (const replaced of [['n0'], ['n0', 'n1'], ['n0', 'n1', 'n2']]) {
    const cluster = await heldCluster(allGuards);
    for (const label of cluster.labels) if (!replaced.includes(label)) cluster.start(label, 0);
    for (const label of cluster.labels) cluster.expire(label);
    await tendAll(cluster);
    for (const label of replaced) {
      cluster.start(label, 0);
      cluster.expire(label);
      await tendAll(cluster);
    }
    checkInvariants(cluster, 0);
    assert.equal(cluster.version.level, 2);
    assert.equal(cluster.serving().length, 3);
  }
});

test('lowering while a migration is half done ends with no record in either new form', async () => {
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
  await tendAll(cluster, 12);
  assert.equal(cluster.version.level, 2);
  assert.deepEqual(cluster.leftovers(cluster.version), []);
  checkInvariants(cluster, 0);
});

test('an outage in the middle of a migration, its answer lost, changes nothing of the outcome', async () => {
  const cluster = await answeredCluster(allGuards);
  const node = nodeOf(cluster, 'n1');
  for (const name of [1, 2, 3, 0]) await node.write(name);
  await nodeOf(cluster, 'n0').coordinator.step();
  node.sync();
  cluster.store.losesAnswer = true;
  await node.migrate();
  cluster.store.isDown = true;
  await tendAll(cluster);
  cluster.store.isDown = false;
  await tendAll(cluster, 12);
  assert.deepEqual(cluster.leftovers(cluster.version), []);
  const { verified, proposal } = cluster.version;
  assert.equal(verified, proposal);
});

test('all killed at once at each step of a raise and of a lowering: they go on where they stopped', async () => {
  for (let steps = 0; steps < 24; steps++) {
    const cluster = await raisedCluster(allGuards);
    await nodeOf(cluster, 'n1').write(1);
    await nodeOf(cluster, 'n0').operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
    for (let i = 0; i < steps; i++) await tend(cluster, cluster.labels[i % 3]);
    for (const label of cluster.labels) {
      cluster.start(label, 3);
      cluster.expire(label);
    }
    await tendAll(cluster, 12);
    assert.equal(cluster.version.level, 2, `killed after ${steps} steps`);
    checkInvariants(cluster, 0);
  }
});

test('a node that is added to the settings holds the level back until it has published; one taken out does not', async () => {
  const cluster = await answeredCluster(allGuards);
  cluster.labels.push('n3');
  await tendAll(cluster);
  assert.equal(cluster.version.level, 2);
  cluster.labels.pop();
  await tendAll(cluster);
  assert.equal(cluster.version.level, 3);
});

test('a node that is cut from the store at the raise holds it back until it is served again', async () => {
  const cluster = await answeredCluster(allGuards);
  // Its lease runs out, and it does not know.
  cluster.store.endHold(nodeOf(cluster, 'n2').leaseId ?? 0);
  for (let i = 0; i < 4; i++) for (const label of ['n0', 'n1']) await tend(cluster, label);
  assert.equal(cluster.version.level, 2);
  await tendAll(cluster);
  assert.equal(cluster.version.level, 3);
});

test('damaged records are refused by name, and what was known before still holds', () => {
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
    // Nothing new is written while nobody can tell the level.
    assert.equal(tracker.isActive('compressed'), false);
    assert.equal(tracker.refusal, null);
  }
});

test('a node whose range does not hold the level refuses to serve, also by the barrier alone', () => {
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

test('while the stored version is damaged nobody writes over it, and every node goes on serving', async () => {
  const cluster = await raisedCluster(allGuards);
  cluster.store.put(rolloutKeys.version, 'torn');
  for (const label of cluster.labels) cluster.start(label, 3);
  for (const label of cluster.labels) cluster.expire(label);
  await tendAll(cluster);
  assert.equal(cluster.store.rows.get(rolloutKeys.version)?.value, 'torn');
  assert.equal(cluster.serving().length, 3);
});
