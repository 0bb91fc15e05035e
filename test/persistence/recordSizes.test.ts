/** The service starts and serves with valid settings of any size, and records stay within the limits of a value. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chunkRanges, chunkSize } from '../../src/coordination/model/chunking.js';
import { groupLimit } from '../../src/coordination/autoscaling/machineGroups.js';
import { MAX_RENTAL_COUNT } from '../../src/protocol/cloudProtocol.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { keys, type BucketRecord } from '../../src/storage/records.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { submission, until } from '../support/cluster.js';
import { jobSpec } from '../support/jobSpec.js';
import { submitUntilAccepted, jobStatus, withCluster } from '../support/users.js';

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
