/** Runs the plan's commands that replace controllers, concurrently with the driver's steps. */
import type { DriverEnvironment } from './controllerApi.js';
import type { DriverRecord } from './driverRecord.js';
import type { CommandResult } from './observation.js';
import { expandCommand, type RolloutPlan } from './plan.js';

/** Runs at most one command per controller at a time and keeps its result. */
export class ReplacementCommands {
  private readonly byController = new Map<string, CommandResult>();

  constructor(
    private readonly plan: Pick<
      RolloutPlan,
      'command' | 'version' | 'rollbackCommand' | 'rollbackVersion'
    >,
    private readonly run: DriverEnvironment['run'],
  ) {}

  /** The state of each command by the label of its controller. */
  get results(): ReadonlyMap<string, CommandResult> {
    return this.byController;
  }

  /** Starts the command for a controller unless it is running; `results` shows its outcome. */
  start(label: string, direction: DriverRecord['direction'] | undefined, token: number): void {
    if (this.byController.get(label)?.kind === 'running') return;
    const { plan } = this;
    const isForward = direction === 'forward';
    const command = isForward ? plan.command : (plan.rollbackCommand ?? []);
    const version = isForward ? plan.version : plan.rollbackVersion;
    this.byController.set(label, { kind: 'running' });
    this.run(expandCommand(command, label, version), token).then(
      () => this.byController.set(label, { kind: 'ended' }),
      (error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        this.byController.set(label, { kind: 'failed', reason });
      },
    );
  }

  /** Discards results that were used, because a rollback may replace the same controller again. */
  forgetFinished({ controllers }: DriverRecord): void {
    for (const label of [...this.byController.keys()]) {
      if (controllers[label]?.state !== 'replacing') this.byController.delete(label);
    }
  }

  /** Discards all results when a driver takes the permit. */
  clear(): void {
    this.byController.clear();
  }
}
