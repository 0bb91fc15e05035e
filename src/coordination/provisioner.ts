/** The one elected node that rents and returns machines for all parts. */
import { sleep } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import * as cloud from '../protocol/cloud.js';
import { keys, type MachineRecord, type RentalRecord } from '../storage/records.js';
import { Budget, type TxnResult } from '../storage/stateClient.js';
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
    for (const [key, { value, stamp }] of this.node.replica.under('b/rental/')) {
      const ask = key.slice('b/rental/'.length);
      if (!this.renting.has(ask)) void this.rent(ask, value as RentalRecord, stamp);
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
    await this.budget.take(1, method === 'POST');
    // Its answers may take a second or two when it is busy.
    const answer = await this.node.http.call(
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
    } catch (error) {
      log.debug(`machine list: ${describe(error)}`);
    } finally {
      this.listing = false;
      this.lastList = this.node.clock.now();
    }
  }

  /** Machines that nobody expected (late rentals, those up from the start) get a part. */
  private async adoptStrays(found: Map<string, cloud.ListedMachine>): Promise<void> {
    const now = this.node.clock.now();
    for (const name of this.strays.keys()) if (!found.has(name)) this.strays.delete(name);
    for (const [name, machine] of found) {
      if (this.node.replica.get(keys.machine(name)) !== undefined) continue;
      if (this.released.has(name)) continue;
      const since = this.strays.get(name) ?? now;
      this.strays.set(name, since);
      // Its record may be on its way.
      if (now - since < this.node.settings.listLag * 0.5) continue;
      const { type, zone, spot } = machine;
      const part = this.partFor(zone, '');
      const at = this.node.clock.wall() - machine.age;
      await this.write({ [name]: { part, type, zone, spot, at } }, null);
      this.strays.delete(name);
    }
  }

  /** The part of this zone that has asked, or else the one with the fewest machines. */
  private partFor(zone: string, wanted: string): string {
    return choosePartFor(this.node, zone, wanted);
  }

  private owner(): { key: string; stamp: number } | null {
    const held = this.node.ownership.get(PROVISIONER);
    if (held === undefined || !this.node.ownership.valid) return null;
    return { key: keys.owner(PROVISIONER), stamp: held.stamp };
  }

  /** Stores machines' parts, and removes the rental they came from. */
  private async write(
    machines: Record<string, MachineRecord>,
    rental: { key: string; stamp: number } | null,
  ): Promise<TxnResult> {
    const owner = this.owner();
    if (owner === null) return { kind: 'refused' };
    const names = Object.keys(machines);
    const puts = names.map((n) => ({ key: keys.machine(n), value: machines[n] }));
    const result = await this.node.state.txn({
      when: [
        owner,
        ...names.map((n) => ({ key: keys.machine(n), stamp: 0 })),
        ...(rental === null ? [] : [rental]),
      ],
      puts,
      removes: rental === null ? [] : [rental.key],
    });
    if (result.kind === 'applied') {
      for (const put of puts) this.node.replica.note(put.key, put.value, result.stamp);
      if (rental !== null) this.node.replica.noteRemoved(rental.key, result.stamp);
    }
    return result;
  }

  // ---- Renting ----

  private rentForDemands(now: number): void {
    const { settings, types } = this.node;
    const demands = [...this.node.localDemands(), ...this.node.peers.demands()].filter(
      (d) => (this.holdOff.get(d.part) ?? 0) <= now,
    );
    if (demands.length === 0) return;
    const within = settings.objectives.filter((o) => o.kind === 'finished').map((o) => o.within);
    const plans = planRentals(demands, {
      types: [...types.values()],
      refused: (type, zone, spot) =>
        (this.refusals.get(`${type}/${zone}/${String(spot)}`)?.until ?? 0) > now,
      partFor: (zone, wanted) => this.partFor(zone, wanted),
      zoneOf: (part) => this.node.zoneOf.get(part),
      patience: within.length > 0 ? Math.min(...within) : settings.lease * 2,
      serviceHorizon: 600,
    });
    for (const plan of mergePlans(plans)) {
      // Until the machines' records have reached the part, its demand tells of them once more.
      this.holdOff.set(plan.part, now + settings.report * 0.7);
      void this.intend(plan, now);
    }
    for (const demand of demands) this.holdOff.set(demand.part, now + settings.report * 0.7);
  }

  /** The intention is stored before the request is sent; its name is never used again. */
  private async intend(plan: RentPlan, now: number): Promise<void> {
    const owner = this.owner();
    if (owner === null) return;
    const { txnOps } = this.node.settings;
    const count = Math.min(plan.count, cloud.RENT_LIMIT, txnOps - 2);
    const ask = `${this.node.settings.label}-${this.process}-${++this.sequence}`;
    const record: RentalRecord = { ...plan, count, at: this.node.clock.wall() };
    const key = keys.rental(ask);
    this.renting.add(ask);
    this.holdOff.set(plan.part, now + this.node.settings.report);
    try {
      const when = [owner, { key, stamp: 0 }];
      const txn = { when, puts: [{ key, value: record }], removes: [] };
      const result = await this.node.state.txn(txn, true);
      if (result.kind === 'applied') this.node.replica.note(key, record, result.stamp);
    } finally {
      this.renting.delete(ask);
    }
    const stored = this.node.replica.get(key);
    if (stored !== undefined) await this.rent(ask, record, stored.stamp);
  }

  private async rent(ask: string, record: RentalRecord, stamp: number): Promise<void> {
    if (this.renting.has(ask)) return;
    this.renting.add(ask);
    const { type, zone, spot, count, part } = record;
    const kind = `${type}/${zone}/${String(spot)}`;
    const rental = { key: keys.rental(ask), stamp };
    try {
      const body = cloud.rentalRequest({ ask, type, zone, spot, count });
      const answer = await this.call('POST', cloud.paths.rentals, body);
      if (answer.status === 200) {
        const names = cloud.parseRented(answer.body) ?? [];
        log.info(`rented ${names.length} of ${count} ${kind} for ${part}: ${names.join(' ')}`);
        const at = this.node.clock.wall();
        const machines = Object.fromEntries(names.map((n) => [n, { part, type, zone, spot, at }]));
        const result = await this.write(machines, rental);
        if (result.kind === 'conflict') await this.forget(rental, machines);
        if (names.length < count) this.refuse(kind, part);
        else this.refusals.delete(kind);
      } else if (answer.status === 503 && JSON.stringify(answer.body).includes('no capacity')) {
        this.refuse(kind, part);
        await this.forget(rental, {});
      } else if (answer.status === 400) {
        log.error(`the cloud calls a rental of ${kind} malformed`);
        await this.forget(rental, {});
      } else this.downUntil = this.node.clock.now() + 1;
    } catch (error) {
      log.debug(`rental: ${describe(error)}`);
    } finally {
      this.renting.delete(ask);
    }
  }

  /** Drops an intention; machines of it that are not stored yet come in as strays. */
  private async forget(
    rental: { key: string; stamp: number },
    machines: Record<string, MachineRecord>,
  ): Promise<void> {
    for (const [name, record] of Object.entries(machines))
      await this.write({ [name]: record }, null);
    const owner = this.owner();
    if (owner === null) return;
    const result = await this.node.state.txn({
      when: [owner, rental],
      puts: [],
      removes: [rental.key],
    });
    if (result.kind === 'applied') this.node.replica.noteRemoved(rental.key, result.stamp);
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
    const names = new Set<string>([
      ...this.node.localSpare(),
      ...this.node.localLost(),
      ...gossips.flatMap((g) => [...g.spare, ...g.lost]),
    ]);
    for (const machine of this.listed.values()) {
      if (machine.status === 'failed') names.add(machine.name);
    }
    const due = [...names].filter((n) => !this.releasing.has(n) && !this.released.has(n));
    if (due.length > 0) void this.releaseNow(due.slice(0, cloud.RELEASE_LIMIT));
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
    let left = names;
    for (let tries = 0; left.length > 0 && tries < 20; tries++) {
      const owner = this.owner();
      if (owner === null) return;
      const stored = left.flatMap((name) => {
        const item = this.node.replica.get(keys.machine(name));
        return item === undefined ? [] : [{ key: keys.machine(name), stamp: item.stamp }];
      });
      const batch = stored.slice(0, this.node.settings.txnOps);
      if (batch.length === 0) return;
      const removes = batch.map((b) => b.key);
      const result = await this.node.state.txn({ when: [owner, ...batch], puts: [], removes });
      if (result.kind === 'applied') {
        for (const key of removes) this.node.replica.noteRemoved(key, result.stamp);
      } else await sleep(0.3);
      left = left.filter((n) => this.node.replica.get(keys.machine(n)) !== undefined);
    }
  }
}

/** Machines go to a part of their own zone, so that a cut between zones leaves parts whole. */
export function choosePartFor(node: Controller, zone: string, wanted: string): string {
  const inZone = node.parts.filter((p) => node.zoneOf.get(p) === zone);
  const candidates = inZone.length > 0 ? inZone : node.parts;
  if (candidates.includes(wanted)) return wanted;
  const counts = new Map(candidates.map((p) => [p, 0]));
  for (const [, { value }] of node.replica.under('b/machine/')) {
    const { part, type } = value as MachineRecord;
    const before = counts.get(part);
    if (before !== undefined) counts.set(part, before + (node.types.get(type)?.cpus ?? 1));
  }
  let best = candidates[0] ?? node.settings.label;
  for (const [part, cpus] of counts) if (cpus < (counts.get(best) ?? 0)) best = part;
  return best;
}
