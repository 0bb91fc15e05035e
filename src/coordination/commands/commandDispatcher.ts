/** Sends due commands to machines and records their outcomes. */
import {
  dueCommands,
  hasDueCommand,
  RESEND_INTERVALS,
  unconditionalStops,
} from '../model/dueCommands.js';
import { selectForMessage } from '../model/commandSelection.js';
import type { CommandBatch } from '../model/commandTokens.js';
import type { StartCommands } from '../model/startCommands.js';
import { describeError, log } from '../../base/log.js';
import {
  commandsRequest,
  parseHeartbeat,
  paths as workerPaths,
  type Command,
  type Heartbeat,
} from '../../protocol/workerProtocol.js';
import { TurnQueue } from '../../transport/turnQueue.js';
import { HttpCallError } from '../../transport/httpClient.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { CommandOutcome } from '../audit/commandOutcome.js';
import type { Authority } from '../leadership/authority.js';
import type { Chunk } from '../model/chunk.js';
import { CommandAudit } from './commandAudit.js';
import { advanceFencingToken, type OwnedShard } from '../leadership/ownedShard.js';
import { MachineProber, type MachineProberContext } from './machineProber.js';
import type { Machine } from '../model/machine.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';

/**
 * Messages sent in one turn of the event loop. A scheduling round may have commands for hundreds of machines; sent all at
 * once they would delay the handling of heartbeats.
 */
const COMMANDS_PER_TURN = 4;

/** The parts of a controller that the command dispatcher uses. */
export interface CommandDispatcherContext extends MachineProberContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'advanceFencingToken' | 'leaseExpiresAt'>;
  authority: Pick<Authority, 'mayAct' | 'mayStopCancelledTasks'>;
  audit: AuditTrail;
}

/** A 200 means executed, a 409 certainly not executed; any other status leaves it open. */
function outcomeOf(status: number): CommandOutcome {
  if (status === 200) return 'executed';
  return status === 409 ? 'refused' : 'unanswered';
}

/** The sent start commands of the attempts that these commands start. */
function startCommandsOf(machine: Machine, commands: readonly Command[]): StartCommands[] {
  return commands.flatMap(({ verb, task }) => {
    const placement = verb === 'start' ? machine.placements.get(task) : undefined;
    return placement === undefined ? [] : [placement.attempt.startCommands];
  });
}

/** Sends commands to machines, and raises a machine's fencing token where the end of an attempt depends on it. */
export class CommandDispatcher {
  /** Records all messages to workers, whichever route they take. */
  readonly audit: CommandAudit;

  constructor(
    private readonly node: CommandDispatcherContext,
    private readonly turnQueue = new TurnQueue({ urgent: COMMANDS_PER_TURN, ordinary: 0 }),
    readonly prober = new MachineProber(node),
  ) {
    this.audit = new CommandAudit(node);
  }

  /** Queues and sends the starts of chunks that have just been stored. */
  queueStarts(ownedShard: OwnedShard, chunks: Chunk[]): void {
    for (const chunk of chunks) {
      for (const attempt of chunk.attempts.values()) {
        if (attempt.wasReported) continue;
        const machine = ownedShard.shard.machines.get(attempt.machine);
        if (machine !== undefined) ownedShard.shard.machinesWithDueCommands.add(machine);
      }
    }
    this.send();
    this.node.requestSchedulingRound();
  }

  /** Sends the commands that are due, a few in each turn of the event loop. */
  send(): void {
    for (const ownedShard of this.node.ownedShards.values()) {
      for (const machine of ownedShard.shard.machinesWithDueCommands) {
        if (machine.hasCommandInFlight || machine.address === '' || machine.isReassigned) continue;
        ownedShard.shard.machinesWithDueCommands.delete(machine);
        // Probes continue until the machine responds to one; until then commands would only occupy sockets.
        if (machine.isUnresponsive || !this.isDue(ownedShard, machine)) continue;
        this.turnQueue.add(() => {
          void this.sendDueCommands(ownedShard, machine);
        }, true);
      }
    }
  }

  /** Without a valid lease only stops that can't be wrong may be sent. */
  private isDue(ownedShard: OwnedShard, machine: Machine): boolean {
    if (!this.node.authority.mayStopCancelledTasks(ownedShard)) return false;
    if (!this.node.authority.mayAct(ownedShard)) return unconditionalStops(machine).length > 0;
    return hasDueCommand(machine, this.node.clock.now(), this.resendAfter);
  }

  /** Seconds after which a stop without effect is sent again. */
  private get resendAfter(): number {
    return this.node.settings.heartbeatInterval * RESEND_INTERVALS;
  }

