/** A cluster of controllers in this process, on loopback, with stand-ins for the cloud, its workers and the state service. */
import { systemClock } from '../../src/base/clock.js';
import { setLogLevel } from '../../src/base/log.js';
import { seededRandom } from '../../src/base/random.js';
import { Controller } from '../../src/coordination/controller/controller.js';
import { Gateway, isEssential, maxBodyBytes } from '../../src/coordination/controller/gateway.js';
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

/** A controller and its gateway, as created by one build of the service. */
export interface BuiltNode {
  controller: Controller;
  gateway: Pick<Gateway, 'handle' | 'handlePeerMessage'>;
}

/** Creates a controller from the text of its settings file; `processId` identifies this start of the node. */
export type Build = (settings: string, processId: string) => BuiltNode;

interface Node extends BuiltNode {
  address: string;
}

const buildWith = (text: string, processId: string, setup: RolloutSetup): BuiltNode => {
  const settings = parseSettings(text);
  const links = { services: new HttpClient(50, 1), machines: new HttpClient(50, 1) };
  const tuning = { ...defaultTuning, peerTimeout: 0.3 };
  const random = seededRandom(7);
  const controller = new Controller(settings, tuning, systemClock, random, links, processId, setup);
  return { controller, gateway: new Gateway(controller) };
};

/** The current sources, with all optional features off. */
export const currentBuild: Build = (text, processId) =>
  buildWith(
    text,
    processId,
    rolloutDisabled(() => undefined),
  );

/** The current sources with some optional features on. A node whose levels are refused stops, as its process would. */
export const buildWithFeatures = (
  features: string[],
  onRefused: (reason: string) => void = () => undefined,
): Build => {
  return (text, processId) => {
    const node = buildWith(text, processId, {
      features: new Set(features),
      modules: features.length === 0 ? null : rolloutModules,
      onRefused: (reason) => {
        onRefused(reason);
        node.controller.stop();
      },
    });
    return node;
  };
};

export interface ClusterOptions {
  nodes: number;
  /** TOML lines of the settings. */
  teams?: string;
  /** Seconds that a task runs; Infinity: until it is stopped. */
  taskRunSeconds: (task: string) => number;
  zones?: string[];
  /** Lease of the workers in seconds; short in tests that wait for its expiry. */
  workerLease?: number;
  /** Limit of writes per second at the state service, shared by all nodes. */
  stateWriteRate?: number;
  /** Announced future limits of the state service, as TOML lines of the settings. */
  nextStateLimits?: string;
  /** Overrides limits of the server that each node offers to users and workers. */
  serverOptions?: Partial<ServerOptions>;
}

const SERVER_LIMITS = {
  bodyLimit: maxBodyBytes,
  maxConnections: 200,
  maxInFlight: 100,
  requestTimeout: 5,
  idleTimeout: 60,
  essential: isEssential,
};

export class Cluster {
  readonly state = new StateStandIn();
  readonly nodes = new Map<string, Node>();
  /** The build that a node starts with; nodes without an entry use the current sources. */
  readonly builds = new Map<string, Build>();
  readonly cloud: CloudStandIn;
  private readonly http = new HttpClient(200, 1);
  /** Ports for peer calls, by `from>to`: each pair and direction has its own, so that it can be cut alone. */
  private peerPorts = new Map<string, number>();
  /** Nodes that can neither reach their peers nor be reached by them. */
  readonly isolatedNodes = new Set<string>();
  /** Ports for users and workers, by node. */
  private clientPorts = new Map<string, number>();
  private cloudAddress = '';
  private readonly listeners: { close(): void }[] = [];
  private readonly heartbeatInterval = 0.4;
  private readonly workerLease: number;

  constructor(private readonly options: ClusterOptions) {
    this.workerLease = options.workerLease ?? 8;
    const addresses = (): Map<string, string> =>
      new Map([...this.clientPorts].map(([label, port]) => [label, `127.0.0.1:${port}`]));
    this.cloud = new CloudStandIn(
      {
        heartbeatInterval: this.heartbeatInterval,
        workerLease: this.workerLease,
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
    // Listeners stay open for the cluster's lifetime, even while their node is down: a concurrent test could take a port that
    // was released.
    const serverOptions = { ...SERVER_LIMITS, ...this.options.serverOptions };
    for (const label of this.labels()) {
      for (const from of this.labels()) {
        if (from === label) continue;
        const peers = new PeerServer((body) => {
          const gateway = this.nodes.get(label)?.gateway;
          // A partition gives no error: calls get no answer.
          if (this.isolatedNodes.has(label) || this.isolatedNodes.has(from))
            return new Promise(() => undefined);
          return gateway?.handlePeerMessage(body) ?? Promise.reject(new Error('down'));
        });
        const port = await peers.listen({ host: '127.0.0.1', port: 0 });
        this.peerPorts.set(`${from}>${label}`, port);
        this.listeners.push(peers);
      }
      const server = new HttpServer((request, isFollowUp) => {
        const gateway = this.nodes.get(label)?.gateway;
        return gateway?.handle(request, isFollowUp) ?? Promise.resolve({ status: 503, body: {} });
      }, serverOptions);
      this.clientPorts.set(label, await server.listen({ host: '127.0.0.1', port: 0 }));
      this.listeners.push(server);
    }
    for (const label of this.labels()) await this.boot(label);
  }

  async boot(label: string): Promise<void> {
    const zoneOf = (node: string): string =>
      this.zones[this.labels().indexOf(node) % this.zones.length];
    const clientAddress = `127.0.0.1:${this.clientPorts.get(label)}`;
    const peerAddress = '127.0.0.1:1';
    const peers = this.labels()
      .filter((l) => l !== label)
      .map((l) => ({
        label: l,
        zone: zoneOf(l),
        address: `127.0.0.1:${this.peerPorts.get(`${label}>${l}`)}`,
      }));
    const settings = settingsText({
      ...{
        label,
        zone: zoneOf(label),
        clientAddress,
        peerAddress,
        peers,
        zones: this.zones,
      },
      cloud: this.cloudAddress,
      state: await this.state.listenFor(label),
      teams: this.options.teams ?? '[[settings.teams]]\nname = "crew"',
      skewMs: 100,
      heartbeatInterval: this.heartbeatInterval,
      workerLease: this.workerLease,
      cancellationTimeout: 5,
      stateRequestRate: 2000,
      stateWriteRate: this.options.stateWriteRate ?? 1000,
      nextStateLimits: this.options.nextStateLimits,
    });
    const processId = `${label}${Math.floor(systemClock.now() * 1e6).toString(36)}`;
    const node = (this.builds.get(label) ?? currentBuild)(settings, processId);
    node.controller.start();
    this.nodes.set(label, { ...node, address: clientAddress });
  }

  isUp(label: string): boolean {
    return this.nodes.has(label);
  }

  /** Stops a node without a shutdown: it sends nothing more. */
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

/** Waits until a condition holds. Tests check whether it ever does, not how long that takes; the timeout only bounds a failure. */
export async function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
  seconds = 20,
): Promise<void> {
  const deadline = performance.now() + seconds * 1000;
  while (performance.now() < deadline) {
    try {
      if (await condition()) return;
    } catch {
      // The condition asked a node that is down or not yet up.
    }
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error(`never came: ${description}`);
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
