/** An HTTP server with a connection limit and priority for essential requests under load. */
import net from 'node:net';
import type { Address } from './address.js';
import type { HttpMessage } from './httpParser.js';
import { ServerConnection, type ConnectionOptions, type Reply } from './serverConnection.js';
import { TurnQueue } from './turnQueue.js';

export { formatResponse, replyAtSending, type Reply } from './serverConnection.js';

/** Handles a request; `isFollowUp` as in `ConnectionEvents.answer`. */
export type RequestHandler = (request: HttpMessage, isFollowUp: boolean) => Promise<Reply>;

/** Limits of a server, and which requests it serves first. */
export interface ServerOptions extends ConnectionOptions {
  /** Maximum number of open connections; leaves sockets for the process's outgoing requests. */
  maxConnections: number;
  /** Maximum number of requests in progress; further ones are answered 503 with `Retry-After`. */
  maxInFlight: number;
  /** Whether a request is served even when `maxInFlight` is reached. */
  essential?: (request: HttpMessage) => boolean;
}

/** Share of `maxConnections` above which connections of non-essential requests are closed after the reply. */
const CROWDED_SHARE = 0.85;

/** Maximum number of requests handled per turn: about ten milliseconds of work on an eighth of a core. */
const REQUESTS_PER_TURN = { urgent: 4, ordinary: 2 };

/** Length of the listen queue, which holds connections during a start or a long turn of the event loop. */
const BACKLOG = 1024;

const OVERLOADED: Reply = { status: 503, body: { error: 'overloaded' }, retryAfter: 1 };

/** Serves HTTP and spreads the handling of requests over turns of the event loop. */
export class HttpServer {
  private readonly server: net.Server;
  private readonly requests = new TurnQueue(REQUESTS_PER_TURN);
  private inFlight = 0;
  /** Open connections, the least recently active one first. */
  private readonly connections = new Map<net.Socket, ServerConnection>();

  constructor(
    private readonly handler: RequestHandler,
    private readonly options: ServerOptions,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => {
      this.serve(socket);
    });
  }

  /**
   * Closes the least recently active idle connection if the limit is reached; false if every connection is busy. Refusing
   * new connections instead would lock out users and health checks, while connections of machines that disappeared
   * without closing them stay open.
   */
  private ensureCapacity(): boolean {
    if (this.connections.size < this.options.maxConnections) return true;
    for (const [socket, connection] of this.connections) {
      if (connection.isBusy) continue;
      this.connections.delete(socket);
      connection.drop();
      return true;
    }
    return false;
  }

  /** Near the connection limit, clients with non-essential requests can reconnect and do not keep their connections. */
  private isCrowded(request: HttpMessage): boolean {
    const { maxConnections, essential } = this.options;
    return this.connections.size > maxConnections * CROWDED_SHARE && essential?.(request) === false;
  }

  /** Starts listening; resolves with the bound port. */
  listen(address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, BACKLOG, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private serve(socket: net.Socket): void {
    if (!this.ensureCapacity()) {
      socket.destroy();
      return;
    }
    const connection = new ServerConnection(socket, this.options, {
      onActivity: () => {
        this.connections.delete(socket);
        this.connections.set(socket, connection);
      },
      onClosed: () => {
        this.connections.delete(socket);
      },
      answer: (request, isFollowUp, isDisconnected) =>
        this.answer(request, isFollowUp, isDisconnected),
      mustClose: (request) => this.isCrowded(request),
    });
    this.connections.set(socket, connection);
  }

  private answer(
    request: HttpMessage,
    isFollowUp: boolean,
    isDisconnected: () => boolean,
  ): Promise<Reply> {
    const { maxInFlight, essential } = this.options;
    const isEssential = essential?.(request) === true;
    if (this.inFlight >= maxInFlight && !isEssential) return Promise.resolve(OVERLOADED);
    this.inFlight++;
    return new Promise((resolve) => {
      const finish = (reply: Reply): void => {
        this.inFlight--;
        resolve(reply);
      };
      const handle = (): void => {
        // Serving clients that have disconnected would delay those that still wait until they time out too.
        if (isDisconnected()) finish(OVERLOADED);
        else void this.handle(request, isFollowUp).then(finish);
      };
      this.requests.add(handle, isEssential);
    });
  }

  private async handle(request: HttpMessage, isFollowUp: boolean): Promise<Reply> {
    try {
      return await this.handler(request, isFollowUp);
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'internal error';
      return { status: 503, body: { error: reason }, retryAfter: 1 };
    }
  }
}
