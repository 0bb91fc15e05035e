/** Carries a rollout out: looks at the controllers, stores the next step under its permit, and acts on it. */
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

/** Share of the permit's time for which a driver still acts after its last renewal. */
const ACTING_SHARE = 1 / 2;

/** Steps within the time of a permit. */
const STEPS_PER_PERMIT = 10;

/** One driver of one plan; others of the same plan may follow it, or run beside it. */
export class RolloutDriver {
  private readonly commands: ReplacementCommands;
  private revision = 0;
  private record: DriverRecord | null = null;
  /** Steady time before the last renewal of the permit was sent. */
  private renewedAt = -Infinity;

  constructor(
    private readonly plan: RolloutPlan,
    private readonly holder: string,
    private readonly environment: DriverEnvironment,
  ) {
    this.commands = new ReplacementCommands(plan, environment.run);
  }

  /** Begins the plan's rollout, or goes on with it where another driver has died. */
  async start(): Promise<void> {
    const stored = await this.readStored();
    const isOver = stored.record !== null && isFinal(stored.record);
    if (stored.record === null || isOver) {
      const permit = this.nextPermit(stored.record);
      const level = (await this.environment.api.level()) ?? 0;
      await this.holdLevel();
      await this.claim(stored.revision, startRecord(this.plan, permit, level, this.wall));
      return;
    }
    await this.takeOver(await this.readExisting());
  }

  /** Goes on after a pause. */
  async resume(): Promise<void> {
    await this.takeOver(await this.readExisting(), (record) => resumeRecord(record, this.wall));
  }

  /** Puts back what was replaced. */
  async rollBack(): Promise<void> {
    const stored = await this.readExisting();
    const obstacle = rollbackObstacle(stored.record, this.plan, await this.environment.api.level());
    if (obstacle !== null) throw new DriverRefusedError(`cannot roll back: ${obstacle}`);
    await this.takeOver(stored, (record) =>
      startRollback(record, 'an operator rolled it back', this.wall),
    );
  }

  /** Goes on until the rollout is over or paused; the record as it is then. */
  async run(): Promise<DriverRecord> {
    for (;;) {
      const record = await this.step();
      if (isFinal(record) || record.phase === 'paused') return record;
      await this.environment.sleep(this.plan.permitTtl / STEPS_PER_PERMIT);
    }
  }

  /** One step: look, store, act. */
  async step(): Promise<DriverRecord> {
    const before = this.record;
    if (before === null) throw new DriverRefusedError('the rollout was not begun');
    const seen = await this.observe();
    const { record, actions } = advance(before, this.plan, seen);
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

  private get wall(): number {
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

  /** Takes a permit that nobody renews any more, by this driver's own steady clock. */
  private async takeOver(
    stored: StoredDriver & { record: DriverRecord },
    change: (record: DriverRecord) => DriverRecord = (record) => record,
  ): Promise<void> {
    const { record, revision } = await this.waitUntilAbandoned(stored);
    await this.claim(revision, { ...change(record), permit: this.nextPermit(record) });
  }

  /** Waits for as long as a permit lasts; a rollout that is paused is nobody's. */
  private async waitUntilAbandoned(
    stored: StoredDriver & { record: DriverRecord },
  ): Promise<StoredDriver & { record: DriverRecord }> {
    const { clock, sleep } = this.environment;
    const from = clock.now();
    let current = stored;
    while (current.record.phase === 'running' && clock.now() - from < this.plan.permitTtl) {
      await sleep(this.plan.permitTtl / STEPS_PER_PERMIT);
      const again = await this.readExisting();
      const { holder, renewal, token } = again.record.permit;
      const before = current.record.permit;
      if (token !== before.token || renewal !== before.renewal) {
        throw new DriverRefusedError(`another driver is at work: ${holder}`);
      }
      current = again;
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

  /** Null: it is not stored, or nobody knows. */
  private async store(record: DriverRecord): Promise<DriverRecord | null> {
    const sent = this.environment.clock.now();
    const outcome = await this.environment.api.write(this.revision, record);
    if (outcome.kind !== 'stored') return null;
    this.revision = outcome.revision;
    this.record = record;
    this.renewedAt = sent;
    return record;
  }

  /** After a conflict or silence: an operator may have changed the record, or another driver taken the permit. */
  private async reread(): Promise<DriverRecord> {
    const stored = await this.environment.api.read();
    const mine = this.record?.permit;
    if (stored?.record === undefined || stored.record === null) {
      if (this.record === null) throw new DriverRefusedError('the rollout is gone');
      return this.record;
    }
    const { permit } = stored.record;
    if (mine !== undefined && (permit.holder !== this.holder || permit.token !== mine.token)) {
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
      wall: this.wall,
    };
  }

  private async act(action: RolloutAction, token: number): Promise<void> {
    const { api, clock } = this.environment;
    // Since the step was stored this process may have stood still, and another driver have gone on.
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
