/** The service starts and serves with valid settings of any size, and records stay within the limits of a value. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  chunkRanges,
  chunkSize,
  MAX_SERVICE_CHUNKS,
  totalChunks,
} from '../../src/coordination/model/chunking.js';
import { groupLimit } from '../../src/coordination/autoscaling/machineGroups.js';
import { MAX_RENTAL_COUNT } from '../../src/protocol/cloudProtocol.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { isStorable, maxTasksPerChunk } from '../../src/coordination/jobs/storability.js';
import { withKnownMachineTypes } from '../../src/coordination/model/allowedMachineTypes.js';
import { transactionRequest } from '../../src/protocol/stateProtocol.js';
import { keys, type BucketRecord, type OpenJobRecord } from '../../src/storage/records.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { submission, until } from '../support/cluster.js';
import { jobSpec } from '../support/jobSpec.js';
import { callUntilServed, jobStatus, submitUntilAccepted, withCluster } from '../support/users.js';

for (const [nodes, zones] of [
  [1, ['a']],
  [7, ['a', 'b', 'c']],
] as [number, string[]][]) {
  test(`${nodes} controller(s) in ${zones.length} zone(s): a spread service and an array job run`, () =>
    withCluster(
      { nodes, zones, taskRunSeconds: (task) => (task.startsWith('wk-000001') ? Infinity : 0.3) },
      async (cluster) => {
        const last = `drone-${nodes - 1}`;
        // In a single zone only half of a spread service may run.
        const replicas = zones.length > 1 ? 4 : 2;
        const service = { Shape: 'daemon', Rank: 'prod', Pieces: 4, Apart: true, Loaners: false };
        await submitUntilAccepted(
          cluster,
          'drone-0',
          submission('wk-000001', { ...service, ExpectS: 0 }),
        );
        await submitUntilAccepted(cluster, last, submission('wk-000002', { Pieces: 40 }));
        await until('the array job is done', async () => {
          return (await jobStatus(cluster, 'drone-0', 'wk-000002')).Status === 'done';
        });
        await until('the replicas run', async () => {
          return (await jobStatus(cluster, last, 'wk-000001')).running === replicas;
        });
      },
    ));
}

/** Returns the record of a chunk whose tasks all run, each on its own machine, with numbers of maximum length. */
function fullRecord(job: JobSpec, size: number): BucketRecord {
  const chunk = new Chunk(job, 0, 'drone-100', 1764637200.123, 0, size, 'zone', 0);
  const attempts = Array.from({ length: size }, (_, i) => ({
    task: 90_000 + i,
    attemptNumber: 1000,
    machine: 'n-000000000',
    agentEpoch: 10 + (i % 90),
  }));
  return {
    chunks: {
      'wk-000000/0': {
        ...chunk.toRecord(),
        attempts,
        nextAttemptNumber: 1000,
        migrationCount: 3,
      },
    },
  };
}

for (const [kilobytes, isCompact] of [
  ...[4, 16, 32, 64].map((size) => [size, false] as const),
  ...[2, 4, 16, 32, 64].map((size) => [size, true] as const),
]) {
  const value = kilobytes * 1024;
  const recordFormat = recordFormatFor(value, 16, isCompact);
  test(`records stay within values of ${kilobytes} KiB, format ${isCompact ? 2 : 1}`, () => {
    assert.ok(groupLimit(value) >= 1 && groupLimit(value) <= MAX_RENTAL_COUNT);
    const machine = { 'n-000000000': { at: 1764637200.123, address: '10.255.255.255:65535' } };
    assert.ok(groupLimit(value) * JSON.stringify(machine).length < value);
    for (const shardCount of [1, 3, 12]) {
      for (const cpus of [0, 8, 64, 8000]) {
        for (const tasks of [1, 120, 5000]) {
          const job = jobSpec({ taskCount: tasks, cpus: 4 });
          const size = chunkSize(job, cpus, recordFormat.maxTasksPerChunk(job), shardCount);
          const ranges = chunkRanges(tasks, size, []);
          assert.equal(
            ranges.reduce((n, r) => n + r.endTask - r.firstTask, 0),
            tasks,
          );
          // All tasks of a chunk may run at once, each with an attempt in its record.
          const bytes = recordFormat.encodedBytes(keys.bucket('p', 's'), fullRecord(job, size));
          assert.ok(bytes < value, `${size} tasks take ${bytes} bytes`);
        }
      }
    }
  });
}

