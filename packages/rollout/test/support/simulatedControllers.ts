/** Simulated controllers for rollout driver tests: they drain, stop, start after a delay and may fail to become healthy. */
import type {
  ControllerApi,
  DriverWriteOutcome,
  StoredDriver,
} from '../../src/driver/controllerApi.js';
import type { ControllerHealth, DriverRecord } from '../../src/driver/driverRecord.js';
import { parsePlan, type RolloutPlan } from '../../src/driver/plan.js';

interface Controller {
  version: string;
  starts: number;
  /** Time at which it is up; null if it stays down. */
  upAt: number | null;
  isDraining: boolean;
  drainedAt: number;
  lostReplicas: number;
}

const DRAIN_S = 3;
const START_S = 4;
const REPLICAS = 10;

export class SimulatedControllers implements ControllerApi {
  now = 0;
  level: () => Promise<number | null> = () => Promise.resolve(this.clusterLevel);
  clusterLevel = 2;
  held: string[] = [];
  readonly controllers = new Map<string, Controller>();
  private stored: StoredDriver = { record: null, revision: 0 };
  /** Versions that never become ready. */
  readonly broken = new Set<string>();
  commandFails = false;
  /** Number of replicas that a version fails to restart. */
  readonly replicaLoss = new Map<string, number>();
  readonly replaced: string[] = [];
  /** Maximum number of controllers that were unavailable at the same time. */
  maxUnavailable = 0;
  /** Number of next writes whose responses are lost. */
  lostResponses = 0;

  constructor(labels: string[], version = '1.0') {
    for (const label of labels) {
      this.controllers.set(label, {
        ...{ version, starts: 1, upAt: 0, isDraining: false, drainedAt: 0, lostReplicas: 0 },
      });
    }
  }

  private controller(label: string): Controller {
    const controller = this.controllers.get(label);
    if (controller === undefined) throw new Error(`no controller ${label}`);
    return controller;
  }

  private isUp({ upAt }: Controller): boolean {
    return upAt !== null && this.now >= upAt;
  }

  private isReady(controller: Controller): boolean {
    return this.isUp(controller) && !controller.isDraining && !this.broken.has(controller.version);
  }

  /** Advances the time and updates `maxUnavailable`. */
  advance(seconds: number): void {
    this.now += seconds;
    const unavailable = [...this.controllers.values()].filter(
      (controller) => !this.isReady(controller),
    );
    this.maxUnavailable = Math.max(this.maxUnavailable, unavailable.length);
  }

  crash(label: string, downFor: number | null): void {
    const controller = this.controller(label);
    controller.upAt = downFor === null ? null : this.now + downFor;
    controller.starts++;
    controller.isDraining = false;
  }

  health(label: string): Promise<ControllerHealth | null> {
    const controller = this.controller(label);
    if (!this.isUp(controller)) return Promise.resolve(null);
    const isDrained = controller.isDraining && this.now >= controller.drainedAt;
    return Promise.resolve({
      ...{ label, process: `${label}-${controller.starts}`, version: controller.version },
      isReady: this.isReady(controller),
      ...{ isDraining: controller.isDraining, isDrained, parts: isDrained ? [] : [label] },
      liveReplicas: REPLICAS - controller.lostReplicas,
      ...{ waitingTasks: 0, refusedRequests: 0 },
    });
  }

  read(): Promise<StoredDriver | null> {
    return Promise.resolve(structuredClone(this.stored));
  }

  get record(): DriverRecord | null {
    return this.stored.record;
  }

  write(revision: number, record: DriverRecord): Promise<DriverWriteOutcome> {
    if (revision !== this.stored.revision) return Promise.resolve({ kind: 'conflict' });
    this.stored = { record: structuredClone(record), revision: revision + 1 };
    if (this.lostResponses > 0) {
      this.lostResponses--;
      return Promise.resolve({ kind: 'unknown' });
    }
    return Promise.resolve({ kind: 'stored', revision: revision + 1 });
  }

  /** Accepts a drain only from the driver with the current permit, like a controller that checks its cached record. */
  drain(label: string, token: number): Promise<void> {
    const controller = this.controller(label);
    const { record } = this.stored;
    const isCurrentStep =
      record?.permit.token === token && record.controllers[label]?.state === 'draining';
    if (isCurrentStep && !controller.isDraining) {
      controller.isDraining = true;
      controller.drainedAt = this.now + DRAIN_S;
    }
    return Promise.resolve();
  }

  hold(by: string): Promise<void> {
    this.held = [by];
    return Promise.resolve();
  }

  finalize(by: string): Promise<void> {
    this.held = this.held.filter((holder) => holder !== by);
    return Promise.resolve();
  }

  /** Executes the command of a plan: `replace LABEL VERSION`. */
  run(command: string[]): Promise<void> {
    const [, label = '', version = ''] = command;
    if (this.commandFails) return Promise.reject(new Error('no such host'));
    const controller = this.controller(label);
    this.replaced.push(`${label} ${version}`);
    controller.version = version;
    controller.starts++;
    controller.upAt = this.now + START_S;
    controller.isDraining = false;
    controller.lostReplicas = this.replicaLoss.get(version) ?? 0;
    return Promise.resolve();
  }
}

export const planText = (labels: string[], changes: Record<string, string> = {}): string => {
  const settings: Record<string, string> = {
    rollout: 'to-2.0',
    order: labels.join(', '),
    ...Object.fromEntries(labels.map((label, i) => [`address.${label}`, `10.0.0.${i + 1}:8080`])),
    version: '2.0',
    command: 'replace {controller} {version}',
    'rollback.version': '1.0',
    'rollback.command': 'replace {controller} {version}',
    'drain.timeout': '20',
    'start.timeout': '30',
    soak: '6',
    'permit.ttl': '10',
    ...changes,
  };
  return Object.entries(settings)
    .map(([key, value]) => `${key} = ${value}\n`)
    .join('');
};

export const planFor = (labels: string[], changes: Record<string, string> = {}): RolloutPlan =>
  parsePlan(planText(labels, changes));
