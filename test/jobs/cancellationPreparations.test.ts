/** Cancellations that meet other troubles: what was confirmed holds, and what can't hold is not confirmed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { CancellationPreparations } from '../../src/coordination/jobs/cancellationPreparations.js';
import type { PreparedChunk } from '../../src/protocol/peerMessages.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { replicasAwayFromHome, runningTasks } from '../support/storedServices.js';
import { until, type Cluster } from '../support/cluster.js';
import { emptyShard } from '../support/emptyShard.js';
import { spec as jobSpec } from '../support/spec.js';
import { status, withCluster, type Answer } from '../support/users.js';

const ID = 'wk-000201';

const running = (cluster: Cluster): string[] => runningTasks(cluster, ID);

const awayFromHome = (cluster: Cluster): Promise<void> => replicasAwayFromHome(cluster, ID);

async function cancel(
  cluster: Cluster,
  label: string,
): Promise<{ status: number; said: string | undefined }> {
  const answer = await cluster.call(label, 'POST', `/v1/jobs/${ID}/withdraw`);
  if (answer.status === 503) assert.notEqual(answer.retryAfter, null);
  return { status: answer.status, said: (answer.body as Partial<Answer>).Status };
}

const gone = (cluster: Cluster): Promise<void> =>
  until('no task of it is left', () => running(cluster).length === 0, 12);

const meetings: {
  name: string;
  /** Before the state service is out for all, and the leader is refused by it alone. */
  before?: (cluster: Cluster) => void;
  after?: (cluster: Cluster) => Promise<void>;
}[] = [
  { name: 'nothing else' },
  {
    name: 'the confirming node dies at once',
    after: (c) => {
      c.crash('drone-1');
      return Promise.resolve();
    },
  },
  {
    name: 'a machine reports but gets no answers and no commands for a while',
    before: (c) => {
      for (const worker of c.cloud.workers.values()) worker.deaf = true;
    },
    after: async (c) => {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const worker of c.cloud.workers.values()) worker.deaf = false;
    },
  },
  {
    name: 'its machines hang across the cancellation and go on',
    before: (c) => {
      for (const worker of c.cloud.workers.values()) worker.hanging = true;
    },
    after: async (c) => {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const worker of c.cloud.workers.values()) worker.hanging = false;
    },
  },
];
for (const { name, before, after } of meetings) {
  // The owner of its machines can't read what is stored, and would answer their workers all through the outage.
  test(`cancelled elsewhere while the state service refuses the leader, then all: ${name}`, () =>
    withCluster({ nodes: 2, runs: () => Infinity }, async (cluster) => {
      await awayFromHome(cluster);
      before?.(cluster);
      cluster.state.refused.add('drone-0');
      assert.deepEqual(await cancel(cluster, 'drone-1'), { status: 200, said: 'cancelled' });
      cluster.state.refused.add('*');
      await after?.(cluster);
      await gone(cluster);
    }));
}

test('while a leader of its tasks can be neither asked nor replaced, a cancellation is not confirmed', () =>
  withCluster({ nodes: 2, runs: () => Infinity }, async (cluster) => {
    await awayFromHome(cluster);
    cluster.apart.add('drone-0');
    assert.equal((await cancel(cluster, 'drone-1')).status, 503);
    assert.notEqual((await status(cluster, 'drone-1', ID)).Status, 'cancelled');
    cluster.apart.clear();
    await until('it is cancelled', async () => (await cancel(cluster, 'drone-1')).status === 200);
    await gone(cluster);
  }));

test('a cancellation that could not be stored leaves its job to go on', () =>
  withCluster({ nodes: 2, runs: () => Infinity }, async (cluster) => {
    await awayFromHome(cluster);
    cluster.state.refused.add('drone-1');
    const node = cluster.nodes.get('drone-0')?.controller;
    // As announced by a home that dies before it has stored anything.
    assert.equal(node?.cancellationPreparations.prepare(ID).length, 1);
    cluster.crash('drone-1');
    await gone(cluster);
    await until('it runs again', () => running(cluster).length === 2, 20);
  }));

// ---- Who may say that a chunk is prepared for its cancellation ----

const NOW = 1000;
const standIns = {
  stateClient: { get: () => Promise.resolve(null) },
  leadership: { isLeaseValid: true, advanceFencingToken: () => Promise.resolve(null) },
};
const settings = { heartbeatInterval: 4, workerLease: 18, cancellationTimeout: 43 };

