/** What should be rented for a shard, and which of its machines may be returned: pure. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { rankName } from '../../protocol/job.js';
import type { Demand } from '../../protocol/peerMessages.js';
import { isCapacity } from '../model/availability.js';
import type { Chunk } from '../model/chunk.js';
import { ArrivalRate } from '../scheduling/arrivalRate.js';
import type { Machine } from '../model/machine.js';
import type { WaitEstimates } from '../scheduling/waitEstimates.js';
import { shapeOf } from '../scheduling/placement.js';
import { CapacityByRank } from './capacityByRank.js';
import { DemandList } from './demandList.js';

/** How soon work should be through, and over which time arrivals are averaged; in seconds. */
export interface DemandOptions {
  /** Batch work that waits should be through in this many seconds. */
  scaleOutWindow: number;
  /** Beyond this many seconds machines at full price are worth it: the last of its objectives is at risk. */
  onDemandWindow: number;
  /** Room for arriving batch work, as a ratio to its average. */
  headroom: number;
  /** Seconds over which arrivals are averaged. */
  arrivalWindow: number;
}

/** What the estimator needs of its shard. */
export interface DemandContext {
  readonly label: string;
  readonly machines: ReadonlyMap<string, Machine>;
  readonly chunks: ReadonlyMap<string, Chunk>;
  readonly waitEstimates: Pick<WaitEstimates, 'expectedRun'>;
  /** Tasks that are not placed. */
  readonly waitingTaskCount: number;
  /** Chunks with pending tasks, in the order in which they are considered. */
  queuedChunks(): Chunk[];
}

/** Estimates which machines a shard needs beside its own, and which of its own it does not. */
export class DemandEstimator {
  private readonly arrivals: ArrivalRate;
  private readonly serviceArrivals: ArrivalRate;
  private lastService: Chunk | null = null;

  constructor(
    private readonly shard: DemandContext,
    private readonly options: DemandOptions,
    private readonly machineTypes: () => Map<string, MachineType>,
  ) {
    this.arrivals = new ArrivalRate(options.arrivalWindow);
    this.serviceArrivals = new ArrivalRate(options.arrivalWindow);
  }

  /** Counts a chunk's work as arrived, or with a `sign` of -1 as gone to another shard. */
  noteArrival(chunk: Chunk, sign: number, now: number): void {
    if (chunk.spec.isService) {
      this.serviceArrivals.record(sign * chunk.pendingCount * chunk.spec.cpus, now);
      this.lastService = chunk;
      return;
    }
    this.arrivals.record(
      sign *
        chunk.pendingCount *
        chunk.spec.cpus *
        this.shard.waitEstimates.expectedRun(chunk.spec),
      now,
    );
  }

  /** After a start the rate of arrivals is not known: what runs is the best guess. */
  seedArrivals(now: number): void {
    let cpus = 0;
    for (const chunk of this.shard.chunks.values()) {
      if (!chunk.spec.isService) cpus += chunk.attempts.size * chunk.spec.cpus;
    }
    this.arrivals.seed(cpus, now);
  }

  private countsForBatch(machine: Machine, now: number): boolean {
    const state = machine.availability(now);
    return isCapacity(state) && state !== 'quarantined';
  }

  /** Processors that batch work has or may have here, those on their way included. */
  private batchCpus(now: number): number {
    let cpus = 0;
    for (const machine of this.shard.machines.values()) {
      if (this.countsForBatch(machine, now)) cpus += machine.capacity.cpus - machine.serviceCpus;
    }
    return cpus;
  }

  /** Batch work that has piled up, in processor seconds. */
  private backlog(): number {
    let work = 0;
    for (const chunk of this.shard.chunks.values()) {
      if (chunk.spec.isService || chunk.isCancelled) continue;
      const run = this.shard.waitEstimates.expectedRun(chunk.spec);
      work += (chunk.pendingCount * run + chunk.attempts.size * run * 0.5) * chunk.spec.cpus;
    }
    return work;
  }

  /** Processors that batch work needs: what arrives on the average, and what has piled up. */
  private batchNeed(now: number): number {
    const arriving = this.arrivals.rate(now) * this.options.headroom;
    return Math.max(arriving, this.backlog() / this.options.scaleOutWindow);
  }

  /** Processors on ordinary machines that live services have not taken, those on their way included. */
  serviceHeadroom(now: number): number {
    let cpus = 0;
    for (const machine of this.shard.machines.values()) {
      if (machine.spot || !machine.isCapacity(now)) continue;
      cpus += machine.capacity.cpus - machine.serviceCpus;
    }
    return cpus;
  }

  /** Room for the services that will arrive while a machine boots, and for one more. */
  private serviceReserve(now: number): number {
    if (this.lastService === null) return 0;
    const boots = [...this.machineTypes().values()].map((t) => t.bootSeconds);
    const { spec, size } = this.lastService;
    return this.serviceArrivals.rate(now) * Math.min(...boots) + size * spec.cpus;
  }

