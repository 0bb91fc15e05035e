/** Launches machines for the demands of all shards, and records each scale-out before it is requested. */
import { describeError, log } from '../../base/log.js';
import { keys, type MachineGroupRecord } from '../../storage/records.js';
import { AUTOSCALER_ROLE } from '../leadership/shardLeadership.js';
import type { CloudClient, LaunchResult } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import type { MachineGroupStore } from './machineGroupStore.js';
import type { UnansweredLaunches } from './unansweredLaunches.js';
import { chooseShardFor, groupLimit } from './machineGroups.js';
import { mergePlans, planScaleOut, type ScaleOutPlan } from './scaleOutPlan.js';

/** Seconds for which a live service's machine is expected to be kept. */
const SERVICE_HORIZON = 600;

/**
 * Longest pause before a kind that is out of stock is requested again, as a ratio to the heartbeat interval. The pause is
 * twice the interval at first, and doubles each time.
 */
const MAX_OUT_OF_STOCK_PAUSE = 10;

/** Time until a shard's demands account for a scale-out, as a ratio to the heartbeat interval. */
const DEMAND_LAG = 0.7;

/** Cooldown of a shard after a kind was out of stock, as a ratio to the heartbeat interval. */
const OTHER_KIND_COOLDOWN = 1 / 5;

/** A scale-out whose machines the demands may not account for yet. */
interface PendingScaleOut {
  plan: ScaleOutPlan;
  /** Monotonic time until which the shards' demands may not account for its machines. */
  until: number;
}

