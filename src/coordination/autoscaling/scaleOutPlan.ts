/** What to rent for work that has no room: pure. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Demand } from '../../protocol/peerMessages.js';

export interface ScaleOutPlan {
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export interface ScaleOutContext {
  machineTypes: MachineType[];
  /** True while the cloud has lately refused this kind. */
  refused(type: string, zone: string, spot: boolean): boolean;
  /** The part that machines of this zone go to, for a demand of that part. */
  partFor(zone: string, wanted: string): string;
  /** Zone that the demanding part is in. */
  zoneOf(shard: string): string | undefined;
  /** Rentals whose machines the demands do not count yet. */
  coming: ScaleOutPlan[];
  /** Seconds in which batch work should be through. */
  patience: number;
  /** How long a live service's machine is expected to be kept. */
  serviceHorizon: number;
  /** The same for replicas that wait for it: the shorter, the more a quick boot is worth. */
  promptHorizon: number;
}

const RANKS = ['prod', 'high', 'normal', 'idle'];

interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  fits: number;
  score: number;
}

const perMachine = (type: MachineType, d: Demand): number => {
  const by = (have: number, need: number): number =>
    need > 0 ? Math.floor(have / need + 1e-9) : Infinity;
  return Math.min(by(type.cpus, d.cpus), by(type.gpus, d.gpus), by(type.memoryGb, d.memoryGb));
};

function horizonOf(demand: Demand, context: ScaleOutContext): number {
  if (!demand.isService) return Math.max(demand.expectedRunSeconds * 2, 60);
  return demand.isUrgent ? context.promptHorizon : context.serviceHorizon;
}

function offers(demand: Demand, context: ScaleOutContext): Offer[] {
  const found: Offer[] = [];
  for (const type of context.machineTypes) {
    if (demand.machineTypes !== null && !demand.machineTypes.includes(type.name)) continue;
    const fits = perMachine(type, demand);
    if (fits < 1) continue;
    for (const zone of type.zones) {
      if (demand.zone !== null && demand.zone !== zone) continue;
      const ordinary = !demand.allowsSpot || demand.isService || demand.onDemandCount > 0;
      for (const spot of [true, false].filter((s) => (s ? demand.allowsSpot : ordinary))) {
        if (context.refused(type.name, zone, spot)) continue;
        const price = spot ? type.spotPrice : type.price;
        const used = Math.min(fits, demand.count);
        // What else comes along may use the rest; count half of it as wasted.
        const share = price * (0.5 / fits + 0.5 / used);
        const horizon = horizonOf(demand, context);
        const fetch = demand.imageGb / Math.max(1e-3, type.fetchGbPerSecond);
        const away = zone === (context.zoneOf(demand.shard) ?? zone) ? 1 : 1.05;
        const score = share * ((horizon + type.bootSeconds + fetch) / horizon) * away;
        found.push({ type, zone, spot, fits, score });
      }
    }
  }
  return found.sort((a, b) => a.score - b.score);
}

/** One request for each kind and part: every request costs changes at the state service. */
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

/** Short tasks can follow each other on one machine and still be through in time. */
function wavesOf(demand: Demand, type: MachineType, context: ScaleOutContext): number {
  if (demand.isService) return 1;
  const spareTime = context.patience - type.bootSeconds;
  return Math.max(1, Math.min(3, Math.floor(spareTime / Math.max(1, demand.expectedRunSeconds))));
}

/** Machines that hold what waits, each kind at the lowest price for the work; largest rank first. */
export function planScaleOut(demands: Demand[], context: ScaleOutContext): ScaleOutPlan[] {
  const plans: ScaleOutPlan[] = [];
  /** Room left on machines that are being rented for others. */
  const spare = new Map<ScaleOutPlan, { cpus: number; memoryGb: number; gpus: number }>();
  const machineTypes = new Map(context.machineTypes.map((t) => [t.name, t]));
  for (const plan of context.coming) {
    const type = machineTypes.get(plan.type);
    if (type === undefined) continue;
    const { cpus, memoryGb, gpus } = type;
    const { count } = plan;
    spare.set(plan, { cpus: cpus * count, memoryGb: memoryGb * count, gpus: gpus * count });
  }
  const sorted = [...demands].sort((a, b) => RANKS.indexOf(a.rank) - RANKS.indexOf(b.rank));
  for (const demand of sorted) {
    let count = demand.count;
    for (const [plan, room] of spare) {
      const type = machineTypes.get(plan.type);
      const fitsThere =
        (demand.machineTypes === null || demand.machineTypes.includes(plan.type)) &&
        (demand.zone === null || demand.zone === plan.zone) &&
        (demand.allowsSpot || !plan.spot) &&
        plan.shard === context.partFor(plan.zone, demand.shard);
      if (!fitsThere || type === undefined || perMachine(type, demand) < 1) continue;
      const waves = wavesOf(demand, type, context);
      const by = (have: number, need: number): number =>
        need > 0 ? Math.floor((have * waves) / need + 1e-9) : Infinity;
      const tasks = Math.min(
        count,
        by(room.cpus, demand.cpus),
        by(room.memoryGb, demand.memoryGb),
        by(room.gpus, demand.gpus),
      );
      count -= tasks;
      room.cpus -= (tasks * demand.cpus) / waves;
      room.memoryGb -= (tasks * demand.memoryGb) / waves;
      room.gpus -= (tasks * demand.gpus) / waves;
    }
    if (count === 0) continue;
    const best = offers({ ...demand, count }, context)[0];
    if (best === undefined) continue;
    const { type, zone, spot, fits } = best;
    if (demand.allowsSpot && !demand.isService && !spot)
      count = Math.min(count, demand.onDemandCount);
    const machines = Math.ceil(count / (fits * wavesOf(demand, type, context)));
    const shard = context.partFor(zone, demand.shard);
    const plan = { shard, type: type.name, zone, spot, count: machines };
    plans.push(plan);
    const left = Math.max(0, machines * fits - count);
    spare.set(plan, {
      cpus: left * demand.cpus,
      memoryGb: left * demand.memoryGb,
      gpus: left * demand.gpus,
    });
  }
  return plans;
}
