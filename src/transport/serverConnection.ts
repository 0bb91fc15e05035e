/** One client's connection to the HTTP server: reads its requests and writes the replies, one after the other. */
import type net from 'node:net';
import { HttpError, HttpParser, type HttpMessage } from './httpParser.js';

/** The answer to a request; `retryAfter` in seconds. */
export interface Reply {
  status: number;
  body: unknown;
  /** Seconds after which the client should come back. */
  retryAfter?: number;
  /**
   * Gives what may leave in place of this reply, and is asked just before its first byte: what it rests on may have changed
   * since it was made. Absent: it may leave as it is.
   */
  atSending?: () => Reply;
}

/** The reply as it may leave at this moment. */
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

/** An answer as HTTP text. */
export function formatResponse(reply: Reply, close: boolean): string {
  const body = JSON.stringify(reply.body);
  const retry = reply.retryAfter === undefined ? '' : `Retry-After: ${reply.retryAfter}\r\n`;
  return (
    `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Unknown'}\r\n` +
    `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n${retry}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}

/** Limits of one connection; times in seconds. */
export interface ConnectionOptions {
  bodyLimit: number;
  /** Seconds that a half-sent request may take. */
  requestTimeout: number;
  /** Seconds that a connection may lie idle. */
  idleTimeout: number;
}

/** What a connection tells and asks its server. */
export interface ConnectionEvents {
  /** Bytes have arrived. */
  onActivity(): void;
  onClosed(): void;
  /**
   * Answers a request. `follows`: an earlier one on this connection was answered, and its sender went on
   * using it, so it has had the answer; of one that only ever sends first requests, nothing is known.
   * `isGone` tells later whether the client has closed the connection, and nobody waits for the reply.
   */
  answer(request: HttpMessage, follows: boolean, isGone: () => boolean): Promise<Reply>;
  /** Whether the connection should be closed after this request, so that room is left for others. */
  mustClose(request: HttpMessage): boolean;
}

/** One connection of a client: its requests are answered in their order. */
export class ServerConnection {
  private readonly parser: HttpParser;
  private readonly waiting: HttpMessage[] = [];
  private answered = 0;
  private answering = false;
  /** Nothing more is read: it was dropped or sent something malformed. */
  private closing = false;
  /**
   * The client has closed its side, which ends ours too: one that gave up looks the same as one that waits
   * for a last reply, and where many give up their connections would use up all sockets.
   */
  private ended = false;

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
      this.ended = true;
      socket.end();
    });
    // A machine that loses its power does not close its connection; kept for ever, such connections
    // would use up all sockets as machines come and go. Only a half-sent request is cut off sooner.
    socket.setTimeout(options.idleTimeout * 1000, () => {
      if (!this.isBusy) this.drop();
    });
  }

  /** A request of it waits for its reply. */
  get isBusy(): boolean {
    return this.answering;
  }

  /** Ends the connection at once. */
  drop(): void {
    this.closing = true;
    this.socket.destroy();
  }

  private read(data: Buffer): void {
    if (this.closing) return;
    this.events.onActivity();
    const { idleTimeout, requestTimeout } = this.options;
    try {
      this.waiting.push(...this.parser.push(data));
      this.socket.setTimeout((this.parser.isIdle ? idleTimeout : requestTimeout) * 1000);
      this.answerNext();
    } catch (error) {
      this.refuse(error);
    }
  }

  private refuse(error: unknown): void {
    this.closing = true;
    const status = error instanceof HttpError ? error.status : 400;
    const reason = error instanceof Error ? error.message : 'malformed request';
    this.socket.end(formatResponse({ status, body: { error: reason } }, true));
  }

  private answerNext(): void {
    if (this.answering) return;
    const request = this.waiting.shift();
    if (request === undefined) return;
    this.answering = true;
    const isGone = (): boolean => this.ended || this.socket.destroyed;
    void this.events.answer(request, this.answered++ > 0, isGone).then((reply) => {
      this.reply(request, reply);
    });
  }

  private reply(request: HttpMessage, reply: Reply): void {
    this.answering = false;
    if (this.ended || this.socket.destroyed) return;
    const close = this.closing || !request.keepAlive || this.events.mustClose(request);
    const text = formatResponse(replyAtSending(reply), close);
    if (close) {
      this.socket.end(text);
      return;
    }
    this.socket.write(text);
    this.answerNext();
  }
}
