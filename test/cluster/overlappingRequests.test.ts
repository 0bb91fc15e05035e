/** Faults that overlap with requests of users; the table in docs/safety.md lists the faults of each case. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BucketRecord, JobRecord } from '../../src/storage/records.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import {
  submitUntilAccepted,
  waitForTakeover,
  serviceFields,
  jobStatus,
  trackPeakCpus,
  withCluster,
  type JobAnswer,
} from '../support/users.js';

const tasksOf = (cluster: Cluster, id: string): string[] =>
  [...cluster.cloud.workers.values()].flatMap((worker) =>
    worker.tasks.filter((task) => task.startsWith(`${id}/`)),
  );

/** A node's answer about a job: the job's state, the HTTP status of an answer without one, or null while the node is down. */
async function ask(
  cluster: Cluster,
  label: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<string | number | null> {
  try {
    const answer = await cluster.call(label, method, path, body);
    return answer.status < 300 ? (answer.body as JobAnswer).Status : answer.status;
  } catch {
    return null;
  }
}

async function cancel(cluster: Cluster, labels: string[], id: string): Promise<void> {
  let turn = 0;
  await until(`${id} is cancelled`, async () => {
    const label = labels[turn++ % labels.length] ?? '';
    const answer = await ask(cluster, label, 'POST', `/v1/jobs/${id}/withdraw`);
    return answer === 'cancelled';
  });
}

interface TxnBody {
  Then?: { Put?: string; Value?: unknown }[];
}

/** Loses the answer to the first transaction that stores this key with this state; the transaction is applied at once. */
function loseAnswer(cluster: Cluster, key: string, state: string): { count: number } {
  const lost = { count: 0 };
  cluster.state.withholds = (body: TxnBody): boolean => {
    const put = body.Then?.find((operation) => operation.Put === key);
    if (put === undefined) return false;
    // The decoder handles all record formats; compact records omit the state of an open job.
    const record = recordFormatFor().decode(key, put.Value) as JobRecord;
    if (record.state !== state) return false;
    if (lost.count >= 1) return false;
    lost.count++;
    cluster.state.apply(body);
    return true;
  };
  return lost;
}

test('a job whose acceptance is stored but not confirmed is known to all nodes, and runs once', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.5 }, async (cluster) => {
    const id = 'wk-000801';
    const job = submission(id, { Pieces: 2 });
    const lost = loseAnswer(cluster, `b/job/${id}`, 'open');
    const firstRequest = ask(cluster, 'drone-0', 'POST', '/v1/jobs', job);
    await until('it is stored', () => lost.count === 1);
    await until('the other node knows it', async () => {
      const answer = await ask(cluster, 'drone-1', 'GET', `/v1/jobs/${id}`);
      return typeof answer === 'string';
    });
    await submitUntilAccepted(cluster, 'drone-1', job);
    const answer = await firstRequest;
    assert.ok(typeof answer === 'string' || answer === 503, `the first node answered ${answer}`);
    await until(
      'it is done',
      async () => (await jobStatus(cluster, 'drone-0', id)).Status === 'done',
    );
    assert.deepEqual([...cluster.cloud.startedTasks].sort(), [`${id}/0`, `${id}/1`]);
  }));

test('a cancellation is stored but not confirmed: once a node has reported it, none reports another state', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const id = 'wk-000811';
    await submitUntilAccepted(cluster, 'drone-0', submission(id, serviceFields));
    await until('it runs', () => tasksOf(cluster, id).length === 2);
    const lost = loseAnswer(cluster, `b/job/${id}`, 'cancelled');
    let isConfirmed = false;
    const path = `/v1/jobs/${id}`;
    // The leader learns of it last: its answer is lost, and its watch is stalled.
    cluster.state.stalledWatchClients.add('drone-0');
    const cancelling = cancel(cluster, ['drone-0'], id).then(() => (isConfirmed = true));
    let isReported = false;
    while (!isConfirmed || !isReported) {
      for (const label of ['drone-1', 'drone-0']) {
        const answer = await ask(cluster, label, 'GET', path);
        if (typeof answer !== 'string') continue;
        if (isReported) assert.equal(answer, 'cancelled', `${label} went back`);
        if (answer === 'cancelled') isReported = true;
      }
    }
    await cancelling;
    cluster.state.stalledWatchClients.clear();
    assert.equal(lost.count, 1);
    await until('its tasks have terminated', () => tasksOf(cluster, id).length === 0);
  }));

