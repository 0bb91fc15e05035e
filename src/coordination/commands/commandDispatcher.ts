/** Commands to machines: those that are due are sent, and what becomes of them is noted. */
import {
  dueCommands,
  hasDueCommand,
  RESEND_INTERVALS,
  unconditionalStops,
} from '../model/dueCommands.js';
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

/** A round may have commands for hundreds of machines; sent at once they would keep reports waiting. */
const COMMANDS_PER_TURN = 4;

/** What is needed of a node. */
export interface CommandDispatcherContext extends MachineProberContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'advanceFencingToken' | 'leaseExpiresAt'>;
  authority: Pick<Authority, 'mayAct' | 'mayEnd'>;
  audit: AuditTrail;
}

/** Carried out (200), certainly not (409), or perhaps. */
function outcomeOf(status: number): CommandOutcome {
  if (status === 200) return 'executed';
  return status === 409 ? 'refused' : 'unanswered';
}

/** Where the commands with the starts among these are noted, attempt by attempt. */
function startCommandsOf(machine: Machine, commands: readonly Command[]): StartCommands[] {
  return commands.flatMap(({ verb, task }) => {
    const placement = verb === 'start' ? machine.placements.get(task) : undefined;
    return placement === undefined ? [] : [placement.attempt.startCommands];
  });
}

/** Sends commands to machines, and raises their fencing tokens where an attempt waits for that. */
export class CommandDispatcher {
  /** Notes what leaves for workers, by whichever route. */
  readonly audit: CommandAudit;

  constructor(
    private readonly node: CommandDispatcherContext,
    private readonly turns = new TurnQueue({ urgent: COMMANDS_PER_TURN, ordinary: 0 }),
    readonly prober = new MachineProber(node),
  ) {
    this.audit = new CommandAudit(node);
  }

  /** Starts whose chunks have just been stored may leave now. */
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
        // Questions go on until it answers one; orders meanwhile would only hold sockets.
        if (machine.isUnresponsive || !this.isDue(ownedShard, machine)) continue;
        this.turns.add(() => {
          void this.sendDueCommands(ownedShard, machine);
        }, true);
      }
    }
  }

  /** Without a valid lease only stops that can't be wrong may be sent. */
  private isDue(ownedShard: OwnedShard, machine: Machine): boolean {
    if (!this.node.authority.mayEnd(ownedShard)) return false;
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
    // From now on they may be carried out, late or once more.
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
    if (this.isDue(ownedShard, machine)) this.sendAgainLater(ownedShard, machine);
  }

  private prepareDueCommands(ownedShard: OwnedShard, machine: Machine): CommandBatch {
    const now = this.node.clock.now();
    const commands: Command[] = this.node.authority.mayAct(ownedShard)
      ? dueCommands(machine, now, this.resendAfter)
      : unconditionalStops(machine);
    const { fencingTokens: tokens } = ownedShard.shard;
    const seenToken = machine.highestFencingToken;
    return machine.commandTokens.assignToken(commands, tokens, { seenToken, mayRaise: true });
  }

  private sendAgainLater({ shard }: OwnedShard, machine: Machine): void {
    setTimeout(
      () => {
        shard.machinesWithDueCommands.add(machine);
        this.node.requestSchedulingRound();
      },
      (this.node.settings.heartbeatInterval / 6) * 1000,
    );
  }

  /** Sends commands; what became of them, and the heartbeat that came back. */
  private async exchange(
    ownedShard: OwnedShard,
    { address, agentEpoch, name }: Machine,
    { commands, token }: CommandBatch,
  ): Promise<{ outcome: CommandOutcome; heartbeat: Heartbeat | null }> {
    const { links, settings, authority } = this.node;
    const body = commandsRequest(token, agentEpoch, commands);
    const startsWork = commands.some(({ verb }) => verb === 'start');
    const mayLeave = (): boolean =>
      startsWork ? authority.mayAct(ownedShard) : authority.mayEnd(ownedShard);
    const target = workerPaths.commands;
    try {
      const timeout = settings.heartbeatInterval / 2;
      const answer = await links.machines.call(
        ...[address, 'POST', target, body, timeout, mayLeave],
      );
      return { outcome: outcomeOf(answer.status), heartbeat: parseHeartbeat(answer.body) };
    } catch (error) {
      log.debug(`commands to ${name}: ${describeError(error)}`);
      const isUnsent = error instanceof HttpCallError && error.unsent;
      return { outcome: isUnsent ? 'unsent' : 'unanswered', heartbeat: null };
    }
  }

  /** The regular look at all machines: probes, stops and starts that are due again. */
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

  /** Without a valid lease: only stops that may leave at any time are seen to. */
  private queueUnconditionalStops(): void {
    for (const { shard } of this.node.ownedShards.values()) {
      for (const machine of shard.machines.values()) {
        if (unconditionalStops(machine).length > 0) shard.machinesWithDueCommands.add(machine);
      }
    }
    this.send();
  }

  /**
   * An attempt that no heartbeat shows can't be given up while a copy of its start may come: the next message to its worker gets
   * a higher fencing token. Where a machine has used up those of the leadership, another block is stored.
   */
  private raiseTokens(ownedShard: OwnedShard, now: number): void {
    const { machines, fencingTokens: tokens } = ownedShard.shard;
    let isUsedUp = false;
    for (const machine of machines.values()) {
      isUsedUp ||= machine.commandTokens.isExhausted(tokens);
      // A command on its way would be refused.
      if (machine.hasCommandInFlight || !machine.isBlockedByStartCommand) continue;
      machine.commandTokens.raiseToken(tokens);
    }
    if (isUsedUp) this.storeNextBlock(ownedShard, now);
  }

  private storeNextBlock(ownedShard: OwnedShard, now: number): void {
    if (now - ownedShard.fencingTokenAdvancedAt < this.node.settings.heartbeatInterval) return;
    ownedShard.fencingTokenAdvancedAt = now;
    advanceFencingToken(this.node.leadership, ownedShard).catch((error: unknown) => {
      log.debug(`fencing tokens of ${ownedShard.shard.label}: ${describeError(error)}`);
    });
  }
}
