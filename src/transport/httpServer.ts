/** An HTTP server: how many connections it keeps, and which requests go first when there are many. */
import net from 'node:net';
import type { Address } from './address.js';
import type { HttpMessage } from './httpParser.js';
import { ServerConnection, type ConnectionOptions, type Reply } from './serverConnection.js';
import { TurnQueue } from './turnQueue.js';

export { formatResponse, replyAtSending, type Reply } from './serverConnection.js';

/** See `ConnectionEvents.answer`. */
export type RequestHandler = (request: HttpMessage, follows: boolean) => Promise<Reply>;

/** Limits of a server. */
export interface ServerOptions extends ConnectionOptions {
  /** Open connections at most, so that sockets are left for our own calls. */
  maxConnections: number;
  /** Requests being worked on at most; more are answered 503 with `Retry-After`. */
  maxInFlight: number;
  /** What is answered however much else is being worked on. */
  essential?: (request: HttpMessage) => boolean;
}

/** Of the connections at most, what may be open before users' are no longer kept. */
const CROWDED = 0.85;

/** Some ten milliseconds of work on an eighth of a core. */
const REQUESTS_PER_TURN = { urgent: 4, ordinary: 2 };

/** Connections that wait to be accepted, while a start or a long turn takes its time. */
const BACKLOG = 1024;

const OVERLOADED: Reply = { status: 503, body: { error: 'overloaded' }, retryAfter: 1 };

/** Serves HTTP, and spreads requests over turns of the event loop. */
export class HttpServer {
  private readonly server: net.Server;
  private readonly requests = new TurnQueue(REQUESTS_PER_TURN);
  private inFlight = 0;
  /** In the order of their last requests. */
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
   * Makes room for a new connection. Closing new ones at the limit would shut out users and health checks
   * while connections of machines that are gone, which never say so, are kept.
   */
  private makeRoom(): boolean {
    if (this.connections.size < this.options.maxConnections) return true;
    for (const [socket, connection] of this.connections) {
      if (connection.isBusy) continue;
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

  /** Resolves with the port once connections are accepted. */
  listen(address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, BACKLOG, () => {
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
      });
    });
  }

  /** Ends the server and its connections. */
  close(): void {
    this.server.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private serve(socket: net.Socket): void {
    if (!this.makeRoom()) {
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
      answer: (request, follows, isGone) => this.answer(request, follows, isGone),
      mustClose: (request) => this.isCrowded(request),
    });
    this.connections.set(socket, connection);
  }

  private answer(request: HttpMessage, follows: boolean, isGone: () => boolean): Promise<Reply> {
    const { maxInFlight, essential } = this.options;
    const isEssential = essential?.(request) === true;
    if (this.inFlight >= maxInFlight && !isEssential) return Promise.resolve(OVERLOADED);
    this.inFlight++;
    return new Promise((resolve) => {
      const finish = (reply: Reply): void => {
        this.inFlight--;
        resolve(reply);
      };
      const work = (): void => {
        // Work for clients that have given up would make those give up that still wait.
        if (isGone()) finish(OVERLOADED);
        else void this.handle(request, follows).then(finish);
      };
      this.requests.add(work, isEssential);
    });
  }

  private async handle(request: HttpMessage, follows: boolean): Promise<Reply> {
    try {
      return await this.handler(request, follows);
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'internal error';
      return { status: 503, body: { error: reason }, retryAfter: 1 };
    }
  }
}