test('concurrent reads and repeated submissions at all nodes get no outdated answer', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    const labels = [...cluster.nodes.keys()];
    const askAll = (
      method: string,
      path: string,
      body?: unknown,
    ): Promise<(string | number | null)[]> =>
      Promise.all(labels.map((label) => ask(cluster, label, method, path, body)));
    for (const [index, id] of ['wk-000821', 'wk-000822', 'wk-000823'].entries()) {
      const label = labels[index] ?? '';
      const job = submission(id, { ...serviceFields, Pieces: 1 });
      const path = `/v1/jobs/${id}`;
      await submitUntilAccepted(cluster, label, job);
      for (let turn = 0; turn < 4; turn++) {
        const answers = [
          ...(await askAll('GET', path)),
          ...(await askAll('POST', '/v1/jobs', job)),
        ];
        assert.ok(!answers.includes(404), `${id} is unknown: ${answers.join(' ')}`);
      }
      await cancel(cluster, [label], id);
      for (let turn = 0; turn < 4; turn++) {
        const answers = [
          ...(await askAll('GET', path)),
          ...(await askAll('POST', '/v1/jobs', job)),
        ];
        const outdated = answers.filter((answer) => answer !== 'cancelled' && answer !== 503);
        assert.deepEqual(outdated, [], `${id} went back`);
      }
    }
  }));

test('jobs that are cancelled during a change of leader start no more tasks and terminate in time', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    const ids = ['wk-000831', 'wk-000832', 'wk-000833', 'wk-000834'];
    for (const id of ids)
      await submitUntilAccepted(cluster, 'drone-0', submission(id, serviceFields));
    const allRun = (): boolean => ids.every((id) => tasksOf(cluster, id).length === 2);
    await until('all run', allRun);
    // Users keep sending requests to both nodes while one crashes, its peer leads its shard, and it leads the shard again.
    const confirmed = ids.map(async (id, index) => {
      await pause(index * 0.5);
      await cancel(cluster, ['drone-0', 'drone-1'], id);
      const starts = cluster.cloud.startedTasks.length;
      const confirmedAt = performance.now();
      await until(`the tasks of ${id} have terminated`, () => tasksOf(cluster, id).length === 0);
      assert.ok(performance.now() - confirmedAt < 5000, `${id} ran for too long`);
      return { id, starts };
    });
    cluster.crash('drone-0');
    await waitForTakeover(cluster, 'drone-0');
    await cluster.boot('drone-0');
    for (const { id, starts } of await Promise.all(confirmed)) {
      const later = cluster.cloud.startedTasks.slice(starts).filter((task) => task.startsWith(id));
      assert.deepEqual(later, [], `${id} was started after its cancellation was confirmed`);
    }
  }));

test('of many jobs with one task, a quarter is cancelled and each of the others runs once', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.2 }, async (cluster) => {
    const ids = Array.from({ length: 40 }, (_, n) => `wk-${String(850 + n).padStart(6, '0')}`);
    const cancelled = new Map<string, number>();
    await Promise.all(
      ids.map(async (id, n) => {
        await pause(n * 0.05);
        const label = `drone-${n % 2}`;
        await submitUntilAccepted(cluster, label, submission(id, { Pieces: 1 }));
        if (n % 4 > 0) return;
        let answer: string | number | null = null;
        await until(`${id} is final`, async () => {
          answer = await ask(cluster, label, 'POST', `/v1/jobs/${id}/withdraw`);
          return answer === 'cancelled' || answer === 'done';
        });
        if (answer === 'cancelled') cancelled.set(id, cluster.cloud.startedTasks.length);
      }),
    );
    const isFinal = async (id: string): Promise<boolean> => {
      const { Status } = await jobStatus(cluster, 'drone-1', id);
      return Status === (cancelled.has(id) ? 'cancelled' : 'done');
    };
    for (const id of ids) await until(`${id} is final`, () => isFinal(id));
    for (const id of ids) {
      const starts = cluster.cloud.startedTasks.filter((task) => task === `${id}/0`).length;
      assert.ok(cancelled.has(id) ? starts <= 1 : starts === 1, `${id} started ${starts} times`);
    }
    for (const [id, from] of cancelled) {
      const later = cluster.cloud.startedTasks.slice(from).filter((task) => task === `${id}/0`);
      assert.deepEqual(later, [], `${id} was started after its cancellation was confirmed`);
    }
  }));

