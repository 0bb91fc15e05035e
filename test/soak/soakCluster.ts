/** The processes of one soak (controllers, state service, cloud with workers) and the links between them. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { HttpClient, type Response } from '../../src/transport/httpClient.js';
import { settingsText } from '../support/clusterSettings.js';
import { until } from '../support/cluster.js';
import type { ClientApi } from '../trials/trialUsers.js';
import { ControllerProcess } from './controllerProcess.js';
import { Link } from '../support/link.js';
import { processLoopbackAddress } from '../support/loopback.js';
import type { FleetSetup, FleetRequest, StateRequest, TaskEvent } from './messages.js';
import { MAX_SKEW_MS, type SoakPlan } from './plan.js';
import type { SoakLog } from './soakLog.js';
import { StandInProcess } from './standIn.js';

const STATE_MAIN = join(import.meta.dirname, 'stateMain.js');
const FLEET_MAIN = join(import.meta.dirname, 'fleetMain.js');

const START_TIMEOUT_S = 60;

/** Addresses at which clients and peers reach one node. */
interface NodeAddresses {
  clientAddress: string;
  peerAddress: string;
}

export class SoakCluster implements ClientApi {
  readonly controllers = new Map<string, ControllerProcess>();
  /** Links by the name `from>to`; the ends besides nodes are `workers`, `users`, `state` and `cloud`. */
  readonly links = new Map<string, Link>();
  /** Processes that exited without being asked to, with the reason where it is known. */
  readonly unexpectedExits: string[] = [];
  readonly state: StandInProcess<StateRequest>;
  readonly fleet: StandInProcess<FleetRequest>;
  private readonly http = new HttpClient(500, 1);
  private readonly nodeAddresses = new Map<string, NodeAddresses>();
  private readonly clientLinkAddresses = new Map<string, string>();

  constructor(
    private readonly plan: SoakPlan,
    private readonly folder: string,
    private readonly log: SoakLog,
    private readonly logLevel: string,
    onTaskEvent: (event: TaskEvent) => void,
  ) {
    mkdirSync(folder, { recursive: true });
    const { report, lease, zones, seed, machines: capacity, longestTask: maxTaskSeconds } = plan;
    const fleet: FleetSetup = {
      heartbeatInterval: report,
      workerLease: lease,
      zones,
      seed,
      capacity,
      maxTaskSeconds,
    };
    this.state = this.startStandIn<StateRequest>('state', STATE_MAIN, { seed }, () => undefined);
    this.fleet = this.startStandIn<FleetRequest>('fleet', FLEET_MAIN, fleet, onTaskEvent);
  }

  private startStandIn<Request>(
    name: string,
    module: string,
    argument: unknown,
    event: (event: TaskEvent) => void,
  ): StandInProcess<Request> {
    return new StandInProcess<Request>(module, argument, {
      onEvent: event,
      onOutput: (text) => {
        this.log.add(name, text.trimEnd());
      },
      onUnexpectedExit: () => {
        this.unexpectedExits.push(name);
      },
    });
  }

  async start(): Promise<void> {
    const cloud = await this.fleet.request({ kind: 'listen' });
    for (const node of this.plan.nodes) await this.createLinks(node, cloud ?? '');
    const workers = await Promise.all(
      this.plan.nodes.map(async (node): Promise<[string, string]> => {
        return [
          node,
          await this.openLink(`workers>${node}`, () => this.addressesOf(node).clientAddress),
        ];
      }),
    );
    await this.fleet.request({ kind: 'nodes', addresses: workers });
    for (const node of this.plan.nodes) await this.createController(node);
    for (const controller of this.controllers.values()) controller.start();
    for (const node of this.plan.nodes) {
      const isReady = async (): Promise<boolean> =>
        (await this.call(node, 'GET', '/ready')).status === 200;
      await until(`${node} is ready`, isReady, START_TIMEOUT_S);
    }
  }

