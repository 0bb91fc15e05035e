/** Rollouts of complete controllers under load, and the level of the stored records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rolloutPath } from '../../src/protocol/routes.js';
import { keys } from '../../src/storage/records.js';
import type { StoredLeaderRecord } from '../../src/storage/storedRecords.js';
import { buildWithFeatures, pause, currentBuild, until } from '../support/cluster.js';
import { FEATURES, LABELS, RolloutCluster } from '../support/rolloutCluster.js';

const withFeatures = buildWithFeatures(FEATURES);

test('three controllers are upgraded in turn, the level is raised and lowered, and no job is affected', async () => {
  const rollout = new RolloutCluster();
  try {
    await rollout.start();
    const users = rollout.submitJobs();
    await until('large records are stored in fragments', () => rollout.recordCounts.fragments > 0);
    assert.deepEqual(rollout.recordCounts.compressed, 0);
    for (const label of LABELS) await rollout.replace(label, withFeatures);
    await rollout.waitForLevel(3);
    assert.equal(rollout.recordCounts.hasBarrier, true);
    assert.equal(rollout.recordCounts.fragments, 0);
    assert.ok(rollout.recordCounts.compressed > 0);
    const body = { to: 2, by: 'anna', confirm: true };
    await until('the lowering is accepted', async () => {
      // The node answers 503 while its cache lags; the operator's command retries in the same way.
      const { status } = await rollout.cluster.call(
        'drone-1',
        'POST',
        `${rolloutPath}/lower`,
        body,
      );
      return status === 200;
    });
    await rollout.waitForLevel(2);
    assert.equal(rollout.recordCounts.hasBarrier, false);
    assert.equal(rollout.recordCounts.compressed, 0);
    await rollout.finishJobs();
    await users;
    assert.deepEqual(rollout.users.history.violations, []);
    assert.deepEqual(rollout.cluster.cloud.concurrentStarts, []);
  } finally {
    await rollout.close();
  }
});

test('a rollout that is rolled back midway does not change the level, and no job is affected', async () => {
  const rollout = new RolloutCluster();
  try {
    await rollout.start();
    const users = rollout.submitJobs();
    for (const label of ['drone-0', 'drone-1']) await rollout.replace(label, withFeatures);
    await until('the blocker of the raise is reported', async () => {
      const { blockers } = await rollout.status();
      return blockers.some((b) => b.subject === 'drone-2' && b.cause === 'publishes-no-levels');
    });
    for (const label of ['drone-1', 'drone-0']) await rollout.replace(label, currentBuild);
    await rollout.finishJobs();
    await users;
    assert.equal(rollout.recordCounts.hasBarrier, false);
    assert.equal(rollout.recordCounts.compressed, 0);
    assert.deepEqual(rollout.users.history.violations, []);
  } finally {
    await rollout.close();
  }
});

test('a controller that restarts with rollouts off after the raise refuses to serve, and a peer takes over its shard', async () => {
  const rollout = new RolloutCluster(withFeatures);
  const { cluster } = rollout;
  let reason = '';
  const without = buildWithFeatures([], (why) => (reason = why));
  try {
    await rollout.start();
    const users = rollout.submitJobs();
    await rollout.waitForLevel(3);
    const before = cluster.state.rows.get(keys.leader('drone-2'))?.value as StoredLeaderRecord;
    cluster.crash('drone-2');
    cluster.builds.set('drone-2', without);
    await cluster.boot('drone-2');
    await until('it is refused', () => reason !== '');
    assert.match(reason, /rollouts to be switched on/);
    cluster.crash('drone-2');
    await until('a peer has its shard', () => {
      const leader = cluster.state.rows.get(keys.leader('drone-2'))?.value as
        StoredLeaderRecord | undefined;
      return leader !== undefined && leader.node !== 'drone-2' && leader.token > before.token;
    });
    await rollout.restart('drone-2', withFeatures);
    await rollout.finishJobs();
    await users;
    assert.deepEqual(rollout.users.history.violations, []);
  } finally {
    await rollout.close();
  }
});

test('a peer takes over a shard whose leader key belongs to a process that published no levels', async () => {
  const rollout = new RolloutCluster(withFeatures);
  const { cluster } = rollout;
  try {
    await rollout.start();
    await rollout.waitForLevel(3);
    cluster.crash('drone-2');
    const key = keys.leader('drone-2');
    await until('its key is gone', () => {
      const leader = cluster.state.rows.get(key)?.value as StoredLeaderRecord | undefined;
      return leader?.node !== 'drone-2';
    });
    // Simulates an old process that loaded its records before the barrier and keeps claiming its shard.
    const stored = cluster.state.rows.get(key);
    const token = (stored?.value as StoredLeaderRecord | undefined)?.token ?? 0;
    const value: StoredLeaderRecord = {
      node: 'drone-2',
      token: token + 1,
      process: 'an old build',
    };
    const written = cluster.state.apply({
      When: [{ K: key, Stamp: stored?.revision ?? 0 }],
      Then: [{ Put: key, Value: value }],
    });
    assert.equal(written.status, 200);
    await until('a peer has taken the shard over', () => {
      const leader = cluster.state.rows.get(key)?.value as StoredLeaderRecord;
      return leader.node !== 'drone-2';
    });
  } finally {
    await rollout.close();
  }
});

test('a hold blocks the raise, is reported and ends with finalize; invalid requests are rejected', async () => {
  const rollout = new RolloutCluster(withFeatures);
  const { cluster } = rollout;
  const post = (name: string, body: unknown) =>
    cluster.call('drone-1', 'POST', `${rolloutPath}${name}`, body);
  try {
    // drone-2 starts without rollouts, so that the next level cannot be proposed before the hold is stored.
    cluster.builds.set('drone-2', currentBuild);
    await cluster.start();
    await until('the hold is stored', async () => {
      const { status } = await post('/hold', { by: 'anna', reason: 'one more day' });
      return status === 200;
    });
    await rollout.restart('drone-2', withFeatures);
    await until('all publish what they read', async () =>
      (await rollout.status()).nodes.every(({ reads }) => reads?.max === 3),
    );
    await until('the hold is named', async () =>
      (await rollout.status()).blockers.some(({ cause }) => cause === 'held'),
    );
    const cases: [string, unknown, number][] = [
      ['/hold', { by: 'ben', reason: 'mine' }, 409],
      ['/hold', { by: 'ben' }, 400],
      ['/lower', { to: 1, by: 'ben', confirm: true }, 409],
      ['/lower', { to: 'down', by: 'ben' }, 400],
      ['/driver', { stamp: 0, record: { name: 'x' } }, 409],
      ['/drain', { token: 7 }, 409],
      ['/nothing', {}, 404],
    ];
    for (const [name, body, status] of cases) {
      assert.equal((await post(name, body)).status, status, name);
    }
    assert.equal((await rollout.status()).version.level, 2);
    assert.equal((await post('/finalize', {})).status, 200);
    await rollout.waitForLevel(3);
  } finally {
    await rollout.close();
  }
});

test('a drained controller leads nothing, is not ready, and gets its shard back after the drain is cancelled', async () => {
  const rollout = new RolloutCluster(withFeatures);
  const { cluster } = rollout;
  try {
    await rollout.start();
    const users = rollout.submitJobs();
    const drained = await cluster.call('drone-0', 'POST', `${rolloutPath}/drain`, { token: null });
    assert.equal(drained.status, 200);
    const drain = cluster.nodes.get('drone-0')?.controller.drain;
    await until('it has given up everything', () => drain?.isDone === true);
    assert.equal((await cluster.call('drone-0', 'GET', '/ready')).status, 503);
    await pause(1);
    assert.equal(drain?.isDone, true);
    await cluster.call('drone-0', 'POST', `${rolloutPath}/undrain`, {});
    await until('it has its shard back', () => rollout.leadsItsShard('drone-0'));
    await rollout.finishJobs();
    await users;
    assert.deepEqual(rollout.users.history.violations, []);
  } finally {
    await rollout.close();
  }
});
