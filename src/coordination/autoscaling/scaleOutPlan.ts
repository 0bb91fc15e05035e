/** Plans which machines to launch for work that has no room: pure functions of demands and machine types. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Demand } from '../../protocol/peerMessages.js';
import { timesThatFit, type Resources } from '../model/resources.js';

/** Machines of one kind to launch for one shard. */
export interface ScaleOutPlan {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The inputs of planning besides the demands. */
export interface ScaleOutContext {
  machineTypes: MachineType[];
  /** Whether the cloud recently had no machines of this kind. */
  isOutOfStock(type: string, zone: string, spot: boolean): boolean;
  /** The shard that machines of this zone go to, for a demand of the shard `wanted`. */
  shardFor(zone: string, wanted: string): string;
  /** The zone that the demanding shard is in. */
  zoneOf(shard: string): string | undefined;
  /** Scale-outs whose machines the demands do not account for yet. */
  pending: ScaleOutPlan[];
  /** Seconds in which batch work should be completed. */
  batchWindow: number;
  /** Seconds for which a live service's machine is expected to be kept. */
  serviceHorizon: number;
  /** The same for replicas that are waiting for a machine; the shorter it is, the more a quick boot is worth. */
  urgentServiceHorizon: number;
}

/** Ranks of demands in the order in which they are planned for. */
const RANKS = ['prod', 'high', 'normal', 'idle'];

/** Shortest horizon of batch work, in seconds, and its ratio to the expected run time. */
const MIN_BATCH_HORIZON = 60;
const BATCH_HORIZON_RUNS = 2;

/**
 * Share of a machine's unused room that counts as wasted when a task is priced; other tasks that come later may use the
 * rest.
 */
const WASTED_SHARE = 0.5;

/** Price factor of machines outside the demanding shard's zone. */
const OTHER_ZONE_FACTOR = 1.05;

/** Lower bound of fetch rates, in GB per second, against division by zero. */
const MIN_FETCH_RATE = 1e-3;

/** Most short tasks that are planned to run one after the other on one machine. */
const MAX_SUCCESSIVE_TASKS = 3;

/** A kind of machine that can serve a demand. */
interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Tasks that one machine holds at once. */
  fits: number;
  /** Price of the work per task, with all factors; the lowest is best. */
  score: number;
}

/** Merges plans of the same kind and shard: each request costs writes to the state service. */
export function mergePlans(plans: ScaleOutPlan[]): ScaleOutPlan[] {
  const merged = new Map<string, ScaleOutPlan>();
  for (const plan of plans) {
    const key = [plan.shard, plan.type, plan.zone, String(plan.spot)].join(' ');
    const known = merged.get(key);
    if (known === undefined) merged.set(key, { ...plan });
    else known.count += plan.count;
  }
  return [...merged.values()];
}

/** Plans machines for the demands, each kind at the lowest price for the work; the highest rank comes first. */
export function planScaleOut(demands: Demand[], context: ScaleOutContext): ScaleOutPlan[] {
  return new ScaleOutPlanner(context).plan(demands);
}

class ScaleOutPlanner {
  private readonly plans: ScaleOutPlan[] = [];
  /** Resources left on machines that are launched for other demands, by plan. */
  private readonly spare = new Map<ScaleOutPlan, Resources>();
  private readonly machineTypes: ReadonlyMap<string, MachineType>;

  constructor(private readonly context: ScaleOutContext) {
    this.machineTypes = new Map(context.machineTypes.map((type) => [type.name, type]));
    for (const plan of context.pending) {
      const type = this.machineTypes.get(plan.type);
      if (type !== undefined) this.spare.set(plan, multiply(type, plan.count));
    }
  }

  plan(demands: Demand[]): ScaleOutPlan[] {
    const sorted = [...demands].sort((a, b) => RANKS.indexOf(a.rank) - RANKS.indexOf(b.rank));
    for (const demand of sorted.flatMap(splitBound)) {
      const count = this.placeOnSpare(demand);
      if (count > 0) this.launchFor(demand, count);
    }
    return this.plans;
  }

  /** Places tasks on resources left on machines that are launched for others; returns the number of tasks that remain. */
  private placeOnSpare(demand: Demand): number {
    let count = demand.count;
    for (const [plan, room] of this.spare) {
      const type = this.machineTypes.get(plan.type);
      if (type === undefined || !this.mayUse(demand, plan) || timesThatFit(type, demand) < 1)
        continue;
      const successive = successiveTasks(demand, type, this.context);
      const tasks = Math.min(count, timesThatFit(room, demand, successive));
      count -= tasks;
      room.cpus -= (tasks * demand.cpus) / successive;
      room.memoryGb -= (tasks * demand.memoryGb) / successive;
      room.gpus -= (tasks * demand.gpus) / successive;
    }
    return count;
  }

