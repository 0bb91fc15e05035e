/**
 * Asserts at run time what keeps a confirmed cancellation (safety, C2, C3): no start of such a job leaves, and no worker's
 * lease is renewed over one of its tasks without the stop.
 */
import type { Clock } from '../../base/clock.js';
import type { Settings } from '../../protocol/settings.js';
import type { Command } from '../../protocol/workerProtocol.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import { unconditionalStops } from '../model/dueCommands.js';
import type { Machine } from '../model/machine.js';

/** What the monitor needs of a node. */
export interface CancelledTaskMonitorContext {
  readonly settings: Pick<Settings, 'heartbeatInterval'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly leadership: Pick<ShardLeadership, 'leaseExpiresAt'>;
}

/** Watches commands and answers on their way to workers. It notes; it changes nothing. */
export class CancelledTaskMonitor {
  /** `resendIntervals`: a stop without effect is sent again after so many heartbeat intervals. */
  constructor(
    private readonly context: CancelledTaskMonitorContext,
    private readonly resendIntervals: number,
  ) {}

  /** A 200 with these commands renews the lease of the machine's worker. */
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
    for (const { task } of missing) {
      if (this.isStopUnderWay(machine, task, now)) continue;
      shard.reportInvariantViolation('renewal-without-stop', `${task} at ${machine.name}`);
    }
  }

  private isStopUnderWay(machine: Machine, task: string, now: number): boolean {
    const sentAt = machine.placements.get(task)?.attempt.stop?.sentAt ?? null;
    const resendAfter = this.context.settings.heartbeatInterval * this.resendIntervals;
    return sentAt !== null && now - sentAt <= resendAfter;
  }
}

/** Starts among commands that are about to leave must not be of cancelled jobs. */
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
