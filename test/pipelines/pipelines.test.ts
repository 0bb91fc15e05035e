/** Dependent jobs on complete controllers: none starts too early, and a cancelled job cancels all that depend on it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import {
  submitUntilAccepted,
  serviceFields,
  callUntilServed,
  jobStatus,
  waitForTakeover,
  withCluster,
} from '../support/users.js';

const [FIRST, SECOND, THIRD] = ['wk-000901', 'wk-000902', 'wk-000903'];

const startsOf = (cluster: Cluster, id: string): number =>
  cluster.cloud.startedTasks.filter((task) => task.startsWith(`${id}/`)).length;

/** A node's answer about a job: its state, or the HTTP status of an answer without a state. */
async function answerOf(cluster: Cluster, label: string, id: string): Promise<string | number> {
  const answer = await cluster.call(label, 'GET', `/v1/jobs/${id}`);
  return answer.status === 200 ? (answer.body as { Status: string }).Status : answer.status;
}

const cancel = (cluster: Cluster, label: string, id: string): Promise<void> =>
  until(`${id} is cancelled`, async () => {
    const answer = await cluster.call(label, 'POST', `/v1/jobs/${id}/withdraw`);
    return (answer.body as { Status?: string }).Status === 'cancelled';
  });

/** Submits three stages, each at another node and dependent on the one before. */
async function submitChain(cluster: Cluster): Promise<void> {
  await submitUntilAccepted(cluster, 'drone-0', submission(FIRST, { Pieces: 2 }));
  await submitUntilAccepted(cluster, 'drone-1', submission(SECOND, { WaitsOn: [FIRST] }));
  await submitUntilAccepted(
    cluster,
    'drone-2',
    submission(THIRD, { WaitsOn: [SECOND, FIRST, SECOND] }),
  );
}

const endless = (task: string): number => (task.startsWith(FIRST) ? Infinity : 0.2);

test('stages run one after another, regardless of the nodes they were submitted at', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => 0.5 }, async (cluster) => {
    const order: string[] = [];
    cluster.cloud.taskObserver = {
      onTaskStarted: (task) => order.push(`${task} starts`),
      onTaskTerminated: (task) => order.push(`${task} ends`),
    };
    await submitChain(cluster);
    const waiting = await jobStatus(cluster, 'drone-2', THIRD);
    assert.equal(waiting.Status, 'queued');
    assert.match(waiting.Reason ?? '', /waits for \d job\(s\) to be done first: .*wk-00090/);
    for (const label of cluster.nodes.keys()) {
      await until(`all are done at ${label}`, async () => {
        return (await answerOf(cluster, label, THIRD)) === 'done';
      });
    }
    for (const [before, after] of [
      [FIRST, SECOND],
      [SECOND, THIRD],
    ]) {
      const lastEnd = order.findLastIndex((e) => e.startsWith(before) && e.endsWith('ends'));
      const firstStart = order.findIndex((e) => e.startsWith(after) && e.endsWith('starts'));
      assert.ok(lastEnd < firstStart, `${after} after ${before}: ${order.join(', ')}`);
    }
    // Jobs that have ended may be named as dependencies, too.
    await submitUntilAccepted(
      cluster,
      'drone-1',
      submission('wk-000904', { WaitsOn: [FIRST, THIRD] }),
    );
    await until(
      'the job runs immediately',
      async () => (await answerOf(cluster, 'drone-0', 'wk-000904')) === 'done',
    );
  }));

test('a cancelled job cancels all that depend on it, including jobs submitted later', () =>
  withCluster({ nodes: 3, taskRunSeconds: endless }, async (cluster) => {
    await submitChain(cluster);
    await cancel(cluster, 'drone-1', FIRST);
    for (const id of [SECOND, THIRD]) {
      for (const label of cluster.nodes.keys()) {
        await until(`${id} is cancelled at ${label}`, async () => {
          return (await answerOf(cluster, label, id)) === 'cancelled';
        });
      }
    }
    const late = submission('wk-000904', { WaitsOn: [SECOND] });
    const answer = await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', late);
    assert.ok(answer.status === 201 || answer.status === 200);
    await until('the late job is cancelled, too', async () => {
      return (await answerOf(cluster, 'drone-2', 'wk-000904')) === 'cancelled';
    });
    for (const id of [SECOND, THIRD, 'wk-000904']) assert.equal(startsOf(cluster, id), 0, id);
  }));

