/** Rents machines for what the parts lack. */
import { describe, log } from '../../base/log.js';
import { keys, type MachineGroupRecord } from '../../storage/records.js';
import { AUTOSCALER_DUTY } from '../leadership/shardLeadership.js';
import type { CloudClient, RentalAnswer } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import type { MachineGroupStore } from './machineGroupStore.js';
import { chooseShardFor, groupLimit } from './machineGroups.js';
import { mergePlans, planScaleOut, type ScaleOutPlan } from './scaleOutPlan.js';

/** Seconds for which a live service's machine is expected to be kept. */
const SERVICE_HORIZON = 600;

/** Pauses after a refusal: from twice the time between reports, doubled, up to this ratio to it. */
const LONGEST_PAUSE = 10;

/** How long a part's demands take to count a rental, as a ratio to the time between reports. */
const DEMAND_LAG = 0.7;

/** How soon a part's demands are looked at again after a refusal, as a ratio to the time between reports. */
const RETRY_OTHER_KIND = 1 / 5;

interface PendingScaleOut {
  plan: ScaleOutPlan;
  /** Steady time until which the parts may not have counted its machines. */
  until: number;
}

const kindOf = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${String(spot)}`;

/**
 * The requests for so many machines, each of which fits a record. Of a kind that was out of stock one is sent to see:
 * each costs two changes of the state service, and a dozen that are refused together kept the starts of the
 * provisioner's own part waiting for minutes.
 */
export function requestSizes(count: number, most: number, wasRefused: boolean): number[] {
  const sizes: number[] = [];
  for (let left = count; left > 0; left -= most) {
    sizes.push(Math.min(left, most));
    if (wasRefused) break;
  }
  return sizes;
}

export class ScaleOut {
  /** Kinds of machines of which the cloud has none, and when they are asked for again. */
  private readonly refusals = new Map<string, { until: number; pause: number }>();
  /** Rentals, by name, that are being stored or asked for. */
  private readonly busy = new Set<string>();
  /** Rentals on their way, and those whose machines the parts may not have counted yet, by name. */
  private readonly coming = new Map<string, PendingScaleOut>();
  /** When each part's demands are looked at again. */
  private readonly holdOff = new Map<string, number>();

  constructor(
    private readonly node: AutoscalingContext,
    private readonly cloud: CloudClient,
    private readonly groups: MachineGroupStore,
  ) {}

  /** This node has been elected: what it knew of an earlier election's rentals is void. */
  reset(): void {
    this.coming.clear();
  }

  /** The rental has not been concluded. */
  isOpen(name: string): boolean {
    return this.busy.has(name) || this.node.inventory.isIntention(name);
  }

  /** Goes on with all intentions, also those of an earlier provisioner. */
  continueOpen(now: number): void {
    for (const [name, { until }] of this.coming) if (until <= now) this.coming.delete(name);
    for (const [name, group] of this.node.inventory.entries()) {
      if (group.requestedCount !== undefined && !this.busy.has(name)) void this.rent(name, group);
    }
  }

  rentForDemands(now: number): void {
    const { settings, gossiper, peers } = this.node;
    const demands = [...gossiper.demands, ...peers.demands()].filter(
      (demand) => (this.holdOff.get(demand.shard) ?? 0) <= now,
    );
    if (demands.length === 0) return;
    // A large rental is several requests, side by side: hundreds of machines may be missing.
    const most = groupLimit(settings.valueBytes);
    for (const plan of mergePlans(this.plan(demands))) {
      for (const count of requestSizes(plan.count, most, this.wasRefused(plan))) {
        void this.intend({ ...plan, count });
      }
    }
    for (const { shard } of demands) {
      const held = this.holdOff.get(shard) ?? 0;
      this.holdOff.set(shard, Math.max(held, now + settings.heartbeatInterval * DEMAND_LAG));
    }
  }

  private plan(demands: Parameters<typeof planScaleOut>[0]): ScaleOutPlan[] {
    const { node } = this;
    const { settings, machineTypes } = node;
    const within = settings.objectives.filter((o) => o.kind === 'finished').map((o) => o.within);
    const coming = [...this.coming.values()].map(({ plan }) => plan);
    return planScaleOut(demands, {
      machineTypes: [...machineTypes.values()],
      refused: (type, zone, spot) => this.isRefused(kindOf(type, zone, spot)),
      partFor: (zone, wanted) => chooseShardFor(node, zone, wanted, coming),
      zoneOf: (shard) => node.zoneOf.get(shard),
      coming,
      patience: within.length > 0 ? Math.min(...within) : settings.workerLease * 2,
      serviceHorizon: SERVICE_HORIZON,
      promptHorizon: settings.workerLease * 2,
    });
  }

  /** The last that was asked for of this kind could not be had, or not all of it. */
  private wasRefused({ type, zone, spot }: ScaleOutPlan): boolean {
    return this.refusals.has(kindOf(type, zone, spot));
  }

  private isRefused(kind: string): boolean {
    return (this.refusals.get(kind)?.until ?? 0) > this.node.clock.now();
  }

  /** The intention is stored before the request is sent. */
  private async intend(plan: ScaleOutPlan): Promise<void> {
    const { clock, stateCache, settings } = this.node;
    if (this.groups.ownerCondition() === null) return;
    const name = this.groups.nextName();
    const { shard, type, zone, spot, count } = plan;
    const group: MachineGroupRecord = {
      shard,
      type,
      zone,
      spot,
      machines: {},
      requestedCount: count,
    };
    this.busy.add(name);
    this.coming.set(name, { plan, until: Infinity });
    // Demands that come up one by one are gathered: together they fill larger, cheaper machines.
    this.holdOff.set(shard, clock.now() + settings.heartbeatInterval);
    try {
      await this.groups.create(name, group);
    } finally {
      this.busy.delete(name);
    }
    if (stateCache.get(keys.group(name)) === undefined) this.coming.delete(name);
    // Large rentals go out side by side; when the first has found none left, the others are not sent.
    else if (this.isRefused(kindOf(type, zone, spot))) await this.conclude(name, null);
    else await this.rent(name, group);
  }

  private async rent(name: string, group: MachineGroupRecord): Promise<void> {
    if (this.busy.has(name)) return;
    this.busy.add(name);
    const { type, zone, spot, requestedCount: count = 0 } = group;
    try {
      const answer = await this.cloud.rent({ ask: name, type, zone, spot, count });
      await this.takeAnswer(name, group, answer);
    } catch (error) {
      log.debug(`rental: ${describe(error)}`);
    } finally {
      this.busy.delete(name);
    }
  }

  private async takeAnswer(
    name: string,
    group: MachineGroupRecord,
    answer: RentalAnswer,
  ): Promise<void> {
    const { shard, type, zone, spot } = group;
    const kind = kindOf(type, zone, spot);
    switch (answer.kind) {
      case 'rented':
        await this.takeMachines(name, group, answer.machines);
        return;
      case 'no-capacity':
        this.refuse(kind, shard);
        await this.conclude(name, null);
        return;
      case 'malformed':
        log.error(`the cloud calls a rental of ${kind} malformed`);
        await this.conclude(name, null);
        return;
      case 'unavailable':
        // The intention stays and is asked for again.
        return;
    }
  }

  private async takeMachines(
    name: string,
    group: MachineGroupRecord,
    names: string[],
  ): Promise<void> {
    const { shard, type, zone, spot, requestedCount: asked = 0 } = group;
    const kind = kindOf(type, zone, spot);
    // Until the group is stored, a list that shows them must not make unknown machines of them.
    this.groups.pending.set(name, names);
    log.info(`rented ${names.length} of ${asked} ${kind} for ${shard}: ${names.join(' ')}`);
    const launchedAt = this.node.clock.wall();
    const machines = Object.fromEntries(names.map((machine) => [machine, { launchedAt }]));
    await this.conclude(name, { shard, type, zone, spot, machines });
    if (names.length < asked) this.refuse(kind, shard);
    else this.refusals.delete(kind);
  }

  /** Puts a rental's machines in its intention's place; without an answer, the next step asks again. */
  private async conclude(name: string, group: MachineGroupRecord | null): Promise<void> {
    const { clock, leadership: ownership, settings } = this.node;
    const coming = this.coming.get(name);
    const count = Object.keys(group?.machines ?? {}).length;
    if (coming !== undefined && count === 0) this.coming.delete(name);
    else if (coming !== undefined) {
      coming.plan.count = count;
      // Until the part has the record and has told its new demand.
      coming.until = clock.now() + settings.heartbeatInterval * DEMAND_LAG;
    }
    const stored = new Map([[name, count === 0 ? null : group]]);
    const result = await this.groups.replace(stored, 'rental');
    if (result.kind !== 'conflict') return;
    await this.groups.reread(name);
    await ownership.verifyLeadership(AUTOSCALER_DUTY);
  }

  private refuse(kind: string, shard: string): void {
    const { heartbeatInterval } = this.node.settings;
    const before = this.refusals.get(kind)?.pause ?? heartbeatInterval;
    const pause = Math.min(heartbeatInterval * LONGEST_PAUSE, before * 2);
    const now = this.node.clock.now();
    this.refusals.set(kind, { until: now + pause, pause });
    log.info(`no capacity: ${kind}`);
    // The next best kind is asked for as soon as the part's demand is fresh again.
    this.holdOff.set(shard, now + heartbeatInterval * RETRY_OTHER_KIND);
  }
}
