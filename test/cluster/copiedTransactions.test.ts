/** Duplicates of applied and answered transactions: none restores what was removed from its record since. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, submission, until } from '../support/cluster.js';
import type { TransactionBody } from '../support/state.js';
import {
  submitUntilAccepted,
  serviceFields,
  callUntilServed,
  withCluster,
} from '../support/users.js';

const FILLING_JOB = 'wk-000811';
const MOVED_JOB = 'wk-000812';

/** Enough time for a leader to adopt a record that it does not know. */
const ADOPTION_SECONDS = 4;

test('a migrated chunk is not restored by a duplicate of the transaction that stored it', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const { cloud, state } = cluster;
    const isStoredAt = (shard: string): boolean =>
      [...state.rows].some(([key, { value }]) => {
        return key.startsWith(`b/run/${shard}/`) && JSON.stringify(value).includes(MOVED_JOB);
      });
    cloud.capacity = 1;
    await submitUntilAccepted(
      cluster,
      'drone-1',
      submission(FILLING_JOB, { ...serviceFields, Pieces: 4 }),
    );
    await until('the only machine is full', () => cloud.startedTasks.length === 4);
    const storing: TransactionBody[] = [];
    state.withholds = (body) => {
      if (JSON.stringify(body).includes(`"Put":"b/run/drone-0/`)) storing.push(body);
      return false;
    };
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission(MOVED_JOB, { ...serviceFields, Pieces: 1 }),
    );
    await until('it waits in its home shard', () => isStoredAt('drone-0'));
    await callUntilServed(cluster, 'drone-1', 'POST', `/v1/jobs/${FILLING_JOB}/withdraw`);
    await until('it has migrated and runs', () => cloud.startedTasks.includes(`${MOVED_JOB}/0`));
    assert.ok(!isStoredAt('drone-0') && isStoredAt('drone-1'));
    for (const body of storing) state.apply(body);
    cloud.capacity = 3;
    await pause(ADOPTION_SECONDS);
    assert.deepEqual(cloud.concurrentStarts, [], 'the task runs on two machines');
    assert.ok(!isStoredAt('drone-0'), 'the home shard stores the chunk again');
    assert.equal(cloud.startedTasks.filter((task) => task === `${MOVED_JOB}/0`).length, 1);
  }));