const kindOf = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${String(spot)}`;

/**
 * Sizes of the launch requests for `count` machines, at most `limit` of which fit a record. For a kind that was out of
 * stock a single request is sent as a probe: each request costs two writes to the state service, and a dozen that failed
 * together once delayed starts in the autoscaler's own shard for minutes.
 */
export function requestSizes(count: number, limit: number, wasOutOfStock: boolean): number[] {
  const sizes: number[] = [];
  for (let left = count; left > 0; left -= limit) {
    sizes.push(Math.min(left, limit));
    if (wasOutOfStock) break;
  }
  return sizes;
}

/** Scale-out of all shards by the elected autoscaler. */
export class ScaleOut {
  /** Kinds of machines that are out of stock, with the monotonic time at which each is requested again. */
  private readonly outOfStock = new Map<string, { until: number; pause: number }>();
  /** Scale-outs, by name, that are being stored or requested. */
  private readonly inProgress = new Set<string>();
  /** Scale-outs in progress, and those that the shards' demands may not account for yet, by name. */
  private readonly pending = new Map<string, PendingScaleOut>();
  /** Monotonic time at which each shard's cooldown ends; its demands are ignored before that. */
  private readonly cooldownUntil = new Map<string, number>();

  constructor(
    private readonly node: AutoscalingContext,
    private readonly cloud: CloudClient,
    private readonly groups: MachineGroupStore,
    private readonly unansweredLaunches: UnansweredLaunches,
  ) {}

  /** Forgets the scale-outs of an earlier election. */
  reset(): void {
    this.pending.clear();
  }

  /** Whether the scale-out is in progress, or recorded and not answered yet. */
  isOpen(name: string): boolean {
    return this.inProgress.has(name) || this.node.inventory.isPendingRental(name);
  }

  /** Sends the launch requests of all recorded scale-outs again, also those of an earlier autoscaler. */
  continueOpen(now: number): void {
    for (const [name, { until }] of this.pending) if (until <= now) this.pending.delete(name);
    for (const [name, group] of this.node.inventory.entries()) {
      if (group.requestedCount !== undefined && !this.inProgress.has(name))
        void this.launch(name, group);
    }
  }

  /** Starts scale-outs for the shards' demands, except for those in cooldown. */
  launchForDemands(now: number): void {
    const { settings, gossiper, peers } = this.node;
    const demands = [...gossiper.demands, ...peers.demands()].filter(
      (demand) => (this.cooldownUntil.get(demand.shard) ?? 0) <= now,
    );
    if (demands.length === 0) return;
    // A large scale-out is split into concurrent requests: hundreds of machines may be missing.
    const limit = groupLimit(settings.valueBytes);
    for (const plan of mergePlans(this.plan(demands))) {
      for (const count of requestSizes(plan.count, limit, this.wasOutOfStock(plan))) {
        void this.startScaleOut({ ...plan, count });
      }
    }
    for (const { shard } of demands) {
      const cooldown = this.cooldownUntil.get(shard) ?? 0;
      this.cooldownUntil.set(
        shard,
        Math.max(cooldown, now + settings.heartbeatInterval * DEMAND_LAG),
      );
    }
  }

  private plan(demands: Parameters<typeof planScaleOut>[0]): ScaleOutPlan[] {
    const { node } = this;
    const { settings, machineTypes } = node;
    const windows = settings.objectives
      .filter((objective) => objective.kind === 'finished')
      .map((objective) => objective.within);
    const pending = [...this.pending.values()].map(({ plan }) => plan);
    return planScaleOut(demands, {
      machineTypes: [...machineTypes.values()],
      isOutOfStock: (type, zone, spot) => this.isOutOfStock(kindOf(type, zone, spot)),
      shardFor: (zone, wanted) => chooseShardFor(node, zone, wanted, pending),
      zoneOf: (shard) => node.zoneOf.get(shard),
      pending,
      batchWindow: windows.length > 0 ? Math.min(...windows) : settings.workerLease * 2,
      serviceHorizon: SERVICE_HORIZON,
      urgentServiceHorizon: settings.workerLease * 2,
    });
  }

  /** Whether the last request for this kind got no machines, or not all of them. */
  private wasOutOfStock({ type, zone, spot }: ScaleOutPlan): boolean {
    return this.outOfStock.has(kindOf(type, zone, spot));
  }

  private isOutOfStock(kind: string): boolean {
    return (this.outOfStock.get(kind)?.until ?? 0) > this.node.clock.now();
  }

  /** Records the scale-out before the request is sent, so that a later autoscaler can continue it. */
  private async startScaleOut(plan: ScaleOutPlan): Promise<void> {
    const { clock, stateCache, settings } = this.node;
    if (this.groups.leaderCondition() === null) return;
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
    this.inProgress.add(name);
    this.unansweredLaunches.noteRecorded(name);
    this.pending.set(name, { plan, until: Infinity });
    // The cooldown collects demands that arrive one by one: together they fill larger, cheaper machines.
    this.cooldownUntil.set(shard, clock.now() + settings.heartbeatInterval);
    try {
      await this.groups.create(name, group);
    } finally {
      this.inProgress.delete(name);
    }
    if (stateCache.get(keys.machineGroup(name)) === undefined) this.forgetUnrecorded(name);
    // Requests are concurrent. Once one of them has found the kind out of stock, no other is sent.
    else if (this.isOutOfStock(kindOf(type, zone, spot))) await this.conclude(name, null);
    else await this.launch(name, group);
  }

  /**
   * Forgets a scale-out whose record is absent from the cached state. If the record appears after all, it is continued
   * like that of an earlier process.
   */
  private forgetUnrecorded(name: string): void {
    this.pending.delete(name);
    this.unansweredLaunches.forget(name);
  }

  private async launch(name: string, group: MachineGroupRecord): Promise<void> {
    if (this.inProgress.has(name)) return;
    this.inProgress.add(name);
    const { type, zone, spot, requestedCount: count = 0 } = group;
    try {
      const result = await this.cloud.launch({ idempotencyKey: name, type, zone, spot, count });
      await this.handleResult(name, group, result);
    } catch (error) {
      log.debug(`scale-out failed: ${describeError(error)}`);
    } finally {
      this.inProgress.delete(name);
    }
  }

  private async handleResult(
    name: string,
    group: MachineGroupRecord,
    result: LaunchResult,
  ): Promise<void> {
    const { shard, type, zone, spot } = group;
    const kind = kindOf(type, zone, spot);
    switch (result.kind) {
      case 'launched':
        await this.recordMachines(name, group, result.machines);
        return;
      case 'insufficient-capacity':
        this.noteOutOfStock(kind, shard);
        await this.conclude(name, null);
        return;
      case 'malformed':
        log.error(`the cloud rejects the request for ${kind} as malformed`);
        await this.conclude(name, null);
        return;
      case 'unavailable':
        // The record stays, and the request is sent again.
        return;
    }
  }

  private async recordMachines(
    name: string,
    group: MachineGroupRecord,
    names: string[],
  ): Promise<void> {
    const { shard, type, zone, spot, requestedCount: requested = 0 } = group;
    const kind = kindOf(type, zone, spot);
    // A machine is being adopted in another group. The request is repeated, and gets the same answer once that is settled.
    if (names.some((machine) => this.groups.isBeingStoredElsewhere(machine, name))) return;
    const own = names.filter((machine) => this.mayRecord(machine, name));
    // Until the group is stored, its machines must not be taken for unknown ones when the list shows them.
    this.groups.pendingMachines.set(name, own);
    log.info(`launched ${names.length} of ${requested} ${kind} for ${shard}: ${names.join(' ')}`);
    const launchedAt = this.node.clock.wall();
    const machines = Object.fromEntries(own.map((machine) => [machine, { launchedAt }]));
    await this.conclude(name, { shard, type, zone, spot, machines });
    if (names.length < requested) this.noteOutOfStock(kind, shard);
    else this.outOfStock.delete(kind);
  }

  /**
   * False for a machine that another group already names: the answer to its launch request was late, and the machine was
   * adopted meanwhile. This is certain, since all group records are written under this election's key, and
   * earlier ones were read with it.
   */
  private mayRecord(machine: string, name: string): boolean {
    const groups = this.node.inventory.groupsOf(machine);
    if (groups.length === 0 || groups.includes(name)) return true;
    log.info(`machine ${machine} of scale-out ${name} is already recorded in ${groups.join(' ')}`);
    return false;
  }

  /**
   * Replaces the record of the scale-out by its machines; if the state service does not answer, the next step tries again.
   */
  private async conclude(name: string, group: MachineGroupRecord | null): Promise<void> {
    const { clock, leadership, settings } = this.node;
    const pending = this.pending.get(name);
    const count = Object.keys(group?.machines ?? {}).length;
    if (pending !== undefined && count === 0) this.pending.delete(name);
    else if (pending !== undefined) {
      pending.plan.count = count;
      // The shard has to receive the record and announce its new demand first.
      pending.until = clock.now() + settings.heartbeatInterval * DEMAND_LAG;
    }
    this.unansweredLaunches.forget(name);
    const stored = new Map([[name, count === 0 ? null : group]]);
    const replaced = await this.groups.replace(stored, 'rental');
    if (replaced.kind !== 'conflict') return;
    await this.groups.reread(name);
    await leadership.verifyLeadership(AUTOSCALER_ROLE);
  }

  private noteOutOfStock(kind: string, shard: string): void {
    const { heartbeatInterval } = this.node.settings;
    const before = this.outOfStock.get(kind)?.pause ?? heartbeatInterval;
    const pause = Math.min(heartbeatInterval * MAX_OUT_OF_STOCK_PAUSE, before * 2);
    const now = this.node.clock.now();
    this.outOfStock.set(kind, { until: now + pause, pause });
    log.info(`the cloud has no capacity for ${kind}`);
    // The shard's next best kind is requested as soon as its demand is up to date.
    this.cooldownUntil.set(shard, now + heartbeatInterval * OTHER_KIND_COOLDOWN);
  }
}
