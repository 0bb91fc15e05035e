/** The one elected node that rents and returns machines for all parts. */
import { sleep } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import * as cloud from '../protocol/cloud.js';
import { TXN_BYTES } from '../protocol/state.js';
import type { Fleet } from '../storage/fleet.js';
import { keys, type GroupRecord } from '../storage/records.js';
import { Budget, type Urgency } from '../storage/budget.js';
import type { TxnResult } from '../storage/stateClient.js';
import type { Response } from '../transport/httpClient.js';
import type { Controller } from './controller.js';
import { PROVISIONER } from './ownership.js';
import { mergePlans, planRentals, type RentPlan } from './renting.js';

export class Provisioner {
  private active = false;
  private stopped = false;
  private sequence = 0;
  private readonly budget: Budget;
  private readonly refusals = new Map<string, { until: number; pause: number }>();
  private listed = new Map<string, cloud.ListedMachine>();
  private readonly strays = new Map<string, number>();
  /** Machines whose release was answered 200: gone, whatever a late list says. */
  private readonly released = new Map<string, number>();
  private readonly releasing = new Set<string>();
  private readonly renting = new Set<string>();
  /** Machines whose group is being stored, by its name: no stray. */
  private readonly claims = new Map<string, string[]>();
  private readonly storing = new Set<string>();
  /** Rentals on their way, and those whose machines the parts may not have counted yet, by their names. */
  private readonly coming = new Map<string, { plan: RentPlan; until: number }>();
  private lastList = -Infinity;
  private listing = false;
  private storingTypes = false;
  private holdOff = new Map<string, number>();
  private downUntil = 0;

  constructor(
    private readonly node: Controller,
    private readonly process: string,
  ) {
    // A little below the cloud's own limit, since the other nodes ask for the machine types.
    this.budget = new Budget(node.clock, node.settings.cloudRate * 0.8, node.settings.cloudRate);
  }

  elected(): void {
    this.active = true;
    this.claims.clear();
    this.coming.clear();
    this.lastList = -Infinity;
    log.info('this node rents and returns the machines');
  }

