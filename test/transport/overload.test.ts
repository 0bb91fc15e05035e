/** Overload and invalid input: every request gets a response, and jobs continue to run meanwhile. */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import type { Response } from '../../src/transport/httpClient.js';
import { submission, until, type Cluster } from '../support/cluster.js';
import {
  submitUntilAccepted,
  serviceFields,
  callUntilServed,
  jobStatus,
  withCluster,
} from '../support/users.js';

function addressOf(cluster: Cluster, label: string): { host: string; port: number } {
  const address = cluster.nodes.get(label)?.address ?? '';
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}

/** Sends raw text and returns all data received until the connection closes. */
function send(cluster: Cluster, label: string, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect(addressOf(cluster, label));
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received);
    });
    socket.write(text);
  });
}

const requestOf = (path: string, body: string): string =>
  `POST ${path} HTTP/1.1\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

test('each of far more submissions than can be stored gets a response, and jobs continue to run', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => 0.3, stateWriteRate: 24 }, async (cluster) => {
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-001000', serviceFields));
    await until('replicas run', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-001000')).running === 2;
    });
    const ids = Array.from({ length: 60 }, (_, n) => `wk-${String(1001 + n).padStart(6, '0')}`);
    const submissions = ids.map(async (id): Promise<[string, Response]> => {
      const job = submission(id, { Pieces: 1 });
      return [id, await cluster.call('drone-0', 'POST', '/v1/jobs', job)];
    });
    const ready = await callUntilServed(cluster, 'drone-0', 'GET', '/ready');
    assert.equal(ready.status, 200);
    const answers = await Promise.all(submissions);
    for (const [id, { status: code, retryAfter }] of answers) {
      assert.ok([200, 201, 503].includes(code), `${id}: ${code}`);
      if (code === 503) assert.ok((retryAfter ?? 0) >= 1, `${id} is not told when to come back`);
    }
    const accepted = answers.filter(([, { status: code }]) => code < 300).map(([id]) => id);
    assert.ok(accepted.length > 0, 'none was accepted');
    // A service that is submitted after the batch jobs does not wait for them to finish.
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-001200', serviceFields));
    await until('the service runs', async () => {
      return (await jobStatus(cluster, 'drone-1', 'wk-001200')).running === 2;
    });
    const isDone = async (id: string): Promise<boolean> =>
      (await jobStatus(cluster, 'drone-0', id)).Status === 'done';
    for (const id of accepted) await until(`${id} is done`, () => isDone(id));
    // The service may preempt batch tasks, but no service task is restarted because responses to workers were delayed.
    for (const task of ['wk-001000/0', 'wk-001000/1', 'wk-001200/0', 'wk-001200/1']) {
      const starts = cluster.cloud.startedTasks.filter((started) => started === task);
      assert.equal(starts.length, 1, `${task} was started ${starts.length} times`);
    }
  }));

const malformed: { name: string; path: string; body: string; answer: RegExp }[] = [
  { name: 'not JSON', path: '/v1/jobs', body: '{"Uid":', answer: /^HTTP\/1.1 400 / },
  { name: 'not an object', path: '/v1/jobs', body: '[1,2]', answer: /^HTTP\/1.1 400 / },
  { name: 'deeply nested', path: '/v1/jobs', body: '['.repeat(30000), answer: /^HTTP\/1.1 400 / },
  { name: 'oversized', path: '/v1/jobs', body: 'x'.repeat(70000), answer: /^HTTP\/1.1 413 / },
  { name: 'an invalid report', path: '/hello', body: '{"Drone":7}', answer: /^HTTP\/1.1 400 / },
  {
    name: 'a report that is null',
    path: '/hello',
    body: 'null',
    answer: /^HTTP\/1.1 400 /,
  },
];

test('malformed and oversized requests are rejected, and jobs continue to run', () =>
  withCluster({ nodes: 1, taskRunSeconds: () => 0.3 }, async (cluster) => {
    for (const { name, path, body, answer } of malformed) {
      for (let turn = 0; turn < 5; turn++) {
        assert.match(await send(cluster, 'drone-0', requestOf(path, body)), answer, name);
      }
    }
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-001301'));
    await until('it is done', async () => {
      return (await jobStatus(cluster, 'drone-0', 'wk-001301')).Status === 'done';
    });
  }));

test('incomplete requests up to the connection limit do not lock out other clients', () => {
  const front = { maxConnections: 20, requestTimeout: 0.3 };
  return withCluster(
    { nodes: 1, taskRunSeconds: () => 0.3, serverOptions: front },
    async (cluster) => {
      const incomplete = Array.from({ length: 60 }, () =>
        send(cluster, 'drone-0', 'POST /v1/jobs HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"Uid"'),
      );
      await submitUntilAccepted(cluster, 'drone-0', submission('wk-001311'));
      await until('it is done', async () => {
        return (await jobStatus(cluster, 'drone-0', 'wk-001311')).Status === 'done';
      });
      await Promise.all(incomplete);
    },
  );
});
