/** Faults that overlap with each other; the table in docs/safety.md lists the faults of each case. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import type { WorkerStandIn } from '../support/fleet.js';
import {
  submitUntilAccepted,
  serviceFields,
  jobStatus,
  trackPeakCpus,
  withCluster,
  type JobAnswer,
} from '../support/users.js';

const holder = (cluster: Cluster, task: string): WorkerStandIn | undefined =>
  [...cluster.cloud.workers.values()].find((w) => w.tasks.includes(task));

const stateOf = async (cluster: Cluster, label: string, id: string): Promise<string> =>
  (await jobStatus(cluster, label, id)).Status;

async function restart(cluster: Cluster, ...labels: string[]): Promise<void> {
  for (const label of labels) cluster.crash(label);
  for (const label of labels) await cluster.boot(label);
}

test('tasks that terminate far apart, across changes of leader, run once each', () =>
  withCluster(
    { nodes: 2, taskRunSeconds: (task) => (task.endsWith('/0') ? 0.3 : 4) },
    async (cluster) => {
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000501', { Pieces: 2 }));
      await until('the first task is done', async () => {
        return (await jobStatus(cluster, 'drone-0', 'wk-000501')).done === 1;
      });
      await restart(cluster, 'drone-0');
      await restart(cluster, 'drone-0', 'drone-1');
      await until('done', async () => (await stateOf(cluster, 'drone-1', 'wk-000501')) === 'done');
      assert.deepEqual([...cluster.cloud.startedTasks].sort(), ['wk-000501/0', 'wk-000501/1']);
    },
  ));

test('after an outage of all controllers for longer than a lease, each task starts again exactly once', () =>
  withCluster({ nodes: 2, workerLease: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000511', serviceFields));
    const runs = async (): Promise<boolean> =>
      (await jobStatus(cluster, 'drone-0', 'wk-000511')).running === 2;
    await until('it runs', runs);
    for (const label of ['drone-0', 'drone-1']) cluster.crash(label);
    await until('its tasks are killed', () => holder(cluster, 'wk-000511/0') === undefined);
    for (const label of ['drone-0', 'drone-1']) await cluster.boot(label);
    await until('both run again', () =>
      [0, 1].every((n) => holder(cluster, `wk-000511/${n}`) !== undefined),
    );
    assert.equal(cluster.cloud.startedTasks.length, 4);
  }));

test('repeated changes of leader during an outage of the state service restart no task', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000521', serviceFields));
    await until('it runs', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000521')).running === 2;
    });
    cluster.state.refusedClients.add('*');
    for (const label of ['drone-0', 'drone-1', 'drone-2', 'drone-0', 'drone-1', 'drone-0']) {
      await restart(cluster, label);
      await pause(0.1);
    }
    cluster.state.refusedClients.clear();
    await until('all nodes report the tasks', async () => {
      for (const label of cluster.nodes.keys()) {
        if ((await jobStatus(cluster, label, 'wk-000521')).running !== 2) return false;
      }
      return true;
    });
    assert.equal(cluster.cloud.startedTasks.length, 2, 'healthy replicas were started again');
  }));

const machineFaults: { name: string; set: (worker: WorkerStandIn, isOn: boolean) => void }[] = [
  { name: 'hangs', set: (w, isOn) => (w.hanging = isOn) },
  { name: 'receives no answers', set: (w, isOn) => (w.deaf = isOn) },
  { name: 'reaches no controller', set: (w, isOn) => (w.cutOff = isOn) },
];
for (const { name, set } of machineFaults) {
  test(`a leader crashes while a machine ${name}, and the machine recovers: no task runs on two machines`, () =>
    withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
      await submitUntilAccepted(
        cluster,
        'drone-0',
        submission('wk-000531', { ...serviceFields, Pieces: 1 }),
      );
      await until('it runs', () => holder(cluster, 'wk-000531/0') !== undefined);
      const worker = holder(cluster, 'wk-000531/0');
      if (worker === undefined) throw new Error('no machine');
      set(worker, true);
      cluster.crash('drone-0');
      await pause(2);
      await cluster.boot('drone-0');
      await pause(3);
      set(worker, false);
      await until('it runs, and is reported as running', async () => {
        const isReported = (await jobStatus(cluster, 'drone-1', 'wk-000531')).running === 1;
        return isReported && holder(cluster, 'wk-000531/0') !== undefined;
      });
    }));
}

test('a team limit holds while a leader crashes, a machine hangs and its job is cancelled', () => {
  const teams = '[[settings.teams]]\nname = "crew"\ncpus_max = 4.0';
  return withCluster(
    { nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity, teams },
    async (cluster) => {
      const stopTracking = trackPeakCpus(cluster);
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000541', serviceFields));
      await until('it runs', () => holder(cluster, 'wk-000541/1') !== undefined);
      await submitUntilAccepted(cluster, 'drone-1', submission('wk-000542', serviceFields));
      const worker = holder(cluster, 'wk-000541/0');
      if (worker !== undefined) worker.hanging = true;
      cluster.crash('drone-0');
      await until('it is cancelled', async () => {
        const answer = await cluster.call('drone-1', 'POST', '/v1/jobs/wk-000541/withdraw');
        return answer.status === 200;
      });
      await until('the next job runs', () =>
        [0, 1].every((n) => holder(cluster, `wk-000542/${n}`) !== undefined),
      );
      const peak = stopTracking();
      assert.ok(peak <= 4, `${peak} CPUs were in use`);
    },
  );
});

test('cancellations, reads and repeated submissions around the end of the last task: no state goes back', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.3 }, async (cluster) => {
    const ids = Array.from({ length: 12 }, (_, n) => `wk-${String(600 + n).padStart(6, '0')}`);
    await Promise.all(
      ids.map(async (id, n) => {
        const label = `drone-${n % 2}`;
        const other = `drone-${(n + 1) % 2}`;
        const job = submission(id, { Pieces: 1 });
        await submitUntilAccepted(cluster, label, job);
        // Requests go to both nodes, from just before the job's end until well after it.
        const ask = async (node: string, method: string, path: string): Promise<string | null> => {
          const answer = await cluster.call(
            node,
            method,
            path,
            method === 'POST' ? job : undefined,
          );
          return answer.status < 300 ? (answer.body as JobAnswer).Status : null;
        };
        let finalState: string | null = null;
        for (let turn = 0; turn < 60; turn++) {
          const path = `/v1/jobs/${id}`;
          const [firstNode, secondNode] = turn % 2 === 0 ? [label, other] : [other, label];
          const states = [
            await ask(firstNode, 'GET', path),
            await ask(secondNode, 'POST', '/v1/jobs'),
          ];
          if (turn === 6 + n) states.push(await ask(firstNode, 'POST', `${path}/withdraw`));
          for (const state of states) {
            if (state === null) continue;
            if (finalState !== null) assert.equal(state, finalState, `${id} went back`);
            if (state === 'done' || state === 'cancelled') finalState = state;
          }
          await pause(0.05);
        }
        assert.notEqual(finalState, null);
      }),
    );
  }));

test('jobs bound to a zone stay in it when they lose their machines', () =>
  withCluster({ nodes: 2, zones: ['a', 'b'], taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000551', { ...serviceFields, Yard: 'b' }),
    );
    const array = { Pieces: 3, Yard: 'b', Loaners: false };
    await submitUntilAccepted(cluster, 'drone-1', submission('wk-000552', array));
    const all = ['wk-000551/0', 'wk-000551/1', 'wk-000552/0', 'wk-000552/1', 'wk-000552/2'];
    const allRun = (): boolean => all.every((task) => holder(cluster, task) !== undefined);
    await until('all run', allRun);
    const lost = new Set(all.map((task) => holder(cluster, task)));
    for (const worker of lost) if (worker !== undefined) worker.hanging = true;
    await until(
      'they run elsewhere',
      () => allRun() && all.every((t) => !lost.has(holder(cluster, t))),
    );
    assert.deepEqual(new Set(cluster.cloud.startZones), new Set(['b']));
  }));

test('a job of a leader that is cut off from the state service and peers is cancelled at the new leader', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000561', serviceFields));
    await until('it runs', () => holder(cluster, 'wk-000561/1') !== undefined);
    // Its machines have no contact to the new leader: only the old one renews their leases.
    cluster.state.refusedClients.add('drone-0');
    cluster.isolatedNodes.add('drone-0');
    let confirmedAt = 0;
    await until('it is cancelled', async () => {
      const answer = await cluster.call('drone-1', 'POST', '/v1/jobs/wk-000561/withdraw');
      confirmedAt = performance.now();
      return answer.status === 200;
    });
    await until('its tasks have terminated', () =>
      [0, 1].every((n) => holder(cluster, `wk-000561/${n}`) === undefined),
    );
    // The settings give a lease of 3 s, and 5 s for a cancellation.
    assert.ok(performance.now() - confirmedAt < 5000, 'the tasks ran for too long');
  }));
