/**
 * Random interleavings of a cluster that is upgraded, rolled back, cut off and killed, against the invariants of
 * docs/safety.md (R1 to R6).
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  checkInvariants,
  LEADER,
  ownerKey,
  SimulatedCluster,
  tend,
} from './support/simulatedCluster.js';

/** Fixed, so that every run gives the same verdict; another one is tried by the environment. */
const SEED = Number(process.env['ROLLOUT_SEED'] ?? 20261202);
const RUNS = Number(process.env['ROLLOUT_RUNS'] ?? 250);

const operations = [
  ...['start old', 'start 2', 'start 3', 'start 3', 'start 4', 'kill', 'expire', 'renew'],
  ...['sync', 'sync', 'sync', 'publish', 'publish', 'claim', 'claim', 'lead', 'coordinate'],
  ...['coordinate', 'coordinate', 'write', 'write', 'migrate', 'migrate', 'tend', 'tend all'],
  ...['tend all', 'hold', 'finalize', 'lower', 'lower', 'keep back', 'lose answer', 'apply late'],
  ...['outage', 'outage over'],
] as const;
type OperationName = (typeof operations)[number];

interface Step {
  name: OperationName;
  node: number;
  record: number;
}

async function play(cluster: SimulatedCluster, { name, node: index, record }: Step): Promise<void> {
  const label = cluster.labels[index % cluster.labels.length];
  const node = cluster.nodes.get(label);
  const isActive = node?.isVersioned === true && !node.isRefused;
  switch (name) {
    case 'start old':
      cluster.start(label, 0);
      break;
    case 'start 2':
    case 'start 3':
    case 'start 4':
      cluster.start(label, Number(name.slice(-1)));
      break;
    case 'kill':
      cluster.kill(label);
      break;
    case 'expire':
      cluster.expire(label);
      break;
    case 'renew':
      cluster.renew(label);
      break;
    case 'sync':
      node?.sync();
      break;
    case 'publish':
      if (isActive) await node.participant.reconcile();
      break;
    case 'claim':
      node?.claim(ownerKey(label));
      break;
    case 'lead':
      node?.claim(LEADER);
      break;
    case 'coordinate':
      if (isActive) await node.coordinator.step();
      break;
    case 'write':
      await node?.write(record);
      break;
    case 'migrate':
      if (isActive) await node.migrate();
      break;
    case 'tend':
      await tend(cluster, label);
      break;
    case 'tend all':
      for (const each of cluster.labels) await tend(cluster, each);
      break;
    case 'hold':
      if (isActive) await node.operate({ kind: 'hold', by: 'anna', reason: 'wait' });
      break;
    case 'finalize':
      if (isActive) await node.operate({ kind: 'finalize', by: null });
      break;
    case 'lower':
      if (isActive) await node.operate({ kind: 'lower', to: 2, by: 'anna', isConfirmed: true });
      break;
    case 'keep back':
      cluster.store.keepsBack = true;
      break;
    case 'lose answer':
      cluster.store.losesAnswer = true;
      break;
    case 'apply late':
      cluster.store.applyLate();
      break;
    case 'outage':
      cluster.store.isDown = true;
      break;
    case 'outage over':
      cluster.store.isDown = false;
      break;
  }
}

/** Plays a whole sequence on nodes that all begin alike. */
async function playAll(size: number, steps: Step[]): Promise<void> {
  const cluster = new SimulatedCluster(size);
  for (const label of cluster.labels) cluster.start(label, 3);
  for (const label of cluster.labels) await tend(cluster, label);
  let token = 0;
  for (const step of steps) {
    await play(cluster, step);
    checkInvariants(cluster, token);
    token = cluster.version.token;
  }
}

const step: fc.Arbitrary<Step> = fc.record({
  name: fc.constantFrom(...operations),
  node: fc.nat(4),
  record: fc.nat(3),
});

test('no interleaving lets a node serve what it cannot read', async () => {
  const property = fc.asyncProperty(
    fc.integer({ min: 2, max: 5 }),
    fc.array(step, { minLength: 10, maxLength: 120, size: 'max' }),
    playAll,
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test('a cluster that is left alone reaches the highest level that all read, whatever came before', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 2, max: 5 }),
      fc.array(step, { maxLength: 60, size: 'max' }),
      async (size, steps) => {
        const cluster = new SimulatedCluster(size);
        for (const label of cluster.labels) cluster.start(label, 3);
        for (const each of steps) await play(cluster, each);
        cluster.store.isDown = false;
        while (cluster.store.applyLate() !== null);
        for (const label of cluster.labels) {
          cluster.start(label, Math.max(3, cluster.version.level));
          cluster.expire(label);
        }
        for (let round = 0; round < 40; round++) {
          const [first] = cluster.labels;
          if (cluster.version.hold !== null) {
            await cluster.nodes.get(first)?.operate({ kind: 'finalize', by: null });
          }
          for (const label of cluster.labels) await tend(cluster, label);
        }
        const { level, phase, verified, proposal } = cluster.version;
        assert.ok(level >= 3, `level ${level}`);
        assert.deepEqual({ phase, verified }, { phase: 'steady', verified: proposal });
        assert.deepEqual(cluster.leftovers(cluster.version), []);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});
