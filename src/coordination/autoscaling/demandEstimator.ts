/** What should be rented for a part, and which of its machines may be returned: pure. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { rankName, type JobSpec } from '../../protocol/job.js';
import type { Demand } from '../../protocol/peerMessages.js';
import type { Chunk } from '../shard/chunk.js';
import { ArrivalRate } from '../scheduling/runTimes.js';
import type { Machine } from '../shard/machine.js';
import type { Shard } from '../shard/shard.js';
import {
  satisfiesConstraints,
  fits,
  shapeOf,
  subtractResources,
  type Resources,
} from '../scheduling/placement.js';

export interface DemandOptions {
  /** Batch work that waits should be through in this many seconds. */
  patience: number;
  /** Beyond this many seconds machines at full price are worth it: the last of its objectives is at risk. */
  dearPatience: number;
  /** Room for arriving batch work, as a ratio to its average. */
  headroom: number;
  /** Seconds over which arrivals are averaged. */
  window: number;
}

export class DemandEstimator {
  private readonly arrivals: ArrivalRate;
  private readonly liveArrivals: ArrivalRate;
  private lastLive: Chunk | null = null;

  constructor(
    private readonly part: Pick<
      Shard,
      'label' | 'machines' | 'chunks' | 'waiting' | 'queue' | 'estimates'
    >,
    private readonly options: DemandOptions,
    private readonly types: () => Map<string, MachineType>,
  ) {
    this.arrivals = new ArrivalRate(options.window);
    this.liveArrivals = new ArrivalRate(options.window);
  }

  noteArrival(chunk: Chunk, sign: number, now: number): void {
    if (chunk.spec.service) {
      this.liveArrivals.note(sign * chunk.pending * chunk.spec.cpus, now);
      this.lastLive = chunk;
      return;
    }
    this.arrivals.note(
      sign * chunk.pending * chunk.spec.cpus * this.part.estimates.expectedRun(chunk.spec),
      now,
    );
  }

  /** After a start the rate of arrivals is not known: what runs is the best guess. */
  seedArrivals(now: number): void {
    let cpus = 0;
    for (const chunk of this.part.chunks.values()) {
      if (!chunk.spec.service) cpus += chunk.entries.size * chunk.spec.cpus;
    }
    this.arrivals.seed(cpus, now);
  }

  private countsForBatch(machine: Machine, now: number): boolean {
    if (machine.lost || machine.isUnresponsive || machine.leaving || machine.goneBy !== null)
      return false;
    if (machine.up && machine.cutOff) return false;
    return !machine.up || machine.shunnedUntil <= now;
  }

  /** Processors that batch work has or may have here, those on their way included. */
  private batchCpus(now: number): number {
    let cpus = 0;
    for (const machine of this.part.machines.values()) {
      if (this.countsForBatch(machine, now)) cpus += machine.size.cpus - machine.live;
    }
    return cpus;
  }

  /** Batch work that has piled up, in processor seconds. */
  private backlog(): number {
    let work = 0;
    for (const chunk of this.part.chunks.values()) {
      if (chunk.spec.service || chunk.cancelled) continue;
      const run = this.part.estimates.expectedRun(chunk.spec);
      work += (chunk.pending * run + chunk.entries.size * run * 0.5) * chunk.spec.cpus;
    }
    return work;
  }

  /** Processors that batch work needs: what arrives on the average, and what has piled up. */
  private batchNeed(now: number): number {
    const arriving = this.arrivals.rate(now) * this.options.headroom;
    return Math.max(arriving, this.backlog() / this.options.patience);
  }

  /** Processors on ordinary machines that live services have not taken, those on their way included. */
  liveRoom(): number {
    let cpus = 0;
    for (const machine of this.part.machines.values()) {
      if (machine.spot || machine.lost || machine.isUnresponsive || machine.leaving) continue;
      cpus += machine.size.cpus - machine.live;
    }
    return cpus;
  }

  /** Room for the services that will arrive while a machine boots, and for one more. */
  private liveReserve(now: number): number {
    if (this.lastLive === null) return 0;
    const boots = [...this.types().values()].map((t) => t.boot);
    const { spec, size } = this.lastLive;
    return this.liveArrivals.rate(now) * Math.min(...boots) + size * spec.cpus;
  }

  /**
   * Machines to be returned: idle for as long as a new one would take to boot, and not needed for
   * what arrives on the average. The dearest go first.
   */
  spare(now: number, idleRatio: number): string[] {
    const idle = [...this.part.machines.values()].filter((m) => m.entries.size === 0 && m.up);
    const waits = this.part.waiting > 0;
    // Worked out once: each that goes takes its own processors out of them.
    let surplus = this.surplus(now);
    let liveRoom = this.liveRoom();
    const reserve = this.liveReserve(now);
    const price = (m: Machine): number =>
      ((m.spot ? m.shape?.spotPrice : m.shape?.price) ?? 0) / Math.max(1, m.size.cpus);
    for (const machine of idle.sort((a, b) => price(b) - price(a))) {
      if (machine.leaving || waits) continue;
      const patience = (machine.shape?.boot ?? 60) * idleRatio;
      const { cpus } = machine.size;
      if (now - machine.idleSince < patience || surplus < cpus) continue;
      if (!machine.spot && liveRoom - cpus < reserve) continue;
      if (this.countsForBatch(machine, now)) surplus -= cpus;
      if (!machine.spot && !machine.isUnresponsive) liveRoom -= cpus;
      machine.leaving = true;
    }
    return idle.filter((m) => m.leaving).map((m) => m.name);
  }

  /** Processors beyond what is needed. */
  surplus(now: number): number {
    return this.batchCpus(now) - this.batchNeed(now);
  }

