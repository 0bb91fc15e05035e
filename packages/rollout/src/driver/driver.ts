/** Executes a rollout: observes the controllers, stores the next step under its permit and then acts on it. */
import { DriverRefusedError, type DriverEnvironment, type StoredDriver } from './controllerApi.js';
import type { DriverPermit, DriverRecord } from './driverRecord.js';
import type { Observation } from './observation.js';
import type { RolloutPlan } from './plan.js';
import { ReplacementCommands } from './replacementCommands.js';
import { advance, type RolloutAction } from './rolloutMachine.js';
import {
  resumeRecord,
  rollbackObstacle,
  startRecord,
  startRollback,
} from './rolloutTransitions.js';

/** Share of the permit's TTL after its last renewal during which a driver may act. */
const ACTING_SHARE = 1 / 2;

/** Number of steps per TTL of a permit. */
const STEPS_PER_PERMIT = 10;

/** A driver of a plan. Other drivers of the same plan may succeed it or run concurrently; the permit decides which acts. */
export class RolloutDriver {
  private readonly commands: ReplacementCommands;
  private revision = 0;
  private record: DriverRecord | null = null;
  /** Monotonic time taken before the last successful renewal of the permit was sent. */
  private renewedAt = -Infinity;

  constructor(
    private readonly plan: RolloutPlan,
    private readonly holder: string,
    private readonly environment: DriverEnvironment,
  ) {
    this.commands = new ReplacementCommands(plan, environment.run);
  }

  /** Starts the rollout of the plan, or continues it after another driver has died. */
  async start(): Promise<void> {
    const stored = await this.readStored();
    const isFinished = stored.record !== null && isFinal(stored.record);
    if (stored.record === null || isFinished) {
      const permit = this.nextPermit(stored.record);
      const level = (await this.environment.api.level()) ?? 0;
      await this.holdLevel();
      await this.claim(stored.revision, startRecord(this.plan, permit, level, this.wallTime));
      return;
    }
    await this.takeOver(await this.readExisting());
  }

  /** Continues a paused rollout. */
  async resume(): Promise<void> {
    await this.takeOver(await this.readExisting(), (record) => resumeRecord(record, this.wallTime));
  }

  /** Rolls the replaced controllers back to their previous version. */
  async rollBack(): Promise<void> {
    const stored = await this.readExisting();
    const obstacle = rollbackObstacle(stored.record, this.plan, await this.environment.api.level());
    if (obstacle !== null) throw new DriverRefusedError(`cannot roll back: ${obstacle}`);
    await this.takeOver(stored, (record) =>
      startRollback(record, 'an operator rolled it back', this.wallTime),
    );
  }

  /** Executes steps until the rollout is finished or paused, and returns the final record. */
  async run(): Promise<DriverRecord> {
    for (;;) {
      const record = await this.step();
      if (isFinal(record) || record.phase === 'paused') return record;
      await this.environment.sleep(this.plan.permitTtl / STEPS_PER_PERMIT);
    }
  }

  /** Executes one step: observe, store, act. */
  async step(): Promise<DriverRecord> {
    const before = this.record;
    if (before === null) throw new DriverRefusedError('the rollout was not begun');
    const observation = await this.observe();
    const { record, actions } = advance(before, this.plan, observation);
    const stored = await this.store({ ...record, permit: renewed(before.permit) });
    if (stored === null) return this.reread();
    this.commands.forgetFinished(stored);
    if (stored.cause.text !== before.cause.text) this.environment.report(stored.cause.text);
    for (const action of actions) await this.act(action, stored.permit.token);
    return stored;
  }

  private get holdName(): string {
    return `rollout ${this.plan.name}`;
  }

  private get wallTime(): number {
    return this.environment.clock.wall();
  }

  private async readStored(): Promise<StoredDriver> {
    const stored = await this.environment.api.read();
    if (stored === null)
      throw new DriverRefusedError('no controller tells of rollouts; are they switched on?');
    return stored;
  }

  private async readExisting(): Promise<StoredDriver & { record: DriverRecord }> {
    const { record, revision } = await this.readStored();
    if (record === null) throw new DriverRefusedError('there is no rollout');
    this.checkPlan(record);
    return { record, revision };
  }

  private checkPlan(record: DriverRecord): void {
    if (record.plan === this.plan.digest) return;
    throw new DriverRefusedError(`the rollout ${record.name} is ${record.phase} with another plan`);
  }

