/** Cancellations during failures: a confirmed cancellation holds, and one that might not hold is not confirmed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { CancellationPreparations } from '../../src/coordination/jobs/cancellationPreparations.js';
import type { PreparedChunk } from '../../src/protocol/peerMessages.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { storeMigratedService, runningTasks } from '../support/storedServices.js';
import { until, type Cluster } from '../support/cluster.js';
import { emptyShard } from '../support/emptyShard.js';
import { jobSpec as jobSpec } from '../support/jobSpec.js';
import { jobStatus, withCluster, type JobAnswer } from '../support/users.js';

const ID = 'wk-000201';

const running = (cluster: Cluster): string[] => runningTasks(cluster, ID);

const awayFromHome = (cluster: Cluster): Promise<void> => storeMigratedService(cluster, ID);

async function cancel(
  cluster: Cluster,
  label: string,
): Promise<{ status: number; state: string | undefined }> {
  const answer = await cluster.call(label, 'POST', `/v1/jobs/${ID}/withdraw`);
  if (answer.status === 503) assert.notEqual(answer.retryAfter, null);
  return { status: answer.status, state: (answer.body as Partial<JobAnswer>).Status };
}

const awaitNoTasks = (cluster: Cluster): Promise<void> =>
  until('no task of the job is left', () => running(cluster).length === 0, 12);

const failureCases: {
  name: string;
  /** Runs before the state service refuses the leader; `after` runs once it refuses all nodes. */
  before?: (cluster: Cluster) => void;
  after?: (cluster: Cluster) => Promise<void>;
}[] = [
  { name: 'no other failure' },
  {
    name: 'the confirming node crashes immediately',
    after: (c) => {
      c.crash('drone-1');
      return Promise.resolve();
    },
  },
  {
    name: 'its machines report but receive neither answers nor commands for a while',
    before: (c) => {
      for (const worker of c.cloud.workers.values()) worker.deaf = true;
    },
    after: async (c) => {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const worker of c.cloud.workers.values()) worker.deaf = false;
    },
  },
  {
    name: 'its machines hang during the cancellation and resume',
    before: (c) => {
      for (const worker of c.cloud.workers.values()) worker.hanging = true;
    },
    after: async (c) => {
      await new Promise((resolve) => setTimeout(resolve, 700));
      for (const worker of c.cloud.workers.values()) worker.hanging = false;
    },
  },
];
for (const { name, before, after } of failureCases) {
  // The leader of the machines' shard cannot read the stored cancellation, and would answer its workers during the outage.
  test(`a job is cancelled at another node while the state service refuses the leader, then all nodes: ${name}`, () =>
    withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
      await awayFromHome(cluster);
      before?.(cluster);
      cluster.state.refusedClients.add('drone-0');
      assert.deepEqual(await cancel(cluster, 'drone-1'), { status: 200, state: 'cancelled' });
      cluster.state.refusedClients.add('*');
      await after?.(cluster);
      await awaitNoTasks(cluster);
    }));
}

test('a cancellation is not confirmed while a leader of tasks of the job can be neither reached nor replaced', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await awayFromHome(cluster);
    cluster.isolatedNodes.add('drone-0');
    assert.equal((await cancel(cluster, 'drone-1')).status, 503);
    assert.notEqual((await jobStatus(cluster, 'drone-1', ID)).Status, 'cancelled');
    cluster.isolatedNodes.clear();
    await until(
      'the job is cancelled',
      async () => (await cancel(cluster, 'drone-1')).status === 200,
    );
    await awaitNoTasks(cluster);
  }));

test('a job resumes after its announced cancellation could not be stored', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    await awayFromHome(cluster);
    cluster.state.refusedClients.add('drone-1');
    const node = cluster.nodes.get('drone-0')?.controller;
    // As announced by the home shard's leader, which crashes before it has stored anything.
    assert.equal(node?.cancellationPreparations.prepare(ID).length, 1);
    cluster.crash('drone-1');
    await awaitNoTasks(cluster);
    await until('the job runs again', () => running(cluster).length === 2, 20);
  }));

// ---- Which node may acknowledge that a chunk is prepared for its cancellation ----

const NOW = 1000;
const stubs = {
  stateClient: { get: () => Promise.resolve(null) },
  leadership: { isLeaseValid: true, advanceFencingToken: () => Promise.resolve(null) },
};
const settings = { heartbeatInterval: 4, workerLease: 18, cancellationTimeout: 43 };

function createNode(previousLeaderUntil: number, seenToken: number) {
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
    stateCache: { get: () => undefined, applyPut: () => undefined, syncedAt: NOW, revision: 1 },
    ...stubs,
    audit: { note: () => undefined },
    peers: { prepareCancel: () => Promise.resolve(false) },
    isBlockedOnDependencies: () => false,
    requestSchedulingRound: () => undefined,
  });
  return { preparations, chunk };
}

