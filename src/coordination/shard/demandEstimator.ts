/** Estimates which machines should be launched for a shard, and which of its machines may be released. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { rankName } from '../../protocol/job.js';
import type { Demand } from '../../protocol/peerMessages.js';
import { isCapacity } from '../model/availability.js';
import type { Chunk } from '../model/chunk.js';
import { ArrivalRate } from '../scheduling/arrivalRate.js';
import type { Machine } from '../model/machine.js';
import type { WaitEstimates } from '../scheduling/waitEstimates.js';
import { shapeOf } from '../scheduling/placement.js';
import { availableToBatch, BatchShortage, workOf, type LaunchCounts } from './batchShortage.js';
import { CapacityByRank } from './capacityByRank.js';
import { DemandList } from './demandList.js';
import { WaitCheck } from './waitCheck.js';

/** Time targets of demand estimation; times are in seconds. */
export interface DemandOptions {
  /** Queued batch work should be completed within this time. */
  scaleOutWindow: number;
  /** If queued batch work takes longer than this, on-demand machines are justified: the last of its objectives is at risk. */
  onDemandWindow: number;
  /** Capacity for arriving batch work, as a ratio to its average. */
  headroom: number;
  /** Time constant of the average of arrivals. */
  arrivalWindow: number;
}

/** The part of a shard that the estimator uses. */
export interface DemandContext {
  readonly label: string;
  readonly machines: ReadonlyMap<string, Machine>;
  readonly chunks: ReadonlyMap<string, Chunk>;
  readonly waitEstimates: Pick<WaitEstimates, 'expectedRun'>;
  readonly scheduler: { readonly throttledTeams: ReadonlySet<string> };
  /** Number of tasks that are not placed. */
  readonly waitingTaskCount: number;
  /** Chunks with pending tasks, in queue order. */
  queuedChunks(): Chunk[];
}

/** Estimates which machines a shard needs in addition to its own, and which of its own it does not need. */
export class DemandEstimator {
  private readonly batchArrivals: ArrivalRate;
  private readonly serviceArrivals: ArrivalRate;
  /** The service chunk that arrived or left last; its size and resources stand for those of the next one. */
  private lastService: Chunk | null = null;
  /** The shapes of queued work that machines are demanded for. */
  private readonly demandedShapes = new Set<string>();
  private readonly waitCheck: WaitCheck;

  constructor(
    private readonly shard: DemandContext,
    private readonly options: DemandOptions,
    private readonly machineTypes: () => Map<string, MachineType>,
  ) {
    this.batchArrivals = new ArrivalRate(options.arrivalWindow);
    this.serviceArrivals = new ArrivalRate(options.arrivalWindow);
    this.waitCheck = new WaitCheck(shard.label);
  }

  /** Counts a chunk's work as arrived or, with a `sign` of -1, as migrated to another shard. */
  noteArrival(chunk: Chunk, sign: number, now: number): void {
    if (chunk.spec.isService) {
      this.serviceArrivals.record(sign * chunk.pendingCount * chunk.spec.cpus, now);
      this.lastService = chunk;
      return;
    }
    this.batchArrivals.record(
      sign *
        chunk.pendingCount *
        chunk.spec.cpus *
        this.shard.waitEstimates.expectedRun(chunk.spec),
      now,
    );
  }

  /** Initializes the arrival rate after a start, when it is not known, from the CPUs of the running batch tasks. */
  seedArrivals(now: number): void {
    let cpus = 0;
    for (const chunk of this.shard.chunks.values()) {
      if (!chunk.spec.isService) cpus += chunk.attempts.size * chunk.spec.cpus;
    }
    this.batchArrivals.seed(cpus, now);
  }

  /** Whether batch work may count on the machine: it has capacity and is not quarantined. */
  private countsForBatch(machine: Machine, now: number): boolean {
    const state = machine.availability(now);
    return isCapacity(state) && state !== 'quarantined';
  }

