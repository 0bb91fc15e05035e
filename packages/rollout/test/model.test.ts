/**
 * Random interleavings of upgrades, rollbacks, outages and crashes, checked against the invariants of docs/safety.md
 * (R1 to R6).
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  checkInvariants,
  LEADER,
  ownerKey,
  SimulatedCluster,
  runLoops,
} from './support/simulatedCluster.js';

/** The default seed is fixed, so that every run has the same result; the environment can set another one. */
const SEED = Number(process.env['ROLLOUT_SEED'] ?? 20261202);
const RUNS = Number(process.env['ROLLOUT_RUNS'] ?? 250);

const operations = [
  ...['start old', 'start 2', 'start 3', 'start 3', 'start 4', 'kill', 'expire', 'renew'],
  ...[
    'sync',
    'sync',
    'sync',
    'publish',
    'publish',
    'claim',
    'claim',
    'claim coordinator',
    'coordinate',
  ],
  ...[
    'coordinate',
    'coordinate',
    'write',
    'write',
    'migrate',
    'migrate',
    'run loops',
    'run all loops',
  ],
  ...[
    'run all loops',
    'hold',
    'finalize',
    'lower',
    'lower',
    'delay transaction',
    'lose response',
    'apply delayed',
  ],
  ...['outage', 'outage over'],
] as const;
type OperationName = (typeof operations)[number];

interface Step {
  name: OperationName;
  node: number;
  record: number;
}

async function execute(
  cluster: SimulatedCluster,
  { name, node: index, record }: Step,
): Promise<void> {
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
    case 'claim coordinator':
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
    case 'run loops':
      await runLoops(cluster, label);
      break;
    case 'run all loops':
      for (const each of cluster.labels) await runLoops(cluster, each);
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
    case 'delay transaction':
      cluster.store.delaysNext = true;
      break;
    case 'lose response':
      cluster.store.losesNextResponse = true;
      break;
    case 'apply delayed':
      cluster.store.applyDelayed();
      break;
    case 'outage':
      cluster.store.isDown = true;
      break;
    case 'outage over':
      cluster.store.isDown = false;
      break;
  }
}

/** Executes a sequence of steps on a cluster whose nodes all start with the same build. */
async function executeAll(size: number, steps: Step[]): Promise<void> {
  const cluster = new SimulatedCluster(size);
  for (const label of cluster.labels) cluster.start(label, 3);
  for (const label of cluster.labels) await runLoops(cluster, label);
  let token = 0;
  for (const step of steps) {
    await execute(cluster, step);
    checkInvariants(cluster, token);
    token = cluster.version.token;
  }
}

const arbitraryStep: fc.Arbitrary<Step> = fc.record({
  name: fc.constantFrom(...operations),
  node: fc.nat(4),
  record: fc.nat(3),
});

test('in no interleaving does a node serve records that it cannot read', async () => {
  const property = fc.asyncProperty(
    fc.integer({ min: 2, max: 5 }),
    fc.array(arbitraryStep, { minLength: 10, maxLength: 120, size: 'max' }),
    executeAll,
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test('an undisturbed cluster reaches the highest level that all nodes read, from any state', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 2, max: 5 }),
      fc.array(arbitraryStep, { maxLength: 60, size: 'max' }),
      async (size, steps) => {
        const cluster = new SimulatedCluster(size);
        for (const label of cluster.labels) cluster.start(label, 3);
        for (const each of steps) await execute(cluster, each);
        cluster.store.isDown = false;
        while (cluster.store.applyDelayed() !== null);
        for (const label of cluster.labels) {
          cluster.start(label, Math.max(3, cluster.version.level));
          cluster.expire(label);
        }
        for (let round = 0; round < 40; round++) {
          const [first] = cluster.labels;
          if (cluster.version.hold !== null) {
            await cluster.nodes.get(first)?.operate({ kind: 'finalize', by: null });
          }
          for (const label of cluster.labels) await runLoops(cluster, label);
        }
        const { level, phase, verified, proposal } = cluster.version;
        assert.ok(level >= 3, `level ${level}`);
        assert.deepEqual({ phase, verified }, { phase: 'steady', verified: proposal });
        assert.deepEqual(cluster.outdatedRecords(cluster.version), []);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});
