/** The HTTP parser, client and server: valid, malformed and oversized input, connection limits and overload. */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { HttpCallError, HttpClient } from '../../src/transport/httpClient.js';
import { HttpError, HttpParser } from '../../src/transport/httpParser.js';
import { HttpServer } from '../../src/transport/httpServer.js';

const SMALL_SERVER = {
  bodyLimit: 10,
  maxConnections: 10,
  maxInFlight: 5,
  requestTimeout: 5,
  idleTimeout: 60,
};

const post = 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\n';
const validRequests: { name: string; input: string; bodies: string[]; keepAlive?: boolean }[] = [
  { name: 'no body', input: 'GET /a HTTP/1.1\r\n\r\n', bodies: [''], keepAlive: true },
  { name: 'a length', input: `${post}Content-Length: 5\r\n\r\nhello`, bodies: ['hello'] },
  { name: 'length 0', input: `${post}content-length: 0\r\n\r\n`, bodies: [''] },
  {
    name: 'chunks',
    input: `${post}Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n`,
    bodies: ['hello'],
  },
  {
    name: 'two requests in one buffer',
    input: `${post}Content-Length: 1\r\n\r\naGET /b HTTP/1.1\r\nConnection: close\r\n\r\n`,
    bodies: ['a', ''],
    keepAlive: false,
  },
  { name: 'HTTP/1.0', input: 'GET / HTTP/1.0\r\n\r\n', bodies: [''], keepAlive: false },
  { name: 'a blank line first', input: '\r\nGET / HTTP/1.1\r\n\r\n', bodies: [''] },
];

test('the parser reads requests regardless of how the bytes are split', () => {
  for (const { name, input, bodies, keepAlive } of validRequests) {
    for (const step of [1, 2, 7, input.length]) {
      const parser = new HttpParser('request', 100);
      const messages = [];
      for (let offset = 0; offset < input.length; offset += step) {
        messages.push(...parser.push(Buffer.from(input.slice(offset, offset + step))));
      }
      assert.deepEqual(
        messages.map((m) => m.body),
        bodies,
        `${name}, in steps of ${step}`,
      );
      if (keepAlive !== undefined) assert.equal(messages.at(-1)?.keepAlive, keepAlive, name);
      assert.ok(parser.isIdle, name);
    }
  }
});

const invalidRequests: [string, string, number][] = [
  ['no request line', 'hello\r\n\r\n', 400],
  ['a bad version', 'GET / HTTP/2.0\r\n\r\n', 400],
  ['a header without a colon', 'GET / HTTP/1.1\r\nnonsense\r\n\r\n', 400],
  ['a space in a header name', 'GET / HTTP/1.1\r\nA b: c\r\n\r\n', 400],
  ['a bad length', `${post}Content-Length: -1\r\n\r\n`, 400],
  ['two lengths', `${post}Content-Length: 1\r\nContent-Length: 2\r\n\r\n`, 400],
  ['length and chunks', `${post}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n`, 400],
  ['another coding', `${post}Transfer-Encoding: gzip\r\n\r\n`, 400],
  ['a bad chunk size', `${post}Transfer-Encoding: chunked\r\n\r\nxyz\r\n`, 400],
  ['a body over the limit', `${post}Content-Length: 101\r\n\r\n`, 413],
  ['chunks over the limit', `${post}Transfer-Encoding: chunked\r\n\r\nfff\r\n`, 413],
  ['a huge header', `GET / HTTP/1.1\r\nA: ${'x'.repeat(20000)}`, 431],
];

test('the parser rejects malformed and oversized input', () => {
  for (const [name, input, status] of invalidRequests) {
    const parser = new HttpParser('request', 100);
    assert.throws(
      () => parser.push(Buffer.from(input)),
      (error) => error instanceof HttpError && error.status === status,
      name,
    );
  }
});

test('a response without a length ends when the connection closes', () => {
  const parser = new HttpParser('response', 100);
  assert.deepEqual(parser.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab')), []);
  assert.equal(parser.end()?.body, 'ab');
});

async function exchange(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', reject);
    socket.write(text);
  });
}

test('the server responds, keeps connections alive, closes them on request and survives malformed input', async () => {
  const server = new HttpServer((request) => {
    if (request.target === '/fail') throw new Error('broken');
    return Promise.resolve({ status: 200, body: { got: request.body } });
  }, SMALL_SERVER);
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  try {
    const responses = await exchange(
      port,
      'POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.1\r\nConnection: close\r\n\r\n',
    );
    assert.match(responses, /"got":"a"[^]*"got":""/);
    assert.equal(responses.match(/Connection: close/g)?.length, 1);
    assert.match(await exchange(port, 'rubbish\r\n\r\n'), /^HTTP\/1.1 400 /);
    const large = 'POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n';
    assert.match(await exchange(port, large), /^HTTP\/1.1 413 /);
    const failed = await exchange(port, 'GET /fail HTTP/1.1\r\nConnection: close\r\n\r\n');
    assert.match(failed, /^HTTP\/1.1 503 [^]*Retry-After: 1/);
    const client = new HttpClient(2, 1);
    for (const body of ['x', 'y']) {
      const answer = await client.call(`127.0.0.1:${port}`, 'POST', '/', body, 5);
      assert.deepEqual(answer.body, { got: JSON.stringify(body) });
    }
  } finally {
    server.close();
  }
});

