/** What users see while things fail. Each case waits for an outcome. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission, until, type Cluster } from './support/cluster.js';
import { accept, service, status, withCluster } from './support/users.js';

const outages: {
  name: string;
  strike: (cluster: Cluster) => Promise<void> | void;
  mend?: (cluster: Cluster) => Promise<void> | void;
}[] = [
  { name: 'a crash that is not mended: a peer adopts the part', strike: (c) => c.crash('drone-0') },
  {
    name: 'a crash and a restart at once: the node takes its part back',
    strike: async (c) => {
      c.crash('drone-0');
      await c.boot('drone-0');
    },
  },
  {
    name: 'a crash of all',
    strike: async (c) => {
      for (const label of [...c.nodes.keys()]) c.crash(label);
      for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
    },
  },
  {
    name: 'the state service refuses one node alone, for good',
    strike: (c) => void c.state.refused.add('drone-0'),
  },
  {
    name: 'the state service refuses everybody for a while',
    strike: (c) => void c.state.refused.add('*'),
    mend: async (c) => {
      await new Promise((resolve) => setTimeout(resolve, 1200));
      c.state.refused.clear();
    },
  },
];

for (const { name, strike, mend } of outages) {
  test(`replicas run on, new work is taken, nothing runs twice: ${name}`, () =>
    withCluster(
      { nodes: 3, runs: (task) => (task.startsWith('wk-00001') ? Infinity : 0.3) },
      async (cluster) => {
        await accept(cluster, 'drone-0', submission('wk-000011', service));
        await until('it runs', async () => {
          return (await status(cluster, 'drone-0', 'wk-000011')).running === 2;
        });
        await accept(cluster, 'drone-0', submission('wk-000021', { Pieces: 6 }));
        await strike(cluster);
        await mend?.(cluster);
        await until('the batch job is done', async () => {
          return (await status(cluster, 'drone-1', 'wk-000021')).Status === 'done';
        });
        await accept(cluster, 'drone-1', submission('wk-000022'));
        await until('a new job is done', async () => {
          return (await status(cluster, 'drone-2', 'wk-000022')).Status === 'done';
        });
        await until('replicas run', async () => {
          return (await status(cluster, 'drone-2', 'wk-000011')).running === 2;
        });
        const starts = cluster.cloud.starts.filter((t) => t.startsWith('wk-000011'));
        assert.equal(starts.length, 2, 'healthy replicas were started anew');
      },
    ));
}