  call(node: string, method: string, path: string, body?: unknown): Promise<Response> {
    return this.http.call(this.clientLinkAddresses.get(node) ?? '', method, path, body, 5);
  }

  controller(node: string): ControllerProcess {
    const controller = this.controllers.get(node);
    if (controller === undefined) throw new Error(`no controller process for node ${node}`);
    return controller;
  }

  linkBetween(from: string, to: string): Link {
    const link = this.links.get(`${from}>${to}`);
    if (link === undefined) throw new Error(`no link from ${from} to ${to}`);
    return link;
  }

  close(): void {
    for (const controller of this.controllers.values()) controller.kill();
    this.state.close();
    this.fleet.close();
    for (const link of this.links.values()) link.close();
  }

  private addressesOf(node: string): NodeAddresses {
    const addresses = this.nodeAddresses.get(node);
    if (addresses === undefined) throw new Error(`no addresses assigned to node ${node}`);
    return addresses;
  }

  private async openLink(name: string, target: () => string): Promise<string> {
    const link = new Link(target);
    this.links.set(name, link);
    return link.listen();
  }

  private async createLinks(node: string, cloud: string): Promise<void> {
    const address = nextAddress();
    this.nodeAddresses.set(node, {
      clientAddress: `${address}:${CLIENT_PORT}`,
      peerAddress: `${address}:${PEER_PORT}`,
    });
    const state = await this.state.request({ kind: 'listen', client: node });
    this.clientLinkAddresses.set(
      node,
      await this.openLink(`users>${node}`, () => this.addressesOf(node).clientAddress),
    );
    this.links.set(`${node}>state`, new Link(() => state ?? ''));
    this.links.set(`${node}>cloud`, new Link(() => cloud));
    for (const peer of this.plan.nodes) {
      if (peer !== node) {
        this.links.set(`${node}>${peer}`, new Link(() => this.addressesOf(peer).peerAddress));
      }
    }
  }

  private async createController(node: string): Promise<void> {
    const { plan } = this;
    const zoneOf = (label: string): string =>
      plan.zones[plan.nodes.indexOf(label) % plan.zones.length] ?? 'a';
    const peers = [];
    for (const label of plan.nodes.filter((other) => other !== node)) {
      const address = await this.linkBetween(node, label).listen();
      peers.push({ label, zone: zoneOf(label), address });
    }
    const text = settingsText({
      ...{ label: node, zone: zoneOf(node), ...this.addressesOf(node), peers, zones: plan.zones },
      cloud: await this.linkBetween(node, 'cloud').listen(),
      state: await this.linkBetween(node, 'state').listen(),
      teams: Object.entries(plan.limits)
        .map(([name, cpus]) => `[[settings.teams]]\nname = "${name}"\ncpus_max = ${cpus}.0`)
        .join('\n'),
      skewMs: MAX_SKEW_MS,
      ...{
        heartbeatInterval: plan.report,
        workerLease: plan.lease,
        cancellationTimeout: plan.cancel,
      },
      ...{ stateRequestRate: 2000, stateWriteRate: 400 },
    });
    const config = join(this.folder, `${node}.toml`);
    writeFileSync(config, text);
    const controller = new ControllerProcess(node, config, plan.skewMs[node] ?? 0, this.logLevel, {
      onLogLine: (label, line) => {
        this.log.add(label, line);
      },
      onUnexpectedExit: (label, reason) => {
        this.unexpectedExits.push(`${label}: ${reason}`);
      },
    });
    this.controllers.set(node, controller);
  }
}

/** Ports of each node. Each node has a loopback address of its own, so no other process can take the ports during a restart. */
const CLIENT_PORT = 8080;
const PEER_PORT = 8081;

/** Number of loopback addresses that this process's soaks have used, each once. Their form is 127.B.C.D, outside 127.0.x.y. */
let usedAddresses = 0;

function nextAddress(): string {
  return processLoopbackAddress(1 + (usedAddresses++ % 250));
}
