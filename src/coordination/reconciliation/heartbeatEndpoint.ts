/** Reports of workers: answered by the owner of the machine's part, wherever they arrive. */
import { cancellationStops, commandsForAnswer } from '../model/dueCommands.js';
import { log } from '../../base/log.js';
import {
  heartbeatAnswer,
  parseHeartbeat,
  redirectAnswer,
  type Heartbeat,
} from '../../protocol/workerProtocol.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Controller } from '../controller/controller.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Machine } from '../model/machine.js';

const elsewhere = (owner: string | null): Reply => ({ status: 421, body: redirectAnswer(owner) });

/** How a report came: passed on by a peer, or after an answer on the same connection. */
export interface HeartbeatArrival {
  isRelayed: boolean;
  isFollowUp: boolean;
}

/**
 * Whether to ask a machine that has reported if our answers reach it: the report may be a late copy. A worker
 * that runs tasks and has not seen our token reports again within half a second of this answer, on the same
 * connection, which proves as much. After a takeover hundreds do, and a question to each would cost more
 * than answering them.
 */
function needsProbe(machine: Machine, heartbeat: Heartbeat, fencingToken: number): boolean {
  if (machine.reachability.missedProbes > 0) return true;
  return (
    !machine.isUp &&
    (heartbeat.attempts.length === 0 || heartbeat.highestFencingToken >= fencingToken)
  );
}

export class HeartbeatEndpoint {
  /** Workers that were sent on, and when: those that come back can't reach the owner. */
  readonly redirectedAt = new Map<string, number>();

  constructor(private readonly node: Controller) {}

  async handle(body: string, arrival: HeartbeatArrival): Promise<Reply> {
    const reply = await this.decide(body, arrival);
    if (reply.status !== 200) {
      const name = /"Drone": ?"([^"]*)"/.exec(body)?.[1] ?? '?';
      log.debug(`report of ${name}: ${reply.status} ${JSON.stringify(reply.body)}`);
    }
    return reply;
  }

  private async decide(body: string, { isRelayed, isFollowUp }: HeartbeatArrival): Promise<Reply> {
    let heartbeat: Heartbeat | null = null;
    try {
      heartbeat = parseHeartbeat(JSON.parse(body));
    } catch {
      // Not JSON: answered like any other malformed report.
    }
    if (heartbeat === null) return { status: 400, body: { error: 'malformed report' } };
    const { node } = this;
    // A machine that has no part yet gets one from the provisioner, by the cloud's list: a report may
    // be a late copy from a machine that is gone, and must not bring it back.
    const part = node.inventory.get(heartbeat.machine)?.shard;
    if (part === undefined) return elsewhere(null);
    const ownedShard = node.ownedShards.get(part);
    if (ownedShard !== undefined) return this.answer(ownedShard, heartbeat, isFollowUp);
    if (isRelayed) return elsewhere(null);
    return this.forwardOrRedirect(part, heartbeat, body);
  }

  private answer(ownedShard: OwnedShard, heartbeat: Heartbeat, isFollowUp: boolean): Reply {
    const { node } = this;
    const now = node.clock.now();
    const right = node.authority.decideHeartbeat(ownedShard, heartbeat.highestFencingToken);
    if (right.kind === 'deposed') {
      void node.leadership.verifyLeadership(ownedShard.shard.label).catch(() => undefined);
    }
    if (right.kind !== 'answer') return elsewhere(right.kind === 'adopted' ? right.owner : null);
    const machine = ownedShard.shard.machines.get(heartbeat.machine);
    if (machine === undefined) return elsewhere(null);
    const says = ownedShard.shard.heartbeats.apply(
      machine,
      heartbeat,
      now,
      isFollowUp ? 'follow' : 'report',
    );
    const newer = says !== 'older';
    if (needsProbe(machine, heartbeat, ownedShard.fencingToken))
      void node.commands.probe(ownedShard, machine);
    const mayAct = node.authority.mayAct(ownedShard);
    const { heartbeatInterval: reportTime } = node.settings;
    const commands =
      newer && mayAct
        ? commandsForAnswer(machine, now, reportTime * 1.5, reportTime)
        : cancellationStops(machine);
    for (const command of commands) {
      const placement = command.verb === 'start' ? machine.placements.get(command.task) : undefined;
      if (placement !== undefined) placement.attempt.startSentInAnswer = true;
    }
    // Also when an answer to a question of ours has overtaken this report: the worker's lease counts from
    // it all the same, and its tasks are not over before that.
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    if (says === 'news') node.requestSchedulingRound();
    if (commands.length > 0) node.commands.noteSent(ownedShard, machine, commands, 'answer');
    return { status: 200, body: heartbeatAnswer(ownedShard.fencingToken, commands) };
  }

  private async forwardOrRedirect(
    shard: string,
    heartbeat: Heartbeat,
    body: string,
  ): Promise<Reply> {
    const { node } = this;
    const now = node.clock.now();
    const owner = node.leaderOf(shard);
    if (owner === null || owner === node.settings.label) return elsewhere(null);
    this.forget(now);
    const before = this.redirectedAt.get(heartbeat.machine);
    // Set anew each time, so that the names stand in the order in which they are forgotten.
    this.redirectedAt.delete(heartbeat.machine);
    if (before === undefined) {
      this.redirectedAt.set(heartbeat.machine, now);
      return elsewhere(owner);
    }
    // It came back, so it can't reach the owner, or the owner it was sent to has changed.
    const relay = { method: 'POST', target: '/hello', body };
    const answer = await node.peers.relay(owner, relay, node.settings.heartbeatInterval / 2);
    if (answer?.status === 200) {
      this.redirectedAt.set(heartbeat.machine, now);
      return { status: 200, body: JSON.parse(answer.body) as unknown };
    }
    return elsewhere(null);
  }

  /** Names would be kept of all machines that ever were. */
  private forget(now: number): void {
    for (const [name, at] of this.redirectedAt) {
      if (now - at <= this.node.settings.workerLease) return;
      this.redirectedAt.delete(name);
    }
  }
}
