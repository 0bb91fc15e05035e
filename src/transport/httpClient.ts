/** An HTTP/1.1 client that keeps connections, with a limit on how many are open. */
import net from 'node:net';
import { HttpParser, type HttpMessage } from './httpParser.js';
import { parseAddress } from './address.js';

/** An answer; `retryAfter` in seconds, null where the header is absent. */
export interface Response {
  status: number;
  body: unknown;
  retryAfter: number | null;
}

interface IdleConnection {
  socket: net.Socket;
  timer: NodeJS.Timeout;
  drop: () => void;
}

/**
 * `unsent` says that the request cannot have been carried out: the connection never came up.
 * Anything else that fails may have been carried out, or may still be.
 */
export class HttpCallError extends Error {
  constructor(
    message: string,
    readonly unsent: boolean,
    /** It was not even tried, for want of sockets here: that says nothing of the other side. */
    readonly isLocal = false,
  ) {
    super(message);
  }
}

/**
 * Asked just before the first byte leaves, once the connection is up: this process may have stood still since the call, and
 * its right to what it asks for have ended.
 */
export type SendGuard = () => boolean;

const always: SendGuard = () => true;

/** A request that waits for its connection. */
interface OutgoingRequest {
  text: string;
  /** Seconds. */
  timeout: number;
  mayLeave: SendGuard;
}

const RESPONSE_LIMIT = 64 * 1024 * 1024;

/** Keeps a few idle connections a host; one request at a time on each. */
export class HttpClient {
  private readonly idle = new Map<string, IdleConnection[]>();
  private open = 0;
  /** Closing, and no longer counted as open. */
  private readonly evicted = new Set<net.Socket>();

  constructor(
    private readonly maxOpen: number,
    private readonly idleSeconds: number,
  ) {}

  /** Makes one request; rejects with `HttpCallError` where no answer came. */
  async call(
    endpoint: string,
    method: string,
    target: string,
    body: unknown,
    timeout: number,
    mayLeave: SendGuard = always,
  ): Promise<Response> {
    const text = body === undefined ? '' : JSON.stringify(body);
    const head =
      `${method} ${target} HTTP/1.1\r\nHost: ${endpoint}\r\n` +
      (text === '' ? '' : 'Content-Type: application/json\r\n') +
      `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n`;
    const message = await this.exchange(endpoint, { text: head + text, timeout, mayLeave });
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
    const kept = this.idle.get(endpoint)?.pop();
    if (kept !== undefined) {
      clearTimeout(kept.timer);
      // Not `close`: that listener keeps the count of open sockets.
      for (const event of ['data', 'error', 'end']) kept.socket.removeAllListeners(event);
      if (!kept.socket.destroyed) return this.send(endpoint, kept.socket, request, true);
    }
    if (this.open >= this.maxOpen && !this.evict()) {
      return Promise.reject(new HttpCallError('too many open connections', true, true));
    }
    const address = parseAddress(endpoint);
    if (address === null) return Promise.reject(new HttpCallError(`bad address ${endpoint}`, true));
    const socket = net.connect({ ...address, noDelay: true });
    this.open++;
    socket.once('close', () => {
      if (!this.evicted.delete(socket)) this.open--;
    });
    return this.send(endpoint, socket, request, false);
  }

  /**
   * Closes the connection that has been idle for longest. Without it, connections kept to hundreds of
   * machines would leave none for the next.
   */
  private evict(): boolean {
    for (const pool of this.idle.values()) {
      const oldest = pool[0];
      if (oldest === undefined) continue;
      this.evicted.add(oldest.socket);
      this.open--;
      oldest.drop();
      return true;
    }
    return false;
  }

  private send(
    endpoint: string,
    socket: net.Socket,
    { text, timeout, mayLeave }: OutgoingRequest,
    connected: boolean,
  ): Promise<HttpMessage> {
    return new Promise((resolve, reject) => {
      const parser = new HttpParser('response', RESPONSE_LIMIT);
      let sent = connected;
      const settle = (): void => {
        over = true;
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
        if (message.keepAlive) this.keep(endpoint, socket);
        else {
          socket.on('error', () => undefined);
          socket.destroy();
        }
        resolve(message);
      };
      let over = false;
      const timer = setTimeout(() => {
        // After a stretch in which this process did not get to run, timers fire before what has arrived
        // meanwhile is read: an answer that is there is taken.
        setImmediate(() => {
          if (!over) fail('timed out');
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
        sent = mayLeave();
        if (sent) socket.write(text);
        else fail('no longer allowed');
      };
      if (connected) start();
      else socket.once('connect', start);
    });
  }

  private keep(endpoint: string, socket: net.Socket): void {
    const pool = this.idle.get(endpoint) ?? [];
    // Set anew, so that the hosts stand in the order of their last use.
    this.idle.delete(endpoint);
    this.idle.set(endpoint, pool);
    const drop = (): void => {
      clearTimeout(entry.timer);
      const at = pool.indexOf(entry);
      if (at >= 0) pool.splice(at, 1);
      if (pool.length === 0 && this.idle.get(endpoint) === pool) this.idle.delete(endpoint);
      socket.destroy();
    };
    const entry: IdleConnection = {
      socket,
      timer: setTimeout(drop, this.idleSeconds * 1000),
      drop,
    };
    entry.timer.unref();
    socket.on('error', drop);
    socket.on('end', drop);
    socket.on('data', drop);
    pool.push(entry);
  }
}
