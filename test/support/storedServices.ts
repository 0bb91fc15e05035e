/** Stores records of services directly, so that a test determines the shards of their chunks. */
import assert from 'node:assert/strict';
import { toPlainBucket, toPlainJob } from '../../src/storage/plainRecords.js';
import { keys, type ChunkRecord, type JobRecord } from '../../src/storage/records.js';
import { until, type Cluster } from './cluster.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { jobSpec } from './jobSpec.js';
import { jobStatus } from './users.js';

const CHUNK_TASKS = 8;

/** Tasks of the job that run on machines. */
export const runningTasks = (cluster: Cluster, job: string): string[] =>
  [...cluster.cloud.workers.values()].flatMap((w) => w.tasks).filter((t) => t.startsWith(job));

/** The record of an open service with some of its chunks created. */
const openService = (
  spec: JobSpec,
  fields: Pick<JobRecord, 'homeShard' | 'createdChunks' | 'migratedChunks'>,
): JobRecord => ({
  ...{ spec, state: 'open', taskCount: spec.taskCount, submittedAt: 1 },
  ...{ chunkSize: CHUNK_TASKS, zones: [], doneChunks: [], ...fields },
});

/** Stores records, and restarts the leader of the job's home shard so that it loads them. */
async function storeAndReload(
  cluster: Cluster,
  home: string,
  puts: { Put: string; Value: unknown }[],
): Promise<void> {
  assert.equal(cluster.state.apply({ Then: puts }).status, 200);
  cluster.crash(home);
  await cluster.boot(home);
}

/** Stores a service of two replicas whose home shard is drone-1 and which runs on machines of drone-0's shard. */
export async function storeMigratedService(cluster: Cluster, id: string): Promise<void> {
  const spec = jobSpec({ id, taskCount: 2, isService: true, rank: 'prod', cpus: 2, memoryGb: 4 });
  const homeShard = 'drone-1';
  const job = openService(spec, { homeShard, createdChunks: 1, migratedChunks: [0] });
  const chunk: ChunkRecord = {
    ...{ spec, homeShard, submittedAt: 1, firstTask: 0, endTask: 2, zone: null },
    ...{ nextAttemptNumber: 1, doneTasks: [], attempts: [], migrationCount: 1 },
  };
  const bucket = { chunks: { [`${id}/0`]: chunk } };
  await storeAndReload(cluster, homeShard, [
    { Put: keys.job(id), Value: toPlainJob(job) },
    { Put: keys.bucket('drone-0', 's1'), Value: toPlainBucket(bucket) },
  ]);
  await until('it runs', () => runningTasks(cluster, id).length === 2);
  await until(
    'its home knows it',
    async () => (await jobStatus(cluster, homeShard, id)).running === 2,
  );
}

/** Stores a service whose home shard is drone-0, with the first of its chunks created; the others follow one by one. */
export async function storeServiceInManyChunks(cluster: Cluster, id: string): Promise<void> {
  const taskCount = CHUNK_TASKS * 8;
  const spec = jobSpec({ id, taskCount, isService: true, rank: 'prod', cpus: 0.1, memoryGb: 0.1 });
  const homeShard = 'drone-0';
  const job = openService(spec, { homeShard, createdChunks: 1, migratedChunks: [] });
  await storeAndReload(cluster, homeShard, [{ Put: keys.job(id), Value: toPlainJob(job) }]);
}