test('nothing runs twice on new machines while transactions are delayed and the leader crashes', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    // Every third transaction gets no answer and is applied after later ones.
    let count = 0;
    cluster.state.withholds = () => ++count % 3 === 0;
    const ids = ['wk-000901', 'wk-000902', 'wk-000903'];
    const spread = { ...serviceFields, Cores: 4 };
    for (const id of ids) await submitUntilAccepted(cluster, 'drone-0', submission(id, spread));
    await until('a machine runs a task', () => cluster.cloud.startedTasks.length > 0);
    cluster.crash('drone-0');
    for (const body of cluster.state.withheldTransactions.splice(0)) cluster.state.apply(body);
    await cluster.boot('drone-0');
    cluster.state.withholds = null;
    await until('all run', () => ids.every((id) => tasksOf(cluster, id).length === 2));
    for (const body of cluster.state.withheldTransactions.splice(0)) cluster.state.apply(body);
    await until('all jobs are reported as running', async () => {
      const answers = await Promise.all(ids.map((id) => jobStatus(cluster, 'drone-1', id)));
      return answers.every(({ running }) => running === 2);
    });
  }));

test('commands of a former leader that are received after those of the new one have no effect', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000911', { ...serviceFields, Pieces: 1 }),
    );
    await until('a machine runs a task', () => tasksOf(cluster, 'wk-000911').length === 1);
    for (const worker of cluster.cloud.workers.values()) worker.holdsCommands = true;
    const id = 'wk-000912';
    await submitUntilAccepted(cluster, 'drone-0', submission(id, { ...serviceFields, Pieces: 3 }));
    await pause(0.2);
    cluster.state.refusedClients.add('drone-0');
    cluster.isolatedNodes.add('drone-0');
    const newLeader = await waitForTakeover(cluster, 'drone-0');
    await until('a worker has received the new fencing token', () =>
      [...cluster.cloud.workers.values()].some(
        (worker) => worker.highestFencingToken >= newLeader.token,
      ),
    );
    for (const worker of cluster.cloud.workers.values()) worker.holdsCommands = false;
    await until('all run', () => tasksOf(cluster, id).length === 3);
    await pause(0.5);
    assert.deepEqual(tasksOf(cluster, id).sort(), [`${id}/0`, `${id}/1`, `${id}/2`]);
    assert.equal(tasksOf(cluster, 'wk-000911').length, 1);
  }));

test('the team limit holds when a leader crashes before the ends of tasks are stored', () =>
  withCluster(
    {
      nodes: 2,
      taskRunSeconds: (task) =>
        task === 'wk-000851/0' || !task.startsWith('wk-000851') ? Infinity : 0.5,
      teams: '[[settings.teams]]\nname = "crew"\ncpus_max = 8.0',
    },
    async (cluster) => {
      const stopTracking = trackPeakCpus(cluster);
      const running = (id: string): number => tasksOf(cluster, id).length;
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000851', { Pieces: 4 }));
      // From now on, no end of a task of the first job is stored.
      cluster.state.withholds = (body: TxnBody): boolean =>
        body.Then?.some(
          ({ Put: key, Value: value }) =>
            key?.startsWith('b/run/') === true && hasDoneTasks(key, value, 'wk-000851/0'),
        ) === true;
      await until('three of its tasks are done', () => running('wk-000851') === 1);
      await submitUntilAccepted(cluster, 'drone-1', submission('wk-000852', { Pieces: 3 }));
      await until('a peer uses the rest of the limit', () => running('wk-000852') === 3);
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000853', { Pieces: 3 }));
      cluster.crash('drone-0');
      cluster.state.withholds = null;
      await cluster.boot('drone-0');
      await until('the ends are stored', async () => {
        return (await jobStatus(cluster, 'drone-0', 'wk-000851')).done === 3;
      });
      await pause(2);
      assert.ok(stopTracking() <= 8, 'more CPUs than the team limit were in use');
      assert.equal(running('wk-000853'), 0);
    },
  ));

/** Whether a stored bucket, in any record format, lists tasks of the chunk as done. */
function hasDoneTasks(key: string, value: unknown, chunk: string): boolean {
  const { chunks } = recordFormatFor().decode(key, value) as BucketRecord;
  return (chunks[chunk]?.doneTasks.length ?? 0) > 0;
}
