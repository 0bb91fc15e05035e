/** Estimates of the wait, run time and image fetch time of work at a shard (PAPER, III.A). */
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import { isAhead, type Chunk } from '../model/chunk.js';
import { readyIn } from '../model/availability.js';
import type { RunTimes } from './runTimes.js';
import type { Machine, Placement } from '../model/machine.js';
import { satisfiesConstraints } from './placement.js';
import { fits, type Resources, subtractResources, timesThatFit } from '../model/resources.js';
import { replayQueue, ReplaySnapshot, type ReplayMachine, type ReplayItem } from './queueReplay.js';

/** Maximum age of a snapshot of the machines, as a ratio to the heartbeat interval. */
const MAX_SNAPSHOT_AGE = 1 / 40;

/** Lower limit of fetch rates in GB per second, to avoid a division by zero. */
const MIN_FETCH_RATE = 1e-3;

interface Snapshot {
  start: ReplaySnapshot;
  /** Monotonic time at which it was taken. */
  takenAt: number;
}

/** The part of a shard that wait estimates use. */
export interface QueuedShard {
  /** The shard's machines, by name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Chunks with pending tasks, in queue order. */
  queuedChunks(): Chunk[];
}

/** Wait, run time and fetch estimates for one shard. */
export class WaitEstimates {
  /**
   * By rank, a snapshot of the machines as seen by work of that rank. It is valid until a task is placed or a machine is
   * added or removed, and for `MAX_SNAPSHOT_AGE` at most; it does not show tasks that have ended since. After a restart peers
   * request dozens of estimates a second, and reading the state of each machine every time took most of the CPU.
   */
  private readonly snapshots = new Map<number, Snapshot>();

  constructor(
    private readonly shard: QueuedShard,
    private readonly runTimes: RunTimes,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Discards the snapshots after a task has been placed, or a machine has been added or removed. */
  invalidate(): void {
    this.snapshots.clear();
  }

  /** Monotonic time at which a placed task is expected to end; Infinity for live services. */
  endOf({ chunk, attempt }: Placement, now: number): number {
    if (chunk.spec.isService) return Infinity;
    const run = this.expectedRun(chunk.spec);
    return Math.max(now, (attempt.runningSince ?? now) + run);
  }

  /** Expected run time of one task in seconds, corrected by the measured run times of its job class. */
  expectedRun(spec: JobSpec): number {
    return this.runTimes.expected(spec.jobClass, spec.expectedRunSeconds);
  }

  /**
   * Seconds until the last of the candidate's tasks would start here, computed by replaying the queue. `self` is the
   * candidate's chunk if it is in the queue already: only the chunks ahead of it are replayed.
   */
  estimateWait(candidate: ReplayItem, now: number, self?: Chunk): number {
    const rank = rankOrder[candidate.spec.rank];
    const queue = this.queueAhead(rank, self);
    if (queue.length === 0 && this.hasRoomNow(candidate, now)) return 0;
    const { start, takenAt } = this.snapshot(rank, now);
    return Math.max(0, replayQueue(start, queue, candidate).wait - (now - takenAt));
  }

  /** Seconds to fetch an image here: 0 if a machine with room has it cached, or if no usable machine is allowed. */
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

  /** The queued work ahead of the candidate, which has the given rank. */
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
    const cached = this.snapshots.get(rank);
    if (cached !== undefined && now - cached.takenAt < this.heartbeatInterval * MAX_SNAPSHOT_AGE)
      return cached;
    const snapshot = { start: new ReplaySnapshot(this.replayMachines(rank, now)), takenAt: now };
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
        // This task would be preempted for the candidate.
        subtractResources(free, spec, -1);
        continue;
      }
      const endsIn = this.endOf(placement, now) - now;
      if (Number.isFinite(endsIn)) running.push({ endsIn, resources: spec });
    }
    return { type, zone, spot, free, readyIn: readyIn(machine, now), running };
  }

  /** Whether all of the candidate's tasks fit now, in which case no replay is needed if nothing is ahead of it. */
  private hasRoomNow({ spec, zone, count }: ReplayItem, now: number): boolean {
    let unplaced = count;
    for (const machine of this.shard.machines.values()) {
      const { free } = machine;
      if (!fits(free, spec) || !machine.isSchedulable(now)) continue;
      if (!satisfiesConstraints(spec, zone, machine)) continue;
      unplaced -= timesThatFit(free, spec);
      if (unplaced <= 0) return true;
    }
    return false;
  }

  /** Resources for tasks of this rank: the free ones, and those of tasks of lower ranks, which can be preempted. */
  private roomFor(machine: Machine, spec: JobSpec): Resources {
    const room = { ...machine.free };
    for (const { chunk } of machine.placements.values()) {
      if (chunk.rank >= rankOrder[spec.rank]) continue;
      subtractResources(room, chunk.spec, -1);
    }
    return room;
  }
}
