/**
 * A connection between two parts of a soak's cluster that a fault can hold, refuse or delay, each direction by itself. Bytes
 * that are held are delivered in order once the interruption ends, also when their sender has given up; a connection that
 * was begun meanwhile and given up never comes up.
 */
import net from 'node:net';

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
  /** Null until it may be opened. */
  target: net.Socket | null;
  flows: Flow[];
  open(): void;
}

export class Link {
  private state = HEALTHY;
  private readonly connections = new Set<Connection>();
  private readonly server = net.createServer({ noDelay: true, allowHalfOpen: true }, (client) => {
    this.accept(client);
  });

  constructor(private readonly target: () => string) {}

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    const bound = this.server.address();
    if (bound === null || typeof bound === 'string') throw new Error('no address');
    return `127.0.0.1:${bound.port}`;
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
    const connection: Connection = {
      client,
      target: null,
      flows: [],
      open: () => {
        this.connect(connection);
      },
    };
    this.connections.add(connection);
    client.on('close', () => {
      // Begun during a cut and given up: it does not complete later.
      if (connection.target === null) this.connections.delete(connection);
    });
    if (!this.isCut) connection.open();
  }

  private connect(connection: Connection): void {
    const { client } = connection;
    const [host = '', port = ''] = this.target().split(':');
    const target = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    connection.target = target;
    const delay = (): number => this.state.delaySeconds;
    const forward = new Flow(target, () => this.state.holdsForward, delay);
    const backward = new Flow(client, () => this.state.holdsBackward, delay);
    connection.flows = [forward, backward];
    const forget = (): void => {
      if (client.destroyed && target.destroyed) this.connections.delete(connection);
    };
    client.on('data', (data) => {
      forward.push(data);
    });
    client.on('end', () => {
      forward.end();
    });
    client.on('close', () => {
      forward.end();
      forget();
    });
    target.on('data', (data) => {
      backward.push(data);
    });
    target.on('end', () => {
      backward.end();
    });
    target.on('error', () => client.destroy());
    target.on('close', () => {
      backward.end();
      forget();
    });
  }

  private goOn(connection: Connection): void {
    if (connection.target === null && !this.isCut) connection.open();
    for (const flow of connection.flows) void flow.drain();
  }

  private drop({ client, target }: Connection): void {
    client.destroy();
    target?.destroy();
  }
}
