/**
 * `npm run measure-answers`: measures how many queries about a job a node answers per second, and the processor time per
 * answer. Controllers, stand-ins and users share one process, so the figures compare two versions but don't size a machine.
 */
import { performance } from 'node:perf_hooks';
import { submission, until, type Cluster } from '../support/cluster.js';
import { submitUntilAccepted, callUntilServed, jobStatus, withCluster } from '../support/users.js';

const JOB = 'wk-000001';
const CONNECTIONS = 16;
const MEASURED_S = 4;
const REPETITIONS = 5;

interface Measurement {
  perSecond: number;
  /** Processor time of the whole process per answer, in microseconds. */
  cpuMicros: number;
}

async function measureOnce(cluster: Cluster, node: string): Promise<Measurement> {
  const startedAt = performance.now();
  const cpuAtStart = process.cpuUsage();
  const deadline = startedAt + MEASURED_S * 1000;
  let count = 0;
  const user = async (): Promise<void> => {
    while (performance.now() < deadline) {
      const answer = await cluster.call(node, 'GET', `/v1/jobs/${JOB}`);
      if (answer.status === 200) count++;
    }
  };
  await Promise.all(Array.from({ length: CONNECTIONS }, user));
  const { user: userMicros, system } = process.cpuUsage(cpuAtStart);
  const seconds = (performance.now() - startedAt) / 1000;
  return { perSecond: count / seconds, cpuMicros: (userMicros + system) / count };
}

const median = (values: number[]): number =>
  values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

async function measureRepeatedly(cluster: Cluster, name: string, node: string): Promise<void> {
  const runs: Measurement[] = [];
  for (let i = 0; i < REPETITIONS; i++) runs.push(await measureOnce(cluster, node));
  const perSecond = median(runs.map((run) => run.perSecond));
  const cpuMicros = median(runs.map((run) => run.cpuMicros));
  console.log(`${name}: ${perSecond.toFixed(0)} answers/s, ${cpuMicros.toFixed(0)} µs each`);
}

await withCluster({ nodes: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
  await submitUntilAccepted(cluster, 'drone-0', submission(JOB, { Pieces: 1 }));
  await until('the job runs', async () => (await jobStatus(cluster, 'drone-0', JOB)).running === 1);
  await measureRepeatedly(cluster, "at its leader, from the leader's memory", 'drone-0');
  await measureRepeatedly(cluster, 'at another node, by a relay to its leader', 'drone-1');
  await callUntilServed(cluster, 'drone-0', 'POST', `/v1/jobs/${JOB}/withdraw`);
  await measureRepeatedly(cluster, 'of a final state, from the copy', 'drone-0');
});
process.exit(0);
