/** Calls between our own processes: slow answers, answers that were there in time, and connections that hang. */
import assert from 'node:assert/strict';
import { mock, test, type TestContext } from 'node:test';
import { PeerClient, PeerServer } from '../../src/transport/peerLink.js';

const HOST = '127.0.0.1';

/** A server whose answers are given by hand, in the order of the calls. */
class HeldAnswers {
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

  answerNext(): void {
    this.waiting.shift()?.();
  }

  async received(count: number): Promise<void> {
    while (this.calls.length < count) await turn();
  }
}

/** Lets the event loop turn: sockets are read, immediates run. Timers stand still but for `tick`. */
const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const SECOND = 1000;

/** A peer and a client that gives a silent connection up after so many seconds; timers are moved by hand. */
async function connect(
  t: TestContext,
  silence: number,
): Promise<{ peer: HeldAnswers; client: PeerClient }> {
  mock.timers.enable({ apis: ['setTimeout'] });
  const peer = new HeldAnswers();
  const client = new PeerClient(await peer.listen(), 16, silence);
  t.after(() => {
    client.close();
    peer.server.close();
    mock.timers.reset();
  });
  return { peer, client };
}

test('calls that got no answer in time do not cost those that still wait their connection', async (t) => {
  // Two questions without an answer closed the connection, and a relayed request went with it.
  const { peer, client } = await connect(t, 10);
  const patient = client.call(Buffer.from('patient'), 5);
  await peer.received(1);
  for (const [index, name] of ['a', 'b', 'c'].entries()) {
    const hasty = client.call(Buffer.from(name), 1);
    await peer.received(index + 2);
    mock.timers.tick(SECOND);
    await assert.rejects(hasty, /silent/);
  }
  peer.answerNext();
  assert.equal((await patient).toString(), 'answer to patient');
});

test('an answer that has arrived is taken, also when the time is up before it is read', async (t) => {
  const { peer, client } = await connect(t, 10);
  const call = client.call(Buffer.from('slow'), 1);
  await peer.received(1);
  await turn();
  peer.answerNext();
  // The answer is written at the end of this turn, and the time is up before the next one reads it.
  await Promise.resolve();
  mock.timers.tick(SECOND);
  assert.equal((await call).toString(), 'answer to slow');
});

test('a connection on which nothing arrives is given up, and the next call has a new one', async (t) => {
  const { peer, client } = await connect(t, 2);
  const lost = client.call(Buffer.from('lost'), 60);
  await peer.received(1);
  mock.timers.tick(2 * SECOND);
  await assert.rejects(lost, /connection lost/);
  // The first call's answer goes nowhere.
  peer.answerNext();
  const next = client.call(Buffer.from('next'), 60);
  await peer.received(2);
  peer.answerNext();
  assert.equal((await next).toString(), 'answer to next');
});
