/**
 * A connection between two processes of a soak's cluster that a fault can hold, refuse or delay, each direction by itself. Bytes
 * that are held are delivered in order once the interruption ends, also when their sender has given up; a connection that
 * was begun meanwhile and given up never comes up.
 */
import net from 'node:net';
import { nextLinkAddress, type LinkAddress } from './loopback.js';

export interface LinkState {
  /** Connections are closed at once, and so are those that are open. */
  isRefusing: boolean;
  holdsForward: boolean;
  holdsBackward: boolean;
  delaySeconds: number;
}

const HEALTHY: LinkState = {
  isRefusing: false,
  holdsForward: false,
  holdsBackward: false,
  delaySeconds: 0,
};

/** One direction of one connection. */
class Flow {
  private readonly queue: Buffer[] = [];
  private isEnded = false;
  private isBusy = false;

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
    if (this.isBusy) return;
    this.isBusy = true;
    while (this.queue.length > 0 && !this.isHeld()) {
      const seconds = this.delay();
      if (seconds > 0) await new Promise((resolve) => setTimeout(resolve, seconds * 1000));
      if (this.isHeld()) break;
      const data = this.queue.shift();
      if (data !== undefined && !this.to.destroyed) this.to.write(data);
    }
    this.isBusy = false;
    if (this.isEnded && this.queue.length === 0 && !this.isHeld()) this.to.end();
  }
}

interface Connection {
  client: net.Socket;
  /** What came before the other side may be opened. */
  early: Buffer[];
  /** Null until it may be opened. */
  up: { target: net.Socket; forward: Flow; backward: Flow } | null;
}

export class Link {
  private state = HEALTHY;
  /** Its own for good once it has listened there. */
  private address: LinkAddress | null = null;
  private isClosed = false;
  private readonly connections = new Set<Connection>();
  private readonly server = net.createServer({ noDelay: true, allowHalfOpen: true }, (client) => {
    this.accept(client);
  });

  constructor(private readonly target: () => string) {}

  async listen(): Promise<string> {
    if (this.address === null) this.address = await this.listenAnywhere();
    else await this.listenAt(this.address);
    const { host, port } = this.address;
    return `${host}:${port}`;
  }

  /** Passes over ports at which another process listens for all addresses of the machine. */
  private async listenAnywhere(): Promise<LinkAddress> {
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

  /** No connection comes up any more; those that are up stay. */
  refuseNew(): void {
    this.server.close();
  }

  /** Connections come up again, at the same address. */
  async acceptNew(): Promise<void> {
    if (!this.server.listening && !this.isClosed) await this.listen();
  }

  set(change: Partial<LinkState>): void {
    this.state = { ...this.state, ...change };
    for (const connection of [...this.connections]) {
      if (this.state.isRefusing) this.drop(connection);
      else this.goOn(connection);
    }
  }

  heal(): void {
    this.set(HEALTHY);
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
    const connection: Connection = { client, early: [], up: null };
    this.connections.add(connection);
    client.on('data', (data) => {
      if (connection.up === null) connection.early.push(data);
      else connection.up.forward.push(data);
    });
    const end = (): void => {
      if (connection.up !== null) connection.up.forward.end();
      // Begun during a cut and given up: it does not complete later.
      else this.drop(connection);
    };
    client.on('end', end);
    client.on('close', end);
    if (!this.isCut) this.connect(connection);
  }

  private connect(connection: Connection): void {
    const { client } = connection;
    const [host = '', port = ''] = this.target().split(':');
    const target = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    const delay = (): number => this.state.delaySeconds;
    const forward = new Flow(target, () => this.state.holdsForward, delay);
    const backward = new Flow(client, () => this.state.holdsBackward, delay);
    connection.up = { target, forward, backward };
    for (const data of connection.early.splice(0)) forward.push(data);
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

  private goOn(connection: Connection): void {
    if (connection.up === null && !this.isCut) this.connect(connection);
    void connection.up?.forward.drain();
    void connection.up?.backward.drain();
  }

  private drop(connection: Connection): void {
    this.connections.delete(connection);
    connection.client.destroy();
    connection.up?.target.destroy();
  }
}