  private nextPermit(record: DriverRecord | null): DriverPermit {
    return { holder: this.holder, token: (record?.permit.token ?? 0) + 1, renewal: 0 };
  }

  private async holdLevel(): Promise<void> {
    await this.environment.api.hold(this.holdName, 'controllers are being replaced');
  }

  /** Takes over the permit after it was not renewed for its TTL, measured by this driver's monotonic clock. */
  private async takeOver(
    stored: StoredDriver & { record: DriverRecord },
    change: (record: DriverRecord) => DriverRecord = (record) => record,
  ): Promise<void> {
    const { record, revision } = await this.waitUntilPermitExpires(stored);
    await this.claim(revision, { ...change(record), permit: this.nextPermit(record) });
  }

  /** Waits for the TTL of the permit and throws if it is renewed meanwhile; a paused rollout has no active driver. */
  private async waitUntilPermitExpires(
    stored: StoredDriver & { record: DriverRecord },
  ): Promise<StoredDriver & { record: DriverRecord }> {
    const { clock, sleep } = this.environment;
    const startedAt = clock.now();
    let current = stored;
    while (current.record.phase === 'running' && clock.now() - startedAt < this.plan.permitTtl) {
      await sleep(this.plan.permitTtl / STEPS_PER_PERMIT);
      const latest = await this.readExisting();
      const { holder, renewal, token } = latest.record.permit;
      const previous = current.record.permit;
      if (token !== previous.token || renewal !== previous.renewal) {
        throw new DriverRefusedError(`another driver is at work: ${holder}`);
      }
      current = latest;
    }
    return current;
  }

  private async claim(revision: number, record: DriverRecord): Promise<void> {
    this.revision = revision;
    this.commands.clear();
    const stored = await this.store(record);
    if (stored === null) {
      const { record: found } = await this.readStored();
      if (found?.permit.holder !== this.holder || found.permit.token !== record.permit.token) {
        throw new DriverRefusedError('another driver was faster');
      }
      await this.reread();
    }
  }

  /** Stores the record; null if it was not stored or the outcome is unknown. */
  private async store(record: DriverRecord): Promise<DriverRecord | null> {
    const sentAt = this.environment.clock.now();
    const outcome = await this.environment.api.write(this.revision, record);
    if (outcome.kind !== 'stored') return null;
    this.revision = outcome.revision;
    this.record = record;
    this.renewedAt = sentAt;
    return record;
  }

  /** Reads the record again after a conflict or a missing response; throws if another driver has taken the permit. */
  private async reread(): Promise<DriverRecord> {
    const stored = await this.environment.api.read();
    const ownPermit = this.record?.permit;
    if (stored?.record === undefined || stored.record === null) {
      if (this.record === null) throw new DriverRefusedError('the rollout is gone');
      return this.record;
    }
    const { permit } = stored.record;
    if (
      ownPermit !== undefined &&
      (permit.holder !== this.holder || permit.token !== ownPermit.token)
    ) {
      throw new DriverRefusedError(`the permit went to ${permit.holder}`);
    }
    this.revision = stored.revision;
    this.record = stored.record;
    return stored.record;
  }

  private async observe(): Promise<Observation> {
    const { api } = this.environment;
    const labels = Object.keys(this.plan.addresses);
    const healths = await Promise.all(labels.map((label) => api.health(label)));
    return {
      controllers: new Map(labels.map((label, i) => [label, healths[i] ?? null])),
      commands: this.commands.results,
      level: await api.level(),
      wallTime: this.wallTime,
    };
  }

  private async act(action: RolloutAction, token: number): Promise<void> {
    const { api, clock } = this.environment;
    // The process may have been paused since the step was stored, and another driver may have taken over.
    if (clock.now() - this.renewedAt > this.plan.permitTtl * ACTING_SHARE) return;
    if (action.kind === 'drain') await api.drain(action.label, token);
    else if (action.kind === 'replace')
      this.commands.start(action.label, this.record?.direction, token);
    else await api.finalize(this.holdName);
  }
}

const isFinal = ({ phase }: DriverRecord): boolean => phase === 'done' || phase === 'rolled-back';

const renewed = (permit: DriverPermit): DriverPermit => ({
  ...permit,
  renewal: permit.renewal + 1,
});
