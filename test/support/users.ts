/** Users of a test cluster: requests, and the conditions that tests wait for. */
import assert from 'node:assert/strict';
import type { Response } from '../../src/transport/httpClient.js';
import { Cluster, until, type ClusterOptions } from './cluster.js';

/** The fields of an answer about a job that tests read. */
export interface JobAnswer {
  Status: string;
  done: number;
  running: number;
  Reason?: string;
}

/** Runs a test body on a cluster that is ready; fails if a task ran on two machines at once. */
export async function withCluster(
  options: ClusterOptions,
  body: (cluster: Cluster) => Promise<void>,
): Promise<void> {
  const cluster = new Cluster(options);
  try {
    await cluster.start();
    await until('all shards have leaders', () => {
      const leaderKeys = [...cluster.state.rows.keys()].filter((k) => k.startsWith('b/own/'));
      return leaderKeys.length === options.nodes + 1;
    });
    await until('all are ready', async () => {
      for (const label of cluster.nodes.keys()) {
        if ((await cluster.call(label, 'GET', '/ready')).status !== 200) return false;
      }
      return true;
    });
    await body(cluster);
    assert.deepEqual(cluster.cloud.concurrentStarts, [], 'a task ran on two machines at once');
  } finally {
    cluster.close();
  }
}

export const jobStatus = async (cluster: Cluster, label: string, id: string): Promise<JobAnswer> =>
  (await cluster.call(label, 'GET', `/v1/jobs/${id}`)).body as JobAnswer;

export const submitUntilAccepted = (
  cluster: Cluster,
  label: string,
  body: unknown,
): Promise<void> =>
  until('the job is accepted', async () => {
    const answer = await cluster.call(label, 'POST', '/v1/jobs', body);
    return answer.status === 201 || answer.status === 200;
  });

/** Changes that make a submission a service with two replicas. */
export const serviceFields = {
  Shape: 'daemon',
  Rank: 'prod',
  Pieces: 2,
  Loaners: false,
  ExpectS: 0,
};

/** Repeats a request until its answer is not 503: on a busy machine, a lease may expire briefly and users have to retry. */
export async function callUntilServed(
  cluster: Cluster,
  label: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<Response> {
  let answer: Response | undefined;
  await until('an answer', async () => {
    answer = await cluster.call(label, method, path, body);
    return answer.status !== 503;
  });
  if (answer === undefined) throw new Error('no answer');
  return answer;
}

/** Samples the CPUs in use by tasks of two CPUs each; the returned function stops sampling and returns the maximum. */
export function trackPeakCpus(cluster: Cluster): () => number {
  let peak = 0;
  const sampler = setInterval(() => {
    let cpus = 0;
    for (const worker of cluster.cloud.workers.values()) cpus += worker.tasks.length * 2;
    peak = Math.max(peak, cpus);
  }, 5);
  return () => {
    clearInterval(sampler);
    return peak;
  };
}

interface StoredLeader {
  node: string;
  token: number;
}

/** Waits until another node leads the shard of this one; returns the new leader. */
export async function waitForTakeover(cluster: Cluster, label: string): Promise<StoredLeader> {
  const leader = (): StoredLeader | undefined =>
    cluster.state.rows.get(`b/own/${label}`)?.value as StoredLeader | undefined;
  await until('its shard is taken over', () => (leader()?.node ?? label) !== label);
  const newLeader = leader();
  if (newLeader === undefined) throw new Error('the shard has no leader');
  return newLeader;
}
