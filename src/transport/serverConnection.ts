/** A client connection of the HTTP server: reads requests and writes the replies in order. */
import type net from 'node:net';
import { HttpError, HttpParser, type HttpMessage } from './httpParser.js';

/** The reply to a request. */
export interface Reply {
  status: number;
  body: unknown;
  /** Seconds after which the client should retry. */
  retryAfter?: number;
  /**
   * Called immediately before the reply is written, and returns the reply to write in its place: the state that the reply
   * is based on may have changed since it was created. If absent, the reply is written unchanged.
   */
  atSending?: () => Reply;
}

/** The reply that is valid at the time of the call. */
export const replyAtSending = (reply: Reply): Reply => reply.atSending?.() ?? reply;

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

/** Serialises a reply as an HTTP/1.1 response. */
export function formatResponse(reply: Reply, close: boolean): string {
  const body = JSON.stringify(reply.body);
  const retry = reply.retryAfter === undefined ? '' : `Retry-After: ${reply.retryAfter}\r\n`;
  return (
    `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Unknown'}\r\n` +
    `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n${retry}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}

/** Limits of one connection. */
export interface ConnectionOptions {
  /** Maximum bytes of a request's body, which may depend on its target. */
  bodyLimit: number | ((target: string) => number);
  /** Seconds within which an incomplete request must be completed. */
  requestTimeout: number;
  /** Seconds after which an idle connection is closed. */
  idleTimeout: number;
}

/** Callbacks from a connection to its server. */
export interface ConnectionEvents {
  /** Called when data has arrived. */
  onActivity(): void;
  onClosed(): void;
  /**
   * Handles a request. `isFollowUp`: an earlier request on this connection was answered and the client reused the
   * connection, so it received that response; a first request shows nothing about earlier responses. `isDisconnected`
   * returns whether the client has closed the connection since, so that nobody waits for the reply.
   */
  answer(request: HttpMessage, isFollowUp: boolean, isDisconnected: () => boolean): Promise<Reply>;
  /** Whether the connection must be closed after this request to free capacity for others. */
  mustClose(request: HttpMessage): boolean;
}

/** One client connection; its requests are handled one at a time, in order. */
export class ServerConnection {
  private readonly parser: HttpParser;
  private readonly queued: HttpMessage[] = [];
  private handledCount = 0;
  private isHandling = false;
  /** No more input is read: the connection was dropped or received a malformed request. */
  private isClosing = false;
  /**
   * The client has closed its side, and the server closes its own without a reply: a client that gave up cannot be told
   * from one that waits for a last reply, and the connections of many that gave up would use up all sockets.
   */
  private isEnded = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: ConnectionOptions,
    private readonly events: ConnectionEvents,
  ) {
    this.parser = new HttpParser('request', options.bodyLimit);
    socket.on('close', () => {
      events.onClosed();
    });
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => {
      this.read(data);
    });
    socket.on('end', () => {
      this.isEnded = true;
      socket.end();
    });
    // A machine that loses power does not close its connection; without a timeout such connections would use up all
    // sockets over time. An incomplete request has the shorter request timeout, see `read`.
    socket.setTimeout(options.idleTimeout * 1000, () => {
      if (!this.isBusy) this.drop();
    });
  }

  /** Whether a request is being handled. */
  get isBusy(): boolean {
    return this.isHandling;
  }

  /** Closes the connection immediately, without a reply. */
  drop(): void {
    this.isClosing = true;
    this.socket.destroy();
  }

  private read(data: Buffer): void {
    if (this.isClosing) return;
    this.events.onActivity();
    const { idleTimeout, requestTimeout } = this.options;
    try {
      this.queued.push(...this.parser.push(data));
      this.socket.setTimeout((this.parser.isIdle ? idleTimeout : requestTimeout) * 1000);
      this.handleNext();
    } catch (error) {
      this.reject(error);
    }
  }

  private reject(error: unknown): void {
    this.isClosing = true;
    const status = error instanceof HttpError ? error.status : 400;
    const reason = error instanceof Error ? error.message : 'malformed request';
    this.socket.end(formatResponse({ status, body: { error: reason } }, true));
  }

  private handleNext(): void {
    if (this.isHandling) return;
    const request = this.queued.shift();
    if (request === undefined) return;
    this.isHandling = true;
    const isDisconnected = (): boolean => this.isEnded || this.socket.destroyed;
    void this.events.answer(request, this.handledCount++ > 0, isDisconnected).then((reply) => {
      this.reply(request, reply);
    });
  }

  private reply(request: HttpMessage, reply: Reply): void {
    this.isHandling = false;
    if (this.isEnded || this.socket.destroyed) return;
    const close = this.isClosing || !request.keepAlive || this.events.mustClose(request);
    const text = formatResponse(replyAtSending(reply), close);
    if (close) {
      this.socket.end(text);
      return;
    }
    this.socket.write(text);
    this.handleNext();
  }
}
