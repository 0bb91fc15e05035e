/** Tasks of cancelled jobs terminate in time, whatever happens between the announcement of a cancellation and its storing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeJob } from '../../src/storage/compactRecords.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { submitUntilAccepted, callUntilServed, withCluster } from '../support/users.js';
import { pause, submission, until, type Cluster } from '../support/cluster.js';
import {
  storeMigratedService,
  runningTasks,
  storeServiceInManyChunks,
} from '../support/storedServices.js';

const ID = 'wk-000201';

/** The job that the other one depends on. */
const DEPENDENCY = 'wk-000200';

/** Number of chunks of a job that are created before the first of them is done. */
const INITIAL_CHUNKS = 4;

/** The cancellation timeout in the settings of the test clusters, in seconds. */
const CANCELLATION_TIMEOUT_S = 5;

type Transaction = Parameters<NonNullable<Cluster['state']['withholds']>>[0];

/** The job's record that a transaction stores; undefined: it does not change the record. */
function storedBy({ Then = [] }: Transaction, job: string): JobRecord | undefined {
  const put = Then.find(({ Put }) => Put === keys.job(job));
  return put === undefined ? undefined : decodeJob(keys.job(job), put.Value);
}

const isCancellation = (transaction: Transaction): boolean =>
  storedBy(transaction, ID)?.state === 'cancelled';

/** From now on, transactions that cancel the job get no answer and are not applied before `applyWithheld`. */
function withholdCancellations({ state }: Cluster): void {
  state.withholds = isCancellation;
}

/** Applies the first withheld transaction, and lets later ones pass. */
function applyWithheld({ state }: Cluster): void {
  const [first] = state.withheldTransactions;
  assert.ok(first !== undefined, 'a cancellation was sent');
  state.withholds = null;
  state.apply(first);
}

/**
 * The state service refuses drone-0, which leads the shard of the tasks, applies the withheld cancellation and, once a user was
 * told the job's state at drone-1, refuses all clients. If the user was told `cancelled`, no task may run after the cancellation
 * timeout.
 */
async function assertTerminatedIfCancelled(cluster: Cluster): Promise<void> {
  cluster.state.refusedClients.add('drone-0');
  applyWithheld(cluster);
  const answer = await callUntilServed(cluster, 'drone-1', 'GET', `/v1/jobs/${ID}`);
  assert.ok(
    cluster.state.refusedClients.has('drone-0'),
    'the leader is refused before a user is told',
  );
  cluster.state.refusedClients.add('*');
  if ((answer.body as { Status: string }).Status !== 'cancelled') return;
  await pause(CANCELLATION_TIMEOUT_S);
  assert.deepEqual(runningTasks(cluster, ID), [], 'tasks of a cancelled job still run');
}

test('a cancellation that is applied after the leaders have resumed the job is not confirmed', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await storeMigratedService(cluster, ID);
    withholdCancellations(cluster);
    const answer = await cluster.call('drone-1', 'POST', `/v1/jobs/${ID}/withdraw`);
    assert.equal(answer.status, 503);
    await until('the tasks end', () => runningTasks(cluster, ID).length === 0);
    await until('the tasks run again', () => runningTasks(cluster, ID).length === 2, 40);
    await assertTerminatedIfCancelled(cluster);
  }));

test('a cancellation that a leader acknowledged before its restart is not confirmed afterwards', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await storeMigratedService(cluster, ID);
    withholdCancellations(cluster);
    const answer = cluster.call('drone-1', 'POST', `/v1/jobs/${ID}/withdraw`);
    await until('a cancellation is sent', () => cluster.state.withheldTransactions.length > 0);
    cluster.crash('drone-0');
    await cluster.boot('drone-0');
    await answer;
    await until('the restarted leader has the job', () => {
      const shard = cluster.nodes.get('drone-0')?.controller.ownedShards.get('drone-0')?.shard;
      return shard?.chunksOf(ID).length === 1;
    });
    await until('the tasks run', () => runningTasks(cluster, ID).length === 2);
    await assertTerminatedIfCancelled(cluster);
  }));

test('a cancellation that is applied after the dependencies of its job have finished is not confirmed', () =>
  withCluster(
    { nodes: 2, taskRunSeconds: (task) => (task.startsWith(DEPENDENCY) ? 9 : Infinity) },
    async (cluster) => {
      const body = { Pieces: 1, Rank: 'high' };
      await submitUntilAccepted(cluster, 'drone-0', submission(DEPENDENCY, body));
      await submitUntilAccepted(
        cluster,
        'drone-0',
        submission(ID, { ...body, WaitsOn: [DEPENDENCY] }),
      );
      withholdCancellations(cluster);
      const answer = await cluster.call('drone-0', 'POST', `/v1/jobs/${ID}/withdraw`);
      assert.equal(answer.status, 503);
      await until('the job starts and runs', () => runningTasks(cluster, ID).length === 1, 40);
      await assertTerminatedIfCancelled(cluster);
    },
  ));

test('a chunk whose creation is being stored during the cancellation of its job starts no task', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const { state } = cluster;
    let release = (): void => undefined;
    const released = new Promise<void>((resolve) => (release = resolve));
    let isHeld = false;
    state.beforeAnswer = (_, { target, body }) => {
      if (target !== '/multi') return Promise.resolve();
      const job = storedBy(JSON.parse(body) as Transaction, ID);
      if (job?.state !== 'open' || job.createdChunks < INITIAL_CHUNKS) return Promise.resolve();
      isHeld = true;
      return released;
    };
    await storeServiceInManyChunks(cluster, ID);
    await until('the creation of a chunk is stored', () => isHeld);
    withholdCancellations(cluster);
    const answer = cluster.call('drone-0', 'POST', `/v1/jobs/${ID}/withdraw`);
    const { cancellationPreparations } = cluster.nodes.get('drone-0')?.controller ?? assert.fail();
    await until(
      'the cancellation is announced',
      () => cancellationPreparations.stateOf(ID) === 'announced',
    );
    release();
    await until('a cancellation is sent', () => state.withheldTransactions.length > 0);
    await answer;
    assert.deepEqual(runningTasks(cluster, ID), [], 'started after the cancellation was announced');
  }));
