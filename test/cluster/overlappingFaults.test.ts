/** Overlapping faults, on whole controllers: the table in docs/safety.md names the faults of each case. */
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

const state = async (cluster: Cluster, label: string, id: string): Promise<string> =>
  (await jobStatus(cluster, label, id)).Status;

async function restart(cluster: Cluster, ...labels: string[]): Promise<void> {
  for (const label of labels) cluster.crash(label);
  for (const label of labels) await cluster.boot(label);
}

test('tasks that end far apart, across changes of leader: each runs once', () =>
  withCluster(
    { nodes: 2, taskRunSeconds: (task) => (task.endsWith('/0') ? 0.3 : 4) },
    async (cluster) => {
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000501', { Pieces: 2 }));
      await until('the first has ended', async () => {
        return (await jobStatus(cluster, 'drone-0', 'wk-000501')).done === 1;
      });
      await restart(cluster, 'drone-0');
      await restart(cluster, 'drone-0', 'drone-1');
      await until('done', async () => (await state(cluster, 'drone-1', 'wk-000501')) === 'done');
      assert.deepEqual([...cluster.cloud.startedTasks].sort(), ['wk-000501/0', 'wk-000501/1']);
    },
  ));

test('all controllers are away for longer than a lease: what ran starts anew, and only once', () =>
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

test('leaders change again and again inside an outage of the state service', () =>
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
    await until('it is known everywhere', async () => {
      for (const label of cluster.nodes.keys()) {
        if ((await jobStatus(cluster, label, 'wk-000521')).running !== 2) return false;
      }
      return true;
    });
    assert.equal(cluster.cloud.startedTasks.length, 2, 'healthy replicas were started anew');
  }));

const silences: { name: string; silence: (worker: WorkerStandIn, on: boolean) => void }[] = [
  { name: 'hangs', silence: (w, on) => (w.hanging = on) },
  { name: 'hears no answer', silence: (w, on) => (w.deaf = on) },
  { name: 'reaches no controller', silence: (w, on) => (w.cutOff = on) },
];
for (const { name, silence } of silences) {
  test(`a leader ends while a machine ${name}, and the machine goes on: no task on two machines`, () =>
    withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
      await submitUntilAccepted(
        cluster,
        'drone-0',
        submission('wk-000531', { ...serviceFields, Pieces: 1 }),
      );
      await until('it runs', () => holder(cluster, 'wk-000531/0') !== undefined);
      const worker = holder(cluster, 'wk-000531/0');
      if (worker === undefined) throw new Error('no machine');
      silence(worker, true);
      cluster.crash('drone-0');
      await pause(2);
      await cluster.boot('drone-0');
      await pause(3);
      silence(worker, false);
      await until('it runs, and is said to', async () => {
        const said = (await jobStatus(cluster, 'drone-1', 'wk-000531')).running === 1;
        return said && holder(cluster, 'wk-000531/0') !== undefined;
      });
    }));
}

test('at the limit of a team, a leader ends, a machine hangs and its job is cancelled', () => {
  const teams = '[[settings.teams]]\nname = "crew"\ncpus_max = 4.0';
  return withCluster(
    { nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity, teams },
    async (cluster) => {
      const stopWatching = trackPeakCpus(cluster);
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
      await until('the next has its place', () =>
        [0, 1].every((n) => holder(cluster, `wk-000542/${n}`) !== undefined),
      );
      const most = stopWatching();
      assert.ok(most <= 4, `${most} processors were in use`);
    },
  );
});

test('cancellations, questions and repeats at the end of the last task: nothing goes back', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.3 }, async (cluster) => {
    const ids = Array.from({ length: 12 }, (_, n) => `wk-${String(600 + n).padStart(6, '0')}`);
    await Promise.all(
      ids.map(async (id, n) => {
        const label = `drone-${n % 2}`;
        const other = `drone-${(n + 1) % 2}`;
        const job = submission(id, { Pieces: 1 });
        await submitUntilAccepted(cluster, label, job);
        // From all sides, from just before its end to well after it.
        const ask = async (at: string, method: string, path: string): Promise<string | null> => {
          const answer = await cluster.call(at, method, path, method === 'POST' ? job : undefined);
          return answer.status < 300 ? (answer.body as JobAnswer).Status : null;
        };
        let over: string | null = null;
        for (let turn = 0; turn < 60; turn++) {
          const path = `/v1/jobs/${id}`;
          const [at, then] = turn % 2 === 0 ? [label, other] : [other, label];
          const said = [await ask(at, 'GET', path), await ask(then, 'POST', '/v1/jobs')];
          if (turn === 6 + n) said.push(await ask(at, 'POST', `${path}/withdraw`));
          for (const one of said) {
            if (one === null) continue;
            if (over !== null) assert.equal(one, over, `${id} went back`);
            if (one === 'done' || one === 'cancelled') over = one;
          }
          await pause(0.05);
        }
        assert.notEqual(over, null);
      }),
    );
  }));

test('jobs bound to a zone lose their machines, and stay in their zone', () =>
  withCluster({ nodes: 2, zones: ['a', 'b'], taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000551', { ...serviceFields, Yard: 'b' }),
    );
    const array = { Pieces: 3, Yard: 'b', Loaners: false };
    await submitUntilAccepted(cluster, 'drone-1', submission('wk-000552', array));
    const all = ['wk-000551/0', 'wk-000551/1', 'wk-000552/0', 'wk-000552/1', 'wk-000552/2'];
    const run = (): boolean => all.every((task) => holder(cluster, task) !== undefined);
    await until('all run', run);
    const lost = new Set(all.map((task) => holder(cluster, task)));
    for (const worker of lost) if (worker !== undefined) worker.hanging = true;
    await until(
      'they run elsewhere',
      () => run() && all.every((t) => !lost.has(holder(cluster, t))),
    );
    assert.deepEqual(new Set(cluster.cloud.startZones), new Set(['b']));
  }));

test('a leader is cut from store and peers, and a job is cancelled through the new one', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000561', serviceFields));
    await until('it runs', () => holder(cluster, 'wk-000561/1') !== undefined);
    // Its machines do not hear the new leader, so the old one alone keeps them alive.
    cluster.state.refusedClients.add('drone-0');
    cluster.isolatedNodes.add('drone-0');
    let confirmed = 0;
    await until('it is cancelled', async () => {
      const answer = await cluster.call('drone-1', 'POST', '/v1/jobs/wk-000561/withdraw');
      confirmed = performance.now();
      return answer.status === 200;
    });
    await until('its tasks have gone', () =>
      [0, 1].every((n) => holder(cluster, `wk-000561/${n}`) === undefined),
    );
    // As the settings of the stand-ins have it: a lease of 3 s, 5 s for a cancellation.
    assert.ok(performance.now() - confirmed < 5000, 'they went on for too long');
  }));
