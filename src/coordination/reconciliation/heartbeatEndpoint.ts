/** Reports of workers: answered by the owner of the machine's part, wherever they arrive. */
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
import type { Machine } from '../shard/machine.js';

const elsewhere = (owner: string | null): Reply => ({ status: 421, body: redirectAnswer(owner) });

/** How a report came: passed on by a peer, or after an answer on the same connection. */
export interface HeartbeatArrival {
  relayed: boolean;
  follows: boolean;
}

/**
 * Whether to ask a machine that has reported if our answers reach it: the report may be a late copy. A worker
 * that runs tasks and has not seen our token reports again within half a second of this answer, on the same
 * connection, which proves as much. After a takeover hundreds do, and a question to each would cost more
 * than answering them.
 */
function needsProbe(machine: Machine, report: Heartbeat, token: number): boolean {
  if (machine.missed > 0) return true;
  return !machine.up && (report.tasks.length === 0 || report.token >= token);
}

export class HeartbeatEndpoint {
  /** Workers that were sent on, and when: those that come back can't reach the owner. */
  readonly sentOn = new Map<string, number>();

  constructor(private readonly node: Controller) {}

  async hello(body: string, arrival: HeartbeatArrival): Promise<Reply> {
    const reply = await this.decide(body, arrival);
    if (reply.status !== 200) {
      const name = /"Drone": ?"([^"]*)"/.exec(body)?.[1] ?? '?';
      log.debug(`report of ${name}: ${reply.status} ${JSON.stringify(reply.body)}`);
    }
    return reply;
  }

  private async decide(body: string, { relayed, follows }: HeartbeatArrival): Promise<Reply> {
    let report: Heartbeat | null = null;
    try {
      report = parseHeartbeat(JSON.parse(body));
    } catch {
      // Not JSON: answered like any other malformed report.
    }
    if (report === null) return { status: 400, body: { error: 'malformed report' } };
    const { node } = this;
    // A machine that has no part yet gets one from the provisioner, by the cloud's list: a report may
    // be a late copy from a machine that is gone, and must not bring it back.
    const part = node.fleet.get(report.machine)?.part;
    if (part === undefined) return elsewhere(null);
    const host = node.ownedParts.get(part);
    if (host !== undefined) return this.answer(host, report, follows);
    if (relayed) return elsewhere(null);
    return this.sendOn(part, report, body);
  }

  private answer(host: OwnedShard, report: Heartbeat, follows: boolean): Reply {
    const { node } = this;
    const now = node.clock.now();
    const right = node.authority.toAnswer(host, report.token);
    if (right.kind === 'deposed') {
      void node.ownership.verifyOwner(host.part.label).catch(() => undefined);
    }
    if (right.kind !== 'answer') return elsewhere(right.kind === 'adopted' ? right.owner : null);
    const machine = host.part.machines.get(report.machine);
    if (machine === undefined) return elsewhere(null);
    const says = host.part.reports.apply(machine, report, now, follows ? 'follow' : 'report');
    const newer = says !== 'older';
    if (needsProbe(machine, report, host.token)) void node.orders.probe(host, machine);
    const mayAct = node.authority.mayAct(host);
    const { report: reportTime } = node.settings;
    const orders =
      newer && mayAct ? machine.answerOrders(now, reportTime * 1.5, reportTime) : machine.endings();
    for (const order of orders) {
      const placed = order.verb === 'start' ? machine.entries.get(order.task) : undefined;
      if (placed !== undefined) placed.entry.sentInAnswer = true;
    }
    // Also when an answer to a question of ours has overtaken this report: the worker's lease counts from
    // it all the same, and its tasks are not over before that.
    machine.renewed = Math.max(machine.renewed, now);
    if (says === 'news') node.requestRound();
    if (orders.length > 0) node.orders.noteSent(host, machine, orders, 'answer');
    return { status: 200, body: heartbeatAnswer(host.token, orders) };
  }

  private async sendOn(part: string, report: Heartbeat, body: string): Promise<Reply> {
    const { node } = this;
    const now = node.clock.now();
    const owner = node.ownerOf(part);
    if (owner === null || owner === node.settings.label) return elsewhere(null);
    this.forget(now);
    const before = this.sentOn.get(report.machine);
    // Set anew each time, so that the names stand in the order in which they are forgotten.
    this.sentOn.delete(report.machine);
    if (before === undefined) {
      this.sentOn.set(report.machine, now);
      return elsewhere(owner);
    }
    // It came back, so it can't reach the owner, or the owner it was sent to has changed.
    const relay = { method: 'POST', target: '/hello', body };
    const answer = await node.peers.relay(owner, relay, node.settings.report / 2);
    if (answer?.status === 200) {
      this.sentOn.set(report.machine, now);
      return { status: 200, body: JSON.parse(answer.body) as unknown };
    }
    return elsewhere(null);
  }

  /** Names would be kept of all machines that ever were. */
  private forget(now: number): void {
    for (const [name, at] of this.sentOn) {
      if (now - at <= this.node.settings.lease) return;
      this.sentOn.delete(name);
    }
  }
}