  retired(): void {
    this.active = false;
  }

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.active && this.node.ownership.valid && this.node.types.size > 0) this.step();
      } catch (error) {
        log.error(`provisioner: ${describe(error)}`);
      }
      await sleep(this.node.settings.report / 6);
    }
  }

  private step(): void {
    const now = this.node.clock.now();
    if (now < this.downUntil) return;
    // What is sent into a cut may be carried out when it is over, and nobody wants it any more then.
    if (now - this.node.state.lastServed > this.node.stateTtl / 2) return;
    void this.storeTypes();
    if (!this.listing && now - this.lastList > this.node.settings.listLag * 0.75) void this.list();
    for (const [ask, { until }] of this.coming) if (until <= now) this.coming.delete(ask);
    const open = new Set<string>();
    for (const [ask, group] of this.node.fleet.entries()) {
      if (group.asked === undefined) continue;
      open.add(ask);
      if (!this.renting.has(ask)) void this.rent(ask, group);
    }
    for (const ask of this.claims.keys()) {
      const busy = open.has(ask) || this.renting.has(ask) || this.storing.has(ask);
      if (!busy) this.claims.delete(ask);
    }
    this.release(now);
    this.rentForDemands(now);
  }

  /** Keeps the machine types for nodes that start while the cloud's interface is down. */
  private async storeTypes(): Promise<void> {
    const owner = this.owner();
    const stored = this.node.replica.get(keys.types);
    const known = (stored?.value ?? []) as cloud.MachineType[];
    const types = [...this.node.types.values()];
    const names = (list: cloud.MachineType[]): string => list.map((t) => t.name).join(' ');
    if (owner === null || this.storingTypes || names(known) === names(types)) return;
    this.storingTypes = true;
    try {
      const when = [owner, { key: keys.types, stamp: stored?.stamp ?? 0 }];
      const puts = [{ key: keys.types, value: types }];
      const result = await this.node.state.txn({ when, puts, removes: [] });
      if (result.kind === 'applied') this.node.replica.note(keys.types, types, result.stamp);
    } finally {
      this.storingTypes = false;
    }
  }

  private async call(method: string, target: string, body?: unknown): Promise<Response> {
    await this.budget.take(1, method === 'POST' ? 'urgent' : 'later');
    // Its answers may take a second or two when it is busy.
    const answer = await this.node.links.services.call(
      this.node.settings.cloudEndpoint,
      method,
      target,
      body,
      5,
    );
    if (answer.status === 429) this.budget.punish();
    return answer;
  }

  // ---- The list ----

  private async list(): Promise<void> {
    this.listing = true;
    try {
      const found = new Map<string, cloud.ListedMachine>();
      for (let after = ''; ;) {
        const answer = await this.call('GET', cloud.paths.list(after, cloud.LIST_PAGE));
        const page = answer.status === 200 ? cloud.parseList(answer.body) : null;
        if (page === null) return;
        for (const machine of page.machines) found.set(machine.name, machine);
        const last = page.machines[page.machines.length - 1];
        if (!page.more || last === undefined) break;
        after = last.name;
      }
      this.listed = found;
      await this.adoptStrays(found);
      await this.keepAddresses(found);
    } catch (error) {
      log.debug(`machine list: ${describe(error)}`);
    } finally {
      this.listing = false;
      this.lastList = this.node.clock.now();
    }
  }

  /** Machines that nobody expected (late rentals, those up from the start) get a part. */
  private async adoptStrays(found: Map<string, cloud.ListedMachine>): Promise<void> {
    const { node } = this;
    const now = node.clock.now();
    const claimed = new Set([...this.claims.values()].flat());
    for (const name of this.strays.keys()) if (!found.has(name)) this.strays.delete(name);
    // The list may be older than a release by a provisioner before us; with no record of any machine
    // there has been none.
    const patience = node.fleet.size === 0 ? 0 : node.settings.listLag;
    const groups = new Map<string, GroupRecord>();
    const taken: { part: string; type: string; count: number }[] = [];
    for (const [name, machine] of found) {
      if (node.fleet.get(name) !== undefined || claimed.has(name)) continue;
      if (this.released.has(name)) continue;
      const since = this.strays.get(name) ?? now;
      this.strays.set(name, since);
      if (now - since < patience) continue;
      const { type, zone, spot } = machine;
      const address = addressOf(machine);
      const part = choosePartFor(node, zone, '', taken);
      taken.push({ part, type, count: 1 });
      const key = [part, type, zone, String(spot)].join(' ');
      const group = groups.get(key) ?? { part, type, zone, spot, machines: {} };
      groups.set(key, group);
      group.machines[name] = {
        at: node.clock.wall() - machine.age,
        ...(address === '' ? {} : { address }),
      };
    }
    const most = groupLimit(node.settings.valueBytes);
    const stored = [...groups.values()].flatMap((group) => split(group, most));
    await Promise.all(stored.map((group) => this.store(group)));
  }

  /** Stores machines that no rental of ours brought, under a name that is used once. */
  private async store(group: GroupRecord): Promise<void> {
    const { node } = this;
    const ask = this.nextAsk();
    const held = node.ownership.get(PROVISIONER);
    this.storing.add(ask);
    this.claims.set(ask, Object.keys(group.machines));
    // Its machines are stored in no other group before this one's fate is known: a machine that were
    // in two groups would have two owners.
    while (!this.stopped && node.ownership.get(PROVISIONER) === held) {
      const owner = this.owner();
      if (owner === null) {
        await sleep(node.settings.report / 6);
        continue;
      }
      const key = keys.group(ask);
      const when = [owner, { key, stamp: 0 }];
      const txn = { when, puts: [{ key, value: group }], removes: [] };
      const result = await node.state.txn(txn, 'rental');
      if (result.kind === 'applied') node.replica.note(key, group, result.stamp);
      else if (result.kind === 'conflict') {
        const item = await node.state.get(key).catch(() => undefined);
        if (item !== undefined && item !== null) node.replica.note(key, item.value, item.stamp);
        // Neither our key nor our ownership is as we thought: a new provisioner will find them.
        if (item === null) await node.ownership.doubt(PROVISIONER).catch(() => undefined);
        if (item === undefined) continue;
      } else {
        await sleep(node.settings.report / 6);
        continue;
      }
      break;
    }
    this.storing.delete(ask);
  }

  /** Addresses go into the groups' records once all of a group are known, or what has come in time. */
  private async keepAddresses(found: Map<string, cloud.ListedMachine>): Promise<void> {
    const { node } = this;
    const wall = node.clock.wall();
    let changes = 0;
    for (const [ask, group] of [...node.fleet.entries()]) {
      let missing = 0;
      let news = 0;
      let oldest = wall;
      for (const [name, machine] of Object.entries(group.machines)) {
        if (machine.address !== undefined) continue;
        oldest = Math.min(oldest, machine.at);
        if (addressOf(found.get(name)) === '') missing++;
        else news++;
      }
      const late = wall - oldest > node.settings.listLag * 4;
      if (news === 0 || (missing > 0 && !late)) continue;
      // Bookkeeping: what users and starts wait for goes first.
      if (++changes > Math.max(1, node.settings.stateWriteRate / 10)) return;
      const machines = Object.fromEntries(
        Object.entries(group.machines).map(([name, machine]) => {
          const address = machine.address ?? addressOf(found.get(name));
          return [name, address === '' ? machine : { ...machine, address }];
        }),
      );
      await this.replace(ask, { ...group, machines });
    }
  }

  /** Changes groups in one transaction; null removes one. */
  private async replace(
    ask: string,
    group: GroupRecord | null,
    urgency: Urgency = 'later',
  ): Promise<TxnResult> {
    return this.replaceAll(new Map([[ask, group]]), urgency);
  }

  private async replaceAll(
    groups: Map<string, GroupRecord | null>,
    urgency: Urgency,
  ): Promise<TxnResult> {
    const { replica, state } = this.node;
    const owner = this.owner();
    if (owner === null) return { kind: 'refused' };
    const when = [owner];
    const puts: { key: string; value: unknown }[] = [];
    const removes: string[] = [];
    for (const [ask, group] of groups) {
      const key = keys.group(ask);
      when.push({ key, stamp: replica.get(key)?.stamp ?? 0 });
      if (group === null) removes.push(key);
      else puts.push({ key, value: group });
    }
    const result = await state.txn({ when, puts, removes }, urgency);
    if (result.kind === 'applied') {
      for (const put of puts) replica.note(put.key, put.value, result.stamp);
      for (const key of removes) replica.noteRemoved(key, result.stamp);
    }
    return result;
  }

  private owner(): { key: string; stamp: number } | null {
    const held = this.node.ownership.get(PROVISIONER);
    if (held === undefined || !this.node.ownership.valid) return null;
    return { key: keys.owner(PROVISIONER), stamp: held.stamp };
  }

  private nextAsk(): string {
    return `${this.node.settings.label}-${this.process}-${++this.sequence}`;
  }

  // ---- Renting ----

  private rentForDemands(now: number): void {
    const { settings, types } = this.node;
    const demands = [...this.node.gossiper.demands, ...this.node.peers.demands()].filter(
      (d) => (this.holdOff.get(d.part) ?? 0) <= now,
    );
    if (demands.length === 0) return;
    const within = settings.objectives.filter((o) => o.kind === 'finished').map((o) => o.within);
    const coming = [...this.coming.values()].map((c) => c.plan);
    const plans = planRentals(demands, {
      types: [...types.values()],
      refused: (type, zone, spot) => this.isRefused(type, zone, spot),
      partFor: (zone, wanted) => choosePartFor(this.node, zone, wanted, coming),
      zoneOf: (part) => this.node.zoneOf.get(part),
      coming,
      patience: within.length > 0 ? Math.min(...within) : settings.lease * 2,
      serviceHorizon: 600,
      promptHorizon: settings.lease * 2,
    });
    for (const plan of mergePlans(plans)) {
      // A large rental is several requests, side by side: hundreds of machines may be missing.
      const most = groupLimit(settings.valueBytes);
      for (let left = plan.count; left > 0; left -= most) {
        void this.intend({ ...plan, count: Math.min(left, most) });
      }
    }
    for (const { part } of demands) {
      const held = this.holdOff.get(part) ?? 0;
      this.holdOff.set(part, Math.max(held, now + settings.report * 0.7));
    }
  }

  private isRefused(type: string, zone: string, spot: boolean): boolean {
    const refusal = this.refusals.get(`${type}/${zone}/${String(spot)}`);
    return (refusal?.until ?? 0) > this.node.clock.now();
  }

  /** The intention is stored before the request is sent; its name is never used again. */
  private async intend(plan: RentPlan): Promise<void> {
    const owner = this.owner();
    if (owner === null) return;
    const ask = this.nextAsk();
    const { part, type, zone, spot, count } = plan;
    const group: GroupRecord = { part, type, zone, spot, machines: {}, asked: count };
    const key = keys.group(ask);
    this.renting.add(ask);
    this.coming.set(ask, { plan, until: Infinity });
    // Demands that come up one by one are gathered: together they fill larger, cheaper machines.
    this.holdOff.set(part, this.node.clock.now() + this.node.settings.report);
    try {
      const when = [owner, { key, stamp: 0 }];
      const txn = { when, puts: [{ key, value: group }], removes: [] };
      const result = await this.node.state.txn(txn, 'rental');
      if (result.kind === 'applied') this.node.replica.note(key, group, result.stamp);
    } finally {
      this.renting.delete(ask);
    }
    if (this.node.replica.get(key) === undefined) this.coming.delete(ask);
    // Large rentals go out side by side; when the first has found none left, the others are not sent.
    else if (this.isRefused(type, zone, spot)) await this.conclude(ask, null);
    else await this.rent(ask, group);
  }

  private async rent(ask: string, group: GroupRecord): Promise<void> {
    if (this.renting.has(ask)) return;
    this.renting.add(ask);
    const { type, zone, spot, part, asked: count = 0 } = group;
    const kind = `${type}/${zone}/${String(spot)}`;
    try {
      const body = cloud.rentalRequest({ ask, type, zone, spot, count });
      const answer = await this.call('POST', cloud.paths.rentals, body);
      if (answer.status === 200) {
        const names = cloud.parseRented(answer.body) ?? [];
        // Until the group is stored, a list that shows them must not make strays of them.
        this.claims.set(ask, names);
        log.info(`rented ${names.length} of ${count} ${kind} for ${part}: ${names.join(' ')}`);
        const at = this.node.clock.wall();
        const machines = Object.fromEntries(names.map((n) => [n, { at }]));
        await this.conclude(ask, { part, type, zone, spot, machines });
        if (names.length < count) this.refuse(kind, part);
        else this.refusals.delete(kind);
      } else if (answer.status === 503 && JSON.stringify(answer.body).includes('no capacity')) {
        this.refuse(kind, part);
        await this.conclude(ask, null);
      } else if (answer.status === 400) {
        log.error(`the cloud calls a rental of ${kind} malformed`);
        await this.conclude(ask, null);
      } else this.downUntil = this.node.clock.now() + 1;
    } catch (error) {
      log.debug(`rental: ${describe(error)}`);
    } finally {
      this.renting.delete(ask);
    }
  }

  /** Puts a rental's machines in its intention's place; without an answer, the next step asks again. */
  private async conclude(ask: string, group: GroupRecord | null): Promise<void> {
    const known = this.coming.get(ask);
    const count = Object.keys(group?.machines ?? {}).length;
    if (known !== undefined && count === 0) this.coming.delete(ask);
    else if (known !== undefined) {
      known.plan.count = count;
      // Until the part has the record and has told its new demand.
      known.until = this.node.clock.now() + this.node.settings.report * 0.7;
    }
    const result = await this.replace(ask, count === 0 ? null : group, 'rental');
    if (result.kind !== 'conflict') return;
    // A copy of it that got no answer may have been applied.
    await this.reread(ask);
    await this.node.ownership.doubt(PROVISIONER);
  }

  private refuse(kind: string, part: string): void {
    const before = this.refusals.get(kind);
    const { report } = this.node.settings;
    const pause = Math.min(report * 10, (before?.pause ?? report) * 2);
    this.refusals.set(kind, { until: this.node.clock.now() + pause, pause });
    log.info(`no capacity: ${kind}`);
    // The next best kind is asked for as soon as the part's demand is fresh again.
    this.holdOff.set(part, this.node.clock.now() + report / 5);
  }

  // ---- Returning ----

  private release(now: number): void {
    for (const [name, at] of this.released) {
      if (now - at > this.node.settings.listLag * 10) this.released.delete(name);
    }
    const gossips = this.node.peers.gossips().filter((g) => g.served);
    // Those whose tasks wait to be known as over go before those that are only paid for.
    const names = new Set<string>([
      ...this.node.gossiper.lostMachines(),
      ...gossips.flatMap((g) => g.lost),
      ...this.node.gossiper.spareMachines(),
      ...gossips.flatMap((g) => g.spare),
    ]);
    for (const machine of this.listed.values()) {
      if (machine.status === 'failed') names.add(machine.name);
    }
    const due = [...names].filter((n) => !this.releasing.has(n) && !this.released.has(n));
    // All at once: when hundreds fall silent together, replicas wait for each of them.
    for (let at = 0; at < due.length; at += cloud.RELEASE_LIMIT) {
      void this.releaseNow(due.slice(at, at + cloud.RELEASE_LIMIT));
    }
  }

  private async releaseNow(names: string[]): Promise<void> {
    for (const name of names) this.releasing.add(name);
    try {
      const answer = await this.call('POST', cloud.paths.release, cloud.releaseRequest(names));
      if (answer.status !== 200) {
        this.downUntil = this.node.clock.now() + 1;
        return;
      }
      log.info(`released ${names.join(' ')}`);
      const now = this.node.clock.now();
      for (const name of names) this.released.set(name, now);
      await this.removeRecords(names);
    } catch (error) {
      log.debug(`release: ${describe(error)}`);
    } finally {
      for (const name of names) this.releasing.delete(name);
    }
  }

  /** The cloud has said that they are gone: what ran there is over. */
  private async removeRecords(names: string[]): Promise<void> {
    const { fleet, settings } = this.node;
    for (let tries = 0; tries < 20; tries++) {
      const groups = new Map<string, GroupRecord | null>();
      let bytes = 0;
      for (const name of names) {
        const ask = fleet.groupOf(name);
        if (ask === undefined) continue;
        const stored = this.node.replica.get(keys.group(ask))?.value as GroupRecord | undefined;
        const before = groups.get(ask) ?? stored;
        if (before === undefined) continue;
        if (!groups.has(ask)) {
          bytes += JSON.stringify(before).length;
          if (groups.size >= settings.txnOps || bytes > TXN_BYTES) break;
        }
        const machines = Object.fromEntries(
          Object.entries(before.machines).filter(([n]) => n !== name),
        );
        groups.set(ask, { ...before, machines });
      }
      if (groups.size === 0) return;
      for (const [ask, group] of groups) {
        if (group !== null && Object.keys(group.machines).length === 0) groups.set(ask, null);
      }
      const result = await this.replaceAll(groups, 'urgent');
      if (result.kind === 'refused' && this.owner() === null) return;
      if (result.kind === 'conflict') {
        // An earlier copy was applied, or the watch is late: look again.
        for (const ask of groups.keys()) await this.reread(ask);
        await this.node.ownership.doubt(PROVISIONER);
      }
      if (result.kind !== 'applied') await sleep(settings.report / 12);
    }
  }

  private async reread(ask: string): Promise<void> {
    const key = keys.group(ask);
    const item = await this.node.state.get(key);
    if (item === null) this.node.replica.noteRemoved(key, Infinity);
    else this.node.replica.note(key, item.value, item.stamp);
  }
}

