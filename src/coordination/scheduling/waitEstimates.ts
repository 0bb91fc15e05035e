/** What a part tells of the wait and the turnaround that work would see there. */
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import { isAhead, type Chunk } from '../model/chunk.js';
import type { RunTimes } from './runTimes.js';
import type { Machine, Placement } from '../model/machine.js';
import { satisfiesConstraints } from './placement.js';
import { fits, type Resources, subtractResources } from '../model/resources.js';
import { replay, ReplayStart, type ReplayMachine, type ReplayItem } from './queueReplay.js';

/** How old a snapshot of the machines may be, as a ratio to the time between reports. */
const SNAPSHOT_AGE = 1 / 40;

interface Snapshot {
  start: ReplayStart;
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

export class WaitEstimates {
  /**
   * The machines as seen by work of each rank. A snapshot is used until a task is placed or a machine comes or
   * goes, and for a fortieth of a report at the most: what has ended since then is not seen yet. After a
   * restart peers ask dozens of times a second, and looking at each machine anew took most of the processor.
   */
  private readonly snapshots = new Map<number, Snapshot>();

  constructor(
    private readonly shard: QueuedShard,
    private readonly runTimes: RunTimes,
    /** Seconds between two reports of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** A task has been placed, or a machine has come or gone. */
  invalidate(): void {
    this.snapshots.clear();
  }

  /** Steady time at which a placed task should end; services never do. */
  endOf({ chunk, attempt }: Placement, now: number): number {
    if (chunk.spec.isService) return Infinity;
    const run = this.expectedRun(chunk.spec);
    return Math.max(now, (attempt.runningSince ?? now) + run);
  }

  /** Run time of one task, corrected by what was seen of its class. */
  expectedRun(spec: JobSpec): number {
    return this.runTimes.expected(spec.jobClass, spec.expectedRunSeconds);
  }

  /** The wait that a candidate would see here, by replaying the queue. */
  waitFor(candidate: ReplayItem, now: number, self?: Chunk): number {
    const rank = rankOrder[candidate.spec.rank];
    const queue = this.shard
      .queuedChunks()
      .filter((c) => c !== self && c.rank >= rank && (self === undefined || isAhead(c, self)))
      .map((c) => ({
        spec: c.spec,
        zone: c.zone,
        count: c.pendingCount,
        run: c.spec.isService ? Infinity : this.expectedRun(c.spec),
      }));
    if (queue.length === 0 && this.hasRoomNow(candidate, now)) return 0;
    const { start, at } = this.snapshot(rank, now);
    return Math.max(0, replay(start, queue, candidate).wait - (now - at));
  }

  private snapshot(rank: number, now: number): Snapshot {
    const known = this.snapshots.get(rank);
    if (known !== undefined && now - known.at < this.heartbeatInterval * SNAPSHOT_AGE) return known;
    const snapshot = { start: new ReplayStart(this.replayHosts(rank, now)), at: now };
    this.snapshots.set(rank, snapshot);
    return snapshot;
  }

  /** The machines as the replay begins; work below the rank would be stopped for the candidate. */
  private replayHosts(rank: number, now: number): ReplayMachine[] {
    const hosts: ReplayMachine[] = [];
    for (const machine of this.shard.machines.values()) {
      const { type, zone, spot } = machine;
      if (machine.machineType === undefined || machine.isCordoned || machine.isLost) continue;
      const boot = machine.firstSeenAt + machine.machineType.bootSeconds - now;
      const ready = machine.isUp ? Math.max(0, machine.quarantinedUntil - now) : Math.max(1, boot);
      const running: ReplayMachine['running'] = [];
      const free = { ...machine.free };
      for (const placement of machine.placements.values()) {
        const need = placement.chunk.spec;
        if (placement.chunk.rank < rank) {
          // It would be stopped for the candidate.
          subtractResources(free, need, -1);
          continue;
        }
        const ends = this.endOf(placement, now) - now;
        if (Number.isFinite(ends)) running.push({ ends, need });
      }
      hosts.push({ type, zone, spot, free, ready, running });
    }
    return hosts;
  }

  /** The short cut of the replay: nothing is ahead and there is room for all of it. */
  private hasRoomNow({ spec, zone, count }: ReplayItem, now: number): boolean {
    let left = count;
    for (const machine of this.shard.machines.values()) {
      const { free } = machine;
      if (
        !fits(free, spec) ||
        !machine.isSchedulable(now) ||
        !satisfiesConstraints(spec, zone, machine)
      )
        continue;
      const by = (have: number, need: number): number =>
        need > 0 ? Math.floor(have / need + 1e-9) : Infinity;
      left -= Math.min(
        by(free.cpus, spec.cpus),
        by(free.gpus, spec.gpus),
        by(free.memoryGb, spec.memoryGb),
      );
      if (left <= 0) return true;
    }
    return false;
  }

  /** Room for work of this rank: what is free, and what lower ranks would give up. */
  private roomFor(machine: Machine, spec: JobSpec): Resources {
    const room = { ...machine.free };
    for (const { chunk } of machine.placements.values()) {
      if (chunk.rank >= rankOrder[spec.rank]) continue;
      subtractResources(room, chunk.spec, -1);
    }
    return room;
  }

  /** Seconds to fetch an image here: nothing when a machine with room already has it. */
  fetchFor(spec: JobSpec, zone: string | null): number {
    let best = Infinity;
    for (const machine of this.shard.machines.values()) {
      if (machine.machineType === undefined || !satisfiesConstraints(spec, zone, machine)) continue;
      const warm = machine.hasImage(spec.image) && fits(this.roomFor(machine, spec), spec);
      best = Math.min(
        best,
        warm ? 0 : spec.imageGb / Math.max(1e-3, machine.machineType.fetchGbPerSecond),
      );
    }
    return Number.isFinite(best) ? best : 0;
  }
}