  /** Room that should stand ready for live services and does not. */
  private headroom(now: number): Demand | null {
    const missing = this.liveReserve(now) - this.liveRoom();
    if (this.lastLive === null || missing <= 0) return null;
    const { spec, zone } = this.lastLive;
    const { cpus, gpus, memory, types, rank, image, imageGb } = spec;
    const shape = { cpus, gpus, memory, types, zone: zone ?? spec.zone, spot: false, rank };
    const count = Math.ceil(missing / cpus);
    const rest = { service: true, image, imageGb, count, urgent: false, pressing: 0, run: 0 };
    return { ...shape, part: this.part.label, ...rest };
  }

  /** Work that neither machines that are up nor those on their way can hold in good time. */
  demands(now: number): Demand[] {
    const rooms = new CapacityByRank(
      [...this.part.machines.values()].filter((machine) => this.countsForBatch(machine, now)),
    );
    const list = new DemandList();
    const have = this.batchCpus(now);
    let deficit = Math.max(0, this.batchNeed(now) - have);
    // What has piled up, and not what arrives on the average, may have machines at their full price.
    let pressing = Math.max(0, this.backlog() / this.options.dearPatience - have);
    for (const chunk of this.part.queue()) {
      if (chunk.failures > FAILURES_WITHOUT_DEMAND) continue;
      const { spec } = chunk;
      const { left, hasSuited } = rooms.take(chunk);
      let count = left;
      if (!spec.service && hasSuited) {
        // Short work is through before a machine is up: only what is missing in the long run.
        count = Math.min(count, Math.ceil(deficit / spec.cpus));
        deficit -= count * spec.cpus;
      }
      if (count <= 0) continue;
      const dear = spec.service ? 0 : Math.min(count, Math.ceil(pressing / spec.cpus));
      pressing = Math.max(0, pressing - dear * spec.cpus);
      list.add(shapeOf(spec, chunk.zone), this.demandOf(chunk, count, dear));
    }
    const headroom = this.headroom(now);
    if (headroom !== null && !list.hasService) list.add('', headroom);
    return list.all;
  }

  private demandOf(chunk: Chunk, count: number, pressing: number): Demand {
    const { cpus, gpus, memory, types, spot, service, image, imageGb } = chunk.spec;
    const rank = rankName(chunk.rank);
    const zone = chunk.zone ?? chunk.spec.zone;
    const run = service ? 0 : this.part.estimates.expectedRun(chunk.spec);
    const shape = { cpus, gpus, memory, types, zone, spot, rank, service };
    const rest = { image, imageGb, count, urgent: service, pressing, run };
    return { part: this.part.label, ...shape, ...rest };
  }
}

/** Chunks that have failed more often ask for no machines: the fault is likely theirs. */
const FAILURES_WITHOUT_DEMAND = 2;

/**
 * Room on machines for what waits, in the order of the queue: what is placed takes its room before lower
 * ranks do, so work that would be stopped for a waiting service does not make it ask for a machine.
 */
class CapacityByRank {
  private readonly rooms: { machine: Machine; room: Resources }[];
  /** What is placed, by falling rank, and the room that it takes. */
  private readonly placed: { spec: JobSpec; rank: number; room: Resources }[];
  private settled = 0;
  /** Shapes of work for which no room is left. */
  private readonly full = new Set<string>();

  constructor(machines: Machine[]) {
    this.rooms = machines.map((machine) => ({ machine, room: { ...machine.size } }));
    this.placed = this.rooms.flatMap(({ machine, room }) =>
      [...machine.entries.values()].map(({ chunk: { spec, rank } }) => ({ spec, rank, room })),
    );
    this.placed.sort((a, b) => b.rank - a.rank);
  }

  /** Gives how many of a chunk's tasks find no room, and whether some machine could ever hold one. */
  take(chunk: Chunk): { left: number; hasSuited: boolean } {
    this.settleDownTo(chunk.rank);
    const { spec, zone } = chunk;
    const shape = shapeOf(spec, zone);
    if (this.full.has(shape)) return { left: chunk.pending, hasSuited: true };
    let left = chunk.pending;
    let hasSuited = false;
    for (const { machine, room } of this.rooms) {
      if (left === 0) break;
      if (!satisfiesConstraints(spec, zone, machine)) continue;
      if (fits(machine.size, spec)) hasSuited = true;
      for (; left > 0 && fits(room, spec); left--) subtractResources(room, spec);
    }
    if (left > 0 && hasSuited) this.full.add(shape);
    return { left, hasSuited };
  }

  private settleDownTo(rank: number): void {
    for (; this.settled < this.placed.length; this.settled++) {
      const next = this.placed[this.settled];
      if (next === undefined || next.rank < rank) return;
      subtractResources(next.room, next.spec);
    }
  }
}

/** One demand for all work that the same machines suit: thousands of tasks may wait. */
class DemandList {
  private readonly demands = new Map<string, Demand>();

  get all(): Demand[] {
    return [...this.demands.values()];
  }

  get hasService(): boolean {
    return this.all.some((demand) => demand.service);
  }

  add(shape: string, demand: Demand): void {
    const { rank, service, count } = demand;
    const key = `${shape} ${rank} ${String(service)}`;
    const known = this.demands.get(key);
    if (known === undefined) {
      this.demands.set(key, demand);
      return;
    }
    const all = known.count + count;
    known.run = (known.run * known.count + demand.run * count) / all;
    known.imageGb = (known.imageGb * known.count + demand.imageGb * count) / all;
    known.count = all;
    known.pressing += demand.pressing;
  }
}