test('a job with a dependency that can never be done is refused, but an accepted job never is', () =>
  withCluster({ nodes: 3, taskRunSeconds: endless }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000911', serviceFields));
    await submitChain(cluster);
    const cases: [string, unknown, number][] = [
      ['an unknown job', ['wk-999999'], 422],
      ['a known and an unknown one', [FIRST, 'wk-999999'], 422],
      ['itself', ['wk-000912'], 422],
      ['a service', ['wk-000911'], 422],
      ['no list', FIRST, 400],
    ];
    for (const [name, WaitsOn, expected] of cases) {
      const body = submission('wk-000912', { WaitsOn });
      assert.equal(
        (await callUntilServed(cluster, 'drone-1', 'POST', '/v1/jobs', body)).status,
        expected,
        name,
      );
    }
    // A repetition of an accepted submission is answered as such, whichever dependencies it names.
    for (const label of cluster.nodes.keys()) {
      const again = submission(SECOND, { WaitsOn: ['wk-999999'] });
      assert.equal((await callUntilServed(cluster, label, 'POST', '/v1/jobs', again)).status, 200);
    }
    // A node that does not know the dependency yet asks the state service.
    cluster.state.stalledWatchClients.add('drone-2');
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000913'));
    const next = submission('wk-000914', { WaitsOn: ['wk-000913'] });
    const named = await callUntilServed(cluster, 'drone-2', 'POST', '/v1/jobs', next);
    assert.equal(named.status, 201);
    const repeated = submission('wk-000913', { WaitsOn: ['wk-999999'] });
    const known = await callUntilServed(cluster, 'drone-2', 'POST', '/v1/jobs', repeated);
    assert.equal(known.status, 200);
    cluster.state.stalledWatchClients.clear();
    // Without the state service, a node cannot tell that a job was never accepted.
    cluster.state.refusedClients.add('*');
    const answer = await cluster.call(
      'drone-1',
      'POST',
      '/v1/jobs',
      submission('wk-000912', { WaitsOn: ['wk-999999'] }),
    );
    assert.equal(answer.status, 503);
    cluster.state.refusedClients.clear();
  }));

test('a waiting job runs although the leader of its home shard crashes when its dependency is done', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => 0.8 }, async (cluster) => {
    await submitChain(cluster);
    await until(
      'the first is done',
      async () => (await answerOf(cluster, 'drone-0', FIRST)) === 'done',
    );
    cluster.crash('drone-1');
    await waitForTakeover(cluster, 'drone-1');
    await until(
      'the last is done',
      async () => (await answerOf(cluster, 'drone-0', THIRD)) === 'done',
      30,
    );
    assert.ok(startsOf(cluster, SECOND) >= 3);
  }));

/** Failures that keep nodes from learning that the first job is cancelled, or from storing that the others are. */
const failures: {
  name: string;
  before?: (cluster: Cluster) => void;
  after?: (cluster: Cluster) => void;
}[] = [
  {
    name: 'the state service refuses all nodes',
    after: (c) => void c.state.refusedClients.add('*'),
  },
  {
    name: "the state service refuses the leader of the next job's home shard",
    before: (c) => void c.state.refusedClients.add('drone-1'),
  },
  {
    name: "the watch of the leader of the next job's home shard is stalled",
    before: (c) => void c.state.stalledWatchClients.add('drone-1'),
  },
];