const openRecord = (spec: JobSpec, chunkSize: number): OpenJobRecord => ({
  ...{ spec, homeShard: 'drone-0', state: 'open', taskCount: spec.taskCount, submittedAt: 1e9 },
  ...{ chunkSize, zones: [], createdChunks: 1, doneChunks: [], migratedChunks: [] },
});

// Guards against a job that is accepted and never runs: its own record fitted a transaction, and that of its chunk did not.
test('a job is storable only if its record and those of its chunks fit a transaction, at their largest', () => {
  const recordFormat = recordFormatFor(16 * 1024, 32, true);
  const quoted = (count: number): string[] => Array.from({ length: count }, (_, n) => `type-${n}`);
  for (let count = 3000; count < 7000; count += 5) {
    const spec = jobSpec({ taskCount: 8, machineTypes: quoted(count) });
    const record = openRecord(spec, 8);
    const chunk = new Chunk(spec, 0, 'drone-0', 1e9, 0, 8, null, 0).toRecord();
    const attempts = Array.from({ length: 8 }, (_, task) => {
      return { task, attemptNumber: 100 + task, machine: `n-${task}00000`, agentEpoch: 1 };
    });
    const bucket = { chunks: { 'wk-1/0': { ...chunk, attempts } } };
    const bytes = (key: string, value: unknown): number =>
      JSON.stringify(
        transactionRequest({
          conditions: [],
          puts: recordFormat.encodePuts(key, value),
          deletes: [],
        }),
      ).length;
    const largest = Math.max(bytes(keys.job('wk-1'), record), bytes(keys.bucket('p', 'x'), bucket));
    if (isStorable(recordFormat, record)) assert.ok(largest < 63 * 1024, `${count}: ${largest}`);
    else assert.ok(largest > 59 * 1024, `${count}: ${largest}`);
  }
});

test('a job with a usual description is storable, whatever its size and the limits of the state service', () => {
  for (const kilobytes of [2, 4, 16, 32, 64]) {
    for (const isCompact of kilobytes > 2 ? [true, false] : [true]) {
      const recordFormat = recordFormatFor(kilobytes * 1024, 5, isCompact);
      for (const taskCount of [1, 120, 5000, 100_000]) {
        for (const cpus of [0, 64, 1e6]) {
          const spec = jobSpec({ id: 'wk-000001', taskCount });
          const size = chunkSize(spec, cpus, recordFormat.maxTasksPerChunk(spec), 5);
          const name = `${taskCount} tasks in chunks of ${size}, values of ${kilobytes} KiB`;
          assert.ok(isStorable(recordFormat, openRecord(spec, size)), name);
        }
      }
    }
  }
});

test('names of machine types that the cloud does not have are left out of a description', () => {
  const types = new Map([
    ['m8', 1],
    ['g8', 1],
  ]);
  const cases: [string, string[] | null, string[] | null][] = [
    ['any type', null, null],
    ['known types', ['g8', 'm8'], ['g8', 'm8']],
    ['unknown types', ['x', 'm8', 'y'], ['m8']],
    ['a repeated type', ['m8', 'm8', 'g8'], ['m8', 'g8']],
    ['only unknown types', ['x'], ['x']],
  ];
  for (const [name, machineTypes, kept] of cases) {
    const spec = jobSpec({ machineTypes });
    assert.deepEqual(withKnownMachineTypes(spec, types).machineTypes, kept, name);
  }
});

/** Bytes of one more name in a list of machine types. */
const BYTES_OF_NAME = '"yard-type-01000",'.length;

