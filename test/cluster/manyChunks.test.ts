/** Services of many chunks: each replica runs in the end, whatever happens to the controllers meanwhile. */
import { test } from 'node:test';
import { submission, until, type Cluster } from '../support/cluster.js';
import { runningTasks } from '../support/storedServices.js';
import { jobStatus, serviceFields, submitUntilAccepted, withCluster } from '../support/users.js';

const ID = 'wk-000801';
const REPLICAS = 96;
const options = { nodes: 3, zones: ['a', 'b'], taskRunSeconds: () => Infinity };

/** Submits a service that is split into more chunks than are created with it, beside a shard of a single machine. */
async function submitLargeService(
  cluster: Cluster,
  changes: Record<string, unknown> = {},
): Promise<void> {
  await submitUntilAccepted(cluster, 'drone-0', submission('wk-000800', { Pieces: 1 }));
  await until('the shard has a machine', () => {
    const shard = cluster.nodes.get('drone-0')?.controller.ownedShards.get('drone-0')?.shard;
    return (shard?.cpus ?? 0) > 0;
  });
  const service = { ...serviceFields, Pieces: REPLICAS, Cores: 1, MemoryGb: 1, ...changes };
  await submitUntilAccepted(cluster, 'drone-0', submission(ID, service));
}

const allRun = (cluster: Cluster): Promise<void> =>
  until(
    'all replicas run',
    async () => (await jobStatus(cluster, 'drone-1', ID)).running === REPLICAS,
    60,
  );

// Guards against replicas beyond the fourth chunk that are never started, also after the controller of the job's home has crashed.
for (const { name, changes } of [
  { name: 'in any zone', changes: {} },
  { name: 'spread over two zones', changes: { Apart: true } },
]) {
  test(`a service of many chunks gets all replicas although its controller crashes, ${name}`, () =>
    withCluster(options, async (cluster) => {
      await submitLargeService(cluster, changes);
      cluster.crash('drone-0');
      await cluster.boot('drone-0');
      await allRun(cluster);
    }));
}

test('a service that is cancelled while its chunks are created leaves no task behind', () =>
  withCluster(options, async (cluster) => {
    await submitLargeService(cluster);
    await until('it is cancelled', async () => {
      const answer = await cluster.call('drone-1', 'POST', `/v1/jobs/${ID}/withdraw`);
      return (answer.body as { Status?: string }).Status === 'cancelled';
    });
    await until('no task of it runs', () => runningTasks(cluster, ID).length === 0);
  }));
