/** One cluster that is upgraded while it serves: production at first, this version at the end. */
import { systemClock } from '../../src/base/clock.js';
import { seededRandom } from '../../src/base/random.js';
import { pause, currentBuild, type Build, type BuiltNode } from '../support/cluster.js';
import { FAULTS, FAULTS_WITHOUT_DUPLICATES, NODE_COUNT, restart } from '../trials/faults.js';
import { Trial, type TrialResult } from '../trials/trial.js';
import { loadModule } from './productionBuild.js';

/** Seconds with production alone, between two upgrades, and with this version alone. */
const OLD_S = 3;
const STEP_S = 2.5;
const NEW_S = 8;

/** The limits to come; the state service has them some seconds after the last upgrade. */
const NEXT = { valueBytes: 2048, txnOps: 5 };
const NEXT_LIMITS = 'value_kb = 2.0\ntxn_ops = 5';
const GRACE_S = 2;

export interface MixedResult extends TrialResult {
  /** Changes that the state service called malformed after its limits had fallen. */
  malformedCount: number;
}

/** The gateway of the version in production, by the names that it had there. */
interface ProductionGateway extends Pick<BuiltNode['gateway'], 'handle'> {
  peer: BuiltNode['gateway']['handlePeerMessage'];
}

/** What is used of the version in production: its controllers are started, stopped and asked, no more. */
interface ProductionModules {
  settings: { parseSettings(text: string): unknown; defaultTuning: Record<string, unknown> };
  controller: {
    Controller: new (...parts: unknown[]) => BuiltNode['controller'];
  };
  gateway: { Gateway: new (controller: BuiltNode['controller']) => ProductionGateway };
  http: { HttpClient: new (connections: number, idle: number) => unknown };
  log: { setLogLevel(level: string): void };
}

/** Controllers of an earlier version, from its compiled modules. */
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
    super(seed, { nextStateLimits: NEXT_LIMITS });
    for (const label of this.nodeLabels) this.cluster.builds.set(label, production);
  }

  get malformed(): number {
    return this.cluster.state.malformedCount;
  }

  /** Pipelines come only when every node has the new version. */
  protected override async runScenario(): Promise<void> {
    const mixedFor = OLD_S + STEP_S * NODE_COUNT;
    const faults = this.injectFaults(mixedFor, FAULTS_WITHOUT_DUPLICATES);
    const upgrade = this.upgradeAll();
    await this.submitFor(mixedFor, 0);
    await Promise.all([faults, upgrade]);
    await pause(GRACE_S);
    this.cluster.state.limits = { ...NEXT };
    const later = this.injectFaults(NEW_S, FAULTS);
    await this.submitFor(NEW_S, 0.5);
    await later;
  }

  private async upgradeAll(): Promise<void> {
    await pause(OLD_S);
    for (const label of this.nodeLabels) {
      this.cluster.builds.set(label, currentBuild);
      await restart(this.cluster, label, 0.1 + this.random() * 0.5);
      await pause(STEP_S);
    }
  }
}

export async function runMixedTrial(seed: number, compiled: string): Promise<MixedResult> {
  const trial = new MixedTrial(seed, await loadEarlierBuild(compiled));
  const result = await trial.run();
  return { ...result, malformedCount: trial.malformed };
}
