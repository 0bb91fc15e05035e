/** What users see while things fail. Each case waits for an outcome. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import {
  submitUntilAccepted,
  serviceFields,
  jobStatus,
  waitForTakeover,
  withCluster,
} from '../support/users.js';

const outages: {
  name: string;
  inject: (cluster: Cluster) => Promise<void> | void;
  mend?: (cluster: Cluster) => Promise<void> | void;
}[] = [
  {
    name: 'a crash without a restart: a peer takes the shard over',
    inject: (c) => c.crash('drone-0'),
  },
  {
    name: 'a crash and a restart at once: the node takes its shard back',
    inject: async (c) => {
      c.crash('drone-0');
      await c.boot('drone-0');
    },
  },
  {
    name: 'a crash of all',
    inject: async (c) => {
      for (const label of [...c.nodes.keys()]) c.crash(label);
      for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
    },
  },
  {
    name: 'a crash of all, twice in a row',
    inject: async (c) => {
      for (let turn = 0; turn < 2; turn++) {
        for (const label of [...c.nodes.keys()]) c.crash(label);
        await pause(0.2);
        for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
      }
    },
  },
  {
    name: 'the state service refuses one node alone, for good',
    inject: (c) => void c.state.refusedClients.add('drone-0'),
  },
  {
    name: 'the state service refuses everybody for a while',
    inject: (c) => void c.state.refusedClients.add('*'),
    mend: async (c) => {
      await pause(1.2);
      c.state.refusedClients.clear();
    },
  },
  {
    name: 'a node loses the state service and its peers, but not its workers',
    inject: async (c) => {
      c.state.refusedClients.add('drone-0');
      c.isolatedNodes.add('drone-0');
      await until('it says that it is cut off, at once and when to come back', async () => {
        const answer = await c.call('drone-0', 'POST', '/v1/jobs', submission('wk-000025'));
        return answer.status === 503 && answer.retryAfter !== null;
      });
      await until('the load balancer is told', async () => {
        return (await c.call('drone-0', 'GET', '/ready')).status === 503;
      });
      await waitForTakeover(c, 'drone-0');
    },
    mend: (c) => {
      c.state.refusedClients.clear();
      c.isolatedNodes.clear();
    },
  },
  {
    name: 'all nodes, the state service and a cut, one after the other',
    inject: async (c) => {
      c.isolatedNodes.add('drone-1');
      c.state.refusedClients.add('*');
      for (const label of [...c.nodes.keys()]) c.crash(label);
      for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
      await pause(0.5);
    },
    mend: async (c) => {
      c.state.refusedClients.clear();
      await pause(0.5);
      c.isolatedNodes.clear();
    },
  },
  {
    name: 'crashes and restarts within a fraction of a second, again and again',
    inject: async (c) => {
      for (const label of ['drone-0', 'drone-1', 'drone-0', 'drone-2', 'drone-0']) {
        c.crash(label);
        await c.boot(label);
        await pause(0.15);
      }
    },
  },
];

for (const { name, inject, mend } of outages) {
  test(`replicas run on, new work is taken, nothing runs twice: ${name}`, () =>
    withCluster(
      { nodes: 3, taskRunSeconds: (task) => (task.startsWith('wk-00001') ? Infinity : 0.3) },
      async (cluster) => {
        await submitUntilAccepted(cluster, 'drone-0', submission('wk-000011', serviceFields));
        await until('it runs', async () => {
          return (await jobStatus(cluster, 'drone-0', 'wk-000011')).running === 2;
        });
        await submitUntilAccepted(cluster, 'drone-0', submission('wk-000021', { Pieces: 6 }));
        await inject(cluster);
        await mend?.(cluster);
        await until('the batch job is done', async () => {
          return (await jobStatus(cluster, 'drone-1', 'wk-000021')).Status === 'done';
        });
        await submitUntilAccepted(cluster, 'drone-1', submission('wk-000022'));
        await until('a new job is done', async () => {
          return (await jobStatus(cluster, 'drone-2', 'wk-000022')).Status === 'done';
        });
        await until('replicas run', async () => {
          return (await jobStatus(cluster, 'drone-2', 'wk-000011')).running === 2;
        });
        const starts = cluster.cloud.startedTasks.filter((t) => t.startsWith('wk-000011'));
        assert.equal(starts.length, 2, 'healthy replicas were started anew');
      },
    ));
}

test('a machine that sends heartbeats but gets no answer is released, and its replicas go elsewhere', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000091', { ...serviceFields, Pieces: 1 }),
    );
    const on = (): string | undefined =>
      [...cluster.cloud.workers.values()].find((w) => w.tasks.includes('wk-000091/0'))?.name;
    await until('it runs', () => on() !== undefined);
    const first = on() ?? '';
    const worker = cluster.cloud.workers.get(first);
    if (worker !== undefined) worker.deaf = true;
    await until('it runs on another machine', () => on() !== undefined && on() !== first);
    assert.ok(
      cluster.cloud.releasedMachines.includes(first),
      'the deaf machine was not ended first',
    );
  }));

test('late copies of heartbeats change nothing, also after a restart and a release', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000095', { ...serviceFields, Pieces: 3 }),
    );
    await until('it runs', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000095')).running === 3;
    });
    const { cloud } = cluster;
    const copies = [...cloud.workers.values()].flatMap((w) => w.sentHeartbeats);
    const [gone] = cloud.workers.keys();
    const tell = async (): Promise<void> => {
      for (const copy of copies) {
        for (const label of cluster.nodes.keys()) {
          await cluster.call(label, 'POST', '/hello', JSON.parse(copy) as unknown);
        }
      }
    };
    for (const label of [...cluster.nodes.keys()]) cluster.crash(label);
    for (const label of ['drone-0', 'drone-1']) await cluster.boot(label);
    await until('they are ready', async () => {
      for (const label of cluster.nodes.keys()) {
        if ((await cluster.call(label, 'GET', '/ready')).status !== 200) return false;
      }
      return true;
    });
    await tell();
    await until('it still runs', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-000095')).running === 3;
    });
    // On a busy machine a worker may be taken for a silent one and ended; else nothing is started anew.
    if (cloud.releasedMachines.length === 0) {
      assert.equal(cloud.startedTasks.length, 3, 'a copy had a task started anew');
    }
    // A machine is taken; what it said once must not bring it back.
    const worker = cloud.workers.get(gone ?? '');
    if (worker !== undefined) worker.hanging = true;
    await until('it is ended', () => cloud.releasedMachines.includes(gone ?? ''));
    await until('every node knows that it has gone', () =>
      [...cluster.nodes.values()].every(
        (n) => n.controller.inventory.get(gone ?? '') === undefined,
      ),
    );
    await tell();
    for (const node of cluster.nodes.values()) {
      assert.equal(node.controller.inventory.get(gone ?? ''), undefined, 'the machine came back');
    }
    await until('all run', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-000095')).running === 3;
    });
  }));

test('a heartbeat that was overtaken by an answer still keeps its machine from being given up', () =>
  withCluster({ nodes: 1, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000098', { ...serviceFields, Pieces: 1 }),
    );
    await until('it runs', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000098')).running === 1;
    });
    const [worker] = cluster.cloud.workers.values();
    const shard = cluster.nodes.get('drone-0')?.controller.ownedShards.get('drone-0')?.shard;
    const machine = shard?.machines.get(worker?.name ?? '');
    if (worker === undefined || machine === undefined) throw new Error('no machine');
    worker.hanging = true;
    await pause(0.5);
    machine.leaseRenewedAt = 0;
    const copy = JSON.parse(worker.sentHeartbeats[0] ?? '') as unknown;
    const answer = await cluster.call('drone-0', 'POST', '/hello', copy);
    // Its sender's lease may count from it, so the machine's tasks are not over before that.
    assert.equal(answer.status, 200);
    assert.ok(machine.leaseRenewedAt > 0);
  }));
