/** Estimates of the wait, run time and image fetch that work would see at a shard (PAPER, III.A). */
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import { isAhead, type Chunk } from '../model/chunk.js';
import { readyIn } from '../model/availability.js';
import type { RunTimes } from './runTimes.js';
import type { Machine, Placement } from '../model/machine.js';
import { satisfiesConstraints } from './placement.js';
import { fits, type Resources, subtractResources } from '../model/resources.js';
import { replayQueue, ReplaySnapshot, type ReplayMachine, type ReplayItem } from './queueReplay.js';

/** How old a snapshot of the machines may be, as a ratio to the heartbeat interval. */
const SNAPSHOT_AGE = 1 / 40;

/** Floor of fetch rates, in GB a second, against division by zero. */
const MIN_FETCH_RATE = 1e-3;

/** Room for rounding where resources are divided. */
const EPSILON = 1e-9;

interface Snapshot {
  start: ReplaySnapshot;
  /** Steady time at which it was taken. */
  at: number;
}

/** What wait estimates use of a shard. */
export interface QueuedShard {
  /** The shard's machines, by name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Chunks with pending tasks, in the order of the queue. */
  queuedChunks(): Chunk[];
}

/** Estimates for one shard. */
export class WaitEstimates {
  /**
   * The machines as work of each rank sees them. A snapshot is used until a task is placed or a machine
   * is added or removed, and for `SNAPSHOT_AGE` at most; tasks that have ended since then are not seen
   * yet. After a restart peers ask dozens of times a second, and looking at each machine anew took most
   * of the CPU.
   */
  private readonly snapshots = new Map<number, Snapshot>();

  constructor(
    private readonly shard: QueuedShard,
    private readonly runTimes: RunTimes,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** A task has been placed, or a machine has been added or removed. */
  invalidate(): void {
    this.snapshots.clear();
  }

  /** Steady time at which a placed task is expected to end; Infinity for live services. */
  endOf({ chunk, attempt }: Placement, now: number): number {
    if (chunk.spec.isService) return Infinity;
    const run = this.expectedRun(chunk.spec);
    return Math.max(now, (attempt.runningSince ?? now) + run);
  }

  /** Expected run time of one task in seconds, corrected by what was measured of its class. */
  expectedRun(spec: JobSpec): number {
    return this.runTimes.expected(spec.jobClass, spec.expectedRunSeconds);
  }

  /**
   * Seconds until the last of the candidate's tasks would start here, by replaying the queue. `self` is
   * the candidate's chunk where it is in the queue already: only what is ahead of it counts.
   */
  estimateWait(candidate: ReplayItem, now: number, self?: Chunk): number {
    const rank = rankOrder[candidate.spec.rank];
    const queue = this.queueAhead(rank, self);
    if (queue.length === 0 && this.hasRoomNow(candidate, now)) return 0;
    const { start, at } = this.snapshot(rank, now);
    return Math.max(0, replayQueue(start, queue, candidate).wait - (now - at));
  }

  /** Seconds to fetch an image here: 0 when a machine with room has it, or none that counts is allowed. */
  estimateFetch(spec: JobSpec, zone: string | null, now: number): number {
    let shortest = Infinity;
    for (const machine of this.shard.machines.values()) {
      if (machine.machineType === undefined || !machine.isCapacity(now)) continue;
      if (!satisfiesConstraints(spec, zone, machine)) continue;
      const isCached = machine.hasImage(spec.image) && fits(this.roomFor(machine, spec), spec);
      const rate = Math.max(MIN_FETCH_RATE, machine.machineType.fetchGbPerSecond);
      shortest = Math.min(shortest, isCached ? 0 : spec.imageGb / rate);
    }
    return Number.isFinite(shortest) ? shortest : 0;
  }

  /** The queue that work of the rank would come behind. */
  private queueAhead(rank: number, self: Chunk | undefined): ReplayItem[] {
    return this.shard
      .queuedChunks()
      .filter(
        (chunk) =>
          chunk !== self && chunk.rank >= rank && (self === undefined || isAhead(chunk, self)),
      )
      .map(({ spec, zone, pendingCount }) => ({
        spec,
        zone,
        count: pendingCount,
        run: spec.isService ? Infinity : this.expectedRun(spec),
      }));
  }

  private snapshot(rank: number, now: number): Snapshot {
    const known = this.snapshots.get(rank);
    if (known !== undefined && now - known.at < this.heartbeatInterval * SNAPSHOT_AGE) return known;
    const snapshot = { start: new ReplaySnapshot(this.replayMachines(rank, now)), at: now };
    this.snapshots.set(rank, snapshot);
    return snapshot;
  }

  private replayMachines(rank: number, now: number): ReplayMachine[] {
    const machines: ReplayMachine[] = [];
    for (const machine of this.shard.machines.values()) {
      if (machine.machineType === undefined || !machine.isCapacity(now)) continue;
      machines.push(this.replayMachine(machine, rank, now));
    }
    return machines;
  }

  private replayMachine(machine: Machine, rank: number, now: number): ReplayMachine {
    const { type, zone, spot } = machine;
    const running: { endsIn: number; resources: Resources }[] = [];
    const free = { ...machine.free };
    for (const placement of machine.placements.values()) {
      const { rank: placedRank, spec } = placement.chunk;
      if (placedRank < rank) {
        // It would be preempted for the candidate.
        subtractResources(free, spec, -1);
        continue;
      }
      const endsIn = this.endOf(placement, now) - now;
      if (Number.isFinite(endsIn)) running.push({ endsIn, resources: spec });
    }
    return { type, zone, spot, free, readyIn: readyIn(machine, now), running };
  }

  /** Whether all of the candidate fits right now; saves the replay where nothing is ahead of it. */
  private hasRoomNow({ spec, zone, count }: ReplayItem, now: number): boolean {
    let unplaced = count;
    for (const machine of this.shard.machines.values()) {
      const { free } = machine;
      if (!fits(free, spec) || !machine.isSchedulable(now)) continue;
      if (!satisfiesConstraints(spec, zone, machine)) continue;
      unplaced -= tasksThatFit(free, spec);
      if (unplaced <= 0) return true;
    }
    return false;
  }

  /** Resources for work of this rank: what is free, and what lower ranks would give up. */
  private roomFor(machine: Machine, spec: JobSpec): Resources {
    const room = { ...machine.free };
    for (const { chunk } of machine.placements.values()) {
      if (chunk.rank >= rankOrder[spec.rank]) continue;
      subtractResources(room, chunk.spec, -1);
    }
    return room;
  }
}

/** How many tasks of the job fit in these resources. */
function tasksThatFit(free: Resources, spec: JobSpec): number {
  const quotient = (available: number, needed: number): number =>
    needed > 0 ? Math.floor(available / needed + EPSILON) : Infinity;
  return Math.min(
    quotient(free.cpus, spec.cpus),
    quotient(free.gpus, spec.gpus),
    quotient(free.memoryGb, spec.memoryGb),
  );
}
