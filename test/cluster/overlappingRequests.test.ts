/**
 * Faults that overlap with users' requests, on whole controllers: the table in docs/safety.md names the faults
 * of each case.
 */
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

/** What a node says of a job: its state, the status of an answer without one, or null while it is down. */
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
    const said = await ask(cluster, label, 'POST', `/v1/jobs/${id}/withdraw`);
    return said === 'cancelled';
  });
}

interface TxnBody {
  Then?: { Put?: string; Value?: unknown }[];
}

/** The transactions that store this key, with this state, are carried out at once; their answers get lost. */
function loseAnswers(cluster: Cluster, key: string, state: string): { count: number } {
  const lost = { count: 0 };
  cluster.state.withholds = (body: TxnBody): boolean => {
    const put = body.Then?.find((operation) => operation.Put === key);
    if (put === undefined) return false;
    // In whichever record format it is stored: an open job's state is left out of the compact one.
    const record = recordFormatFor().decode(key, put.Value) as JobRecord;
    if (record.state !== state) return false;
    if (lost.count >= 1) return false;
    lost.count++;
    cluster.state.apply(body);
    return true;
  };
  return lost;
}

test('an acceptance is stored and its answer lost: all nodes know the job, and it runs once', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.5 }, async (cluster) => {
    const id = 'wk-000801';
    const job = submission(id, { Pieces: 2 });
    const lost = loseAnswers(cluster, `b/job/${id}`, 'open');
    const first = ask(cluster, 'drone-0', 'POST', '/v1/jobs', job);
    await until('it is stored', () => lost.count === 1);
    await until('the other node knows it', async () => {
      const said = await ask(cluster, 'drone-1', 'GET', `/v1/jobs/${id}`);
      return typeof said === 'string';
    });
    await submitUntilAccepted(cluster, 'drone-1', job);
    const said = await first;
    assert.ok(typeof said === 'string' || said === 503, `the first node said ${said}`);
    await until(
      'it is done',
      async () => (await jobStatus(cluster, 'drone-0', id)).Status === 'done',
    );
    assert.deepEqual([...cluster.cloud.startedTasks].sort(), [`${id}/0`, `${id}/1`]);
  }));

test('a cancellation is stored and its answer lost: once a node has said so, none says otherwise', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const id = 'wk-000811';
    await submitUntilAccepted(cluster, 'drone-0', submission(id, serviceFields));
    await until('it runs', () => tasksOf(cluster, id).length === 2);
    const lost = loseAnswers(cluster, `b/job/${id}`, 'cancelled');
    let isConfirmed = false;
    const path = `/v1/jobs/${id}`;
    // The leader hears of it last: by the answer that is lost, and not by its watch.
    cluster.state.stalledWatchClients.add('drone-0');
    const cancelling = cancel(cluster, ['drone-0'], id).then(() => (isConfirmed = true));
    let isOver = false;
    while (!isConfirmed || !isOver) {
      for (const label of ['drone-1', 'drone-0']) {
        const said = await ask(cluster, label, 'GET', path);
        if (typeof said !== 'string') continue;
        if (isOver) assert.equal(said, 'cancelled', `${label} went back`);
        if (said === 'cancelled') isOver = true;
      }
    }
    await cancelling;
    cluster.state.stalledWatchClients.clear();
    assert.equal(lost.count, 1);
    await until('its tasks have gone', () => tasksOf(cluster, id).length === 0);
  }));

test('users ask at all nodes at once, and repeat their submissions: nobody says anything older', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    const labels = [...cluster.nodes.keys()];
    const everywhere = (
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
        const said = [
          ...(await everywhere('GET', path)),
          ...(await everywhere('POST', '/v1/jobs', job)),
        ];
        assert.ok(!said.includes(404), `${id} is unknown: ${said.join(' ')}`);
      }
      await cancel(cluster, [label], id);
      for (let turn = 0; turn < 4; turn++) {
        const said = [
          ...(await everywhere('GET', path)),
          ...(await everywhere('POST', '/v1/jobs', job)),
        ];
        const other = said.filter((answer) => answer !== 'cancelled' && answer !== 503);
        assert.deepEqual(other, [], `${id} went back`);
      }
    }
  }));

