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
  /** Open connections at most; more are closed at once so that sockets are left for our own calls. */
  maxConnections: number;
  /** Requests being worked on at most; more are answered 503 with `Retry-After`. */
  maxInFlight: number;
  /** Seconds that a half-sent request may take. */
  requestTimeout: number;
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
  private readonly sockets = new Set<net.Socket>();

  constructor(
    private readonly handler: Handler,
    private readonly options: ServerOptions,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => {
      this.serve(socket);
    });
    this.server.maxConnections = options.maxConnections;
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
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: net.Socket): void {
    const parser = new HttpParser('request', this.options.bodyLimit);
    const waiting: HttpMessage[] = [];
    let busy = false;
    let answered = 0;
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    let closing = false;
    socket.on('error', () => socket.destroy());
    socket.setTimeout(this.options.requestTimeout * 1000, () => {
      // Only a half-sent request is cut off: an idle keep-alive connection may stay.
      if (!parser.idle && !busy) socket.destroy();
    });
    const next = (): void => {
      const request = waiting.shift();
      if (request === undefined || busy) return;
      busy = true;
      void this.answer(request, answered++ > 0).then((reply) => {
        busy = false;
        if (socket.destroyed) return;
        const close = closing || !request.keepAlive;
        const text = formatResponse(reply, close);
        if (close) socket.end(text);
        else socket.write(text);
        if (!close) next();
      });
    };
    socket.on('data', (data) => {
      if (closing) return;
      try {
        waiting.push(...parser.push(data));
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
    if (this.inFlight >= this.options.maxInFlight) {
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
