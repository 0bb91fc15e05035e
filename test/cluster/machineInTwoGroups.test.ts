/**
 * Guards against a machine in the records of two groups. Nodes that read the records in different orders assigned it to different
 * shards, and a new leader considered its attempts terminated while they ran.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission, until, type Cluster } from '../support/cluster.js';
import { submitUntilAccepted, jobStatus, withCluster } from '../support/users.js';

/** Seconds between two checks of the stored groups. */
const CHECK_INTERVAL_S = 0.01;

/** Machines that more than one stored group names. */
function inTwoGroups(cluster: Cluster): string[] {
  const seen = new Set<string>();
  const found: string[] = [];
  for (const [key, { value }] of cluster.state.rows) {
    if (!key.startsWith('b/fleet/')) continue;
    for (const name of Object.keys((value as { machines: object }).machines)) {
      if (seen.has(name)) found.push(name);
      seen.add(name);
    }
  }
  return found;
}

for (const { name, autoscalerCrashes } of [
  { name: 'the same autoscaler', autoscalerCrashes: false },
  { name: 'the next autoscaler', autoscalerCrashes: true },
]) {
  test(`a rental without an answer for longer than the list of machines lags, completed by ${name}`, () =>
    withCluster({ nodes: 2, taskRunSeconds: () => 0.3 }, async (cluster) => {
      const found = new Set<string>();
      const checker = setInterval(() => {
        for (const machine of inTwoGroups(cluster)) found.add(machine);
      }, CHECK_INTERVAL_S * 1000);
      try {
        cluster.cloud.losesAnswer = (path) => path === 'POST /rentals';
        await submitUntilAccepted(
          cluster,
          'drone-0',
          submission('wk-000001', { Pieces: 3, Cores: 8 }),
        );
        await until('machines were rented', () => cluster.cloud.workers.size > 0);
        await until('the machines are recorded from the list', () =>
          [...cluster.state.rows].some(
            ([key, { value }]) =>
              key.startsWith('b/fleet/') && JSON.stringify(value).includes('n-000001'),
          ),
        );
        if (autoscalerCrashes) {
          cluster.crash('drone-0');
          cluster.crash('drone-1');
          await cluster.boot('drone-0');
          await cluster.boot('drone-1');
        }
        cluster.cloud.losesAnswer = null;
        const isDone = async (): Promise<boolean> =>
          (await jobStatus(cluster, 'drone-0', 'wk-000001')).Status === 'done';
        await until('the job is done', isDone, 60);
        await until('no rental is pending', () => !hasPendingRental(cluster));
        assert.deepEqual([...found], []);
      } finally {
        clearInterval(checker);
      }
    }));
}

function hasPendingRental(cluster: Cluster): boolean {
  return [...cluster.state.rows].some(
    ([key, { value }]) =>
      key.startsWith('b/fleet/') && (value as { asked?: number }).asked !== undefined,
  );
}

test('a task does not run twice on a machine that two stored groups assign to different shards', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 5 }, async (cluster) => {
    const job = submission('wk-000001', { Pieces: 1, Cores: 8 });
    await submitUntilAccepted(cluster, 'drone-0', job);
    const name = await waitForRunningMachine(cluster);
    cluster.crash('drone-0');
    cluster.crash('drone-1');
    // An earlier version may have stored such a record. Its key sorts first, so it is read first.
    const machines = { [name]: { at: 0 } };
    const value = { part: 'drone-1', type: 'm8', zone: 'a', spot: true, machines };
    cluster.state.apply({ Then: [{ Put: 'b/fleet/a-group-of-before', Value: value }] });
    const worker = cluster.cloud.workers.get(name);
    assert.ok(worker !== undefined);
    // The worker runs its task until its lease expires, and receives no stop.
    worker.deaf = true;
    await cluster.boot('drone-0');
    await cluster.boot('drone-1');
    const isDone = async (): Promise<boolean> =>
      (await jobStatus(cluster, 'drone-0', 'wk-000001')).Status === 'done';
    await until('the job is done', isDone, 60);
    assert.deepEqual(cluster.cloud.concurrentStarts, []);
    await until('no two groups name a machine', () => inTwoGroups(cluster).length === 0);
  }));

/** Waits until a machine runs a task, and returns its name. */
async function waitForRunningMachine(cluster: Cluster): Promise<string> {
  let found: string | undefined;
  await until('a task runs', () => {
    found = [...cluster.cloud.workers.values()].find(({ tasks }) => tasks.length > 0)?.name;
    return found !== undefined;
  });
  return found ?? '';
}
