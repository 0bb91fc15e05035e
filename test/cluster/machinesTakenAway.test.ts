/**
 * Seen: accepted jobs that never ran, beside a peer's free machine. Guards against counting on machines that are gone, in
 * whatever way they went: a job that can run elsewhere starts within what a user may wait beside a free machine.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import { submitUntilAccepted, serviceFields, jobStatus, withCluster } from '../support/users.js';

/** A job of a user may wait as long beside a machine that is free for it, in seconds. */
const LONGEST_WAIT_S = 90;

/** Two heartbeats of the workers, in seconds. */
const TWO_HEARTBEATS_S = 0.8;

const SERVICE = 'wk-000001';
const LONG_JOB = 'wk-000004';

const isDone = (cluster: Cluster, node: string, job: string) => async (): Promise<boolean> =>
  (await jobStatus(cluster, node, job)).Status === 'done';

interface Case {
  name: string;
  /** How the machines of drone-0 go; nothing more can be rented from then on. */
  trouble: (cluster: Cluster, take: (count?: number) => void) => Promise<void>;
  /** The node at which users ask and submit afterwards. */
  node?: string;
  /** A job whose task ran on one of the machines has to run again. */
  running?: boolean;
}

const cases: Case[] = [
  {
    name: 'all at once, idle, while their leader is up',
    trouble: (_cluster, take) => {
      take();
      return Promise.resolve();
    },
  },
  {
    name: 'one after the other, while their leader is up',
    trouble: async (cluster, take) => {
      while (cluster.cloud.workers.size > 1) {
        take(1);
        await pause(TWO_HEARTBEATS_S);
      }
    },
  },
  {
    name: 'while their leader is down, which then restarts twice',
    trouble: async (cluster, take) => {
      cluster.crash('drone-0');
      take();
      await cluster.boot('drone-0');
      await pause(TWO_HEARTBEATS_S);
      cluster.crash('drone-0');
      await cluster.boot('drone-0');
    },
  },
  {
    name: 'while their leader is down and the cloud answers nobody',
    trouble: async (cluster, take) => {
      cluster.crash('drone-0');
      cluster.cloud.losesAnswer = () => true;
      take();
      await cluster.boot('drone-0');
    },
  },
  {
    name: 'with a task on one of them, and their leader for good',
    trouble: (cluster, take) => {
      cluster.crash('drone-0');
      take();
      return Promise.resolve();
    },
    node: 'drone-1',
    running: true,
  },
  {
    name: 'with a task on one of them, while their leader is down',
    trouble: async (cluster, take) => {
      cluster.crash('drone-0');
      take();
      await cluster.boot('drone-0');
    },
    running: true,
  },
];

/** One case, on a cluster of its own. */
async function play({ trouble, node = 'drone-0', running = false }: Case): Promise<void> {
  let isGone = false;
  const runs = (task: string): number => {
    if (task.startsWith(SERVICE)) return Infinity;
    return task.startsWith(LONG_JOB) && !isGone ? Infinity : 0.3;
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
    const ofPeer = new Set(cluster.cloud.workers.keys());
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000002', { Pieces: 6, Cores: 8 }));
    await until('its tasks are over', isDone(cluster, 'drone-0', 'wk-000002'));
    if (running) await startLongJob(cluster);
    const take = (count = Infinity): void => {
      const names = [...cluster.cloud.workers.keys()].filter((machine) => !ofPeer.has(machine));
      for (const machine of names.slice(0, count)) {
        const worker = cluster.cloud.workers.get(machine);
        if (worker !== undefined) cluster.cloud.reclaim(worker);
      }
    };
    assert.ok(cluster.cloud.workers.size >= 3, `${cluster.cloud.workers.size} machines`);
    cluster.cloud.capacity = 0;
    isGone = true;
    await trouble(cluster, take);
    await submitUntilAccepted(cluster, node, submission('wk-000003', { Pieces: 1 }));
    await until('the job is done', isDone(cluster, node, 'wk-000003'), LONGEST_WAIT_S);
    if (running) await until('it ran again', isDone(cluster, node, LONG_JOB), LONGEST_WAIT_S);
  });
}

/** A job that needs most of a machine, and so does not fit beside the service. */
async function startLongJob(cluster: Cluster): Promise<void> {
  await submitUntilAccepted(cluster, 'drone-0', submission(LONG_JOB, { Pieces: 1, Cores: 6 }));
  await until('its task runs', async () => {
    return (await jobStatus(cluster, 'drone-0', LONG_JOB)).running === 1;
  });
}

// Side by side: each waits for the migration threshold, and does little else.
test(
  "machines that are gone keep no job waiting beside a peer's free machine",
  {
    concurrency: true,
  },
  async (t) => {
    await Promise.all(cases.map((one) => t.test(one.name, () => play(one))));
  },
);

test('records of machines that are gone are removed, though all of a shard are silent', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.3 }, async (cluster) => {
    const recorded = (): string =>
      JSON.stringify([...cluster.state.rows].filter(([key]) => key.startsWith('b/fleet/')));
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000001', { Pieces: 4, Cores: 8 }));
    await until('its tasks are over', isDone(cluster, 'drone-0', 'wk-000001'));
    const taken = [...cluster.cloud.workers.values()];
    assert.ok(taken.length >= 2, `${taken.length} machines`);
    // Then they are probed after the restart, and are not taken for machines that have not come yet.
    await until('their addresses are stored', () =>
      taken.every(({ address }) => recorded().includes(address)),
    );
    cluster.crash('drone-0');
    for (const worker of taken) cluster.cloud.reclaim(worker);
    cluster.cloud.capacity = 0;
    await cluster.boot('drone-0');
    const isRecorded = (): boolean => taken.some(({ name }) => recorded().includes(name));
    await until('no record names them', () => !isRecorded(), LONGEST_WAIT_S);
  }));
