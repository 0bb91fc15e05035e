/** Loading a shard from its records: attempts that an earlier leader may have started count, whatever state their job has. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ShardLoader,
  type ShardLoaderContext,
} from '../../src/coordination/leadership/shardLoader.js';
import {
  keys,
  type BucketRecord,
  type JobRecord,
  type MachineRecord,
} from '../../src/storage/records.js';
import type { CachedRecord } from '../../src/storage/stateCache.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { emptyShard, m8 } from '../support/emptyShard.js';
import { jobSpec } from '../support/jobSpec.js';

const LEADERSHIP = { fencingToken: 7, revision: 9, previousLeaderLostAt: 0 };

/** A node with the records of a shard with one machine and one chunk of two tasks, one of which a leader has started. */
function nodeWith(job: Partial<JobRecord>): ShardLoaderContext {
  const task = jobSpec({ id: 'wk-1', taskCount: 2 });
  const open: JobRecord = {
    spec: task,
    homeShard: 'p',
    state: 'open',
    taskCount: 2,
    submittedAt: 1,
    chunkSize: 8,
    zones: [],
    createdChunks: 1,
    doneChunks: [],
    migratedChunks: [],
  };
  const record = { ...open, ...job } as JobRecord;
  const chunk = {
    spec: task,
    homeShard: 'p',
    submittedAt: 1,
    firstTask: 0,
    endTask: 2,
    zone: null,
    nextAttemptNumber: 3,
    doneTasks: [],
    migrationCount: 0,
  };
  const attempt = { task: 1, attemptNumber: 2, machine: 'n-1', agentEpoch: 1 };
  const bucket: BucketRecord = { chunks: { 'wk-1/0': { ...chunk, attempts: [attempt] } } };
  const rows = new Map<string, CachedRecord>([
    [keys.job('wk-1'), { value: record, revision: 5 }],
    [keys.bucket('p', 's1'), { value: bucket, revision: 4 }],
  ]);
  const machine: MachineRecord = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  return {
    clock: { now: () => 100, wall: () => 100 },
    inventory: { machinesOf: () => new Map([['n-1', machine]]).entries(), get: () => undefined },
    stateCache: {
      get: (key) => rows.get(key),
      *entriesWithPrefix(prefix) {
        for (const row of rows) if (row[0].startsWith(prefix)) yield row;
      },
      applyRemoval: () => undefined,
    },
    stateClient: { get: () => Promise.resolve(null) },
    persistence: { createMissingChunks: () => undefined },
    recordFormat: recordFormatFor(),
    requestSchedulingRound: () => undefined,
  };
}

const cases: { name: string; job: Partial<JobRecord>; isWanted: boolean }[] = [
  { name: 'its job is open', job: {}, isWanted: true },
  { name: 'its job is cancelled', job: { state: 'cancelled', spec: null }, isWanted: false },
  { name: 'its job is done', job: { state: 'done', spec: null }, isWanted: false },
  { name: 'its chunk is recorded as done', job: { doneChunks: [0] }, isWanted: false },
];

for (const { name, job, isWanted } of cases) {
  test(`an attempt that an earlier leader started counts until it is known to have terminated: ${name}`, () => {
    const cancellation = job.state === 'cancelled' ? ('stored' as const) : ('none' as const);
    const view = { cancellationOf: () => cancellation };
    const shard = emptyShard(3, new Map([['m8', m8]]), view);
    new ShardLoader(nodeWith(job)).load(shard, LEADERSHIP, 100);
    assert.equal(shard.teamUsage.usedBy('crew').cpus, 2);
    const machine = shard.machines.get('n-1');
    assert.equal(machine?.free.cpus, 6);
    const chunk = shard.chunks.get('wk-1/0');
    assert.equal(chunk?.isCancelRequested, !isWanted);
    assert.equal(
      chunk?.attempts.get(1)?.stop !== null,
      !isWanted,
      'it is stopped unless its chunk is still wanted',
    );
  });
}

test('an attempt on a machine that is recorded in another shard still counts as running', () => {
  // Such an attempt was dropped at loading, and its task was started a second time while the first still ran.
  const node = nodeWith({});
  const elsewhere = { shard: 'q', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
  node.inventory = {
    machinesOf: () => new Map<string, MachineRecord>().entries(),
    get: (name) => (name === 'n-1' ? elsewhere : undefined),
  };
  const shard = emptyShard(3, new Map([['m8', m8]]));
  new ShardLoader(node).load(shard, LEADERSHIP, 100);
  assert.equal(shard.chunks.get('wk-1/0')?.attempts.get(1)?.machine, 'n-1');
  shard.liveness.sweep(100 + 1000);
  assert.equal(
    shard.chunks.get('wk-1/0')?.attempts.size,
    1,
    "another leader renews its worker's lease",
  );
  assert.equal(shard.machines.get('n-1')?.availability(100), 'reassigned');
  shard.removeMachine('n-1', 100);
  assert.equal(shard.chunks.get('wk-1/0')?.attempts.size, 0, 'its release is confirmed');
});

test('a chunk that is loaded while the cancellation of its job is announced is not started', () => {
  const view = { cancellationOf: () => 'announced' as const };
  const shard = emptyShard(3, new Map([['m8', m8]]), view);
  new ShardLoader(nodeWith({})).load(shard, LEADERSHIP, 100);
  const chunk = shard.chunks.get('wk-1/0');
  assert.equal(chunk?.pendingCount, 0);
  assert.deepEqual(chunk.attempts.get(1)?.stop, { gracePeriod: 0, sentAt: null });
});
