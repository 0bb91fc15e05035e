/** Tasks are spread over turns of the event loop, so that new connections are accepted in between. */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { HttpServer } from '../../src/transport/httpServer.js';
import { TurnQueue } from '../../src/transport/turnQueue.js';

/** Runs all turns and returns the tasks that were executed in each. */
function turnsOf(items: [name: string, isUrgent: boolean][]): string[][] {
  const deferred: (() => void)[] = [];
  const queue = new TurnQueue({ urgent: 2, ordinary: 1 }, (turn) => deferred.push(turn));
  let done: string[] = [];
  for (const [name, isUrgent] of items) queue.add(() => done.push(name), isUrgent);
  const turns: string[][] = [];
  for (let turn = deferred.shift(); turn !== undefined; turn = deferred.shift()) {
    done = [];
    turn();
    turns.push(done);
  }
  return turns;
}

for (const { name, items, turns } of [
  { name: 'no tasks', items: [], turns: [] },
  { name: 'a single task', items: [['u1', true]], turns: [['u1']] },
  {
    name: 'urgent tasks run first and do not starve the others',
    items: [
      ['o1', false],
      ['o2', false],
      ['u1', true],
      ['u2', true],
      ['u3', true],
    ],
    turns: [
      ['u1', 'u2', 'o1'],
      ['u3', 'o2'],
    ],
  },
  {
    name: 'the number of tasks per turn is limited',
    items: [
      ['u1', true],
      ['u2', true],
      ['u3', true],
      ['u4', true],
      ['u5', true],
    ],
    turns: [['u1', 'u2'], ['u3', 'u4'], ['u5']],
  },
] satisfies { name: string; items: [string, boolean][]; turns: string[][] }[]) {
  test(`turns of the event loop: ${name}`, () => {
    assert.deepEqual(turnsOf(items), turns);
  });
}

test('a burst of requests is spread over turns, so that connections are accepted in between', async () => {
  const clients = 40;
  let turn = 0;
  const handledIn = new Map<number, number>();
  const server = new HttpServer(
    () => {
      handledIn.set(turn, (handledIn.get(turn) ?? 0) + 1);
      return Promise.resolve({ status: 200, body: {} });
    },
    { bodyLimit: 10, maxConnections: 99, maxInFlight: 99, requestTimeout: 5, idleTimeout: 60 },
  );
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  const sockets = await Promise.all(
    Array.from({ length: clients }, async () => {
      const socket = net.connect(port, '127.0.0.1');
      await new Promise((resolve) => socket.once('connect', resolve));
      return socket;
    }),
  );
  let isCounting = true;
  const countTurn = (): void => {
    turn++;
    if (isCounting) setImmediate(countTurn);
  };
  countTurn();
  try {
    await Promise.all(
      sockets.map((socket) => {
        const answered = new Promise((resolve) => socket.once('data', resolve));
        socket.write('GET / HTTP/1.1\r\n\r\n');
        return answered;
      }),
    );
    const maxPerTurn = Math.max(...handledIn.values());
    assert.ok(maxPerTurn <= 6, `${maxPerTurn} requests in one turn`);
    assert.equal(
      [...handledIn.values()].reduce((a, b) => a + b, 0),
      clients,
    );
  } finally {
    isCounting = false;
    for (const socket of sockets) socket.destroy();
    server.close();
  }
});

test('a queued request whose client has disconnected is not handled, and its socket is closed', async () => {
  const handled: string[] = [];
  const options = {
    bodyLimit: 10,
    maxConnections: 99,
    maxInFlight: 99,
    requestTimeout: 5,
    idleTimeout: 60,
  };
  const server = new HttpServer(({ target }) => {
    handled.push(target);
    return Promise.resolve({ status: 200, body: {} });
  }, options);
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  try {
    const connect = async (): Promise<net.Socket> => {
      const socket = net.connect(port, '127.0.0.1');
      await new Promise((resolve) => socket.once('connect', resolve));
      return socket;
    };
    const sendFirst = (socket: net.Socket): Promise<unknown> => {
      const reply = new Promise((resolve) => socket.once('data', resolve));
      socket.write('GET /first HTTP/1.1\r\n\r\n');
      return reply;
    };
    // The connections are accepted beforehand, so that all following requests arrive at once.
    const disconnecting = await Promise.all(Array.from({ length: 30 }, connect));
    const patient = await connect();
    await Promise.all([...disconnecting, patient].map(sendFirst));
    handled.length = 0;
    const closed = disconnecting.map((socket) => {
      socket.resume();
      return new Promise((resolve) => socket.once('close', resolve));
    });
    for (const socket of disconnecting) socket.end('GET /gone HTTP/1.1\r\n\r\n');
    const reply = new Promise((resolve) => patient.once('data', resolve));
    patient.write('GET /patient HTTP/1.1\r\n\r\n');
    await Promise.all([reply, ...closed]);
    assert.ok(handled.includes('/patient'));
    // Some requests may be handled before the end of their connection is read.
    assert.ok(handled.length < 30, `${handled.length} handled`);
    patient.destroy();
  } finally {
    server.close();
  }
});
