/** Commands to machines: those that are due are sent, and what becomes of them is noted. */
import { unconditionalStops, dueCommands, hasDueCommand } from '../model/dueCommands.js';
import { describe, log } from '../../base/log.js';
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
import type { CommandOutcome, CommandRoute } from '../audit/commandOutcome.js';
import type { Authority } from '../leadership/authority.js';
import type { Chunk } from '../model/chunk.js';
import { assertNoCancelledStarts } from './cancelledTaskMonitor.js';
import { advanceFencingToken, type OwnedShard } from '../leadership/ownedShard.js';
import { MachineProber, type MachineProberContext } from './machineProber.js';
import type { Machine } from '../model/machine.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';

/** How long an ended attempt whose start is unacknowledged stays in heartbeats, as a ratio to the time between heartbeats. */
const UNACKNOWLEDGED_END_INTERVALS = 4;

/** A round may have commands for hundreds of machines; sent at once they would keep reports waiting. */
const COMMANDS_PER_TURN = 4;

/** What is needed of a node. */
export interface CommandDispatcherContext extends MachineProberContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'advanceFencingToken' | 'leaseExpiresAt'>;
  authority: Pick<Authority, 'mayAct' | 'mayEnd'>;
  audit: AuditTrail;
}

const formatCommands = (commands: Command[]): string =>
  commands.map(({ verb, task, attemptNumber }) => `${verb} ${task}#${attemptNumber}`).join(',');

/** Carried out (200), certainly not (409), or perhaps. */
function outcomeOf(status: number): CommandOutcome {
  if (status === 200) return 'executed';
  return status === 409 ? 'refused' : 'unanswered';
}

/** Sends commands to machines, and resolves starts without an answer. */
export class CommandDispatcher {
  constructor(
    private readonly node: CommandDispatcherContext,
    private readonly turns = new TurnQueue({ urgent: COMMANDS_PER_TURN, ordinary: 0 }),
    readonly prober = new MachineProber(node),
  ) {}

  /** Starts whose chunks have just been stored may leave now. */
  queueStarts(ownedShard: OwnedShard, chunks: Chunk[]): void {
    for (const chunk of chunks) {
      for (const attempt of chunk.attempts.values()) {
        if (attempt.wasReported) continue;
        const machine = ownedShard.shard.machines.get(attempt.machine);
        if (machine !== undefined) ownedShard.shard.pendingCommands.add(machine);
      }
    }
    this.send();
    this.node.requestSchedulingRound();
  }

