/** The commands of the plan that replace controllers, as they run beside a driver's steps. */
import type { DriverEnvironment } from './controllerApi.js';
import type { DriverRecord } from './driverRecord.js';
import type { CommandResult } from './observation.js';
import { expandCommand, type RolloutPlan } from './plan.js';

/** Runs at most one command for each controller at a time, and keeps what came of it. */
export class ReplacementCommands {
  private readonly byController = new Map<string, CommandResult>();

  constructor(
    private readonly plan: Pick<
      RolloutPlan,
      'command' | 'version' | 'rollbackCommand' | 'rollbackVersion'
    >,
    private readonly run: DriverEnvironment['run'],
  ) {}

  /** What came of the commands, by the labels of their controllers. */
  get results(): ReadonlyMap<string, CommandResult> {
    return this.byController;
  }

  /** Starts the command for a controller, unless it is running; its end shows in `results`. */
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

  /** A result counts once: the same controller may be replaced again, by a rollback. */
  forgetFinished({ controllers }: DriverRecord): void {
    for (const label of [...this.byController.keys()]) {
      if (controllers[label]?.state !== 'replacing') this.byController.delete(label);
    }
  }

  /** Forgets all results, as at the beginning of a driver's work. */
  clear(): void {
    this.byController.clear();
  }
}