  private machinesForBatch(now: number): Machine[] {
    return [...this.shard.machines.values()].filter((m) => this.countsForBatch(m, now));
  }

  /** Backlog of batch work in CPU-seconds. */
  private backlog(): number {
    let work = 0;
    for (const chunk of this.shard.chunks.values()) {
      if (chunk.spec.isService || chunk.isCancelled) continue;
      work += workOf(chunk, this.shard.waitEstimates.expectedRun(chunk.spec));
    }
    return work;
  }

  /** CPUs that the average of arriving batch work needs. */
  private arrivingCpus(now: number): number {
    return this.batchArrivals.rate(now) * this.options.headroom;
  }

  /** CPUs of on-demand machines that are not allocated to live services, including those of booting machines. */
  serviceHeadroom(now: number): number {
    let cpus = 0;
    for (const machine of this.shard.machines.values()) {
      if (machine.spot || !machine.isCapacity(now)) continue;
      cpus += machine.capacity.cpus - machine.serviceCpus;
    }
    return cpus;
  }

  /** CPUs to reserve for the services that are expected to arrive while a machine boots, and for one more. */
  private serviceReserve(now: number): number {
    if (this.lastService === null) return 0;
    const bootTimes = [...this.machineTypes().values()].map((t) => t.bootSeconds);
    const { spec, size } = this.lastService;
    return this.serviceArrivals.rate(now) * Math.min(...bootTimes) + size * spec.cpus;
  }

  /**
   * Cordons machines that may be released, and returns the names of all cordoned idle machines. A machine may be released if
   * no tasks are waiting, it has been idle for `idleRatio` times its boot time, and it is not needed for the average of
   * arriving work. The most expensive machines are cordoned first.
   */
  cordonIdleMachines(now: number, idleRatio: number): string[] {
    const idle = [...this.shard.machines.values()].filter(
      (m) => m.placements.size === 0 && m.isUp && !m.isReassigned,
    );
    const hasWaitingTasks = this.shard.waitingTaskCount > 0;
    // Computed once: each cordoned machine's CPUs are subtracted from these values.
    let surplus = this.surplus(now);
    let serviceHeadroom = this.serviceHeadroom(now);
    const reserve = this.serviceReserve(now);
    for (const machine of idle.sort((a, b) => pricePerCpu(b) - pricePerCpu(a))) {
      if (machine.isCordoned || hasWaitingTasks) continue;
      const { cpus } = machine.capacity;
      if (now - machine.idleSince < releaseIdleSeconds(machine, idleRatio) || surplus < cpus)
        continue;
      if (!machine.spot && serviceHeadroom - cpus < reserve) continue;
      if (this.countsForBatch(machine, now)) surplus -= cpus;
      if (!machine.spot && machine.isCapacity(now)) serviceHeadroom -= cpus;
      machine.isCordoned = true;
    }
    return idle.filter((m) => m.isCordoned).map((m) => m.name);
  }

  /** CPUs beyond the need of batch work: for the average of arriving work, or for the backlog if that needs more. */
  surplus(now: number): number {
    const need = Math.max(this.arrivingCpus(now), this.backlog() / this.options.scaleOutWindow);
    return availableToBatch(this.machinesForBatch(now)) - need;
  }