  /** Whether the demand's constraints allow the planned machines, and they go to its shard. */
  private mayUse(demand: Demand, plan: ScaleOutPlan): boolean {
    return (
      (demand.machineTypes === null || demand.machineTypes.includes(plan.type)) &&
      (demand.zone === null || demand.zone === plan.zone) &&
      (demand.allowsSpot || !plan.spot) &&
      plan.shard === this.shardFor(plan.zone, demand)
    );
  }

  /** The shard that machines of a zone go to for the demand; machines of any other would not serve bound replicas. */
  private shardFor(zone: string, demand: Demand): string {
    return isBound(demand) ? demand.shard : this.context.shardFor(zone, demand.shard);
  }

  private launchFor(demand: Demand, wantedCount: number): void {
    const offers = offersFor({ ...demand, count: wantedCount }, this.context);
    const ownZone = this.context.zoneOf(demand.shard);
    const inOwnZone = isBound(demand) ? offers.find(({ zone }) => zone === ownZone) : undefined;
    const best = inOwnZone ?? offers[0];
    if (best === undefined) return;
    const { type, zone, spot, fits } = best;
    const isOnDemandBatch = demand.allowsSpot && !demand.isService && !spot;
    const count = isOnDemandBatch ? Math.min(wantedCount, demand.onDemandCount) : wantedCount;
    const machines = Math.ceil(count / (fits * successiveTasks(demand, type, this.context)));
    const shard = this.shardFor(zone, demand);
    const plan = { shard, type: type.name, zone, spot, count: machines };
    this.plans.push(plan);
    this.spare.set(plan, multiply(demand, Math.max(0, machines * fits - count)));
  }
}

/** Whether all replicas of the demand can be started by the demanding shard only. */
const isBound = ({ boundCount, count }: Demand): boolean => boundCount > 0 && boundCount >= count;

/** The demand for bound replicas, if there are any, and that for all other work. */
function splitBound(demand: Demand): Demand[] {
  const { count, boundCount } = demand;
  if (boundCount === 0 || isBound(demand)) return [demand];
  return [
    { ...demand, count: boundCount },
    { ...demand, count: count - boundCount, boundCount: 0 },
  ];
}

const multiply = ({ cpus, gpus, memoryGb }: Resources, count: number): Resources => ({
  cpus: cpus * count,
  gpus: gpus * count,
  memoryGb: memoryGb * count,
});

/** How many short tasks may run one after the other on one machine and still complete in the window. */
function successiveTasks(demand: Demand, type: MachineType, context: ScaleOutContext): number {
  if (demand.isService) return 1;
  const available = context.batchWindow - type.bootSeconds;
  const successive = Math.floor(available / Math.max(1, demand.expectedRunSeconds));
  return Math.max(1, Math.min(MAX_SUCCESSIVE_TASKS, successive));
}

/** The kinds of machines that the demand allows, the cheapest for the work first. */
function offersFor(demand: Demand, context: ScaleOutContext): Offer[] {
  const offers: Offer[] = [];
  for (const type of context.machineTypes) {
    if (demand.machineTypes !== null && !demand.machineTypes.includes(type.name)) continue;
    const fits = timesThatFit(type, demand);
    if (fits < 1) continue;
    for (const zone of type.zones) {
      if (demand.zone !== null && demand.zone !== zone) continue;
      for (const spot of marketsFor(demand)) {
        if (context.isOutOfStock(type.name, zone, spot)) continue;
        const score = scoreOf(demand, { type, zone, spot, fits }, context);
        offers.push({ type, zone, spot, fits, score });
      }
    }
  }
  return offers.sort((a, b) => a.score - b.score);
}

/** Whether spot machines (true) and on-demand machines (false) may be launched for the demand. */
function marketsFor(demand: Demand): boolean[] {
  const allowsOnDemand = !demand.allowsSpot || demand.isService || demand.onDemandCount > 0;
  return [true, false].filter((spot) => (spot ? demand.allowsSpot : allowsOnDemand));
}

function scoreOf(
  demand: Demand,
  { type, zone, spot, fits }: Omit<Offer, 'score'>,
  context: ScaleOutContext,
): number {
  const price = spot ? type.spotPrice : type.price;
  const used = Math.min(fits, demand.count);
  // Later work may use the remaining room: half of its price counts as wasted.
  const pricePerTask = price * (WASTED_SHARE / fits + WASTED_SHARE / used);
  const horizon = horizonOf(demand, context);
  const fetch = demand.imageGb / Math.max(MIN_FETCH_RATE, type.fetchGbPerSecond);
  const zoneFactor = zone === (context.zoneOf(demand.shard) ?? zone) ? 1 : OTHER_ZONE_FACTOR;
  return pricePerTask * ((horizon + type.bootSeconds + fetch) / horizon) * zoneFactor;
}

/** Seconds for which the machine is expected to be used by the demand. */
function horizonOf(demand: Demand, context: ScaleOutContext): number {
  if (!demand.isService) {
    return Math.max(demand.expectedRunSeconds * BATCH_HORIZON_RUNS, MIN_BATCH_HORIZON);
  }
  return demand.isUrgent ? context.urgentServiceHorizon : context.serviceHorizon;
}
