/**
 * A TCP proxy between two processes that injects faults: it holds the bytes of either direction, refuses connections or delays
 * data. Held bytes are delivered in order once the fault ends, even if their sender has closed the connection meanwhile. A
 * connection that was opened and closed during a cut is never established.
 */
import net from 'node:net';
import { nextLinkAddress, type LinkAddress } from './loopback.js';

export interface LinkState {
  /** New and open connections are closed at once. */
  isRefusing: boolean;
  holdsForward: boolean;
  holdsBackward: boolean;
  delaySeconds: number;
}

const NO_FAULTS: LinkState = {
  isRefusing: false,
  holdsForward: false,
  holdsBackward: false,
  delaySeconds: 0,
};

/** One direction of one connection. */
class Flow {
  private readonly queue: Buffer[] = [];
  private isEnded = false;
  private isWriting = false;

  constructor(
    private readonly to: net.Socket,
    private readonly isHeld: () => boolean,
    private readonly delay: () => number,
  ) {}

  push(data: Buffer): void {
    this.queue.push(data);
    void this.drain();
  }

  end(): void {
    this.isEnded = true;
    void this.drain();
  }

  async drain(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    while (this.queue.length > 0 && !this.isHeld()) {
      const seconds = this.delay();
      if (seconds > 0) await new Promise((resolve) => setTimeout(resolve, seconds * 1000));
      if (this.isHeld()) break;
      const data = this.queue.shift();
      if (data !== undefined && !this.to.destroyed) this.to.write(data);
    }
    this.isWriting = false;
    if (this.isEnded && this.queue.length === 0 && !this.isHeld()) this.to.end();
  }
}

interface Connection {
  client: net.Socket;
  /** Data received before the connection to the target is opened. */
  pending: Buffer[];
  /** The connection to the target; null until a cut allows to open it. */
  upstream: { target: net.Socket; forward: Flow; backward: Flow } | null;
}

export class Link {
  private state = NO_FAULTS;
  /** Kept once the link has listened there, so that peers find it again. */
  private address: LinkAddress | null = null;
  private isClosed = false;
  private readonly connections = new Set<Connection>();
  private readonly server = net.createServer({ noDelay: true, allowHalfOpen: true }, (client) => {
    this.accept(client);
  });

  constructor(private readonly targetAddress: () => string) {}

  async listen(): Promise<string> {
    if (this.address === null) this.address = await this.listenAtFreeAddress();
    else await this.listenAt(this.address);
    const { host, port } = this.address;
    return `${host}:${port}`;
  }

  /** Tries addresses until one is free: another process may listen at a port for all addresses of the machine. */
  private async listenAtFreeAddress(): Promise<LinkAddress> {
    for (;;) {
      const address = nextLinkAddress();
      try {
        await this.listenAt(address);
        return address;
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
      }
    }
  }

  private listenAt({ host, port }: LinkAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Refuses new connections; open ones stay open. */
  refuseNew(): void {
    this.server.close();
  }

  /** Accepts new connections again, at the same address. */
  async acceptNew(): Promise<void> {
    if (!this.server.listening && !this.isClosed) await this.listen();
  }

  set(change: Partial<LinkState>): void {
    this.state = { ...this.state, ...change };
    for (const connection of [...this.connections]) {
      if (this.state.isRefusing) this.drop(connection);
      else this.resume(connection);
    }
  }

  heal(): void {
    this.set(NO_FAULTS);
  }

  close(): void {
    this.isClosed = true;
    this.server.close();
    for (const connection of [...this.connections]) this.drop(connection);
  }

  private get isCut(): boolean {
    return this.state.holdsForward || this.state.holdsBackward;
  }

  private accept(client: net.Socket): void {
    client.on('error', () => undefined);
    if (this.state.isRefusing) {
      client.destroy();
      return;
    }
    const connection: Connection = { client, pending: [], upstream: null };
    this.connections.add(connection);
    client.on('data', (data) => {
      if (connection.upstream === null) connection.pending.push(data);
      else connection.upstream.forward.push(data);
    });
    const end = (): void => {
      if (connection.upstream !== null) connection.upstream.forward.end();
      // Closed before a cut let it reach the target: it must not be established later.
      else this.drop(connection);
    };
    client.on('end', end);
    client.on('close', end);
    if (!this.isCut) this.connect(connection);
  }

  private connect(connection: Connection): void {
    const { client } = connection;
    const [host = '', port = ''] = this.targetAddress().split(':');
    const target = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    const delay = (): number => this.state.delaySeconds;
    const forward = new Flow(target, () => this.state.holdsForward, delay);
    const backward = new Flow(client, () => this.state.holdsBackward, delay);
    connection.upstream = { target, forward, backward };
    for (const data of connection.pending.splice(0)) forward.push(data);
    target.on('data', (data) => {
      backward.push(data);
    });
    target.on('end', () => {
      backward.end();
    });
    target.on('error', () => client.destroy());
    target.on('close', () => {
      backward.end();
      if (client.destroyed) this.connections.delete(connection);
    });
  }

  private resume(connection: Connection): void {
    if (connection.upstream === null && !this.isCut) this.connect(connection);
    void connection.upstream?.forward.drain();
    void connection.upstream?.backward.drain();
  }

  private drop(connection: Connection): void {
    this.connections.delete(connection);
    connection.client.destroy();
    connection.upstream?.target.destroy();
  }
}
