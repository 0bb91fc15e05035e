/**
 * Audit events of messages to workers, and the invariants checked when one is sent (docs/safety.md). An event shows the
 * message's fencing token next to the highest token of an earlier start and the highest token that the worker has shown.
 */
import type { Clock } from '../../base/clock.js';
import type { Command, Heartbeat } from '../../protocol/workerProtocol.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { CommandOutcome, CommandRoute } from '../audit/commandOutcome.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { CommandBatch } from '../model/commandTokens.js';
import { attemptKey } from '../model/endedAttempt.js';
import type { Machine } from '../model/machine.js';
import { assertNoCancelledStarts } from './cancelledTaskMonitor.js';

/** The parts of a controller that the command audit uses. */
export interface CommandAuditContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly leadership: Pick<ShardLeadership, 'leaseExpiresAt'>;
  readonly audit: AuditTrail;
}

const formatCommands = (commands: readonly Command[]): string =>
  commands.map(({ verb, task, attemptNumber }) => `${verb} ${task}#${attemptNumber}`).join(',');

/** Records messages to workers in the audit trail and checks their invariants. */
export class CommandAudit {
  constructor(private readonly node: CommandAuditContext) {}

  /** Checks and records a message that is about to be sent. */
  noteSent(
    ownedShard: OwnedShard,
    machine: Machine,
    { commands, token, startToken }: CommandBatch,
    route: CommandRoute,
  ): void {
    const { leadership, clock, audit } = this.node;
    assertNoCancelledStarts(ownedShard, machine, commands);
    for (const { verb, task, attemptNumber } of commands) {
      if (verb !== 'acknowledge') continue;
      assertCopiesRefused(ownedShard, machine, attemptKey(task, attemptNumber), token);
      machine.acknowledgedAttempts.noteAcknowledged(task, attemptNumber);
    }
    audit.note({
      event: 'commands-sent',
      shard: ownedShard.shard.label,
      fencingToken: token,
      startToken: Number.isFinite(startToken) ? startToken : null,
      seenToken: machine.highestFencingToken,
      machine: machine.name,
      agentEpoch: machine.agentEpoch,
      route,
      commands: formatCommands(commands),
      leaseLeft: leadership.leaseExpiresAt - clock.now(),
    });
  }

  /** Records the outcome of a message, and the heartbeat in its response; null if there was none. */
  noteOutcome(
    ownedShard: OwnedShard,
    machine: Machine,
    { commands, token }: CommandBatch,
    outcome: CommandOutcome,
    heartbeat: Heartbeat | null,
  ): void {
    this.node.audit.note({
      event: 'commands-outcome',
      shard: ownedShard.shard.label,
      fencingToken: token,
      seenToken: heartbeat?.highestFencingToken ?? null,
      machine: machine.name,
      outcome,
      commands: formatCommands(commands),
    });
  }
}

/**
 * Once it has received the token of this message, the worker must refuse every copy of a start of the attempt that the
 * message acknowledges.
 */
function assertCopiesRefused(
  { shard }: OwnedShard,
  machine: Machine,
  key: string,
  token: number,
): void {
  const startCommands = machine.endedAttempts.get(key)?.startCommands;
  if (startCommands?.mayStillExecute(token) !== true) return;
  shard.reportInvariantViolation(
    'acknowledgement-under-start-token',
    `${key} at ${machine.name}: ${token} after a start under ${startCommands.latestToken}`,
  );
}
