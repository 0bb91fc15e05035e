/**
 * Incident `went_back`. Seen: a job's state went back, at production size under faults; no logs. How: a user repeats a
 * submission at a node that has not heard of the job. The node's store read says "open" and is on its way back when another
 * node confirms the job's cancellation; the user repeats the submission once more. Cause: the second repetition was given
 * the reply to the first, whose evidence is older than its own question. Proof: the cases here, which fail where a
 * repetition is answered by a reply that was worked out for an earlier request.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpMessage } from '../../src/transport/httpParser.js';
import type { Response } from '../../src/transport/httpClient.js';
import type { Cluster } from '../support/cluster.js';
import { pause, submission, until } from '../support/cluster.js';
import { callUntilServed, withCluster } from '../support/users.js';

/** Jobs have numbers of six digits. */
const FIRST_JOB = 100_041;

/** Long enough for a request on loopback to reach the controller, in seconds. */
const REQUEST_TRAVEL_S = 0.2;

const isReadOf = (job: string, { method, target }: HttpMessage): boolean =>
  method === 'GET' && target.endsWith(`/b/job/${job}`);

/** Holds the answers of the store to one node's reads of a job, but for the first `passed`; `release` lets them go. */
class HeldReads {
  /** Reads whose answers were held. */
  count = 0;
  private releaseAll: () => void = () => undefined;
  private readonly released = new Promise<void>((resolve) => {
    this.releaseAll = resolve;
  });

  constructor(cluster: Cluster, node: string, job: string, passed: number) {
    let left = passed;
    cluster.state.beforeAnswer = (client, request) => {
      if (client !== node || !isReadOf(job, request) || left-- > 0) return Promise.resolve();
      this.count++;
      return this.released;
    };
  }

  release(): void {
    this.releaseAll();
  }
}

const statusOf = ({ body }: Response): string | undefined => (body as { Status?: string }).Status;

/** The final state of the job, or word to come back: anything else is older than what its user was told. */
function assertNotOlder(answer: Response, final: string): void {
  const said = `${answer.status} ${String(statusOf(answer))}`;
  assert.ok(answer.status === 503 || statusOf(answer) === final, `told ${said} after ${final}`);
}

interface HeldRepetition {
  job: string;
  body: unknown;
  reads: HeldReads;
  answer: Promise<Response>;
}

/** A node hears of no change from now on, but those that it makes, and leads its own shard. */
async function deafen(cluster: Cluster, node: string): Promise<void> {
  cluster.state.stalledWatchClients.delete(node);
  await until(`${node} leads its own shard`, () => {
    const controller = cluster.nodes.get(node)?.controller;
    return controller?.ownedShards.has(node) === true && controller.leadership.isLeaseValid;
  });
  cluster.state.stalledWatchClients.add(node);
}

/** A job that was accepted at drone-0, and whose submission is repeated at drone-1: what that reads of the job is held. */
async function repeatAtDeafNode(cluster: Cluster, job: string): Promise<HeldRepetition | null> {
  const body = submission(job, { Pieces: 1 });
  await deafen(cluster, 'drone-1');
  await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', body);
  // The first read finds out why the job could not be stored; the second is what the user is told.
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
 * The first repetition whose read is held. On a busy machine the node's lease may lapse meanwhile; it leads no shard then
 * and answers 503 without a read, and can't take its shard up again before it hears of changes.
 */
async function heldRepetition(cluster: Cluster): Promise<HeldRepetition> {
  let number = FIRST_JOB;
  let held: HeldRepetition | null = null;
  await until('a repetition is held', async () => {
    held = await repeatAtDeafNode(cluster, `wk-${number++}`);
    return held !== null;
  });
  return held ?? assert.fail();
}

test('a submission that is repeated after the cancellation was confirmed is not answered by what was read before', () =>
  withCluster({ nodes: 3, taskRunSeconds: () => 60 }, async (cluster) => {
    const { job, body, reads, answer: early } = await heldRepetition(cluster);
    const path = `/v1/jobs/${job}/withdraw`;
    const cancelled = await callUntilServed(cluster, 'drone-0', 'POST', path);
    assert.equal(statusOf(cancelled), 'cancelled');
    const late = cluster.call('drone-1', 'POST', '/v1/jobs', body);
    await pause(REQUEST_TRAVEL_S);
    reads.release();
    assertNotOlder(await late, 'cancelled');
    // It was asked before the cancellation was confirmed: either answer is right.
    await early;
    const counters = cluster.nodes.get('drone-1')?.controller.audit.counters ?? {};
    assert.equal(counters['invariant-broken.answer-older-than-question'], undefined);
  }));