  /** Sends the commands that are due, a few in each turn of the event loop. */
  send(): void {
    for (const ownedShard of this.node.ownedShards.values()) {
      for (const machine of ownedShard.shard.pendingCommands) {
        if (machine.hasCommandInFlight || machine.address === '' || machine.isReassigned) continue;
        ownedShard.shard.pendingCommands.delete(machine);
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
    return hasDueCommand(
      machine,
      this.node.clock.now(),
      this.node.settings.heartbeatInterval * 1.5,
    );
  }

  private async sendDueCommands(ownedShard: OwnedShard, machine: Machine): Promise<void> {
    if (machine.hasCommandInFlight) {
      ownedShard.shard.pendingCommands.add(machine);
      return;
    }
    const { heartbeatInterval } = this.node.settings;
    if (!this.isDue(ownedShard, machine)) return;
    const commands: Command[] = this.node.authority.mayAct(ownedShard)
      ? dueCommands(machine, this.node.clock.now(), heartbeatInterval * 1.5)
      : unconditionalStops(machine);
    const { fencingToken } = ownedShard;
    const started = commands.flatMap((o) => {
      const placement = o.verb === 'start' ? machine.placements.get(o.task) : undefined;
      return placement === undefined ? [] : [placement.attempt];
    });
    // In doubt from now on: without an answer it may be carried out minutes later.
    for (const attempt of started) attempt.unacknowledgedStart.noteSent(fencingToken);
    this.noteSent(ownedShard, machine, commands, 'command');
    machine.hasCommandInFlight = true;
    const { outcome, heartbeat: answered } = await this.exchange(ownedShard, machine, commands);
    machine.hasCommandInFlight = false;
    for (const attempt of started) attempt.unacknowledgedStart.noteOutcome(fencingToken, outcome);
    this.noteOutcome(ownedShard, fencingToken, machine, commands, outcome);
    const now = this.node.clock.now();
    if (outcome === 'unanswered' && started.length > 0) machine.unacknowledgedStartSince ??= now;
    if (answered !== null && ownedShard.isOwned) {
      const effect = ownedShard.shard.heartbeats.apply(machine, answered, now, 'response');
      if (effect === 'changed') this.node.requestSchedulingRound();
    }
    if (this.isDue(ownedShard, machine)) {
      setTimeout(
        () => {
          ownedShard.shard.pendingCommands.add(machine);
          this.node.requestSchedulingRound();
        },
        (heartbeatInterval / 6) * 1000,
      );
    }
  }

  /** Sends orders; what became of them, and the heartbeat that came back. */
  private async exchange(
    ownedShard: OwnedShard,
    { address, agentEpoch, name }: Machine,
    commands: Command[],
  ): Promise<{ outcome: CommandOutcome; heartbeat: Heartbeat | null }> {
    const { links, settings, authority } = this.node;
    const body = commandsRequest(ownedShard.fencingToken, agentEpoch, commands);
    const startsWork = commands.some(({ verb }) => verb === 'start');
    const mayLeave = (): boolean =>
      startsWork ? authority.mayAct(ownedShard) : authority.mayEnd(ownedShard);
    const target = workerPaths.orders;
    try {
      const timeout = settings.heartbeatInterval / 2;
      const answer = await links.machines.call(
        ...[address, 'POST', target, body, timeout, mayLeave],
      );
      return { outcome: outcomeOf(answer.status), heartbeat: parseHeartbeat(answer.body) };
    } catch (error) {
      log.debug(`commands to ${name}: ${describe(error)}`);
      const isUnsent = error instanceof HttpCallError && error.unsent;
      return { outcome: isUnsent ? 'unsent' : 'unanswered', heartbeat: null };
    }
  }

  /** Notes orders that are about to leave, and under which right. */
  noteSent(
    ownedShard: OwnedShard,
    machine: Machine,
    commands: Command[],
    route: CommandRoute,
  ): void {
    const { leadership: ownership, clock } = this.node;
    assertNoCancelledStarts(ownedShard, machine, commands);
    this.node.audit.note({
      event: 'commands-sent',
      shard: ownedShard.shard.label,
      fencingToken: ownedShard.fencingToken,
      machine: machine.name,
      agentEpoch: machine.agentEpoch,
      route,
      commands: formatCommands(commands),
      leaseLeft: ownership.leaseExpiresAt - clock.now(),
    });
  }

  private noteOutcome(
    ownedShard: OwnedShard,
    fencingToken: number,
    machine: Machine,
    commands: Command[],
    outcome: CommandOutcome,
  ): void {
    this.node.audit.note({
      event: 'commands-outcome',
      shard: ownedShard.shard.label,
      fencingToken,
      machine: machine.name,
      outcome,
      commands: formatCommands(commands),
    });
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
      this.resolveUnacknowledgedStarts(ownedShard, now);
      this.prober.sweep(ownedShard, now);
    }
    this.node.requestSchedulingRound();
  }

  /** Without a valid lease: only stops that may leave at any time are seen to. */
  private queueUnconditionalStops(): void {
    for (const { shard } of this.node.ownedShards.values()) {
      for (const machine of shard.machines.values()) {
        if (unconditionalStops(machine).length > 0) shard.pendingCommands.add(machine);
      }
    }
    this.send();
  }

  /**
   * A start stays in doubt until its worker has seen a higher fencing token: get one when something has to wait for that. All
   * workers report a higher fencing token at once, so a task that just runs, its start unacknowledged or not, is no reason for one.
   */
  private resolveUnacknowledgedStarts(ownedShard: OwnedShard, now: number): void {
    const { heartbeatInterval } = this.node.settings;
    if (now - ownedShard.fencingTokenAdvancedAt < heartbeatInterval) return;
    const stuck = [...ownedShard.shard.machines.values()].filter((machine) => {
      const { unacknowledgedStartSince: inDoubtSince } = machine;
      const { lastReachedAt: reached } = machine.reachability;
      // One that our answers do not reach would not see the new fencing token either.
      const isHeard = reached !== null && now - reached < heartbeatInterval * 2;
      if (inDoubtSince === null || !isHeard || now - inDoubtSince <= heartbeatInterval)
        return false;
      return machine.isBlockedByUnacknowledgedStart(
        now - heartbeatInterval * UNACKNOWLEDGED_END_INTERVALS,
      );
    });
    if (stuck.length === 0) return;
    ownedShard.fencingTokenAdvancedAt = now;
    void advanceFencingToken(this.node.leadership, ownedShard)
      .then((isRaised) => {
        if (!isRaised) return;
        for (const machine of stuck) machine.unacknowledgedStartSince = null;
      })
      .catch((error: unknown) => {
        log.debug(`raise: ${describe(error)}`);
      });
  }
}