test('jobs are cancelled while a shard changes hands: what is confirmed starts no more and ends in time', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    const ids = ['wk-000831', 'wk-000832', 'wk-000833', 'wk-000834'];
    for (const id of ids)
      await submitUntilAccepted(cluster, 'drone-0', submission(id, serviceFields));
    const run = (): boolean => ids.every((id) => tasksOf(cluster, id).length === 2);
    await until('all run', run);
    // Users go on asking at both nodes while one ends, its shard is taken over, and it takes the shard back.
    const confirmed = ids.map(async (id, index) => {
      await pause(index * 0.5);
      await cancel(cluster, ['drone-0', 'drone-1'], id);
      const starts = cluster.cloud.startedTasks.length;
      const at = performance.now();
      await until(`${id} has gone`, () => tasksOf(cluster, id).length === 0);
      assert.ok(performance.now() - at < 5000, `${id} went on for too long`);
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

test('many jobs of one task, a quarter of them cancelled: each of the others runs once', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.2 }, async (cluster) => {
    const ids = Array.from({ length: 40 }, (_, n) => `wk-${String(850 + n).padStart(6, '0')}`);
    const cancelled = new Map<string, number>();
    await Promise.all(
      ids.map(async (id, n) => {
        await pause(n * 0.05);
        const label = `drone-${n % 2}`;
        await submitUntilAccepted(cluster, label, submission(id, { Pieces: 1 }));
        if (n % 4 > 0) return;
        let said: string | number | null = null;
        await until(`${id} is over`, async () => {
          said = await ask(cluster, label, 'POST', `/v1/jobs/${id}/withdraw`);
          return said === 'cancelled' || said === 'done';
        });
        if (said === 'cancelled') cancelled.set(id, cluster.cloud.startedTasks.length);
      }),
    );
    const isOver = async (id: string): Promise<boolean> => {
      const { Status } = await jobStatus(cluster, 'drone-1', id);
      return Status === (cancelled.has(id) ? 'cancelled' : 'done');
    };
    for (const id of ids) await until(`${id} is over`, () => isOver(id));
    for (const id of ids) {
      const starts = cluster.cloud.startedTasks.filter((task) => task === `${id}/0`).length;
      assert.ok(cancelled.has(id) ? starts <= 1 : starts === 1, `${id} started ${starts} times`);
    }
    for (const [id, from] of cancelled) {
      const later = cluster.cloud.startedTasks.slice(from).filter((task) => task === `${id}/0`);
      assert.deepEqual(later, [], `${id} was started after its cancellation was confirmed`);
    }
  }));

test('new machines get work while writes lag, and the leader ends: nothing runs twice', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    // Every third transaction gets no answer and is carried out late, after newer ones.
    let count = 0;
    cluster.state.withholds = () => ++count % 3 === 0;
    const ids = ['wk-000901', 'wk-000902', 'wk-000903'];
    const spread = { ...serviceFields, Cores: 4 };
    for (const id of ids) await submitUntilAccepted(cluster, 'drone-0', submission(id, spread));
    await until('a machine has work', () => cluster.cloud.startedTasks.length > 0);
    cluster.crash('drone-0');
    for (const body of cluster.state.withheldTransactions.splice(0)) cluster.state.apply(body);
    await cluster.boot('drone-0');
    cluster.state.withholds = null;
    await until('all run', () => ids.every((id) => tasksOf(cluster, id).length === 2));
    for (const body of cluster.state.withheldTransactions.splice(0)) cluster.state.apply(body);
    await until('it is said everywhere', async () => {
      const said = await Promise.all(ids.map((id) => jobStatus(cluster, 'drone-1', id)));
      return said.every(({ running }) => running === 2);
    });
  }));

test('commands of a deposed leader arrive after those of the new one: nothing comes of them', () =>
  withCluster({ nodes: 2, workerLease: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission('wk-000911', { ...serviceFields, Pieces: 1 }),
    );
    await until('a machine is there', () => tasksOf(cluster, 'wk-000911').length === 1);
    for (const worker of cluster.cloud.workers.values()) worker.holdsCommands = true;
    const id = 'wk-000912';
    await submitUntilAccepted(cluster, 'drone-0', submission(id, { ...serviceFields, Pieces: 3 }));
    await pause(0.2);
    cluster.state.refusedClients.add('drone-0');
    cluster.isolatedNodes.add('drone-0');
    const newLeader = await waitForTakeover(cluster, 'drone-0');
    await until('the new leader is heard', () =>
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

test('a leader crashes before the ends of tasks are stored: the next leader fills no more than the limit', () =>
  withCluster(
    {
      nodes: 2,
      taskRunSeconds: (task) =>
        task === 'wk-000851/0' || !task.startsWith('wk-000851') ? Infinity : 0.5,
      teams: '[[settings.teams]]\nname = "crew"\ncpus_max = 8.0',
    },
    async (cluster) => {
      const finish = trackPeakCpus(cluster);
      const running = (id: string): number => tasksOf(cluster, id).length;
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000851', { Pieces: 4 }));
      // From now on nothing is stored of the ends of its first job's tasks.
      cluster.state.withholds = (body: TxnBody): boolean =>
        body.Then?.some(
          ({ Put: key, Value: value }) =>
            key?.startsWith('b/run/') === true && hasDone(key, value, 'wk-000851/0'),
        ) === true;
      await until('three of its tasks have ended', () => running('wk-000851') === 1);
      await submitUntilAccepted(cluster, 'drone-1', submission('wk-000852', { Pieces: 3 }));
      await until('a peer has the rest of the limit', () => running('wk-000852') === 3);
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-000853', { Pieces: 3 }));
      cluster.crash('drone-0');
      cluster.state.withholds = null;
      await cluster.boot('drone-0');
      await until('the ends are known', async () => {
        return (await jobStatus(cluster, 'drone-0', 'wk-000851')).done === 3;
      });
      await pause(2);
      assert.ok(finish() <= 8, 'processors in use at once');
      assert.equal(running('wk-000853'), 0);
    },
  ));

/** Whether a stored bucket, in either record format, tells of ended tasks of a chunk. */
function hasDone(key: string, value: unknown, chunk: string): boolean {
  const { chunks } = recordFormatFor().decode(key, value) as BucketRecord;
  return (chunks[chunk]?.doneTasks.length ?? 0) > 0;
}
