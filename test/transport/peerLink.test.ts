/** Calls between controllers: slow responses, responses that arrive in time but are read late, and stalled connections. */
import assert from 'node:assert/strict';
import { mock, test, type TestContext } from 'node:test';
import { PeerClient, PeerServer } from '../../src/transport/peerLink.js';

const HOST = '127.0.0.1';

/** A server whose responses the test releases one by one, in the order of the calls. */
class ManualPeer {
  readonly server: PeerServer;
  readonly calls: string[] = [];
  private readonly waiting: (() => void)[] = [];

  constructor() {
    this.server = new PeerServer((body) => {
      this.calls.push(body.toString());
      return new Promise((resolve) => {
        this.waiting.push(() => {
          resolve(Buffer.from(`answer to ${body.toString()}`));
        });
      });
    });
  }

  async listen(): Promise<string> {
    return `${HOST}:${await this.server.listen({ host: HOST, port: 0 })}`;
  }

  respondNext(): void {
    this.waiting.shift()?.();
  }

  async received(count: number): Promise<void> {
    while (this.calls.length < count) await turn();
  }
}

/** Runs one turn of the event loop: reads sockets and runs immediates. Mocked timers only advance by `tick`. */
const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const SECOND_MS = 1000;

/** Creates a peer and a client with the given silence timeout in seconds; timers are mocked. */
async function connect(
  t: TestContext,
  silenceTimeout: number,
): Promise<{ peer: ManualPeer; client: PeerClient }> {
  mock.timers.enable({ apis: ['setTimeout'] });
  const peer = new ManualPeer();
  const client = new PeerClient(await peer.listen(), 16, silenceTimeout);
  t.after(() => {
    client.close();
    peer.server.close();
    mock.timers.reset();
  });
  return { peer, client };
}

test('calls that time out do not close the connection of calls that still wait', async (t) => {
  // Guards against closing the connection after two timed-out calls, which also failed a relayed request.
  const { peer, client } = await connect(t, 10);
  const longCall = client.call(Buffer.from('patient'), 5);
  await peer.received(1);
  for (const [index, name] of ['a', 'b', 'c'].entries()) {
    const shortCall = client.call(Buffer.from(name), 1);
    await peer.received(index + 2);
    mock.timers.tick(SECOND_MS);
    await assert.rejects(shortCall, /silent/);
  }
  peer.respondNext();
  assert.equal((await longCall).toString(), 'answer to patient');
});

test('a response that has arrived is accepted even if the timeout fires before it is read', async (t) => {
  const { peer, client } = await connect(t, 10);
  const call = client.call(Buffer.from('slow'), 1);
  await peer.received(1);
  await turn();
  peer.respondNext();
  // The response is written at the end of this turn, and the timeout fires before the next turn reads it.
  await Promise.resolve();
  mock.timers.tick(SECOND_MS);
  assert.equal((await call).toString(), 'answer to slow');
});

test('a connection without incoming data is closed, and the next call uses a new one', async (t) => {
  const { peer, client } = await connect(t, 2);
  const lost = client.call(Buffer.from('lost'), 60);
  await peer.received(1);
  mock.timers.tick(2 * SECOND_MS);
  await assert.rejects(lost, /connection lost/);
  // The response to the first call is sent on the closed connection and lost.
  peer.respondNext();
  const next = client.call(Buffer.from('next'), 60);
  await peer.received(2);
  peer.respondNext();
  assert.equal((await next).toString(), 'answer to next');
});
