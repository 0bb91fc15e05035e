/** An HTTP/1.1 client with keep-alive connections and a limit on open connections. */
import net from 'node:net';
import { HttpParser, type HttpMessage } from './httpParser.js';
import { parseAddress } from './address.js';

/** An HTTP response; `retryAfter` in seconds, null if the header is absent. */
export interface Response {
  status: number;
  body: unknown;
  retryAfter: number | null;
}

interface IdleConnection {
  socket: net.Socket;
  timer: NodeJS.Timeout;
  close: () => void;
}

/**
 * A request that got no valid response. `unsent`: the request was never sent, so the server cannot have executed it. Any
 * other failed request may have been executed, or may still be.
 */
export class HttpCallError extends Error {
  constructor(
    message: string,
    readonly unsent: boolean,
    /** No connection was attempted because of the local socket limit; this says nothing about the server. */
    readonly isLocal = false,
  ) {
    super(message);
  }
}

/**
 * Called once the connection is established, immediately before the request is written; false cancels the request. The
 * process may have been paused since the call, and the lease that permits the request may have expired.
 */
export type SendGuard = () => boolean;

const alwaysSend: SendGuard = () => true;

/** A request that waits for a connection. */
interface OutgoingRequest {
  text: string;
  /** In seconds. */
  timeout: number;
  maySend: SendGuard;
}

const RESPONSE_LIMIT = 64 * 1024 * 1024;

/** Keeps idle connections per host for reuse; each connection carries one request at a time. */
export class HttpClient {
  private readonly idle = new Map<string, IdleConnection[]>();
  private openCount = 0;
  /** Evicted sockets that are still closing and no longer counted as open. */
  private readonly evicted = new Set<net.Socket>();

  constructor(
    private readonly maxOpen: number,
    private readonly idleSeconds: number,
  ) {}

  /** Sends one request; rejects with `HttpCallError` if no valid response arrives in time. */
  async call(
    endpoint: string,
    method: string,
    target: string,
    body: unknown,
    timeout: number,
    maySend: SendGuard = alwaysSend,
  ): Promise<Response> {
    const text = body === undefined ? '' : JSON.stringify(body);
    const head =
      `${method} ${target} HTTP/1.1\r\nHost: ${endpoint}\r\n` +
      (text === '' ? '' : 'Content-Type: application/json\r\n') +
      `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n`;
    const message = await this.exchange(endpoint, { text: head + text, timeout, maySend });
    let parsed: unknown = null;
    try {
      parsed = message.body === '' ? null : JSON.parse(message.body);
    } catch {
      throw new HttpCallError('response is not JSON', false);
    }
    const retry = Number(message.headers.get('retry-after'));
    return { status: message.status, body: parsed, retryAfter: retry > 0 ? retry : null };
  }

  private exchange(endpoint: string, request: OutgoingRequest): Promise<HttpMessage> {
    const pooled = this.idle.get(endpoint)?.pop();
    if (pooled !== undefined) {
      clearTimeout(pooled.timer);
      // The `close` listener stays: it maintains the count of open sockets.
      for (const event of ['data', 'error', 'end']) pooled.socket.removeAllListeners(event);
      if (!pooled.socket.destroyed) return this.send(endpoint, pooled.socket, request, true);
    }
    if (this.openCount >= this.maxOpen && !this.evictIdle()) {
      return Promise.reject(new HttpCallError('too many open connections', true, true));
    }
    const address = parseAddress(endpoint);
    if (address === null)
      return Promise.reject(
        new HttpCallError(
          `cannot connect to "${endpoint}": the address is not of the form host:port`,
          true,
        ),
      );
    const socket = net.connect({ ...address, noDelay: true });
    this.openCount++;
    socket.once('close', () => {
      if (!this.evicted.delete(socket)) this.openCount--;
    });
    return this.send(endpoint, socket, request, false);
  }

  /**
   * Closes an idle connection of the least recently used host. Otherwise idle connections to hundreds of machines would
   * use up the limit and block new connections.
   */
  private evictIdle(): boolean {
    for (const pool of this.idle.values()) {
      const oldest = pool[0];
      if (oldest === undefined) continue;
      this.evicted.add(oldest.socket);
      this.openCount--;
      oldest.close();
      return true;
    }
    return false;
  }

  private send(
    endpoint: string,
    socket: net.Socket,
    { text, timeout, maySend }: OutgoingRequest,
    connected: boolean,
  ): Promise<HttpMessage> {
    return new Promise((resolve, reject) => {
      const parser = new HttpParser('response', RESPONSE_LIMIT);
      let sent = connected;
      const settle = (): void => {
        isSettled = true;
        clearTimeout(timer);
        for (const event of ['data', 'error', 'end', 'connect']) socket.removeAllListeners(event);
      };
      const fail = (reason: string): void => {
        settle();
        socket.on('error', () => undefined);
        socket.destroy();
        reject(new HttpCallError(reason, !sent));
      };
      const finish = (message: HttpMessage): void => {
        settle();
        if (message.keepAlive) this.keepIdle(endpoint, socket);
        else {
          socket.on('error', () => undefined);
          socket.destroy();
        }
        resolve(message);
      };
      let isSettled = false;
      const timer = setTimeout(() => {
        // After the process was not scheduled for a while, timers fire before the event loop reads data that has already
        // arrived; the extra turn accepts a response that is already in the socket buffer.
        setImmediate(() => {
          if (!isSettled) fail('timed out');
        });
      }, timeout * 1000);
      socket.on('data', (data) => {
        try {
          const message = parser.push(data)[0];
          if (message !== undefined) finish(message);
        } catch {
          fail('malformed response');
        }
      });
      socket.on('error', (error) => {
        fail(error.message);
      });
      socket.on('end', () => {
        const message = parser.end();
        if (message !== null) finish(message);
        else fail('connection closed');
      });
      const start = (): void => {
        sent = maySend();
        if (sent) socket.write(text);
        else fail('the request was cancelled before it was sent');
      };
      if (connected) start();
      else socket.once('connect', start);
    });
  }

  private keepIdle(endpoint: string, socket: net.Socket): void {
    const pool = this.idle.get(endpoint) ?? [];
    // Reinserting the pool keeps the hosts in order of last use.
    this.idle.delete(endpoint);
    this.idle.set(endpoint, pool);
    const close = (): void => {
      clearTimeout(entry.timer);
      const index = pool.indexOf(entry);
      if (index >= 0) pool.splice(index, 1);
      if (pool.length === 0 && this.idle.get(endpoint) === pool) this.idle.delete(endpoint);
      socket.destroy();
    };
    const entry: IdleConnection = {
      socket,
      timer: setTimeout(close, this.idleSeconds * 1000),
      close,
    };
    entry.timer.unref();
    socket.on('error', close);
    socket.on('end', close);
    socket.on('data', close);
    pool.push(entry);
  }
}
