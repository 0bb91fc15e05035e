/** Carries a rollout out: looks at the controllers, stores the next step under its permit, and acts on it. */
import type { ControllerHealth, DriverPermit, DriverRecord } from './driverRecord.js';
import { commandFor, type RolloutPlan } from './plan.js';
import {
  advance,
  pauseRecord,
  resumeRecord,
  rollbackObstacle,
  startRecord,
  turnBack,
  type CommandResult,
  type Observation,
  type RolloutAction,
} from './rolloutMachine.js';

export interface StoredDriver {
  record: DriverRecord | null;
  revision: number;
}

export type DriverWrite =
  { kind: 'stored'; revision: number } | { kind: 'conflict' } | { kind: 'unknown' };

/** What a driver asks of the controllers; any of them answers for the stored record. */
export interface ControllerApi {
  /** Null: it does not answer. */
  health(label: string): Promise<ControllerHealth | null>;
  /** Null: no controller tells. */
  level(): Promise<number | null>;
  read(): Promise<StoredDriver | null>;
  write(revision: number, record: DriverRecord): Promise<DriverWrite>;
  drain(label: string, token: number): Promise<void>;
  hold(by: string, reason: string): Promise<void>;
  /** Ends the hold of that name. */
  finalize(by: string): Promise<void>;
}

export interface DriverEnvironment {
  api: ControllerApi;
  /** Runs a program to its end; rejects with the reason when it fails. */
  run: (command: string[], token: number) => Promise<void>;
  /** Steady time and time of day in seconds. */
  clock: { now(): number; wall(): number };
  sleep: (seconds: number) => Promise<void>;
  report: (line: string) => void;
}

/** Another driver holds the permit, or the rollout is not what was asked for. */
export class DriverRefusedError extends Error {}

/** Of the permit's time, how long after its last renewal a driver still acts. */
const ACTING_SHARE = 1 / 2;

/** Steps within the time of a permit. */
const STEPS = 10;

export class RolloutDriver {
  private readonly commands = new Map<string, CommandResult>();
  private revision = 0;
  private record: DriverRecord | null = null;
  /** Steady time before the last renewal of the permit was sent. */
  private renewedAt = -Infinity;

  constructor(
    private readonly plan: RolloutPlan,
    private readonly holder: string,
    private readonly environment: DriverEnvironment,
  ) {}

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
    await this.takeOver(await this.existing());
  }

  /** Goes on after a pause. */
  async resume(): Promise<void> {
    await this.takeOver(await this.existing(), (record) => resumeRecord(record, this.wall));
  }

  /** Turns round. */
  async rollBack(): Promise<void> {
    const stored = await this.existing();
    const obstacle = rollbackObstacle(stored.record, this.plan, await this.environment.api.level());
    if (obstacle !== null) throw new DriverRefusedError(`cannot roll back: ${obstacle}`);
    await this.takeOver(stored, (record) =>
      turnBack(record, 'an operator rolled it back', this.wall),
    );
  }

  /** Goes on until the rollout is over or paused; the record as it is then. */
  async run(): Promise<DriverRecord> {
    for (;;) {
      const record = await this.step();
      if (isFinal(record) || record.phase === 'paused') return record;
      await this.environment.sleep(this.plan.permitTtl / STEPS);
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
    this.forgetCommands(stored);
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

  private async existing(): Promise<StoredDriver & { record: DriverRecord }> {
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
    const { record, revision } = await this.untilAbandoned(stored);
    await this.claim(revision, { ...change(record), permit: this.nextPermit(record) });
  }

  /** Waits for as long as a permit lasts; a rollout that is paused is nobody's. */
  private async untilAbandoned(
    stored: StoredDriver & { record: DriverRecord },
  ): Promise<StoredDriver & { record: DriverRecord }> {
    const { clock, sleep } = this.environment;
    const from = clock.now();
    let current = stored;
    while (current.record.phase === 'running' && clock.now() - from < this.plan.permitTtl) {
      await sleep(this.plan.permitTtl / STEPS);
      const again = await this.existing();
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
      commands: this.commands,
      level: await api.level(),
      wall: this.wall,
    };
  }

  /** What came of a command counts once: the same controller may be replaced again, by a rollback. */
  private forgetCommands({ controllers }: DriverRecord): void {
    for (const label of [...this.commands.keys()]) {
      if (controllers[label]?.state !== 'replacing') this.commands.delete(label);
    }
  }

  private async act(action: RolloutAction, token: number): Promise<void> {
    const { api, clock } = this.environment;
    // Since the step was stored this process may have stood still, and another driver have gone on.
    if (clock.now() - this.renewedAt > this.plan.permitTtl * ACTING_SHARE) return;
    if (action.kind === 'drain') await api.drain(action.label, token);
    else if (action.kind === 'replace') this.replace(action.label, token);
    else await api.finalize(this.holdName);
  }

  private replace(label: string, token: number): void {
    if (this.commands.get(label)?.kind === 'running') return;
    const { plan, environment } = this;
    const isForward = this.record?.direction === 'forward';
    const command = isForward ? plan.command : (plan.rollbackCommand ?? []);
    const version = isForward ? plan.version : plan.rollbackVersion;
    this.commands.set(label, { kind: 'running' });
    environment.run(commandFor(command, label, version), token).then(
      () => this.commands.set(label, { kind: 'ended' }),
      (error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        this.commands.set(label, { kind: 'failed', reason });
      },
    );
  }
}

/** Pauses whatever driver is at work: it finds the change with its next step. */
export async function pauseRollout(
  api: Pick<ControllerApi, 'read' | 'write'>,
  reason: string,
  wall: number,
): Promise<DriverRecord> {
  const stored = await api.read();
  const record = stored?.record ?? null;
  if (stored === null || record === null) throw new DriverRefusedError('there is no rollout');
  if (record.phase !== 'running') throw new DriverRefusedError(`the rollout is ${record.phase}`);
  const paused = pauseRecord(record, reason, wall);
  const outcome = await api.write(stored.revision, paused);
  if (outcome.kind !== 'stored')
    throw new DriverRefusedError('the record has changed meanwhile; try again');
  return paused;
}

const isFinal = ({ phase }: DriverRecord): boolean => phase === 'done' || phase === 'rolled-back';

const renewed = (permit: DriverPermit): DriverPermit => ({
  ...permit,
  renewal: permit.renewal + 1,
});
