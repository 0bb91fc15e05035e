/**
 * Runtime checks for confirmed cancellations (safety, C2, C3): no start of a cancelled job is sent, and no worker's lease
 * is renewed for one of its tasks without a stop command.
 */
import type { Clock } from '../../base/clock.js';
import type { Settings } from '../../protocol/settings.js';
import type { Command } from '../../protocol/workerProtocol.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import { isMessageFull } from '../model/commandSelection.js';
import { unconditionalStops } from '../model/dueCommands.js';
import type { Machine } from '../model/machine.js';

/** The parts of a controller that the monitor uses. */
export interface CancelledTaskMonitorContext {
  readonly settings: Pick<Settings, 'heartbeatInterval'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly leadership: Pick<ShardLeadership, 'leaseExpiresAt'>;
}

/**
 * Checks the commands and heartbeat answers sent to workers. It records events and violations and never changes what is
 * sent.
 */
export class CancelledTaskMonitor {
  /** `resendIntervals`: heartbeat intervals after which a stop without effect is sent again. */
  constructor(
    private readonly context: CancelledTaskMonitorContext,
    private readonly resendIntervals: number,
  ) {}

  /** Checks an answer (a 200 with these commands) that renews the lease of the machine's worker. */
  noteRenewal(ownedShard: OwnedShard, machine: Machine, commands: readonly Command[]): void {
    const cancelled = unconditionalStops(machine);
    if (cancelled.length === 0) return;
    const { shard, fencingToken } = ownedShard;
    const now = this.context.clock.now();
    const isInAnswer = ({ task, attemptNumber }: Command): boolean =>
      commands.some(
        (command) =>
          command.verb === 'stop' &&
          command.task === task &&
          command.attemptNumber === attemptNumber,
      );
    const missing = cancelled.filter((stop) => !isInAnswer(stop));
    shard.audit.note({
      event: 'cancelled-task-renewed',
      shard: shard.label,
      fencingToken,
      machine: machine.name,
      tasks: cancelled.length,
      stops: cancelled.length - missing.length,
      leaseLeft: this.context.leadership.leaseExpiresAt - now,
    });
    for (const stop of missing) {
      const { task } = stop;
      if (this.wasStopSentRecently(machine, task, now)) continue;
      // The other stops leave with the next message, which follows as soon as this one shows an effect.
      if (carriesOnlyStops(commands) && isMessageFull(commands, stop)) return;
      shard.reportInvariantViolation('renewal-without-stop', `${task} at ${machine.name}`);
    }
  }

  private wasStopSentRecently(machine: Machine, task: string, now: number): boolean {
    const sentAt = machine.placements.get(task)?.attempt.stop?.sentAt ?? null;
    const resendAfter = this.context.settings.heartbeatInterval * this.resendIntervals;
    return sentAt !== null && now - sentAt <= resendAfter;
  }
}

const carriesOnlyStops = (commands: readonly Command[]): boolean =>
  commands.every(({ verb }) => verb === 'stop');

/** Reports an invariant violation for each start of a cancelled job's task among commands that are about to be sent. */
export function assertNoCancelledStarts(
  { shard }: OwnedShard,
  machine: Machine,
  commands: readonly Command[],
): void {
  for (const { verb, task } of commands) {
    if (verb !== 'start') continue;
    if (machine.placements.get(task)?.chunk.isCancelRequested !== true) continue;
    shard.reportInvariantViolation('start-of-cancelled-job', `${task} at ${machine.name}`);
  }
}