  /**
   * Machines to be returned: idle for as long as a new one would take to boot, and not needed for
   * what arrives on the average. The dearest go first.
   */
  cordonIdleMachines(now: number, idleRatio: number): string[] {
    const idle = [...this.shard.machines.values()].filter(
      (m) => m.placements.size === 0 && m.isUp && !m.isReassigned,
    );
    const waits = this.shard.waitingTaskCount > 0;
    // Worked out once: each that goes takes its own processors out of them.
    let surplus = this.surplus(now);
    let liveRoom = this.serviceHeadroom(now);
    const reserve = this.serviceReserve(now);
    for (const machine of idle.sort((a, b) => pricePerCpu(b) - pricePerCpu(a))) {
      if (machine.isCordoned || waits) continue;
      const { cpus } = machine.capacity;
      if (now - machine.idleSince < longestIdle(machine, idleRatio) || surplus < cpus) continue;
      if (!machine.spot && liveRoom - cpus < reserve) continue;
      if (this.countsForBatch(machine, now)) surplus -= cpus;
      if (!machine.spot && machine.isCapacity(now)) liveRoom -= cpus;
      machine.isCordoned = true;
    }
    return idle.filter((m) => m.isCordoned).map((m) => m.name);
  }

  /** Processors beyond what is needed. */
  surplus(now: number): number {
    return this.batchCpus(now) - this.batchNeed(now);
  }

  /** Room that should stand ready for live services and does not. */
  private headroom(now: number): Demand | null {
    const missing = this.serviceReserve(now) - this.serviceHeadroom(now);
    if (this.lastService === null || missing <= 0) return null;
    const { spec, zone } = this.lastService;
    const { cpus, gpus, memoryGb, machineTypes, rank, image, imageGb } = spec;
    return {
      shard: this.shard.label,
      cpus,
      gpus,
      memoryGb,
      machineTypes,
      zone: zone ?? spec.zone,
      allowsSpot: false,
      rank,
      isService: true,
      image,
      imageGb,
      count: Math.ceil(missing / cpus),
      isUrgent: false,
      onDemandCount: 0,
      expectedRunSeconds: 0,
    };
  }

  /** Work that neither machines that are up nor those on their way can hold in good time. */
  demands(now: number): Demand[] {
    const rooms = new CapacityByRank(
      [...this.shard.machines.values()].filter((machine) => this.countsForBatch(machine, now)),
    );
    const list = new DemandList();
    const have = this.batchCpus(now);
    let deficit = Math.max(0, this.batchNeed(now) - have);
    // What has piled up, and not what arrives on the average, may have machines at their full price.
    let pressing = Math.max(0, this.backlog() / this.options.onDemandWindow - have);
    for (const chunk of this.shard.queuedChunks()) {
      if (chunk.failureCount > FAILURES_WITHOUT_DEMAND) continue;
      const { spec } = chunk;
      const { left, hasSuitableMachine: hasSuited } = rooms.allocate(chunk);
      let count = left;
      if (!spec.isService && hasSuited) {
        // Short work is through before a machine is up: only what is missing in the long run.
        count = Math.min(count, Math.ceil(deficit / spec.cpus));
        deficit -= count * spec.cpus;
      }
      if (count <= 0) continue;
      const dear = spec.isService ? 0 : Math.min(count, Math.ceil(pressing / spec.cpus));
      pressing = Math.max(0, pressing - dear * spec.cpus);
      list.add(shapeOf(spec, chunk.zone), this.demandOf(chunk, count, dear));
    }
    const headroom = this.headroom(now);
    if (headroom !== null && !list.hasService) list.add('', headroom);
    return list.all;
  }

  private demandOf(chunk: Chunk, count: number, onDemandCount: number): Demand {
    const { spec } = chunk;
    return {
      shard: this.shard.label,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      machineTypes: spec.machineTypes,
      zone: chunk.zone ?? spec.zone,
      allowsSpot: spec.allowsSpot,
      rank: rankName(chunk.rank),
      isService: spec.isService,
      image: spec.image,
      imageGb: spec.imageGb,
      count,
      isUrgent: spec.isService,
      onDemandCount,
      expectedRunSeconds: spec.isService ? 0 : this.shard.waitEstimates.expectedRun(spec),
    };
  }
}

/** Idle time in seconds after which a machine may be returned; that of an unknown type counts as booting in a minute. */
function longestIdle({ machineType }: Machine, idleRatio: number): number {
  return (machineType?.bootSeconds ?? UNKNOWN_BOOT_S) * idleRatio;
}

const UNKNOWN_BOOT_S = 60;

function pricePerCpu({ spot, machineType, capacity }: Machine): number {
  const price = spot ? machineType?.spotPrice : machineType?.price;
  return (price ?? 0) / Math.max(1, capacity.cpus);
}

/** Chunks that have failed more often ask for no machines: the fault is likely theirs. */
const FAILURES_WITHOUT_DEMAND = 2;