  private async sendDueCommands(ownedShard: OwnedShard, machine: Machine): Promise<void> {
    if (machine.hasCommandInFlight) {
      ownedShard.shard.machinesWithDueCommands.add(machine);
      return;
    }
    if (!this.isDue(ownedShard, machine)) return;
    const message = this.prepareDueCommands(ownedShard, machine);
    const starts = startCommandsOf(machine, message.commands);
    // From here on a start may be executed, possibly late or a second time.
    for (const start of starts) start.noteSent(message.token);
    this.audit.noteSent(ownedShard, machine, message, 'command');
    machine.hasCommandInFlight = true;
    const { outcome, heartbeat } = await this.exchange(ownedShard, machine, message);
    machine.hasCommandInFlight = false;
    for (const start of starts) start.noteOutcome(message.token, outcome);
    this.audit.noteOutcome(ownedShard, machine, message, outcome, heartbeat);
    if (heartbeat !== null && ownedShard.isOwned) {
      const now = this.node.clock.now();
      const effect = ownedShard.shard.heartbeats.apply(machine, heartbeat, now, 'response');
      if (effect === 'changed') this.node.requestSchedulingRound();
    }
    if (this.isDue(ownedShard, machine)) this.scheduleResend(ownedShard, machine);
  }

  private prepareDueCommands(ownedShard: OwnedShard, machine: Machine): CommandBatch {
    const now = this.node.clock.now();
    const commands: Command[] = this.node.authority.mayAct(ownedShard)
      ? dueCommands(machine, now, this.resendAfter)
      : [...selectForMessage(unconditionalStops(machine))];
    const { fencingTokens } = ownedShard.shard;
    const seenToken = machine.highestFencingToken;
    return machine.commandTokens.assignToken(commands, fencingTokens, {
      seenToken,
      mayRaise: true,
    });
  }

  private scheduleResend({ shard }: OwnedShard, machine: Machine): void {
    setTimeout(
      () => {
        shard.machinesWithDueCommands.add(machine);
        this.node.requestSchedulingRound();
      },
      (this.node.settings.heartbeatInterval / 6) * 1000,
    );
  }

  /** Sends a message; returns its outcome and the heartbeat in the response, null if there is none. */
  private async exchange(
    ownedShard: OwnedShard,
    { address, agentEpoch, name }: Machine,
    { commands, token }: CommandBatch,
  ): Promise<{ outcome: CommandOutcome; heartbeat: Heartbeat | null }> {
    const { links, settings, authority } = this.node;
    const body = commandsRequest(token, agentEpoch, commands);
    const startsWork = commands.some(({ verb }) => verb === 'start');
    const maySend = (): boolean =>
      startsWork ? authority.mayAct(ownedShard) : authority.mayStopCancelledTasks(ownedShard);
    const target = workerPaths.commands;
    try {
      const timeout = settings.heartbeatInterval / 2;
      const answer = await links.machines.call(
        ...[address, 'POST', target, body, timeout, maySend],
      );
      const outcome = outcomeOf(answer.status);
      if (outcome === 'unanswered') {
        log.error(`${name} answered ${commands.length} command(s) with status ${answer.status}`);
      }
      return { outcome, heartbeat: parseHeartbeat(answer.body) };
    } catch (error) {
      log.debug(`sending commands to ${name} failed: ${describeError(error)}`);
      const isUnsent = error instanceof HttpCallError && error.unsent;
      return { outcome: isUnsent ? 'unsent' : 'unanswered', heartbeat: null };
    }
  }

  /**
   * Periodic pass over all machines: checks liveness, raises fencing tokens, and sends probes, stops and starts that are
   * due again.
   */
  sweep(): void {
    const now = this.node.clock.now();
    if (!this.node.leadership.isLeaseValid) {
      this.queueUnconditionalStops();
      return;
    }
    for (const ownedShard of this.node.ownedShards.values()) {
      ownedShard.shard.liveness.sweep(now);
      if (log.getLevel() <= log.levels.DEBUG) log.debug(ownedShard.shard.summary(now));
      this.raiseTokens(ownedShard, now);
      this.prober.sweep(ownedShard, now);
    }
    this.node.requestSchedulingRound();
  }

  /** Queues and sends the stops that may be sent at any time, also without a valid lease. */
  private queueUnconditionalStops(): void {
    for (const { shard } of this.node.ownedShards.values()) {
      for (const machine of shard.machines.values()) {
        if (unconditionalStops(machine).length > 0) shard.machinesWithDueCommands.add(machine);
      }
    }
    this.send();
  }

  /**
   * Raises the fencing token of machines where a missing attempt can't be declared terminated because a copy of its start
   * may still arrive: the worker refuses the copy once it has seen the higher token. Where a machine has used up the tokens
   * of this leadership, the next block is stored.
   */
  private raiseTokens(ownedShard: OwnedShard, now: number): void {
    const { machines, fencingTokens } = ownedShard.shard;
    let isUsedUp = false;
    for (const machine of machines.values()) {
      isUsedUp ||= machine.commandTokens.isExhausted(fencingTokens);
      // A higher token would make the worker refuse a command that is in flight.
      if (machine.hasCommandInFlight || !machine.isBlockedByStartCommand) continue;
      machine.commandTokens.raiseToken(fencingTokens);
    }
    if (isUsedUp) this.storeNextTokenBlock(ownedShard, now);
  }

  private storeNextTokenBlock(ownedShard: OwnedShard, now: number): void {
    if (now - ownedShard.fencingTokenAdvancedAt < this.node.settings.heartbeatInterval) return;
    ownedShard.fencingTokenAdvancedAt = now;
    advanceFencingToken(this.node.leadership, ownedShard).catch((error: unknown) => {
      log.debug(
        `storing the next fencing tokens of shard ${ownedShard.shard.label} failed: ${describeError(error)}`,
      );
    });
  }
}
