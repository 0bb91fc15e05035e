/**
 * Guards against accepted jobs that never run because their shard counts on machines that are gone, while a peer has a free
 * machine. However the machines disappear, a job that fits the free machine must be done within the longest allowed wait.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import { submitUntilAccepted, serviceFields, jobStatus, withCluster } from '../support/users.js';

/** Longest time in seconds that a job may wait although a machine is free for it. */
const LONGEST_WAIT_S = 90;

/** Two heartbeat intervals of the workers, in seconds. */
const TWO_HEARTBEATS_S = 0.8;

const SERVICE = 'wk-000001';
const LONG_JOB = 'wk-000004';

const isDone = (cluster: Cluster, node: string, job: string) => async (): Promise<boolean> =>
  (await jobStatus(cluster, node, job)).Status === 'done';

interface Case {
  name: string;
  /** Makes the machines of drone-0 disappear; no machine can be rented from then on. */
  fault: (cluster: Cluster, take: (count?: number) => void) => Promise<void>;
  /** The node at which users submit jobs and read their state afterwards. */
  node?: string;
  /** Whether one of the machines runs a task, whose job has to run again. */
  hasRunningTask?: boolean;
}

const cases: Case[] = [
  {
    name: 'all at once, idle, while their leader is up',
    fault: (_cluster, take) => {
      take();
      return Promise.resolve();
    },
  },
  {
    name: 'one after the other, while their leader is up',
    fault: async (cluster, take) => {
      while (cluster.cloud.workers.size > 1) {
        take(1);
        await pause(TWO_HEARTBEATS_S);
      }
    },
  },
  {
    name: 'while their leader is down, before two restarts of it',
    fault: async (cluster, take) => {
      cluster.crash('drone-0');
      take();
      await cluster.boot('drone-0');
      await pause(TWO_HEARTBEATS_S);
      cluster.crash('drone-0');
      await cluster.boot('drone-0');
    },
  },
  {
    name: 'while their leader is down and the cloud gives no answers',
    fault: async (cluster, take) => {
      cluster.crash('drone-0');
      cluster.cloud.losesAnswer = () => true;
      take();
      await cluster.boot('drone-0');
    },
  },
  {
    name: 'with a task on one of them, together with their leader for good',
    fault: (cluster, take) => {
      cluster.crash('drone-0');
      take();
      return Promise.resolve();
    },
    node: 'drone-1',
    hasRunningTask: true,
  },
  {
    name: 'with a task on one of them, while their leader is down',
    fault: async (cluster, take) => {
      cluster.crash('drone-0');
      take();
      await cluster.boot('drone-0');
    },
    hasRunningTask: true,
  },
];

/** Runs one case on its own cluster. */
async function runCase({ fault, node = 'drone-0', hasRunningTask = false }: Case): Promise<void> {
  let areMachinesGone = false;
  const runs = (task: string): number => {
    if (task.startsWith(SERVICE)) return Infinity;
    return task.startsWith(LONG_JOB) && !areMachinesGone ? Infinity : 0.3;
  };
  await withCluster({ nodes: 2, taskRunSeconds: runs }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-1',
      submission(SERVICE, { ...serviceFields, Pieces: 1 }),
    );
    await until('the peer has a machine', async () => {
      return (await jobStatus(cluster, 'drone-1', SERVICE)).running === 1;
    });
    const peerMachines = new Set(cluster.cloud.workers.keys());
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000002', { Pieces: 6, Cores: 8 }));
    await until('its tasks are done', isDone(cluster, 'drone-0', 'wk-000002'));
    if (hasRunningTask) await startLongJob(cluster);
    const take = (count = Infinity): void => {
      const names = [...cluster.cloud.workers.keys()].filter(
        (machine) => !peerMachines.has(machine),
      );
      for (const machine of names.slice(0, count)) {
        const worker = cluster.cloud.workers.get(machine);
        if (worker !== undefined) cluster.cloud.reclaim(worker);
      }
    };
    assert.ok(cluster.cloud.workers.size >= 3, `${cluster.cloud.workers.size} machines`);
    cluster.cloud.capacity = 0;
    areMachinesGone = true;
    await fault(cluster, take);
    await submitUntilAccepted(cluster, node, submission('wk-000003', { Pieces: 1 }));
    await until('the job is done', isDone(cluster, node, 'wk-000003'), LONGEST_WAIT_S);
    if (hasRunningTask)
      await until('it ran again', isDone(cluster, node, LONG_JOB), LONGEST_WAIT_S);
  });
}

/** Starts a job that needs most of a machine, so that it does not fit beside the service. */
async function startLongJob(cluster: Cluster): Promise<void> {
  await submitUntilAccepted(cluster, 'drone-0', submission(LONG_JOB, { Pieces: 1, Cores: 6 }));
  await until('its task runs', async () => {
    return (await jobStatus(cluster, 'drone-0', LONG_JOB)).running === 1;
  });
}

// The cases run concurrently: each mostly waits for the migration threshold.
test(
  'jobs do not wait for machines that are gone while a peer has a free machine',
  {
    concurrency: true,
  },
  async (t) => {
    await Promise.all(cases.map((one) => t.test(one.name, () => runCase(one))));
  },
);

test('records of machines that are gone are removed, even if all machines of a shard are silent', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.3 }, async (cluster) => {
    const storedGroups = (): string =>
      JSON.stringify([...cluster.state.rows].filter(([key]) => key.startsWith('b/fleet/')));
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000001', { Pieces: 4, Cores: 8 }));
    await until('its tasks are done', isDone(cluster, 'drone-0', 'wk-000001'));
    const reclaimed = [...cluster.cloud.workers.values()];
    assert.ok(reclaimed.length >= 2, `${reclaimed.length} machines`);
    // With addresses, the machines are probed after the restart; without, the leader would take them for machines that still boot.
    await until('their addresses are stored', () =>
      reclaimed.every(({ address }) => storedGroups().includes(address)),
    );
    cluster.crash('drone-0');
    for (const worker of reclaimed) cluster.cloud.reclaim(worker);
    cluster.cloud.capacity = 0;
    await cluster.boot('drone-0');
    const isRecorded = (): boolean => reclaimed.some(({ name }) => storedGroups().includes(name));
    await until('no record lists them', () => !isRecorded(), LONGEST_WAIT_S);
  }));
