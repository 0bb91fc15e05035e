/** Answers to users and running tasks during outages: crashes, refusals by the state service, partitions, silent machines. */
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
  repair?: (cluster: Cluster) => Promise<void> | void;
}[] = [
  {
    name: 'a crash without a restart: a peer takes the shard over',
    inject: (c) => c.crash('drone-0'),
  },
  {
    name: 'a crash and an immediate restart: the node leads its shard again',
    inject: async (c) => {
      c.crash('drone-0');
      await c.boot('drone-0');
    },
  },
  {
    name: 'a crash of all nodes',
    inject: async (c) => {
      for (const label of [...c.nodes.keys()]) c.crash(label);
      for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
    },
  },
  {
    name: 'two crashes of all nodes in a row',
    inject: async (c) => {
      for (let turn = 0; turn < 2; turn++) {
        for (const label of [...c.nodes.keys()]) c.crash(label);
        await pause(0.2);
        for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
      }
    },
  },
  {
    name: 'the state service refuses one node for good',
    inject: (c) => void c.state.refusedClients.add('drone-0'),
  },
  {
    name: 'the state service refuses all nodes for a while',
    inject: (c) => void c.state.refusedClients.add('*'),
    repair: async (c) => {
      await pause(1.2);
      c.state.refusedClients.clear();
    },
  },
  {
    name: 'a node loses the state service and its peers, but not its workers',
    inject: async (c) => {
      c.state.refusedClients.add('drone-0');
      c.isolatedNodes.add('drone-0');
      await until('it answers 503 with the time of a retry', async () => {
        const answer = await c.call('drone-0', 'POST', '/v1/jobs', submission('wk-000025'));
        return answer.status === 503 && answer.retryAfter !== null;
      });
      await until('its readiness check fails', async () => {
        return (await c.call('drone-0', 'GET', '/ready')).status === 503;
      });
      await waitForTakeover(c, 'drone-0');
    },
    repair: (c) => {
      c.state.refusedClients.clear();
      c.isolatedNodes.clear();
    },
  },
  {
    name: 'a partition, an outage of the state service and a crash of all nodes',
    inject: async (c) => {
      c.isolatedNodes.add('drone-1');
      c.state.refusedClients.add('*');
      for (const label of [...c.nodes.keys()]) c.crash(label);
      for (const label of ['drone-0', 'drone-1', 'drone-2']) await c.boot(label);
      await pause(0.5);
    },
    repair: async (c) => {
      c.state.refusedClients.clear();
      await pause(0.5);
      c.isolatedNodes.clear();
    },
  },
  {
    name: 'repeated crashes and restarts within a fraction of a second',
    inject: async (c) => {
      for (const label of ['drone-0', 'drone-1', 'drone-0', 'drone-2', 'drone-0']) {
        c.crash(label);
        await c.boot(label);
        await pause(0.15);
      }
    },
  },
];

for (const { name, inject, repair } of outages) {
  test(`replicas keep running, new jobs are accepted, nothing runs twice: ${name}`, () =>
    withCluster(
      { nodes: 3, taskRunSeconds: (task) => (task.startsWith('wk-00001') ? Infinity : 0.3) },
      async (cluster) => {
        await submitUntilAccepted(cluster, 'drone-0', submission('wk-000011', serviceFields));
        await until('it runs', async () => {
          return (await jobStatus(cluster, 'drone-0', 'wk-000011')).running === 2;
        });
        await submitUntilAccepted(cluster, 'drone-0', submission('wk-000021', { Pieces: 6 }));
        await inject(cluster);
        await repair?.(cluster);
        await until('the batch job is done', async () => {
          return (await jobStatus(cluster, 'drone-1', 'wk-000021')).Status === 'done';
        });
        await submitUntilAccepted(cluster, 'drone-1', submission('wk-000022'));
        await until('a new job is done', async () => {
          return (await jobStatus(cluster, 'drone-2', 'wk-000022')).Status === 'done';
        });
        await until('the replicas run', async () => {
          return (await jobStatus(cluster, 'drone-2', 'wk-000011')).running === 2;
        });
        const starts = cluster.cloud.startedTasks.filter((t) => t.startsWith('wk-000011'));
        assert.equal(starts.length, 2, 'healthy replicas were started again');
      },
    ));
}

test('a machine that sends heartbeats but gets no answers is released, and its replicas run elsewhere', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000091', { ...serviceFields, Pieces: 1 }),
    );
    const machineOfTask = (): string | undefined =>
      [...cluster.cloud.workers.values()].find((w) => w.tasks.includes('wk-000091/0'))?.name;
    await until('it runs', () => machineOfTask() !== undefined);
    const first = machineOfTask() ?? '';
    const worker = cluster.cloud.workers.get(first);
    if (worker !== undefined) worker.deaf = true;
    await until(
      'it runs on another machine',
      () => machineOfTask() !== undefined && machineOfTask() !== first,
    );
    assert.ok(cluster.cloud.releasedMachines.includes(first), 'the machine was not released first');
  }));

test('late duplicates of heartbeats change nothing, even after a restart and a release', () =>
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
    const heartbeats = [...cloud.workers.values()].flatMap((w) => w.sentHeartbeats);
    const [releasedMachine] = cloud.workers.keys();
    const sendDuplicates = async (): Promise<void> => {
      for (const heartbeat of heartbeats) {
        for (const label of cluster.nodes.keys()) {
          await cluster.call(label, 'POST', '/hello', JSON.parse(heartbeat) as unknown);
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
    await sendDuplicates();
    await until('it still runs', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-000095')).running === 3;
    });
    // On a busy machine, a worker may be presumed lost and released; otherwise nothing is started again.
    if (cloud.releasedMachines.length === 0) {
      assert.equal(cloud.startedTasks.length, 3, 'a duplicate made a task start again');
    }
    // Once a machine is released, duplicates of its heartbeats must not add it again.
    const worker = cloud.workers.get(releasedMachine ?? '');
    if (worker !== undefined) worker.hanging = true;
    await until('the machine is released', () =>
      cloud.releasedMachines.includes(releasedMachine ?? ''),
    );
    await until('no node lists the machine', () =>
      [...cluster.nodes.values()].every(
        (n) => n.controller.inventory.get(releasedMachine ?? '') === undefined,
      ),
    );
    await sendDuplicates();
    for (const node of cluster.nodes.values()) {
      assert.equal(
        node.controller.inventory.get(releasedMachine ?? ''),
        undefined,
        'the machine was added again',
      );
    }
    await until('all run', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-000095')).running === 3;
    });
  }));

test('a heartbeat that is received after a later answer still renews the lease of its machine', () =>
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
    const duplicate = JSON.parse(worker.sentHeartbeats[0] ?? '') as unknown;
    const answer = await cluster.call('drone-0', 'POST', '/hello', duplicate);
    // The worker's lease may last from this heartbeat, so the leader must not presume its tasks terminated before that.
    assert.equal(answer.status, 200);
    assert.ok(machine.leaseRenewedAt > 0);
  }));
