import net from 'node:net';
import { HttpError, HttpParser, type HttpMessage } from './httpParser.js';
import type { Address } from './address.js';

export interface Reply {
  status: number;
  body: unknown;
  /** Seconds after which the client should come back. */
  retryAfter?: number;
}

/**
 * `follows`: an earlier request on this connection was answered, and its sender went on using it. Such a
 * sender has had the answer; of one that only ever sends first requests, nothing is known.
 */
export type Handler = (request: HttpMessage, follows: boolean) => Promise<Reply>;

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  413: 'Payload Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

export interface ServerOptions {
  bodyLimit: number;
  /** Open connections at most, so that sockets are left for our own calls. */
  maxConnections: number;
  /** Requests being worked on at most; more are answered 503 with `Retry-After`. */
  maxInFlight: number;
  /** Seconds that a half-sent request may take. */
  requestTimeout: number;
  /** Seconds that a connection may lie idle. */
  idleTimeout: number;
  /** What is answered however much else is being worked on. */
  essential?: (request: HttpMessage) => boolean;
}

/** Of the connections at most, what may be open before users' are no longer kept. */
const CROWDED = 0.85;

interface Connection {
  busy: boolean;
  /** Closes it, unless it is being answered. */
  drop: () => void;
}

export function formatResponse(reply: Reply, close: boolean): string {
  const body = JSON.stringify(reply.body);
  const retry = reply.retryAfter === undefined ? '' : `Retry-After: ${reply.retryAfter}\r\n`;
  return (
    `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Unknown'}\r\n` +
    `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n${retry}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}

export class HttpServer {
  private readonly server: net.Server;
  private inFlight = 0;
  /** In the order of their last requests. */
  private readonly connections = new Map<net.Socket, Connection>();

  constructor(
    private readonly handler: Handler,
    private readonly options: ServerOptions,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => {
      this.serve(socket);
    });
  }

  /**
   * Makes room for a new connection. Closing new ones at the limit would shut out users and health checks
   * while connections of machines that are gone, which never say so, are kept.
   */
  private makeRoom(): boolean {
    if (this.connections.size < this.options.maxConnections) return true;
    for (const [socket, connection] of this.connections) {
      if (connection.busy) continue;
      this.connections.delete(socket);
      connection.drop();
      return true;
    }
    return false;
  }

  /** Before room runs out, those who can well come back on a new connection do not keep theirs. */
  private isCrowded(request: HttpMessage): boolean {
    const { maxConnections, essential } = this.options;
    return this.connections.size > maxConnections * CROWDED && essential?.(request) === false;
  }

  listen(address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, 1024, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
      });
    });
  }

  close(): void {
    this.server.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private serve(socket: net.Socket): void {
    if (!this.makeRoom()) {
      socket.destroy();
      return;
    }
    const parser = new HttpParser('request', this.options.bodyLimit);
    const waiting: HttpMessage[] = [];
    let answered = 0;
    let closing = false;
    const connection: Connection = {
      busy: false,
      drop: () => {
        closing = true;
        socket.destroy();
      },
    };
    this.connections.set(socket, connection);
    socket.on('close', () => this.connections.delete(socket));
    socket.on('error', () => socket.destroy());
    const { requestTimeout, idleTimeout } = this.options;
    // A machine that loses its power does not close its connection; kept for ever, such connections
    // would use up all sockets as machines come and go. Only a half-sent request is cut off sooner.
    socket.setTimeout(idleTimeout * 1000, () => {
      if (!connection.busy) connection.drop();
    });
    const next = (): void => {
      const request = waiting.shift();
      if (request === undefined || connection.busy) return;
      connection.busy = true;
      void this.answer(request, answered++ > 0).then((reply) => {
        connection.busy = false;
        if (socket.destroyed) return;
        const close = closing || !request.keepAlive || this.isCrowded(request);
        const text = formatResponse(reply, close);
        if (close) socket.end(text);
        else socket.write(text);
        if (!close) next();
      });
    };
    socket.on('data', (data) => {
      if (closing) return;
      this.connections.delete(socket);
      this.connections.set(socket, connection);
      try {
        waiting.push(...parser.push(data));
        socket.setTimeout((parser.idle ? idleTimeout : requestTimeout) * 1000);
        next();
      } catch (error) {
        closing = true;
        const status = error instanceof HttpError ? error.status : 400;
        const reason = error instanceof Error ? error.message : 'malformed request';
        socket.end(formatResponse({ status, body: { error: reason } }, true));
      }
    });
    socket.on('end', () => socket.end());
  }

  private async answer(request: HttpMessage, follows: boolean): Promise<Reply> {
    const { maxInFlight, essential } = this.options;
    if (this.inFlight >= maxInFlight && essential?.(request) !== true) {
      return { status: 503, body: { error: 'overloaded' }, retryAfter: 1 };
    }
    this.inFlight++;
    try {
      return await this.handler(request, follows);
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'internal error';
      return { status: 503, body: { error: reason }, retryAfter: 1 };
    } finally {
      this.inFlight--;
    }
  }
}