const acknowledgementCases: {
  name: string;
  previousLeaderUntil: number;
  seenToken: number;
  isMigrating?: boolean;
  isAcknowledged: boolean;
}[] = [
  {
    name: 'a shard that this node has always led',
    previousLeaderUntil: NOW,
    seenToken: 3,
    isAcknowledged: true,
  },
  {
    name: 'an adopted shard whose previous leader may still answer workers',
    previousLeaderUntil: NOW + 36,
    seenToken: 3,
    isAcknowledged: false,
  },
  {
    name: "the worker has received this node's token",
    previousLeaderUntil: NOW + 36,
    seenToken: 7,
    isAcknowledged: true,
  },
  {
    name: 'the previous leader stops answering workers soon enough',
    previousLeaderUntil: NOW + 20,
    seenToken: 3,
    isAcknowledged: true,
  },
  {
    name: 'a migrating chunk',
    previousLeaderUntil: NOW,
    seenToken: 7,
    isMigrating: true,
    isAcknowledged: false,
  },
];
for (const {
  name,
  previousLeaderUntil,
  seenToken,
  isMigrating,
  isAcknowledged,
} of acknowledgementCases) {
  test(`a chunk is acknowledged as prepared if no other node can keep it alive: ${name}`, () => {
    const { preparations, chunk } = createNode(previousLeaderUntil, seenToken);
    chunk.isMigrating = isMigrating ?? false;
    assert.equal(preparations.prepare(ID).length, isAcknowledged ? 1 : 0);
    assert.equal(chunk.pendingCount, 0);
  });
}

const confirmationCases: {
  name: string;
  createdChunks: number;
  acknowledged: PreparedChunk[][];
  isConfirmed: boolean;
}[] = [
  {
    name: 'all chunks are acknowledged',
    createdChunks: 2,
    acknowledged: [[prepared(0, 'q', 5)], [prepared(1, 'r', 6)]],
    isConfirmed: true,
  },
  {
    name: 'a chunk is not acknowledged',
    createdChunks: 3,
    acknowledged: [[prepared(0, 'q', 5)], [prepared(1, 'r', 6)]],
    isConfirmed: false,
  },
  {
    name: 'a leader that has lost its shard does not count',
    createdChunks: 1,
    acknowledged: [[prepared(0, 'q', 4)]],
    isConfirmed: false,
  },
  { name: 'no node answers', createdChunks: 1, acknowledged: [], isConfirmed: false },
  {
    name: 'the unacknowledged chunk is done',
    createdChunks: 1,
    acknowledged: [],
    isConfirmed: true,
  },
];
function prepared(index: number, shard: string, fencingToken: number): PreparedChunk {
  return { index, shard, fencingToken };
}
for (const { name, createdChunks, acknowledged, isConfirmed } of confirmationCases) {
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
        applyPut: () => undefined,
        syncedAt: NOW,
        revision: 1,
      },
      ...stubs,
      audit: { note: () => undefined },
      peers: {
        prepareCancel: (_job, _timeout, note) =>
          Promise.resolve(acknowledged.map(note).some((done) => done)),
      },
      isBlockedOnDependencies: () => false,
      requestSchedulingRound: () => undefined,
    });
    const doneChunks = name.endsWith('is done') ? [0] : [];
    const record = { createdChunks, doneChunks } as unknown as JobRecord;
    const job = { id: ID, record, revision: 1, isWriteInFlight: false };
    const home = createOwnedShard(emptyShard(4), { fencingToken: 4, revision: 1 }, NOW);
    const evidence = await preparations.prepareOnAllNodes(home, job);
    assert.equal(evidence !== null, isConfirmed);
  });
}

test('an unmarked chunk of a cancelled job in a shard violates an invariant', () => {
  const shard = emptyShard(4);
  const ownedShard = createOwnedShard(shard, { fencingToken: 7, revision: 1 }, NOW);
  const spec = jobSpec({ id: ID, taskCount: 1 });
  // This shard's cluster view does not report cancellations, so the chunk is not marked.
  shard.acceptNewChunk(new Chunk(spec, 0, 'p', 1, 0, 1, null, NOW), NOW);
  const preparations = new CancellationPreparations({
    settings: { ...settings },
    clock: { now: () => NOW },
    ownedShards: new Map([['p', ownedShard]]),
    stateCache: {
      get: () => ({ value: { state: 'cancelled' }, revision: 1 }),
      applyPut: () => undefined,
      syncedAt: NOW,
      revision: 1,
    },
    ...stubs,
    audit: { note: () => undefined },
    peers: { prepareCancel: () => Promise.resolve(false) },
    isBlockedOnDependencies: () => false,
    requestSchedulingRound: () => undefined,
  });
  preparations.sweep();
  assert.equal(shard.audit.counters['invariant-broken.unmarked-cancelled-chunk'], 1);
});
