/** Reports of workers: answered by the owner of the machine's part, wherever they arrive. */
import { describe, log } from '../base/log.js';
import { helloAnswer, parseReport, redirectAnswer, type Report } from '../protocol/worker.js';
import { keys, type MachineRecord } from '../storage/records.js';
import type { Reply } from '../transport/httpServer.js';
import type { Controller } from './controller.js';
import type { Hosted } from './hosted.js';
import type { Machine } from './machine.js';
import { choosePartFor } from './provisioner.js';

const elsewhere = (owner: string | null): Reply => ({ status: 421, body: redirectAnswer(owner) });

export class Workers {
  /** Workers that were sent on, and when: those that come back can't reach the owner. */
  private readonly sentOn = new Map<string, number>();
  private readonly registering = new Set<string>();

  constructor(private readonly node: Controller) {}

  async hello(body: string, relayed: boolean): Promise<Reply> {
    const reply = await this.decide(body, relayed);
    if (reply.status !== 200) {
      const name = /"Drone": ?"([^"]*)"/.exec(body)?.[1] ?? '?';
      log.debug(`report of ${name}: ${reply.status} ${JSON.stringify(reply.body)}`);
    }
    return reply;
  }

  private async decide(body: string, relayed: boolean): Promise<Reply> {
    let report: Report | null = null;
    try {
      report = parseReport(JSON.parse(body));
    } catch {
      // Not JSON: answered like any other malformed report.
    }
    if (report === null) return { status: 400, body: { error: 'malformed report' } };
    const { node } = this;
    const stored = node.replica.get(keys.machine(report.machine));
    if (stored === undefined) {
      if (!relayed) void this.register(report);
      return elsewhere(null);
    }
    const { part } = stored.value as MachineRecord;
    const host = node.hosted.get(part);
    if (host !== undefined) return this.answer(host, report);
    if (relayed) return elsewhere(null);
    return this.sendOn(part, report, body);
  }

  private answer(host: Hosted, report: Report): Reply {
    const { node } = this;
    const now = node.clock.now();
    // The worker has seen a token above ours: another owner is entitled now, and would be ignored
    // for as long as we held the worker here.
    if (report.token > host.token) {
      void node.ownership.doubt(host.part.label).catch(() => undefined);
      return elsewhere(null);
    }
    // Our own lease has lapsed and a peer says that it has adopted the part: send the worker there,
    // or it would stay with us, and the adopter would take a healthy machine for a lost one.
    const told = node.peers.hostOf(host.part.label);
    if (!node.ownership.valid && told !== null && told.token > host.token) {
      return elsewhere(told.label);
    }
    // Our lease has long run out: an adopter may count on our silence.
    if (now > node.ownership.until + node.grace) return elsewhere(null);
    const machine = host.part.machines.get(report.machine);
    if (machine === undefined) return elsewhere(null);
    const newer = host.part.apply(machine, report, now, true);
    const valid = node.ownership.valid;
    const orders = newer && valid ? machine.orders(true, now, node.settings.report * 1.5) : [];
    for (const order of orders) {
      const placed = order.verb === 'start' ? machine.entries.get(order.task) : undefined;
      if (placed !== undefined) placed.entry.riding = true;
    }
    if (newer) machine.renewed = now;
    if (newer) {
      void this.keepAddress(host, machine);
      node.kick();
    }
    return { status: 200, body: helloAnswer(host.token, orders) };
  }

  /** Stores a machine's address, once. */
  private async keepAddress(host: Hosted, machine: Machine): Promise<void> {
    const { node } = this;
    const { name, address } = machine;
    const key = keys.machine(name);
    const stored = node.replica.get(key);
    if (stored === undefined || !node.ownership.valid || this.registering.has(name)) return;
    const record = stored.value as MachineRecord;
    if (record.address === address || record.part !== host.part.label) return;
    this.registering.add(name);
    try {
      const value: MachineRecord = { ...record, address };
      const when = [{ key, stamp: stored.stamp }];
      const result = await node.commits.write(host, { when, puts: [{ key, value }], removes: [] });
      if (result.kind === 'applied') {
        machine.record = value;
        node.replica.note(key, value, result.stamp);
      }
    } catch (error) {
      log.debug(`address of ${name}: ${describe(error)}`);
    } finally {
      this.registering.delete(name);
    }
  }

  private async sendOn(part: string, report: Report, body: string): Promise<Reply> {
    const { node } = this;
    const now = node.clock.now();
    const owner = node.ownerOf(part);
    if (owner === null || owner === node.settings.label) return elsewhere(null);
    const before = this.sentOn.get(report.machine);
    if (before === undefined || now - before > node.settings.lease) {
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
    this.sentOn.delete(report.machine);
    return elsewhere(null);
  }

  /** A machine that nobody has given to a part yet. */
  private async register(report: Report): Promise<void> {
    const { node } = this;
    const { machine, type, zone, spot } = report;
    if (!node.ownership.valid || this.registering.has(machine)) return;
    const host = node.hosted.get(node.settings.label);
    if (host === undefined || !node.types.has(type)) return;
    this.registering.add(machine);
    try {
      const key = keys.machine(machine);
      const part = choosePartFor(node, zone, '');
      const value: MachineRecord = { part, type, zone, spot, at: node.clock.wall() };
      const when = [{ key, stamp: 0 }];
      const result = await node.commits.write(host, { when, puts: [{ key, value }], removes: [] });
      if (result.kind === 'applied') node.replica.note(key, value, result.stamp);
    } catch (error) {
      log.debug(`register ${machine}: ${describe(error)}`);
    } finally {
      this.registering.delete(machine);
    }
  }
}
