/** Copies of transactions that were applied and answered: none brings back what has left its record since. */
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

const FULL = 'wk-000811';
const MOVED = 'wk-000812';

/** Long enough for a record that nobody has in memory to be taken up. */
const ADOPTION_SECONDS = 4;

test('a chunk that has moved away does not come back with a copy of the change that stored it', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const { cloud, state } = cluster;
    const isOn = (shard: string): boolean =>
      [...state.rows].some(([key, { value }]) => {
        return key.startsWith(`b/run/${shard}/`) && JSON.stringify(value).includes(MOVED);
      });
    cloud.capacity = 1;
    await submitUntilAccepted(
      cluster,
      'drone-1',
      submission(FULL, { ...serviceFields, Pieces: 4 }),
    );
    await until('the only machine is full', () => cloud.startedTasks.length === 4);
    const stored: TransactionBody[] = [];
    state.withholds = (body) => {
      if (JSON.stringify(body).includes(`"Put":"b/run/drone-0/`)) stored.push(body);
      return false;
    };
    await submitUntilAccepted(
      cluster,
      'drone-0',
      submission(MOVED, { ...serviceFields, Pieces: 1 }),
    );
    await until('it waits at its home', () => isOn('drone-0'));
    await callUntilServed(cluster, 'drone-1', 'POST', `/v1/jobs/${FULL}/withdraw`);
    await until('it has moved away and runs', () => cloud.startedTasks.includes(`${MOVED}/0`));
    assert.ok(!isOn('drone-0') && isOn('drone-1'));
    for (const body of stored) state.apply(body);
    cloud.capacity = 3;
    await pause(ADOPTION_SECONDS);
    assert.deepEqual(cloud.concurrentStarts, [], 'it runs on two machines');
    assert.ok(!isOn('drone-0'), 'its home has it once more');
    assert.equal(cloud.startedTasks.filter((task) => task === `${MOVED}/0`).length, 1);
  }));