for (const { name, before, after } of failures) {
  test(`a job is cancelled, and ${name}: no node reports the next one as open for long`, () =>
    withCluster({ nodes: 3, taskRunSeconds: endless }, async (cluster) => {
      await submitChain(cluster);
      await until('the first runs', () => startsOf(cluster, FIRST) === 2);
      before?.(cluster);
      await cancel(cluster, 'drone-0', FIRST);
      after?.(cluster);
      // Cancellations take effect within five seconds in these clusters.
      await pause(5);
      for (let i = 0; i < 5; i++) {
        for (const label of cluster.nodes.keys()) {
          for (const id of [SECOND, THIRD]) {
            const answer = await answerOf(cluster, label, id).catch(() => 503);
            assert.ok(answer === 'cancelled' || answer === 503, `${label} says ${answer} of ${id}`);
          }
        }
        await pause(0.2);
      }
      cluster.state.refusedClients.clear();
      cluster.state.stalledWatchClients.clear();
      for (const id of [SECOND, THIRD]) {
        await until(
          `${id} is cancelled`,
          async () => (await answerOf(cluster, 'drone-1', id)) === 'cancelled',
        );
        assert.equal(startsOf(cluster, id), 0);
      }
    }));
}

test('a job that is submitted while its dependency is being cancelled is cancelled, too', () =>
  withCluster({ nodes: 3, taskRunSeconds: endless }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission(FIRST, { Pieces: 2 }));
    const ids = Array.from({ length: 6 }, (_, i) => `wk-00092${i}`);
    const submitted = ids.map((id, i) =>
      submitUntilAccepted(cluster, `drone-${i % 3}`, submission(id, { WaitsOn: [FIRST] })),
    );
    await Promise.all([cancel(cluster, 'drone-1', FIRST), ...submitted]);
    for (const id of ids) {
      await until(`${id} is cancelled`, async () => {
        return (await answerOf(cluster, 'drone-2', id)) === 'cancelled';
      });
      assert.equal(startsOf(cluster, id), 0, id);
    }
  }));

test('a cancellation at the end of a job: the job is done and the next one runs, or both are cancelled', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => 0.4 }, async (cluster) => {
    const pairs = Array.from({ length: 5 }, (_, i) => [`wk-00093${i}`, `wk-00094${i}`]);
    for (const [i, [first, next]] of pairs.entries()) {
      await submitUntilAccepted(cluster, 'drone-0', submission(first, { Pieces: 1 }));
      await submitUntilAccepted(
        cluster,
        'drone-1',
        submission(next, { Pieces: 1, WaitsOn: [first] }),
      );
      // Cancels before, around and after the time at which the end of the job is stored.
      await pause(0.3 * i);
      const path = `/v1/jobs/${first}/withdraw`;
      const answer = await callUntilServed(cluster, 'drone-2', 'POST', path);
      const end = (answer.body as { Status: string }).Status;
      await until(
        `${next} is ${end}`,
        async () => (await answerOf(cluster, 'drone-0', next)) === end,
      );
      assert.equal(startsOf(cluster, next), end === 'done' ? 1 : 0, `${next} is ${end}`);
    }
  }));

test('stages on both sides of a partition: the next one starts once the end of the previous one is stored', () =>
  withCluster({ nodes: 2, zones: ['a', 'b'], taskRunSeconds: () => 0.6 }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-1', submission(FIRST, { Pieces: 2, Yard: 'b' }));
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission(SECOND, { Pieces: 2, Yard: 'a', WaitsOn: [FIRST] }),
    );
    await until('the first runs', () => startsOf(cluster, FIRST) === 2);
    cluster.isolatedNodes.add('drone-1');
    cluster.state.refusedClients.add('drone-1');
    const isStored = (): boolean => {
      const record = cluster.state.rows.get(`b/job/${FIRST}`)?.value as { state?: string };
      return record.state === 'done';
    };
    for (let i = 0; i < 40; i++) {
      assert.ok(
        isStored() || startsOf(cluster, SECOND) === 0,
        'the next stage started before the end of the previous one was stored',
      );
      await pause(0.05);
    }
    cluster.isolatedNodes.clear();
    cluster.state.refusedClients.clear();
    await until(
      'both are done',
      async () => (await answerOf(cluster, 'drone-0', SECOND)) === 'done',
      40,
    );
    assert.equal(startsOf(cluster, SECOND), 2);
  }));
