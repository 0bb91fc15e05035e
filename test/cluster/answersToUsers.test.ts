/**
 * Guards against a job's state that goes back (violation `went_back`, seen at production size under faults). A user repeats a
 * submission at a node that does not know the job. The node reads "open" from the store, and while that answer is in flight another
 * node confirms the job's cancellation and the user repeats the submission again. The node must not answer the second repetition
 * with the reply to the first, whose evidence is older than the second request.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpMessage } from '../../src/transport/httpParser.js';
import type { Response } from '../../src/transport/httpClient.js';
import type { Cluster } from '../support/cluster.js';
import { pause, submission, until } from '../support/cluster.js';
import { callUntilServed, withCluster } from '../support/users.js';

/** The first job number; ids have six digits. */
const FIRST_JOB = 100_041;

/** Enough time for a request on loopback to reach the controller, in seconds. */
const REQUEST_DELAY_S = 0.2;

const isReadOf = (job: string, { method, target }: HttpMessage): boolean =>
  method === 'GET' && target.endsWith(`/b/job/${job}`);

/** Holds the state service's answers to one node's reads of a job, except the first `passedCount`, until `release`. */
class HeldReads {
  /** Counts held answers. */
  count = 0;
  private releaseAll: () => void = () => undefined;
  private readonly released = new Promise<void>((resolve) => {
    this.releaseAll = resolve;
  });

  constructor(cluster: Cluster, node: string, job: string, passedCount: number) {
    let remaining = passedCount;
    cluster.state.beforeAnswer = (client, request) => {
      if (client !== node || !isReadOf(job, request) || remaining-- > 0) return Promise.resolve();
      this.count++;
      return this.released;
    };
  }

  release(): void {
    this.releaseAll();
  }
}

const statusOf = ({ body }: Response): string | undefined => (body as { Status?: string }).Status;

/** Asserts that the answer is the final state or a 503: any other answer is older than what the user was told. */
function assertNotOlder(answer: Response, final: string): void {
  const answerText = `${answer.status} ${String(statusOf(answer))}`;
  assert.ok(
    answer.status === 503 || statusOf(answer) === final,
    `answered ${answerText} after ${final}`,
  );
}

interface HeldRepetition {
  job: string;
  body: unknown;
  reads: HeldReads;
  answer: Promise<Response>;
}

/** Stalls the watches of a node that leads its own shard: from now on it learns only of its own changes. */
async function stallWatches(cluster: Cluster, node: string): Promise<void> {
  cluster.state.stalledWatchClients.delete(node);
  await until(`${node} leads its own shard`, () => {
    const controller = cluster.nodes.get(node)?.controller;
    return controller?.ownedShards.has(node) === true && controller.leadership.isLeaseValid;
  });
  cluster.state.stalledWatchClients.add(node);
}

/**
 * Submits a job at drone-0 and repeats the submission at drone-1, whose read of the job is held. Null: drone-1 answered without a
 * second read.
 */
async function repeatSubmission(cluster: Cluster, job: string): Promise<HeldRepetition | null> {
  const body = submission(job, { Pieces: 1 });
  await stallWatches(cluster, 'drone-1');
  await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', body);
  // The first read determines why the job could not be stored; the second is the evidence for the answer.
  const reads = new HeldReads(cluster, 'drone-1', job, 1);
  const answer = cluster.call('drone-1', 'POST', '/v1/jobs', body);
  let isAnswered = false;
  void answer.then(() => (isAnswered = true));
  await until(
    'the store is read for the repetition, or it is answered',
    () => reads.count > 0 || isAnswered,
  );
  return reads.count > 0 ? { job, body, reads, answer } : null;
}

/**
 * Repeats submissions of new jobs until the read of one is held. On a busy machine the node's lease may expire meanwhile: it then
 * leads no shard, answers 503 without a read, and cannot lead again while its watches are stalled.
 */
async function holdRepetition(cluster: Cluster): Promise<HeldRepetition> {
  let number = FIRST_JOB;
  let repetition: HeldRepetition | null = null;
  await until('a repetition is held', async () => {
    repetition = await repeatSubmission(cluster, `wk-${number++}`);
    return repetition !== null;
  });
  return repetition ?? assert.fail();
}

test('a submission repeated after a confirmed cancellation is not answered with an earlier read', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => 60 }, async (cluster) => {
    const { job, body, reads, answer: early } = await holdRepetition(cluster);
    const path = `/v1/jobs/${job}/withdraw`;
    const cancelled = await callUntilServed(cluster, 'drone-0', 'POST', path);
    assert.equal(statusOf(cancelled), 'cancelled');
    const late = cluster.call('drone-1', 'POST', '/v1/jobs', body);
    await pause(REQUEST_DELAY_S);
    reads.release();
    assertNotOlder(await late, 'cancelled');
    // This request was sent before the cancellation was confirmed: either answer is correct.
    await early;
    const counters = cluster.nodes.get('drone-1')?.controller.audit.counters ?? {};
    assert.equal(counters['invariant-broken.answer-older-than-question'], undefined);
  }));
