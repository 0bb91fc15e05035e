/**
 * Calls between controllers over TCP. A frame has a 32-bit body length, a 32-bit call id, a one-byte kind and a body that
 * the protocol layer encodes. Each direction has its own connection; a call without a response within its timeout fails.
 */
import net from 'node:net';
import { HttpCallError } from './httpClient.js';
import { parseAddress, type Address } from './address.js';

const HEADER_BYTES = 9;
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Handles a peer's request and resolves with the response body. */
export type PeerHandler = (body: Buffer) => Promise<Buffer>;

class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  /** Passes each complete frame to `onFrame`; returns false if a frame exceeds the size limit. */
  push(data: Buffer, onFrame: (id: number, kind: number, body: Buffer) => void): boolean {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    while (this.buffer.length >= HEADER_BYTES) {
      const length = this.buffer.readUInt32BE(0);
      if (length > MAX_BODY_BYTES) return false;
      if (this.buffer.length < HEADER_BYTES + length) return true;
      const body = Buffer.from(this.buffer.subarray(HEADER_BYTES, HEADER_BYTES + length));
      const id = this.buffer.readUInt32BE(4);
      const kind = this.buffer.readUInt8(8);
      this.buffer = this.buffer.subarray(HEADER_BYTES + length);
      onFrame(id, kind, body);
    }
    return true;
  }
}

function encodeFrame(id: number, kind: number, body: Buffer): Buffer {
  const head = Buffer.alloc(HEADER_BYTES);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(id, 4);
  head.writeUInt8(kind, 8);
  return Buffer.concat([head, body]);
}

const REQUEST = 0;
const RESPONSE = 1;
const FAILURE = 2;

/** Accepts connections from peers and serves their calls. */
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
        const isValid = reader.push(data, (id, kind, body) => {
          if (kind !== REQUEST) return;
          handler(body).then(
            (response) => socket.destroyed || socket.write(encodeFrame(id, RESPONSE, response)),
            (error: unknown) =>
              socket.destroyed ||
              socket.write(encodeFrame(id, FAILURE, Buffer.from(String(error)))),
          );
        });
        if (!isValid) socket.destroy();
      });
    });
    this.server.maxConnections = 64;
  }

  /** Starts listening; resolves with the bound port. */
  listen(address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

interface PendingCall {
  resolve: (body: Buffer) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** Makes calls to one peer over a single connection. */
export class PeerClient {
  private socket: net.Socket | null = null;
  private readonly pending = new Map<number, PendingCall>();
  private nextId = 1;
  /** Runs while calls are pending and no data arrives. */
  private silenceTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly endpoint: string,
    private readonly maxPending: number,
    /**
     * Seconds without incoming data, while calls are pending, after which the connection is closed: a network partition
     * leaves it open without an error. Must be long compared to the timeout of a call: otherwise a peer that is merely
     * slow would have to accept one new connection after another, and each close would fail all pending calls.
     */
    private readonly silenceTimeout: number,
  ) {}

  /** Makes one call; rejects if no response arrives within `timeout` seconds. */
  call(body: Buffer, timeout: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      if (this.pending.size >= this.maxPending) {
        reject(new HttpCallError('peer is overloaded', true));
        return;
      }
      const socket = this.connection();
      if (socket === null) {
        reject(
          new HttpCallError(
            `cannot connect to peer "${this.endpoint}": the address is not of the form host:port`,
            true,
          ),
        );
        return;
      }
      const id = this.nextId;
      this.nextId = (this.nextId % 0xfffffff0) + 1;
      const expire = (): void => {
        if (!this.pending.delete(id)) return;
        reject(new HttpCallError('peer is silent', false));
      };
      // After the process was not scheduled for a while, timers fire before the event loop reads data that has already
      // arrived; the extra turn accepts a response that is already in the socket buffer.
      const timer = setTimeout(() => setImmediate(expire), timeout * 1000);
      this.pending.set(id, { resolve, reject, timer });
      socket.write(encodeFrame(id, REQUEST, body));
      this.silenceTimer ??= this.startSilenceTimer(socket);
    });
  }

  private startSilenceTimer(socket: net.Socket): NodeJS.Timeout {
    const closeIfSilent = (): void => {
      if (this.silenceTimer === timer) this.closeConnection(socket);
    };
    const timer = setTimeout(() => setImmediate(closeIfSilent), this.silenceTimeout * 1000);
    return timer;
  }

  /** Stops the timer when data arrives or the connection closes. */
  private stopSilenceTimer(): void {
    if (this.silenceTimer !== null) clearTimeout(this.silenceTimer);
    this.silenceTimer = null;
  }

  /** Closes the connection and rejects the pending calls. */
  close(): void {
    if (this.socket !== null) this.closeConnection(this.socket);
  }

  /** The open connection, or a new one; null if the endpoint is not a valid address. */
  private connection(): net.Socket | null {
    if (this.socket !== null) return this.socket;
    const address = parseAddress(this.endpoint);
    if (address === null) return null;
    const socket = net.connect({ ...address, noDelay: true });
    const reader = new FrameReader();
    socket.on('data', (data) => {
      this.stopSilenceTimer();
      const isValid = reader.push(data, (id, kind, body) => {
        const call = this.pending.get(id);
        if (call === undefined) return;
        this.pending.delete(id);
        clearTimeout(call.timer);
        if (kind === RESPONSE) call.resolve(body);
        else call.reject(new HttpCallError(body.toString('utf8'), false));
      });
      if (!isValid) this.closeConnection(socket);
      else if (this.pending.size > 0) this.silenceTimer = this.startSilenceTimer(socket);
    });
    socket.on('error', () => {
      this.closeConnection(socket);
    });
    socket.on('close', () => {
      this.closeConnection(socket);
    });
    this.socket = socket;
    return socket;
  }

  private closeConnection(socket: net.Socket): void {
    socket.destroy();
    if (this.socket !== socket) return;
    this.socket = null;
    this.stopSilenceTimer();
    const failedCalls = [...this.pending.values()];
    this.pending.clear();
    for (const call of failedCalls) {
      clearTimeout(call.timer);
      call.reject(new HttpCallError('peer connection lost', false));
    }
  }
}