function node(previousLeaderUntil: number, seenToken: number) {
  const shard = emptyShard(4);
  const ownedShard: OwnedShard = createOwnedShard(
    shard,
    { fencingToken: 7, revision: 1 },
    NOW,
    previousLeaderUntil,
  );
  const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  const machine = shard.addMachine('n-1', record, NOW);
  machine.highestFencingToken = seenToken;
  const entry = { task: 0, attemptNumber: 1, machine: 'n-1', agentEpoch: 1 };
  const stored = new Chunk(
    jobSpec({ id: ID, taskCount: 1 }),
    0,
    'q',
    1,
    0,
    1,
    null,
    NOW,
  ).toRecord();
  const chunk = shard.loadChunk(0, { ...stored, attempts: [entry] }, 7, NOW);
  const preparations = new CancellationPreparations({
    settings,
    clock: { now: () => NOW },
    ownedShards: new Map([['p', ownedShard]]),
    stateCache: { get: () => undefined, note: () => undefined, syncedAt: NOW, revision: 1 },
    ...standIns,
    audit: { note: () => undefined },
    peers: { prepareCancel: () => Promise.resolve(false) },
    isBlockedOnDependencies: () => false,
    requestSchedulingRound: () => undefined,
  });
  return { preparations, chunk };
}

const claims: {
  name: string;
  previousLeaderUntil: number;
  seen: number;
  moving?: boolean;
  yes: boolean;
}[] = [
  { name: 'a shard that was always ours', previousLeaderUntil: NOW, seen: 3, yes: true },
  {
    name: 'an adopted one, its last leader may answer',
    previousLeaderUntil: NOW + 36,
    seen: 3,
    yes: false,
  },
  { name: 'the worker has seen our token', previousLeaderUntil: NOW + 36, seen: 7, yes: true },
  { name: 'the last leader ends soon enough', previousLeaderUntil: NOW + 20, seen: 3, yes: true },
  { name: 'on its way elsewhere', previousLeaderUntil: NOW, seen: 7, moving: true, yes: false },
];
for (const { name, previousLeaderUntil, seen, moving, yes } of claims) {
  test(`a chunk is known to be prepared for its cancellation: ${name}`, () => {
    const { preparations, chunk } = node(previousLeaderUntil, seen);
    chunk.isMigrating = moving ?? false;
    assert.equal(preparations.prepare(ID).length, yes ? 1 : 0);
    assert.equal(chunk.pendingCount, 0);
  });
}

const answers: { name: string; cut: number; found: PreparedChunk[][]; enough: boolean }[] = [
  { name: 'all chunks', cut: 2, found: [[at(0, 'q', 5)], [at(1, 'r', 6)]], enough: true },
  { name: 'one is missing', cut: 3, found: [[at(0, 'q', 5)], [at(1, 'r', 6)]], enough: false },
  { name: 'a leader that has lost its shard', cut: 1, found: [[at(0, 'q', 4)]], enough: false },
  { name: 'nobody answers', cut: 1, found: [], enough: false },
  { name: 'the missing one is done', cut: 1, found: [], enough: true },
];
function at(index: number, part: string, token: number): PreparedChunk {
  return { index, shard: part, fencingToken: token };
}
for (const { name, cut, found, enough } of answers) {
  test(`a cancellation may be confirmed: ${name}`, async () => {
    const tokens: Record<string, number> = { [keys.leader('q')]: 5, [keys.leader('r')]: 6 };
    const preparations = new CancellationPreparations({
      settings,
      clock: { now: () => NOW },
      ownedShards: new Map(),
      stateCache: {
        get: (key) => ({
          value: { node: 'x', fencingToken: tokens[key], process: '' },
          revision: 1,
        }),
        note: () => undefined,
        syncedAt: NOW,
        revision: 1,
      },
      ...standIns,
      audit: { note: () => undefined },
      peers: {
        prepareCancel: (_job, _timeout, note) =>
          Promise.resolve(found.map(note).some((done) => done)),
      },
      isBlockedOnDependencies: () => false,
      requestSchedulingRound: () => undefined,
    });
    const doneChunks = name.endsWith('is done') ? [0] : [];
    const record = { createdChunks: cut, doneChunks } as unknown as JobRecord;
    const job = { id: ID, record, revision: 1, isWriteInFlight: false };
    const home = createOwnedShard(emptyShard(4), { fencingToken: 4, revision: 1 }, NOW);
    const evidence = await preparations.prepareEverywhere(home, job);
    assert.equal(evidence !== null, enough);
  });
}

test('a chunk of a cancelled job that is in a shard without a mark violates an invariant', () => {
  const shard = emptyShard(4);
  const ownedShard = createOwnedShard(shard, { fencingToken: 7, revision: 1 }, NOW);
  const spec = jobSpec({ id: ID, taskCount: 1 });
  // Its shard does not ask whether its job is cancelled.
  shard.acceptNewChunk(new Chunk(spec, 0, 'p', 1, 0, 1, null, NOW), NOW);
  const preparations = new CancellationPreparations({
    settings: { ...settings },
    clock: { now: () => NOW },
    ownedShards: new Map([['p', ownedShard]]),
    stateCache: {
      get: () => ({ value: { state: 'cancelled' }, revision: 1 }),
      note: () => undefined,
      syncedAt: NOW,
      revision: 1,
    },
    ...standIns,
    audit: { note: () => undefined },
    peers: { prepareCancel: () => Promise.resolve(false) },
    isBlockedOnDependencies: () => false,
    requestSchedulingRound: () => undefined,
  });
  preparations.sweep();
  assert.equal(shard.audit.counters['invariant-broken.unmarked-cancelled-chunk'], 1);
});