  /** Demand for the reserved capacity of live services that is missing; null if none is. */
  private serviceReserveDemand(now: number): Demand | null {
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
      boundCount: 0,
      expectedRunSeconds: 0,
    };
  }

  /** Demands for machines, for work that neither running nor booting machines can complete in time. */
  demands(now: number): Demand[] {
    const machines = this.machinesForBatch(now);
    const capacity = new CapacityByRank(machines);
    const shortage = this.batchShortage(machines, now);
    const list = new DemandList();
    const undemanded: Chunk[] = [];
    this.demandedShapes.clear();
    for (const chunk of this.shard.queuedChunks()) {
      if (chunk.hasFailedTooOften) continue;
      const { unplaced, hasSuitableMachine } = capacity.allocate(chunk);
      const { count, onDemandCount } = launchCounts(chunk, unplaced, () =>
        shortage.take(chunk, unplaced, hasSuitableMachine),
      );
      const shape = shapeOf(chunk.spec, chunk.zone);
      if (count > 0) {
        this.demandedShapes.add(shape);
        list.add(shape, this.demandOf(chunk, count, onDemandCount));
      } else if (this.mayBePlaced(chunk, now)) undemanded.push(chunk);
    }
    this.checkWaits(undemanded, now);
    const reserveDemand = this.serviceReserveDemand(now);
    if (reserveDemand !== null && !list.hasService) list.add('', reserveDemand);
    return list.all;
  }

  /** Whether machines have been demanded for work of the chunk's shape, at the last computation of the demands. */
  isDemanded({ spec, zone }: Chunk): boolean {
    return this.demandedShapes.has(shapeOf(spec, zone));
  }

  /** Whether only machines without room keep the chunk's tasks from being placed, and nothing that its user is told of. */
  private mayBePlaced(chunk: Chunk, now: number): boolean {
    const isThrottled = this.shard.scheduler.throttledTeams.has(chunk.spec.team);
    const isHeld = chunk.isUnstorable || chunk.mayHaveMigrated || chunk.retryNotBefore > now;
    return !isThrottled && !isHeld;
  }

  /** Reports work that has waited without a demand for longer than a machine would have taken to be launched for it. */
  private checkWaits(undemanded: readonly Chunk[], now: number): void {
    const bootTimes = [...this.machineTypes().values()].map((type) => type.bootSeconds);
    const limit = this.maxWait + Math.max(0, ...bootTimes);
    const waiting = undemanded.filter((chunk) => !this.isDemanded(chunk));
    this.waitCheck.update(waiting, this.shard.chunks.values(), now, limit);
  }

  private batchShortage(machines: readonly Machine[], now: number): BatchShortage {
    const { scaleOutWindow, onDemandWindow } = this.options;
    const { chunks, waitEstimates } = this.shard;
    return new BatchShortage({
      ...{ chunks: chunks.values(), machines, now, scaleOutWindow, onDemandWindow },
      maxWait: this.maxWait,
      arrivingCpus: this.arrivingCpus(now),
      expectedRun: (spec) => waitEstimates.expectedRun(spec),
    });
  }

  /** Seconds within which a machine has to become free for batch work that waits for it: none can be launched sooner. */
  private get maxWait(): number {
    const { scaleOutWindow } = this.options;
    const bootTimes = [...this.machineTypes().values()].map((type) => type.bootSeconds);
    return bootTimes.length === 0
      ? scaleOutWindow
      : Math.max(scaleOutWindow, Math.min(...bootTimes));
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
      boundCount: spec.isService && chunk.attempts.size > 0 ? count : 0,
      expectedRunSeconds: spec.isService ? 0 : this.shard.waitEstimates.expectedRun(spec),
    };
  }
}

/** Tasks to launch machines for: all replicas of a service that have no room, and batch tasks by the shortage of machines. */
function launchCounts(
  { spec }: Chunk,
  unplaced: number,
  takeFromShortage: () => LaunchCounts,
): LaunchCounts {
  if (unplaced === 0) return { count: 0, onDemandCount: 0 };
  return spec.isService ? { count: unplaced, onDemandCount: 0 } : takeFromShortage();
}

/** Idle time in seconds after which a machine may be released. */
function releaseIdleSeconds({ machineType }: Machine, idleRatio: number): number {
  return (machineType?.bootSeconds ?? DEFAULT_BOOT_S) * idleRatio;
}

/** Boot time that is assumed for a machine of an unknown type. */
const DEFAULT_BOOT_S = 60;

function pricePerCpu({ spot, machineType, capacity }: Machine): number {
  const price = spot ? machineType?.spotPrice : machineType?.price;
  return (price ?? 0) / Math.max(1, capacity.cpus);
}