// Guards against a service that starts nothing: nine jobs with long lists were accepted and held all writes.
test('jobs with descriptions of up to 64 KiB are accepted and run, and so do the others', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.2 }, async (cluster) => {
    cluster.state.limits = { valueBytes: 16 * 1024, txnOps: 32 };
    const flavours = ['m8', ...Array.from({ length: 3700 }, (_, n) => `yard-type-0${1000 + n}`)];
    const maxBytes = [58 * 1024, 62 * 1024, 64 * 1024, 0];
    const ids = maxBytes.map((_, n) => `wk-00010${n}`);
    const jobs = maxBytes.map((max, n) => {
      const job = submission(`wk-00010${n}`, { Flavours: flavours, Pieces: 2 });
      const surplusNames = Math.ceil((JSON.stringify(job).length - max) / BYTES_OF_NAME);
      const kept = Math.max(1, flavours.length - surplusNames);
      return submission(`wk-00010${n}`, { Flavours: flavours.slice(0, kept), Pieces: 2 });
    });
    const bytes = jobs.map((job) => JSON.stringify(job).length);
    for (const [n, max] of maxBytes.slice(0, 3).entries()) {
      assert.ok((bytes[n] ?? 0) > max - BYTES_OF_NAME && (bytes[n] ?? 0) <= max);
    }
    for (const job of jobs) await submitUntilAccepted(cluster, 'drone-0', job);
    for (const id of ids) {
      await until(`${id} is done`, async () => {
        return (await jobStatus(cluster, 'drone-1', id)).Status === 'done';
      });
    }
    assert.equal(cluster.state.malformedCount, 0);
  }));

// Guards against a job whose user is asked to try again for as long as that takes, since its record can't be stored.
test('a description that cannot be stored is refused at once with its reason', () =>
  withCluster(
    { nodes: 1, taskRunSeconds: () => Infinity, nextStateLimits: 'value_kb = 2.0\ntxn_ops = 3' },
    async (cluster) => {
      const isCompact = (): boolean =>
        cluster.nodes.get('drone-0')?.controller.recordFormat.isCompact === true;
      await until('larger records are written', isCompact);
      const waitsOn = [1, 2, 3, 4].map((n) => `wk-${'x'.repeat(90)}${n}`);
      for (const id of waitsOn) {
        await submitUntilAccepted(cluster, 'drone-0', submission(id));
      }
      const longName = '\u0001'.repeat(256);
      const names = { Jobclass: longName, Bundle: longName };
      const job = submission('wk-000009', { ...names, WaitsOn: waitsOn });
      const answer = await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', job);
      assert.equal(answer.status, 400, JSON.stringify(answer.body));
      assert.deepEqual(answer.body, { error: 'the description is too large to be stored' });
      assert.equal(cluster.state.malformedCount, 0);
    },
  ));

// Guards against a service that is accepted with more chunks than its records can name, or larger ones than can be stored.
for (const [kilobytes, txnOps] of [
  [2, 5],
  [16, 32],
  [32, 16],
] as const) {
  for (const zones of [[], ['a', 'b']]) {
    const where = zones.length > 0 ? 'two zones' : 'one zone';
    test(`a service of 100,000 tasks in ${where} fits values of ${kilobytes} KiB with all of its chunks`, () => {
      const recordFormat = recordFormatFor(kilobytes * 1024, txnOps, true);
      const spec = jobSpec({ id: 'wk-000001', taskCount: 100_000, isService: true });
      const size = chunkSize(spec, 64, maxTasksPerChunk(recordFormat, spec), 3);
      const record = { ...openRecord(spec, size), zones };
      assert.ok(isStorable(recordFormat, record));
      const chunks = totalChunks(record);
      assert.ok(chunks <= MAX_SERVICE_CHUNKS, `${chunks} chunks`);
      const apart = Array.from({ length: Math.ceil(chunks / 2) }, (_, n) => 2 * n);
      const largest = { ...record, createdChunks: chunks, migratedChunks: apart };
      const limit = recordFormat.maxRecordBytes(1);
      assert.ok(recordFormat.storedBytes(keys.job(spec.id), largest) <= limit);
      const bucket = keys.bucket('drone-100', 'wk-000001-0-3');
      assert.ok(recordFormat.storedBytes(bucket, fullRecord(spec, size)) <= limit);
    });
  }
}

test('a service whose description, once for each chunk, would fill the memory of a controller is not storable', () => {
  const recordFormat = recordFormatFor(16 * 1024, 32, true);
  const isAccepted = (taskCount: number, descriptionBytes: number): boolean => {
    const image = 'x'.repeat(descriptionBytes);
    const spec = jobSpec({ taskCount, image, isService: true });
    const size = chunkSize(spec, 64, maxTasksPerChunk(recordFormat, spec), 3);
    return isStorable(recordFormat, openRecord(spec, size));
  };
  assert.ok(isAccepted(100_000, 1000));
  assert.ok(isAccepted(1000, 14_000));
  assert.ok(isAccepted(8, 50_000));
  assert.ok(!isAccepted(100_000, 40_000));
});
