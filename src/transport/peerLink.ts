/**
 * Calls between our own processes: frames of a 32-bit length, an id, a kind and a body that the
 * protocol layer encodes. One connection for each direction; a call that isn't answered in time fails.
 */
import net from 'node:net';
import { HttpCallError } from './httpClient.js';
import { parseAddress, type Address } from './address.js';

const HEADER = 9;
const FRAME_LIMIT = 8 * 1024 * 1024;

/** Answers a peer's request. */
export type PeerHandler = (body: Buffer) => Promise<Buffer>;

class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  push(data: Buffer, each: (id: number, kind: number, body: Buffer) => void): boolean {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    while (this.buffer.length >= HEADER) {
      const length = this.buffer.readUInt32BE(0);
      if (length > FRAME_LIMIT) return false;
      if (this.buffer.length < HEADER + length) return true;
      const body = Buffer.from(this.buffer.subarray(HEADER, HEADER + length));
      const id = this.buffer.readUInt32BE(4);
      const kind = this.buffer.readUInt8(8);
      this.buffer = this.buffer.subarray(HEADER + length);
      each(id, kind, body);
    }
    return true;
  }
}

function frame(id: number, kind: number, body: Buffer): Buffer {
  const head = Buffer.alloc(HEADER);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(id, 4);
  head.writeUInt8(kind, 8);
  return Buffer.concat([head, body]);
}

const REQUEST = 0;
const ANSWER = 1;
const REFUSAL = 2;

/** Accepts the connections of peers. */
export class PeerServer {
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  constructor(handler: PeerHandler) {
    this.server = net.createServer({ noDelay: true }, (socket) => {
      const reader = new FrameReader();
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => socket.destroy());
      socket.on('data', (data) => {
        const sound = reader.push(data, (id, kind, body) => {
          if (kind !== REQUEST) return;
          handler(body).then(
            (answer) => socket.destroyed || socket.write(frame(id, ANSWER, answer)),
            (error: unknown) =>
              socket.destroyed || socket.write(frame(id, REFUSAL, Buffer.from(String(error)))),
          );
        });
        if (!sound) socket.destroy();
      });
    });
    this.server.maxConnections = 64;
  }

  /** Resolves with the port once connections are accepted. */
  listen(address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
      });
    });
  }

  /** Ends the connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

interface Pending {
  resolve: (body: Buffer) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** Calls to one peer, over one connection. */
export class PeerClient {
  private socket: net.Socket | null = null;
  private readonly pending = new Map<number, Pending>();
  private nextId = 1;
  /** Runs while calls wait and nothing arrives. */
  private silenceTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly endpoint: string,
    private readonly maxPending: number,
    /**
     * Seconds without a word, while calls wait, after which the connection is given up: a cut leaves it hanging
     * without an error. Long against a call's patience: a peer that is only slow would have to accept one new
     * connection after the other, and all calls that wait would be lost with each.
     */
    private readonly silence: number,
  ) {}

  /** Makes one call; rejects where no answer comes within `timeout` seconds. */
  call(body: Buffer, timeout: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      if (this.pending.size >= this.maxPending) {
        reject(new HttpCallError('peer is overloaded', true));
        return;
      }
      const socket = this.connection();
      if (socket === null) {
        reject(new HttpCallError(`bad address ${this.endpoint}`, true));
        return;
      }
      const id = this.nextId;
      this.nextId = (this.nextId % 0xfffffff0) + 1;
      const giveUp = (): void => {
        if (!this.pending.delete(id)) return;
        reject(new HttpCallError('peer is silent', false));
      };
      // After a stretch in which this process did not get to run, timers fire before what has arrived
      // meanwhile is read: an answer that is there is taken.
      const timer = setTimeout(() => setImmediate(giveUp), timeout * 1000);
      this.pending.set(id, { resolve, reject, timer });
      socket.write(frame(id, REQUEST, body));
      this.silenceTimer ??= this.watchSilence(socket);
    });
  }

  private watchSilence(socket: net.Socket): NodeJS.Timeout {
    const drop = (): void => {
      if (this.silenceTimer === timer) this.drop(socket);
    };
    const timer = setTimeout(() => setImmediate(drop), this.silence * 1000);
    return timer;
  }

  /** Something has arrived: the connection works. */
  private endSilence(): void {
    if (this.silenceTimer !== null) clearTimeout(this.silenceTimer);
    this.silenceTimer = null;
  }

  /** Ends the connections. */
  close(): void {
    if (this.socket !== null) this.drop(this.socket);
  }

  private connection(): net.Socket | null {
    if (this.socket !== null) return this.socket;
    const address = parseAddress(this.endpoint);
    if (address === null) return null;
    const socket = net.connect({ ...address, noDelay: true });
    const reader = new FrameReader();
    socket.on('data', (data) => {
      this.endSilence();
      const sound = reader.push(data, (id, kind, body) => {
        const waiting = this.pending.get(id);
        if (waiting === undefined) return;
        this.pending.delete(id);
        clearTimeout(waiting.timer);
        if (kind === ANSWER) waiting.resolve(body);
        else waiting.reject(new HttpCallError(body.toString('utf8'), false));
      });
      if (!sound) this.drop(socket);
      else if (this.pending.size > 0) this.silenceTimer = this.watchSilence(socket);
    });
    socket.on('error', () => {
      this.drop(socket);
    });
    socket.on('close', () => {
      this.drop(socket);
    });
    this.socket = socket;
    return socket;
  }

  private drop(socket: net.Socket): void {
    socket.destroy();
    if (this.socket !== socket) return;
    this.socket = null;
    this.endSilence();
    const lost = [...this.pending.values()];
    this.pending.clear();
    for (const waiting of lost) {
      clearTimeout(waiting.timer);
      waiting.reject(new HttpCallError('peer connection lost', false));
    }
  }
}