/** Where a machine that is up can be asked; one that boots would seem to be silent. */
const addressOf = (machine: cloud.ListedMachine | undefined): string =>
  machine?.status === 'running' ? machine.address : '';

/** A machine's name, time and address in its group's record, with room for long ones. */
const MACHINE_BYTES = 120;

/** Machines that a group may have: its record, and copies of it in a transaction, stay within the limits. */
export const groupLimit = (valueBytes: number): number =>
  Math.max(1, Math.min(cloud.RENT_LIMIT, Math.floor((valueBytes * 0.8) / MACHINE_BYTES)));

function split(group: GroupRecord, most: number): GroupRecord[] {
  const machines = Object.entries(group.machines);
  const parts: GroupRecord[] = [];
  for (let at = 0; at < machines.length; at += most) {
    parts.push({ ...group, machines: Object.fromEntries(machines.slice(at, at + most)) });
  }
  return parts;
}

/** What is looked at to find a part for machines. */
export interface PoolNode {
  parts: string[];
  zoneOf: ReadonlyMap<string, string>;
  types: ReadonlyMap<string, { cpus: number }>;
  fleet: Pick<Fleet, 'countsOf'>;
}

/**
 * Machines go to a part of their own zone, so that a cut between zones leaves parts whole: to the one
 * that wants them, or else to the one with the fewest processors.
 */
export function choosePartFor(
  node: PoolNode,
  zone: string,
  wanted: string,
  /** Machines that are on their way to a part. */
  coming: Iterable<{ part: string; type: string; count: number }> = [],
): string {
  const inZone = node.parts.filter((p) => node.zoneOf.get(p) === zone);
  const candidates = inZone.length > 0 ? inZone : node.parts;
  if (candidates.includes(wanted)) return wanted;
  const cpus = new Map(candidates.map((p) => [p, 0]));
  const add = (part: string, type: string, count: number): void => {
    const before = cpus.get(part);
    if (before !== undefined) cpus.set(part, before + count * (node.types.get(type)?.cpus ?? 1));
  };
  for (const part of candidates) {
    for (const [type, count] of node.fleet.countsOf(part)) add(part, type, count);
  }
  for (const { part, type, count } of coming) add(part, type, count);
  return candidates.reduce((a, b) => ((cpus.get(b) ?? 0) < (cpus.get(a) ?? 0) ? b : a));
}
