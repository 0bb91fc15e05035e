/**
 * The audit trail of commands: under which fencing token each message leaves and how that stands to the starts that left before
 * and to what the worker has shown; and what must hold of a message as it leaves (docs/safety.md).
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

/** What is needed of a node. */
export interface CommandAuditContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly leadership: Pick<ShardLeadership, 'leaseExpiresAt'>;
  readonly audit: AuditTrail;
}

const formatCommands = (commands: readonly Command[]): string =>
  commands.map(({ verb, task, attemptNumber }) => `${verb} ${task}#${attemptNumber}`).join(',');

/** Notes messages to workers, and asserts what must hold of them. */
export class CommandAudit {
  constructor(private readonly node: CommandAuditContext) {}

  /** A message is about to leave. */
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

  /** What became of a message, and the report that came back with it. */
  noteOutcome(
    ownedShard: OwnedShard,
    machine: Machine,
    { commands, token }: CommandBatch,
    outcome: CommandOutcome,
    report: Heartbeat | null,
  ): void {
    this.node.audit.note({
      event: 'commands-outcome',
      shard: ownedShard.shard.label,
      fencingToken: token,
      seenToken: report?.highestFencingToken ?? null,
      machine: machine.name,
      outcome,
      commands: formatCommands(commands),
    });
  }
}

/** The worker must be past every command with the start of what it is told to forget, by the token of this message at the latest. */
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
