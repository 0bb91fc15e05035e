/**
 * How many questions about a job a node answers in a second, and at what processor time: `npm run measure-answers`. Controllers,
 * stand-ins and users share one process, so that the figures serve to compare two versions, not to size a machine.
 */
import { performance } from 'node:perf_hooks';
import { submission, until, type Cluster } from '../support/cluster.js';
import { submitUntilAccepted, callUntilServed, jobStatus, withCluster } from '../support/users.js';

const JOB = 'wk-000001';
const CONNECTIONS = 16;
const SECONDS = 4;
const REPETITIONS = 5;

interface Measured {
  perSecond: number;
  /** Processor time of the whole process for each answer, in microseconds. */
  cpuMicros: number;
}

async function ask(cluster: Cluster, node: string): Promise<Measured> {
  const began = performance.now();
  const cpu = process.cpuUsage();
  const ends = began + SECONDS * 1000;
  let count = 0;
  const user = async (): Promise<void> => {
    while (performance.now() < ends) {
      const answer = await cluster.call(node, 'GET', `/v1/jobs/${JOB}`);
      if (answer.status === 200) count++;
    }
  };
  await Promise.all(Array.from({ length: CONNECTIONS }, user));
  const { user: userMicros, system } = process.cpuUsage(cpu);
  const seconds = (performance.now() - began) / 1000;
  return { perSecond: count / seconds, cpuMicros: (userMicros + system) / count };
}

const median = (values: number[]): number =>
  values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

async function measure(cluster: Cluster, name: string, node: string): Promise<void> {
  const runs: Measured[] = [];
  for (let i = 0; i < REPETITIONS; i++) runs.push(await ask(cluster, node));
  const perSecond = median(runs.map((run) => run.perSecond));
  const cpuMicros = median(runs.map((run) => run.cpuMicros));
  console.log(`${name}: ${perSecond.toFixed(0)} answers/s, ${cpuMicros.toFixed(0)} µs each`);
}

await withCluster({ nodes: 3, taskRunSeconds: () => Infinity }, async (cluster) => {
  await submitUntilAccepted(cluster, 'drone-0', submission(JOB, { Pieces: 1 }));
  await until('the job runs', async () => (await jobStatus(cluster, 'drone-0', JOB)).running === 1);
  await measure(cluster, "at its leader, from the leader's memory", 'drone-0');
  await measure(cluster, 'at another node, by a relay to its leader', 'drone-1');
  await callUntilServed(cluster, 'drone-0', 'POST', `/v1/jobs/${JOB}/withdraw`);
  await measure(cluster, 'of a final state, from the copy', 'drone-0');
});
process.exit(0);
