/** Answers heartbeats of workers. Heartbeats for another controller's shard are redirected or forwarded to its leader. */
import type { Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';
import type { Settings } from '../../protocol/settings.js';
import {
  heartbeatAnswer,
  parseHeartbeat,
  redirectAnswer,
  type Command,
  type Heartbeat,
} from '../../protocol/workerProtocol.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Authority } from '../leadership/authority.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import { selectForMessage } from '../model/commandSelection.js';
import { commandsForAnswer, RESEND_INTERVALS, unconditionalStops } from '../model/dueCommands.js';
import type { CommandBatch } from '../model/commandTokens.js';
import type { Machine } from '../model/machine.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import { CancelledTaskMonitor } from './cancelledTaskMonitor.js';
import type { CommandDispatcher } from './commandDispatcher.js';

/** The parts of a controller that the endpoint uses. */
export interface HeartbeatEndpointContext {
  settings: Pick<Settings, 'label' | 'heartbeatInterval' | 'workerLease'>;
  clock: Pick<Clock, 'now'>;
  inventory: Pick<MachineInventory, 'get'>;
  ownedShards: ReadonlyMap<string, OwnedShard>;
  authority: Pick<Authority, 'decideHeartbeat' | 'mayAct'>;
  leadership: Pick<ShardLeadership, 'verifyLeadership' | 'leaseExpiresAt'>;
  peers: Pick<PeerRegistry, 'relay'>;
  commands: Pick<CommandDispatcher, 'prober' | 'audit'>;
  /** The controller that leads a shard according to the cached leader records and the gossip; null if there is none. */
  leaderOf(shard: string): string | null;
  requestSchedulingRound(): void;
}

/** How a heartbeat arrived: forwarded by a peer, or as a follow-up to an answer on the same connection. */
export interface HeartbeatArrival {
  isRelayed: boolean;
  isFollowUp: boolean;
}

const redirectTo = (leader: string | null): Reply => ({
  status: 421,
  body: redirectAnswer(leader),
});

/**
 * Whether to probe a machine whose heartbeat has arrived, to check that answers reach it: the heartbeat may be a late copy.
 * A worker that runs tasks and has not received this leader's fencing token sends another heartbeat within half a second of
 * the answer, on the same connection, which proves as much. After a takeover hundreds of workers do so, and probing each of
 * them would cost more than answering them.
 */
function needsProbe(machine: Machine, heartbeat: Heartbeat, fencingToken: number): boolean {
  if (machine.reachability.missedProbes > 0) return true;
  if (machine.isUp) return false;
  return heartbeat.attempts.length === 0 || heartbeat.highestFencingToken >= fencingToken;
}

/** Answers heartbeats for the shards that this controller owns, and redirects or forwards the others. */
export class HeartbeatEndpoint {
  /** Monotonic time at which each worker was last redirected; a worker that returns cannot reach its shard's leader. */
  private readonly redirectedAt = new Map<string, number>();

  private readonly cancelledTasks: CancelledTaskMonitor;

  constructor(private readonly context: HeartbeatEndpointContext) {
    this.cancelledTasks = new CancelledTaskMonitor(context, RESEND_INTERVALS);
  }

  /** The answer to a worker: 200 with commands, 421 with the leader's name, or 400. */
  async handle(body: string, arrival: HeartbeatArrival): Promise<Reply> {
    const reply = await this.decide(body, arrival);
    if (reply.status !== 200) {
      const name = /"Drone": ?"([^"]*)"/.exec(body)?.[1] ?? '?';
      log.debug(`heartbeat of ${name} answered with ${reply.status} ${JSON.stringify(reply.body)}`);
    }
    return reply;
  }

  private async decide(body: string, { isRelayed, isFollowUp }: HeartbeatArrival): Promise<Reply> {
    const heartbeat = decodeHeartbeat(body);
    if (heartbeat === null) return { status: 400, body: { error: 'malformed report' } };
    const { inventory, ownedShards } = this.context;
    // Only the autoscaler assigns a machine to a shard, from the cloud's list: a heartbeat may be a late copy from a
    // machine that is gone, and must not bring the machine back.
    const shard = inventory.get(heartbeat.machine)?.shard;
    if (shard === undefined) return redirectTo(null);
    const ownedShard = ownedShards.get(shard);
    if (ownedShard !== undefined) return this.answer(ownedShard, heartbeat, isFollowUp);
    if (isRelayed) return redirectTo(null);
    return this.forwardOrRedirect(shard, heartbeat, body);
  }

  private answer(ownedShard: OwnedShard, heartbeat: Heartbeat, isFollowUp: boolean): Reply {
    const { authority, clock, leadership, commands: dispatcher } = this.context;
    const { shard, fencingToken } = ownedShard;
    const now = clock.now();
    const decision = authority.decideHeartbeat(ownedShard, heartbeat.highestFencingToken);
    if (decision.kind === 'deposed') {
      void leadership.verifyLeadership(shard.label).catch(() => undefined);
    }
    if (decision.kind !== 'answer') {
      return redirectTo(decision.kind === 'adopted' ? decision.owner : null);
    }
    const machine = shard.machines.get(heartbeat.machine);
    if (machine === undefined) return redirectTo(null);
    const origin = isFollowUp ? 'follow-up' : 'unsolicited';
    const effect = shard.heartbeats.apply(machine, heartbeat, now, origin);
    if (needsProbe(machine, heartbeat, fencingToken))
      void dispatcher.prober.probe(ownedShard, machine);
    const mayAct = effect !== 'stale' && authority.mayAct(ownedShard);
    const message = this.prepareAnswerCommands(ownedShard, machine, mayAct, now);
    const { commands } = message;
    noteStartsInAnswer(machine, commands);
    // This answer renews the worker's lease even if a probe's response has overtaken the heartbeat, so the worker's tasks
    // may run until that lease expires.
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    if (effect === 'changed') this.context.requestSchedulingRound();
    if (commands.length > 0) dispatcher.audit.noteSent(ownedShard, machine, message, 'answer');
    this.cancelledTasks.noteRenewal(ownedShard, machine, commands);
    return { status: 200, body: heartbeatAnswer(message.token, commands) };
  }

  private prepareAnswerCommands(
    { shard }: OwnedShard,
    machine: Machine,
    mayAct: boolean,
    now: number,
  ): CommandBatch {
    const commands = this.commandsFor(machine, mayAct, now);
    return machine.commandTokens.assignToken(commands, shard.fencingTokens, {
      seenToken: machine.highestFencingToken,
      // An answer with a higher token may overtake a command in flight, which the worker would then refuse.
      mayRaise: !machine.hasCommandInFlight,
    });
  }

  /** Without the right to act for the shard only stops that can't be wrong are sent. */
  private commandsFor(machine: Machine, mayAct: boolean, now: number): Command[] {
    if (!mayAct) return [...selectForMessage(unconditionalStops(machine))];
    const { heartbeatInterval } = this.context.settings;
    return commandsForAnswer(machine, now, heartbeatInterval * RESEND_INTERVALS, heartbeatInterval);
  }

  private async forwardOrRedirect(
    shard: string,
    heartbeat: Heartbeat,
    body: string,
  ): Promise<Reply> {
    const { clock, peers, settings } = this.context;
    const now = clock.now();
    const leader = this.context.leaderOf(shard);
    if (leader === null || leader === settings.label) return redirectTo(null);
    this.forgetOldRedirects(now);
    const lastRedirect = this.redirectedAt.get(heartbeat.machine);
    // Deleted and set again, so that the map stays in the order in which entries expire.
    this.redirectedAt.delete(heartbeat.machine);
    if (lastRedirect === undefined) {
      this.redirectedAt.set(heartbeat.machine, now);
      return redirectTo(leader);
    }
    // The worker has returned: it cannot reach the leader, or another controller leads the shard by now.
    const request = { method: 'POST', target: '/hello', body };
    const answer = await peers.relay(leader, request, settings.heartbeatInterval / 2);
    if (answer?.status !== 200) return redirectTo(null);
    this.redirectedAt.set(heartbeat.machine, now);
    return { status: 200, body: JSON.parse(answer.body) as unknown };
  }

  /** Removes expired entries; otherwise the map would keep the names of all machines that ever existed. */
  private forgetOldRedirects(now: number): void {
    for (const [name, at] of this.redirectedAt) {
      if (now - at <= this.context.settings.workerLease) return;
      this.redirectedAt.delete(name);
    }
  }
}

/** Parses a heartbeat; null for a malformed body, which is answered with 400. */
function decodeHeartbeat(body: string): Heartbeat | null {
  try {
    return parseHeartbeat(JSON.parse(body));
  } catch {
    return null;
  }
}

/** Marks the starts that an answer carries; the worker's next heartbeat shows whether they arrived. */
function noteStartsInAnswer(machine: Machine, commands: Command[]): void {
  for (const { verb, task } of commands) {
    const placement = verb === 'start' ? machine.placements.get(task) : undefined;
    if (placement !== undefined) placement.attempt.startSentInAnswer = true;
  }
}