test('the client distinguishes requests that were never sent from those that may have been executed', async () => {
  const silent = net.createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
  const { port } = silent.address() as net.AddressInfo;
  const client = new HttpClient(2, 1);
  await assert.rejects(client.call(`127.0.0.1:${port}`, 'GET', '/', undefined, 0.1), {
    unsent: false,
  });
  await new Promise((resolve) => silent.close(resolve));
  await assert.rejects(client.call(`127.0.0.1:${port}`, 'GET', '/', undefined, 5), {
    unsent: true,
  });
});

interface TestConnection {
  socket: net.Socket;
  text: string;
  closed: Promise<void>;
}

/** A connection that stays open until the server closes it. */
function openConnection(port: number, request: string): TestConnection {
  const socket = net.connect(port, '127.0.0.1', () => socket.write(request));
  const connection: TestConnection = {
    socket,
    text: '',
    closed: new Promise((resolve) => socket.on('close', () => resolve())),
  };
  socket.on('data', (data) => (connection.text += data.toString()));
  socket.on('error', () => undefined);
  return connection;
}

const responded = async (connection: TestConnection): Promise<void> => {
  while (connection.text === '') await new Promise((resolve) => setTimeout(resolve, 5));
};

const limitCases: {
  name: string;
  options: { maxConnections?: number; maxInFlight?: number; idleTimeout?: number };
  run: (port: number) => Promise<void>;
}[] = [
  {
    name: 'at the limit the connection that was idle for longest is closed',
    options: { maxConnections: 2 },
    run: async (port) => {
      const first = openConnection(port, 'GET /report HTTP/1.1\r\n\r\n');
      await responded(first);
      const second = openConnection(port, 'GET /report HTTP/1.1\r\n\r\n');
      await responded(second);
      const third = openConnection(port, 'GET /ready HTTP/1.1\r\n\r\n');
      await responded(third);
      await first.closed;
      assert.ok(!second.socket.closed && !third.socket.closed);
      second.socket.destroy();
      third.socket.destroy();
    },
  },
  {
    name: 'connections of users are not kept alive near the limit',
    options: { maxConnections: 2 },
    run: async (port) => {
      const worker = openConnection(port, 'GET /report HTTP/1.1\r\n\r\n');
      await responded(worker);
      const user = openConnection(port, 'GET /user HTTP/1.1\r\n\r\n');
      await user.closed;
      assert.match(user.text, /^HTTP\/1.1 200 [^]*Connection: close/);
      assert.doesNotMatch(worker.text, /Connection: close/);
      worker.socket.destroy();
    },
  },
  {
    name: 'a connection whose client disappeared without closing it is closed after the idle timeout',
    options: { idleTimeout: 0.05 },
    run: async (port) => {
      const silent = openConnection(port, 'GET /report HTTP/1.1\r\n\r\n');
      await responded(silent);
      await silent.closed;
    },
  },
  {
    name: 'under load users are told to retry and workers are served',
    options: { maxInFlight: 1 },
    run: async (port) => {
      const slow = openConnection(port, 'GET /slow HTTP/1.1\r\n\r\n');
      const user = openConnection(port, '');
      const worker = openConnection(port, '');
      // Both requests are sent while the slow one is in progress.
      await slowStarted;
      user.socket.write('GET /user HTTP/1.1\r\n\r\n');
      worker.socket.write('GET /report HTTP/1.1\r\n\r\n');
      await Promise.all([responded(user), responded(worker)]);
      assert.match(user.text, /^HTTP\/1.1 503 [^]*Retry-After: 1/);
      assert.match(worker.text, /^HTTP\/1.1 200 /);
      for (const connection of [slow, user, worker]) connection.socket.destroy();
    },
  },
];

let startSlow: () => void = () => undefined;
const slowStarted = new Promise<void>((resolve) => (startSlow = resolve));

for (const { name, options, run } of limitCases) {
  test(`many connections: ${name}`, async () => {
    const server = new HttpServer(
      (request) => {
        if (request.target !== '/slow') return Promise.resolve({ status: 200, body: {} });
        startSlow();
        return new Promise(() => undefined);
      },
      {
        ...{
          bodyLimit: 10,
          maxConnections: 10,
          maxInFlight: 5,
          requestTimeout: 5,
          idleTimeout: 60,
        },
        ...options,
        essential: ({ target }) => target === '/report' || target === '/ready',
      },
    );
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    try {
      await run(port);
    } finally {
      server.close();
    }
  });
}

test('a request that is no longer allowed when its connection is established is never sent', async () => {
  let requests = 0;
  const server = new HttpServer(() => {
    requests++;
    return Promise.resolve({ status: 200, body: {} });
  }, SMALL_SERVER);
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  const client = new HttpClient(2, 1);
  const send = (maySend: () => boolean): Promise<unknown> =>
    client.call(`127.0.0.1:${port}`, 'POST', '/', {}, 5, maySend);
  await assert.rejects(
    send(() => false),
    (error) => error instanceof HttpCallError && error.unsent,
  );
  assert.equal(requests, 0);
  await send(() => true);
  assert.equal(requests, 1);
  // The check also applies to a reused connection.
  await assert.rejects(send(() => false));
  assert.equal(requests, 1);
  server.close();
});

test('a reply is replaced by its atSending result when it is written', async () => {
  const server = new HttpServer(
    () =>
      Promise.resolve({
        status: 200,
        body: { Status: 'queued' },
        atSending: () => ({ status: 503, body: { error: 'too old' }, retryAfter: 1 }),
      }),
    SMALL_SERVER,
  );
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  const client = new HttpClient(2, 1);
  const answer = await client.call(`127.0.0.1:${port}`, 'GET', '/', undefined, 2);
  server.close();
  assert.deepEqual(answer, { status: 503, body: { error: 'too old' }, retryAfter: 1 });
});
