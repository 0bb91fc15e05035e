/** Tasks of cancelled jobs end in time, whatever happens between the announcement of a cancellation and its being stored. */
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

/** A job that has to be done first. */
const FIRST = 'wk-000200';

/** How many chunks of a job are created before one of them is over. */
const LAST_CREATED = 4;

/** What the settings of the test clusters give a cancellation, in seconds. */
const CANCELLATION_TIMEOUT_S = 5;

type Transaction = Parameters<NonNullable<Cluster['state']['withholds']>>[0];

/** The job's record as a transaction would store it; undefined where it does not change it. */
function storedBy({ Then = [] }: Transaction, job: string): JobRecord | undefined {
  const put = Then.find(({ Put }) => Put === keys.job(job));
  return put === undefined ? undefined : decodeJob(keys.job(job), put.Value);
}

const isCancellation = (transaction: Transaction): boolean =>
  storedBy(transaction, ID)?.state === 'cancelled';

/** All transactions that cancel the job get no answer from now on, and are not carried out before `deliverLate`. */
function holdCancellations({ state }: Cluster): void {
  state.withholds = isCancellation;
}

/** The first held transaction reaches the store, and later ones are held no more. */
function deliverLate({ state }: Cluster): void {
  const [first] = state.withheldTransactions;
  assert.ok(first !== undefined, 'a cancellation was sent');
  state.withholds = null;
  state.apply(first);
}

/**
 * The store refuses drone-0, which runs the tasks, takes the held cancellation and, once a user was told at drone-1 how the
 * job stands, refuses everybody. Was it called cancelled, no task is on any machine once the time for that is over.
 */
async function assertKeptWhenDeliveredLate(cluster: Cluster): Promise<void> {
  cluster.state.refusedClients.add('drone-0');
  deliverLate(cluster);
  const told = await callUntilServed(cluster, 'drone-1', 'GET', `/v1/jobs/${ID}`);
  assert.ok(
    cluster.state.refusedClients.has('drone-0'),
    'the leader is refused before anybody is told',
  );
  cluster.state.refusedClients.add('*');
  if ((told.body as { Status: string }).Status !== 'cancelled') return;
  await pause(CANCELLATION_TIMEOUT_S);
  assert.deepEqual(runningTasks(cluster, ID), [], 'tasks of a cancelled job run on');
}

test('a cancellation that reaches the store after its leaders have resumed the job is not confirmed', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await storeMigratedService(cluster, ID);
    holdCancellations(cluster);
    const answer = await cluster.call('drone-1', 'POST', `/v1/jobs/${ID}/withdraw`);
    assert.equal(answer.status, 503);
    await until('the tasks end', () => runningTasks(cluster, ID).length === 0);
    await until('they run again', () => runningTasks(cluster, ID).length === 2, 40);
    await assertKeptWhenDeliveredLate(cluster);
  }));

test('a cancellation that a leader acknowledged before it restarted is not confirmed after that', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await storeMigratedService(cluster, ID);
    holdCancellations(cluster);
    const answer = cluster.call('drone-1', 'POST', `/v1/jobs/${ID}/withdraw`);
    await until('a cancellation is sent', () => cluster.state.withheldTransactions.length > 0);
    cluster.crash('drone-0');
    await cluster.boot('drone-0');
    await answer;
    await until('the restarted leader has the job', () => {
      const chunks = cluster.nodes.get('drone-0')?.controller.ownedShards.get('drone-0')?.shard;
      return chunks?.chunksOf(ID).length === 1;
    });
    await until('the tasks run', () => runningTasks(cluster, ID).length === 2);
    await assertKeptWhenDeliveredLate(cluster);
  }));

test('a cancellation that reaches the store after its job was released by the jobs before it is not confirmed', () =>
  withCluster(
    { nodes: 2, taskRunSeconds: (task) => (task.startsWith(FIRST) ? 9 : Infinity) },
    async (cluster) => {
      const body = { Pieces: 1, Rank: 'high' };
      await submitUntilAccepted(cluster, 'drone-0', submission(FIRST, body));
      await submitUntilAccepted(cluster, 'drone-0', submission(ID, { ...body, WaitsOn: [FIRST] }));
      holdCancellations(cluster);
      const answer = await cluster.call('drone-0', 'POST', `/v1/jobs/${ID}/withdraw`);
      assert.equal(answer.status, 503);
      await until('it is released and runs', () => runningTasks(cluster, ID).length === 1, 40);
      await assertKeptWhenDeliveredLate(cluster);
    },
  ));

test('a chunk whose creation is being stored while its job is cancelled starts nothing', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const { state } = cluster;
    let release = (): void => undefined;
    const released = new Promise<void>((resolve) => (release = resolve));
    let isHeld = false;
    state.beforeAnswer = (_, { target, body }) => {
      if (target !== '/multi') return Promise.resolve();
      const job = storedBy(JSON.parse(body) as Transaction, ID);
      if (job?.state !== 'open' || job.createdChunks < LAST_CREATED) return Promise.resolve();
      isHeld = true;
      return released;
    };
    await storeServiceInManyChunks(cluster, ID);
    await until('the creation of a chunk is stored', () => isHeld);
    holdCancellations(cluster);
    const answer = cluster.call('drone-0', 'POST', `/v1/jobs/${ID}/withdraw`);
    const { cancellationPreparations } = cluster.nodes.get('drone-0')?.controller ?? assert.fail();
    await until('it is announced', () => cancellationPreparations.stateOf(ID) === 'announced');
    release();
    await until('a cancellation is sent', () => state.withheldTransactions.length > 0);
    await answer;
    assert.deepEqual(runningTasks(cluster, ID), [], 'started after the cancellation was announced');
  }));
