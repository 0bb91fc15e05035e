/** A few controllers in this process, on loopback, with the stand-ins around them. */
import { systemClock } from '../../src/base/clock.js';
import { setLogLevel } from '../../src/base/log.js';
import { seededRandom } from '../../src/base/random.js';
import { Controller } from '../../src/coordination/controller/controller.js';
import { Gateway, isEssential } from '../../src/coordination/controller/gateway.js';
import { rolloutDisabled, type RolloutSetup } from '../../src/coordination/rollout/rolloutSetup.js';
import * as rolloutModules from '../../src/coordination/rollout/rolloutModules.js';
import { defaultTuning, parseSettings } from '../../src/protocol/settings.js';
import { HttpClient, type Response } from '../../src/transport/httpClient.js';
import { HttpServer, type ServerOptions } from '../../src/transport/httpServer.js';
import { PeerServer } from '../../src/transport/peerLink.js';
import { settingsText } from './clusterSettings.js';
import { CloudStandIn } from './fleet.js';
import { StateStandIn } from './state.js';

setLogLevel(process.env['LOG_LEVEL'] ?? 'error');

/** One controller as a build of the service makes it. */
export interface BuiltNode {
  controller: Controller;
  gateway: Pick<Gateway, 'handle' | 'handlePeerMessage'>;
}

/** Makes a controller from its settings file; `run` sets one start apart from every other. */
export type Build = (settings: string, run: string) => BuiltNode;

interface Node extends BuiltNode {
  address: string;
}

const buildWith = (text: string, run: string, setup: RolloutSetup): BuiltNode => {
  const settings = parseSettings(text);
  const links = { services: new HttpClient(50, 1), machines: new HttpClient(50, 1) };
  const tuning = { ...defaultTuning, peerTimeout: 0.3 };
  const random = seededRandom(7);
  const controller = new Controller(settings, tuning, systemClock, random, links, run, setup);
  return { controller, gateway: new Gateway(controller) };
};

/** Everything that is switched off by default is off. */
export const currentBuild: Build = (text, run) =>
  buildWith(
    text,
    run,
    rolloutDisabled(() => undefined),
  );

/** With some features on; a node that is refused ends, as its process would. */
export const buildWithFeatures = (
  features: string[],
  refused: (reason: string) => void = () => undefined,
): Build => {
  return (text, run) => {
    const node = buildWith(text, run, {
      features: new Set(features),
      modules: features.length === 0 ? null : rolloutModules,
      onRefused: (reason) => {
        refused(reason);
        node.controller.stop();
      },
    });
    return node;
  };
};

export interface ClusterOptions {
  nodes: number;
  teams?: string;
  taskRunSeconds: (task: string) => number;
  zones?: string[];
  /** Seconds; short where a test waits for its end. */
  workerLease?: number;
  /** Changes a second that the state service takes from all nodes together. */
  stateWriteRate?: number;
  /** Limits that the state service will have, as lines of the settings. */
  nextStateLimits?: string;
  /** What a node's users and workers may take of it. */
  serverOptions?: Partial<ServerOptions>;
}

const limits = {
  bodyLimit: 65536,
  maxConnections: 200,
  maxInFlight: 100,
  requestTimeout: 5,
  idleTimeout: 60,
  essential: isEssential,
};

export class Cluster {
  readonly state = new StateStandIn();
  readonly nodes = new Map<string, Node>();
  /** The build that each node starts with, where that is not the present one. */
  readonly builds = new Map<string, Build>();
  readonly cloud: CloudStandIn;
  private readonly http = new HttpClient(200, 1);
  /** Ports for calls from one node to another, `from>to`: each way can be cut by itself. */
  private backs = new Map<string, number>();
  /** Nodes that can neither reach the others nor be reached by them. */
  readonly isolatedNodes = new Set<string>();
  private fronts = new Map<string, number>();
  private cloudAddress = '';
  private readonly listeners: { close(): void }[] = [];
  private readonly report = 0.4;
  private readonly lease: number;

  constructor(private readonly options: ClusterOptions) {
    this.lease = options.workerLease ?? 8;
    const addresses = (): Map<string, string> =>
      new Map([...this.fronts].map(([label, port]) => [label, `127.0.0.1:${port}`]));
    this.cloud = new CloudStandIn(
      {
        heartbeatInterval: this.report,
        workerLease: this.lease,
        taskRunSeconds: options.taskRunSeconds,
      },
      addresses,
      this.zones,
    );
  }

  get zones(): string[] {
    return this.options.zones ?? ['a'];
  }

