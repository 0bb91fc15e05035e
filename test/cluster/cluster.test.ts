/** Answers to users in a cluster of controllers without faults, or with a single one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission, until } from '../support/cluster.js';
import { jobSpec } from '../support/jobSpec.js';
import {
  submitUntilAccepted,
  serviceFields,
  callUntilServed,
  jobStatus,
  trackPeakCpus,
  withCluster,
  type JobAnswer,
} from '../support/users.js';

const endless = (): number => Infinity;
const brief = (): number => 0.3;

test('a job finishes, and every node reports it as done', () =>
  withCluster({ nodes: 3, taskRunSeconds: brief }, async (cluster) => {
    const job = submission('wk-000001');
    const first = await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', job);
    assert.ok(first.status === 201 || first.status === 200, String(first.status));
    const again = await callUntilServed(cluster, 'drone-1', 'POST', '/v1/jobs', job);
    assert.equal(again.status, 200);
    for (const label of cluster.nodes.keys()) {
      await until(`${label} reports done`, async () => {
        return (await jobStatus(cluster, label, 'wk-000001')).Status === 'done';
      });
    }
    assert.deepEqual(
      [...cluster.cloud.startedTasks].sort(),
      [0, 1, 2].map((n) => `wk-000001/${n}`),
    );
    const unknown = await cluster.call('drone-2', 'GET', '/v1/jobs/wk-999999');
    assert.equal(unknown.status, 404);
  }));

test('a cancelled job stays cancelled at every node, and its tasks terminate', () =>
  withCluster({ nodes: 2, taskRunSeconds: endless }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000002', serviceFields));
    await until('it runs', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000002')).running === 2;
    });
    const answer = await callUntilServed(cluster, 'drone-1', 'POST', '/v1/jobs/wk-000002/withdraw');
    assert.equal(answer.status, 200);
    assert.equal((answer.body as JobAnswer).Status, 'cancelled');
    for (const label of cluster.nodes.keys()) {
      assert.equal((await jobStatus(cluster, label, 'wk-000002')).Status, 'cancelled');
    }
    await until('no task is left', () =>
      [...cluster.cloud.workers.values()].every((w) => w.tasks.length === 0),
    );
    const retry = await callUntilServed(
      cluster,
      'drone-1',
      'POST',
      '/v1/jobs',
      submission('wk-000002', serviceFields),
    );
    assert.deepEqual([retry.status, (retry.body as JobAnswer).Status], [200, 'cancelled']);
  }));

test('a node that the state service refuses relays requests of users to a peer', () =>
  withCluster({ nodes: 2, taskRunSeconds: brief }, async (cluster) => {
    cluster.state.refusedClients.add('drone-1');
    await submitUntilAccepted(cluster, 'drone-1', submission('wk-000031'));
    await until('done at the refused node', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-000031')).Status === 'done';
    });
  }));

test('tasks of a hanging machine start elsewhere only after they have terminated on it', () =>
  withCluster({ nodes: 2, taskRunSeconds: endless }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000041', { ...serviceFields, Pieces: 1 }),
    );
    const machineOfTask = (): string | undefined =>
      [...cluster.cloud.workers.values()].find((w) => w.tasks.includes('wk-000041/0'))?.name;
    await until('it runs', () => machineOfTask() !== undefined);
    const first = machineOfTask() ?? '';
    const worker = cluster.cloud.workers.get(first);
    if (worker !== undefined) worker.hanging = true;
    await until(
      'it runs on another machine',
      () => machineOfTask() !== undefined && machineOfTask() !== first,
    );
    assert.ok(
      cluster.cloud.releasedMachines.includes(first),
      'the hanging machine was not released first',
    );
  }));

test('a team limit holds across shards', () => {
  const teams = '[[settings.teams]]\nname = "crew"\ncpus_max = 4.0';
  return withCluster({ nodes: 3, taskRunSeconds: brief, teams }, async (cluster) => {
    const stopTracking = trackPeakCpus(cluster);
    for (const [i, label] of [...cluster.nodes.keys()].entries()) {
      await submitUntilAccepted(cluster, label, submission(`wk-00005${i}`));
    }
    await until('all are done', async () => {
      for (const i of [0, 1, 2]) {
        if ((await jobStatus(cluster, 'drone-0', `wk-00005${i}`)).Status !== 'done') return false;
      }
      return true;
    });
    const peak = stopTracking();
    assert.ok(peak <= 4, `${peak} CPUs were in use`);
    const tooLarge = submission('wk-000059', { ...serviceFields, Pieces: 3 });
    assert.equal(
      (await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', tooLarge)).status,
      422,
    );
  });
});

test('the answer about a waiting job gives the reason', () =>
  withCluster({ nodes: 1, taskRunSeconds: endless }, async (cluster) => {
    cluster.cloud.capacity = 0;
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000061'));
    const { Reason } = await jobStatus(cluster, 'drone-0', 'wk-000061');
    assert.match(Reason ?? '', /3 task\(s\) of 2 CPUs and 4 GB wait for a machine/);
    assert.match(Reason ?? '', /Nothing is ahead of it/);
  }));

test('a job is accepted once although its first transaction got no answer and is applied late', () =>
  withCluster({ nodes: 1, taskRunSeconds: brief }, async (cluster) => {
    const storesJob = (body: { Then?: { Put?: string }[] }): boolean =>
      (body.Then ?? []).some((op) => op.Put === 'b/job/wk-000071');
    let withheldCount = 0;
    cluster.state.withholds = (body) => storesJob(body) && withheldCount++ === 0;
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000071'));
    for (const body of cluster.state.withheldTransactions) {
      assert.equal(
        cluster.state.apply(body).status,
        409,
        'the withheld transaction was applied too',
      );
    }
    await until('done', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000071')).Status === 'done';
    });
    assert.equal(cluster.cloud.startedTasks.length, 3);
  }));

test('a stored bucket that its leader does not know is adopted', () =>
  withCluster({ nodes: 1, taskRunSeconds: brief }, async (cluster) => {
    const spec = jobSpec({ id: 'wk-000081', taskCount: 2 });
    const shared = { spec, homeShard: 'drone-0', submittedAt: 1 };
    const job = {
      ...shared,
      state: 'open',
      tasks: 2,
      size: 8,
      zones: [],
      cut: 1,
      finished: [],
      away: [],
    };
    const chunk = { from: 0, to: 2, zone: null, next: 1, done: [], entries: [], moves: 0 };
    const answer = cluster.state.apply({
      Then: [
        { Put: 'b/job/wk-000081', Value: job },
        { Put: 'b/run/drone-0/s1', Value: { chunks: { 'wk-000081/0': { ...shared, ...chunk } } } },
      ],
    });
    assert.equal(answer.status, 200);
    await until('its tasks have run', () => cluster.cloud.startedTasks.length === 2);
  }));

test('while the outcome of storing a finished job is unknown, its leader answers only from the store', () =>
  withCluster({ nodes: 1, taskRunSeconds: brief }, async (cluster) => {
    // Peers may have read the record already and told users that the job is done.
    let isLost = true;
    cluster.state.withholds = (body) =>
      isLost &&
      ((body.Then ?? []) as { Put?: string; Value?: { state?: string } }[]).some(
        (op) => op.Put === 'b/job/wk-000075' && op.Value?.state === 'done',
      );
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000075'));
    const isOutcomeUnknown = (): boolean | undefined =>
      cluster.nodes.get('drone-0')?.controller.ownedShards.get('drone-0')?.jobs.get('wk-000075')
        ?.isOutcomeUnknown;
    await until('storing its end got no answer', () => isOutcomeUnknown() === true);
    cluster.state.refusedClients.add('drone-0');
    assert.equal((await cluster.call('drone-0', 'GET', '/v1/jobs/wk-000075')).status, 503);
    isLost = false;
    cluster.state.refusedClients.clear();
    await until('done', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-000075')).Status === 'done';
    });
  }));

test('rentals and releases whose answers are lost are repeated without further effect', () =>
  withCluster({ nodes: 2, taskRunSeconds: endless }, async (cluster) => {
    const { cloud } = cluster;
    const lost: string[] = [];
    cloud.losesAnswer = (path) => {
      const isFirst = path.startsWith('POST /rentals') && !lost.includes(path);
      if (isFirst) lost.push(path);
      return isFirst;
    };
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000301', { ...serviceFields, Pieces: 1 }),
    );
    const machineOfTask = (): string | undefined =>
      [...cloud.workers.values()].find((w) => w.tasks.includes('wk-000301/0'))?.name;
    await until('it runs', () => machineOfTask() !== undefined);
    const first = machineOfTask() ?? '';
    const worker = cloud.workers.get(first);
    if (worker !== undefined) worker.hanging = true;
    await until(
      'it runs on another machine',
      () => machineOfTask() !== undefined && machineOfTask() !== first,
    );
    await until('no node lists the first machine any more', () =>
      [...cluster.nodes.values()].every((n) => n.controller.inventory.get(first) === undefined),
    );
    assert.deepEqual(lost.sort(), ['POST /rentals', 'POST /rentals/release']);
    // The repeated rental returned the machines of the first one: no machine is unknown.
    const allKnown = (): boolean =>
      [...cloud.workers.keys()].every((name) =>
        [...cluster.nodes.values()].every((n) => n.controller.inventory.get(name) !== undefined),
      );
    await until('every rented machine is known', allKnown);
  }));

const unusualSubmissions: [string, unknown, number][] = [
  ['not an object', [1], 400],
  ['a missing field', submission('wk-000401', { Cores: undefined }), 400],
  ['an unknown team', submission('wk-000402', { Owner: 'nobody' }), 422],
  ['a task that fits no machine type', submission('wk-000403', { Cores: 64 }), 422],
  ['a task that fits no allowed machine type', submission('wk-000404', { Flavours: ['m9'] }), 422],
  ['a zone without machines', submission('wk-000405', { Yard: 'z' }), 422],
  ['a service above the team limit', submission('wk-000406', { ...serviceFields, Pieces: 9 }), 422],
  ['a task above the team limit', submission('wk-000407', { Cores: 7 }), 422],
];
test('unusual requests get the same answers at each node, also after a restart', () => {
  const teams = '[[settings.teams]]\nname = "crew"\ncpus_max = 6.0';
  return withCluster({ nodes: 2, taskRunSeconds: brief, teams }, async (cluster) => {
    const ask = async (node: string, method: string, path: string, body?: unknown) => {
      const { status: code, body: answer } = await callUntilServed(
        cluster,
        node,
        method,
        path,
        body,
      );
      return [code, (answer as Partial<JobAnswer>).Status];
    };
    const finishedJob = submission('wk-000411');
    await submitUntilAccepted(cluster, 'drone-0', finishedJob);
    await until(
      'done',
      async () => (await jobStatus(cluster, 'drone-0', 'wk-000411')).Status === 'done',
    );
    for (const isRestarted of [false, true]) {
      if (isRestarted) {
        cluster.crash('drone-0');
        await cluster.boot('drone-0');
      }
      for (const node of cluster.nodes.keys()) {
        for (const [name, body, code] of unusualSubmissions) {
          assert.equal((await ask(node, 'POST', '/v1/jobs', body))[0], code, `${name} at ${node}`);
        }
        assert.deepEqual(await ask(node, 'POST', '/v1/jobs', finishedJob), [200, 'done']);
        assert.deepEqual(await ask(node, 'POST', '/v1/jobs/wk-000411/withdraw'), [200, 'done']);
        assert.deepEqual(await ask(node, 'GET', '/v1/jobs/wk-000411'), [200, 'done']);
        assert.equal((await ask(node, 'GET', '/v1/jobs/wk-000499'))[0], 404);
        assert.equal((await ask(node, 'POST', '/v1/jobs/wk-000499/withdraw'))[0], 404);
      }
    }
    // Without the state service, a node cannot rule out that the job exists.
    cluster.state.refusedClients.add('*');
    const unknown = await cluster.call('drone-1', 'GET', '/v1/jobs/wk-000499');
    assert.equal(unknown.status, 503);
  });
});
