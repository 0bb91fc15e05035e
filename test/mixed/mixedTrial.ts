/** Trial of a cluster that is upgraded node by node under load, from the version in production to the current one. */
import { systemClock } from '../../src/base/clock.js';
import { seededRandom } from '../../src/base/random.js';
import { pause, currentBuild, type Build, type BuiltNode } from '../support/cluster.js';
import { FAULTS, FAULTS_WITHOUT_DUPLICATES, NODE_COUNT, restart } from '../trials/faults.js';
import { Trial, type TrialResult } from '../trials/trial.js';
import { loadModule } from './productionBuild.js';

/** Seconds with the production version alone, between two upgrades, and with the current version alone. */
const PRODUCTION_ONLY_S = 3;
const UPGRADE_INTERVAL_S = 2.5;
const UPGRADED_S = 8;

/** The announced lower limits of the state service, and the delay after the last upgrade at which they apply, in seconds. */
const LOWERED_LIMITS = { valueBytes: 2048, txnOps: 5 };
const NEXT_LIMITS_SETTINGS = 'value_kb = 2.0\ntxn_ops = 5';
const LIMITS_DELAY_S = 2;

export interface MixedResult extends TrialResult {
  /** Number of changes that the state service rejected as malformed, which it does after its limits have been lowered. */
  malformedCount: number;
}

/** The gateway of the version in production, with that version's member names. */
interface ProductionGateway extends Pick<BuiltNode['gateway'], 'handle'> {
  peer: BuiltNode['gateway']['handlePeerMessage'];
}

/** The exports of the version in production that trials use: its controllers are only started, stopped and called. */
interface ProductionModules {
  settings: { parseSettings(text: string): unknown; defaultTuning: Record<string, unknown> };
  controller: {
    Controller: new (...parts: unknown[]) => BuiltNode['controller'];
  };
  gateway: { Gateway: new (controller: BuiltNode['controller']) => ProductionGateway };
  http: { HttpClient: new (connections: number, idle: number) => unknown };
  log: { setLogLevel(level: string): void };
}

/** Makes a build that starts controllers of an earlier version from its compiled modules. */
export async function loadEarlierBuild(compiled: string): Promise<Build> {
  const modules: ProductionModules = {
    settings: await loadModule(compiled, 'protocol/settings.js'),
    controller: await loadModule(compiled, 'coordination/controller.js'),
    gateway: await loadModule(compiled, 'coordination/gateway.js'),
    http: await loadModule(compiled, 'transport/httpClient.js'),
    log: await loadModule(compiled, 'base/log.js'),
  };
  modules.log.setLogLevel('error');
  return (text, run) => {
    const { parseSettings, defaultTuning } = modules.settings;
    const { HttpClient } = modules.http;
    const links = { services: new HttpClient(50, 1), machines: new HttpClient(50, 1) };
    const tuning = { ...defaultTuning, peerTimeout: 0.3 };
    const random = seededRandom(7);
    const settings = parseSettings(text);
    const controller = new modules.controller.Controller(
      ...[settings, tuning, systemClock, random, links, run],
    );
    const gateway = new modules.gateway.Gateway(controller);
    return {
      controller,
      gateway: {
        handle: (request, isFollowUp) => gateway.handle(request, isFollowUp),
        handlePeerMessage: (body) => gateway.peer(body),
      },
    };
  };
}

class MixedTrial extends Trial {
  constructor(seed: number, production: Build) {
    super(seed, { nextStateLimits: NEXT_LIMITS_SETTINGS });
    for (const label of this.nodeLabels) this.cluster.builds.set(label, production);
  }

  get malformed(): number {
    return this.cluster.state.malformedCount;
  }

  /** Pipelines are submitted only after every node has been upgraded. */
  protected override async runScenario(): Promise<void> {
    const mixedFor = PRODUCTION_ONLY_S + UPGRADE_INTERVAL_S * NODE_COUNT;
    const faults = this.injectFaults(mixedFor, FAULTS_WITHOUT_DUPLICATES);
    const upgrade = this.upgradeAll();
    await this.submitFor(mixedFor, 0);
    await Promise.all([faults, upgrade]);
    await pause(LIMITS_DELAY_S);
    this.cluster.state.limits = { ...LOWERED_LIMITS };
    const later = this.injectFaults(UPGRADED_S, FAULTS);
    await this.submitFor(UPGRADED_S, 0.5);
    await later;
  }

  private async upgradeAll(): Promise<void> {
    await pause(PRODUCTION_ONLY_S);
    for (const label of this.nodeLabels) {
      this.cluster.builds.set(label, currentBuild);
      await restart(this.cluster, label, 0.1 + this.random() * 0.5);
      await pause(UPGRADE_INTERVAL_S);
    }
  }
}

export async function runMixedTrial(seed: number, compiled: string): Promise<MixedResult> {
  const trial = new MixedTrial(seed, await loadEarlierBuild(compiled));
  const result = await trial.run();
  return { ...result, malformedCount: trial.malformed };
}