  private labels(): string[] {
    return Array.from({ length: this.options.nodes }, (_, i) => `drone-${i}`);
  }

  async start(): Promise<void> {
    this.cloudAddress = await this.cloud.listen();
    // Listeners stay for the cluster's life, also while their node is down: a port that is given up may
    // be taken by a test that runs beside this one.
    const front = { ...limits, ...this.options.serverOptions };
    for (const label of this.labels()) {
      for (const from of this.labels()) {
        if (from === label) continue;
        const peers = new PeerServer((body) => {
          const gateway = this.nodes.get(label)?.gateway;
          // A cut is silent.
          if (this.isolatedNodes.has(label) || this.isolatedNodes.has(from))
            return new Promise(() => undefined);
          return gateway?.handlePeerMessage(body) ?? Promise.reject(new Error('down'));
        });
        const port = await peers.listen({ host: '127.0.0.1', port: 0 });
        this.backs.set(`${from}>${label}`, port);
        this.listeners.push(peers);
      }
      const server = new HttpServer((request, follows) => {
        const gateway = this.nodes.get(label)?.gateway;
        return gateway?.handle(request, follows) ?? Promise.resolve({ status: 503, body: {} });
      }, front);
      this.fronts.set(label, await server.listen({ host: '127.0.0.1', port: 0 }));
      this.listeners.push(server);
    }
    for (const label of this.labels()) await this.boot(label);
  }

  async boot(label: string): Promise<void> {
    const zone = (at: string): string => this.zones[this.labels().indexOf(at) % this.zones.length];
    const front = `127.0.0.1:${this.fronts.get(label)}`;
    const back = '127.0.0.1:1';
    const peers = this.labels()
      .filter((l) => l !== label)
      .map((l) => ({
        label: l,
        zone: zone(l),
        address: `127.0.0.1:${this.backs.get(`${label}>${l}`)}`,
      }));
    const settings = settingsText({
      ...{
        label,
        zone: zone(label),
        clientAddress: front,
        peerAddress: back,
        peers,
        zones: this.zones,
      },
      cloud: this.cloudAddress,
      state: await this.state.listenFor(label),
      teams: this.options.teams ?? '[[settings.teams]]\nname = "crew"',
      skewMs: 100,
      heartbeatInterval: this.report,
      workerLease: this.lease,
      cancellationTimeout: 5,
      stateRequestRate: 2000,
      stateWriteRate: this.options.stateWriteRate ?? 1000,
      nextStateLimits: this.options.nextStateLimits,
    });
    const run = `${label}${Math.floor(systemClock.now() * 1e6).toString(36)}`;
    const node = (this.builds.get(label) ?? currentBuild)(settings, run);
    node.controller.start();
    this.nodes.set(label, { ...node, address: front });
  }

  isUp(label: string): boolean {
    return this.nodes.has(label);
  }

  /** Ends a node as a crash would: it says nothing more to anybody. */
  crash(label: string): void {
    const node = this.nodes.get(label);
    node?.controller.stop();
    this.nodes.delete(label);
  }

  close(): void {
    for (const label of [...this.nodes.keys()]) this.crash(label);
    for (const listener of this.listeners) listener.close();
    this.cloud.close();
    this.state.close();
  }

  call(label: string, method: string, path: string, body?: unknown): Promise<Response> {
    const node = this.nodes.get(label);
    if (node === undefined) throw new Error(`${label} is down`);
    return this.http.call(node.address, method, path, body, 6);
  }
}

export const pause = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, seconds * 1000));

/** Waits for a condition; how long it takes says nothing, only whether it comes. */
export async function until(
  what: string,
  test: () => boolean | Promise<boolean>,
  seconds = 20,
): Promise<void> {
  const ends = performance.now() + seconds * 1000;
  while (performance.now() < ends) {
    try {
      if (await test()) return;
    } catch {
      // A node that is down or not yet up: try again.
    }
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error(`never came: ${what}`);
}

export function submission(id: string, changes: Record<string, unknown> = {}): unknown {
  return {
    Uid: id,
    Jobclass: 'batch',
    Owner: 'crew',
    Shape: 'sweep',
    Rank: 'normal',
    Pieces: 3,
    Cores: 2,
    Accelerators: 0,
    MemoryGb: 4,
    Flavours: null,
    Yard: null,
    SamePlace: false,
    Apart: false,
    Loaners: true,
    Bundle: 'img',
    PullGb: 0.1,
    ExpectS: 1,
    SnapshotS: 0,
    FlushS: 0,
    DueS: null,
    ...changes,
  };
}
