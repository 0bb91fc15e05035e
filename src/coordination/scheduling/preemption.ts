/**
 * Preempts running tasks of lower ranks, and tasks that other teams run beyond their guarantee, to make room for queued
 * work (docs/design.md, "Rank before arrival").
 */
import { rankOrder } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import { Heap } from './heap.js';
import type { Machine, Placement } from '../model/machine.js';
import { fits } from '../model/resources.js';
import {
  satisfiesConstraints,
  shapeOf,
  SLOWNESS_LIMIT,
  selectVictims,
  type Victim,
} from './placement.js';
import type { PreemptibleShard } from './schedulableShard.js';
import type { TeamResources, TeamUsage } from '../quota/teamUsage.js';

/** A running task that may be preempted. */
interface RunningTask extends Victim {
  readonly placement: Placement;
}

/** A machine on which preempting some tasks makes room for one task of the claimant. */
interface PreemptionCandidate {
  readonly machine: Machine;
  readonly victims: readonly RunningTask[];
  /** Seconds of work that would be lost, plus a penalty if the machine lacks the image. */
  readonly loss: number;
}

/** Summary of the running work at the start of a round. */
interface RunningWork {
  /** The lowest rank of the running chunks; Infinity if there are none. */
  readonly lowestRank: number;
  /** Number of tasks that are being stopped already; their resources will be free soon. */
  readonly stopping: number;
}

/** Seconds added to the loss if the machine lacks the image, so that machines that have it come first. */
const MISSING_IMAGE_PENALTY = 1e6;

/** Rank of a task on borrowed resources when an entitled team claims them: below every other rank. */
const BORROWED_RANK = -1;

/** The heartbeat interval divided by the time that a service waits for a preemption on a machine with its image. */
const IMAGE_PREEMPTION_DIVISOR = 6;

/** The rank below which a chunk may preempt tasks: its job's own rank, not an inherited one. */
const preemptingRank = (chunk: Chunk): number => rankOrder[chunk.spec.rank];

/** Selects and stops the running tasks of one shard that are preempted for queued work. */
export class Preemption {
  constructor(
    private readonly shard: PreemptibleShard,
    private readonly teams: TeamUsage,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Makes room for blocked chunks, in queue order, on the machines where the least work is lost. */
  makeRoom(blocked: Chunk[], now: number, outOfTime: () => boolean): void {
    if (blocked.length === 0) return;
    const { lowestRank, stopping } = this.runningWork();
    let freedSoon = stopping;
    // Without a running task of a lower rank, the scan of hundreds of machines can be skipped.
    const claimants = blocked.filter(
      (chunk) => preemptingRank(chunk) > lowestRank || this.teams.isEntitled(chunk.spec),
    );
    const candidates = new Map<string, Heap<PreemptionCandidate>>();
    for (const chunk of claimants) {
      // Tasks that are being stopped already make room for the first chunks; stopping more would lose work for nothing.
      const count = Math.max(0, chunk.pendingCount - freedSoon);
      freedSoon = Math.max(0, freedSoon - chunk.pendingCount);
      if (count === 0) continue;
      if (outOfTime()) return;
      this.preemptFor(chunk, count, this.candidatesFor(chunk, candidates, now), now);
    }
  }

  /**
   * Preempts batch work for a service's task that would otherwise have to fetch its image, although a machine that has the
   * image is occupied by lower-ranked work. True while the task should wait for that machine.
   */
  makeRoomAtImage(chunk: Chunk, now: number): boolean {
    const { spec, preemptingSince } = chunk;
    if (chunk.pendingCount === 0) return false;
    const window = this.heartbeatInterval / IMAGE_PREEMPTION_DIVISOR;
    if (preemptingSince !== null && now - preemptingSince > window) return false;
    const machines = this.machinesWithImage(chunk, now);
    if (machines.some((machine) => fits(machine.free, spec))) return false;
    if (preemptingSince !== null) return true;
    const best = this.cheapestWithoutCheckpoints(machines, chunk, now);
    if (best === undefined || best.victims.length === 0) return false;
    chunk.preemptingSince = now;
    for (const { placement } of best.victims) {
      this.shard.requestStop(best.machine, placement.attempt, 0);
    }
    return true;
  }

  private runningWork(): RunningWork {
    let stopping = 0;
    let lowestRank = Infinity;
    for (const chunk of this.shard.chunks.values()) {
      if (chunk.attempts.size === 0) continue;
      lowestRank = Math.min(lowestRank, chunk.rank);
      if (chunk.isCancelled) continue;
      for (const attempt of chunk.attempts.values()) if (attempt.stop !== null) stopping++;
    }
    return { lowestRank, stopping };
  }

  /** The candidates for the chunk, cheapest first; `cached` holds them for chunks of the same kind. */
  private candidatesFor(
    chunk: Chunk,
    cached: Map<string, Heap<PreemptionCandidate>>,
    now: number,
  ): Heap<PreemptionCandidate> {
    const { spec, zone } = chunk;
    const key = [shapeOf(spec, zone), preemptingRank(chunk), spec.team, spec.image].join(' ');
    let candidates = cached.get(key);
    if (candidates === undefined) {
      candidates = new Heap<PreemptionCandidate>((a, b) => a.loss - b.loss);
      for (const machine of this.shard.machines.values()) {
        this.addCandidate(candidates, machine, chunk, now);
      }
      cached.set(key, candidates);
    }
    return candidates;
  }

  /** Preempts the cheapest candidates to make room for `count` tasks of the chunk. */
  private preemptFor(
    chunk: Chunk,
    count: number,
    candidates: Heap<PreemptionCandidate>,
    now: number,
  ): void {
    let unserved = count;
    while (unserved > 0) {
      const best = candidates.pop();
      if (best === undefined) return;
      // Another shape's candidate may have preempted some of these victims in the meantime.
      const isStale = best.victims.some(({ placement }) => placement.attempt.stop !== null);
      if (!isStale) {
        unserved--;
        this.stopVictims(best);
      }
      this.addCandidate(candidates, best.machine, chunk, now);
    }
  }

  /** Stops the candidate's victims; tasks that write checkpoints get the time to write another one. */
  private stopVictims({ machine, victims }: PreemptionCandidate): void {
    for (const { placement } of victims) {
      const { checkpointInterval, checkpointDuration } = placement.chunk.spec;
      const gracePeriod = checkpointInterval > 0 ? checkpointDuration : 0;
      this.shard.requestStop(machine, placement.attempt, gracePeriod);
    }
  }

  /** Adds the machine as a candidate if preempting some of its tasks makes room for a task of the chunk. */
  private addCandidate(
    candidates: Heap<PreemptionCandidate>,
    machine: Machine,
    chunk: Chunk,
    now: number,
  ): void {
    const { spec, zone } = chunk;
    if (!machine.isSchedulable(now) || !satisfiesConstraints(spec, zone, machine)) return;
    const running = this.preemptibleTasks(machine, chunk, now);
    const victims = selectVictims(machine.free, spec, running, preemptingRank(chunk));
    if (victims === null || victims.length === 0) return;
    const penalty = machine.hasImage(spec.image) ? 0 : MISSING_IMAGE_PENALTY;
    candidates.push({ machine, victims, loss: totalLoss(victims, penalty) });
  }

  /** The machine's tasks that are not being stopped, each with the rank to compare with the claimant's. */
  private preemptibleTasks(machine: Machine, claimant: Chunk, now: number): RunningTask[] {
    const tasks: RunningTask[] = [];
    const isEntitled = this.teams.isEntitled(claimant.spec);
    const borrowed = new Map<string, TeamResources>();
    for (const placement of machine.placements.values()) {
      const { chunk, attempt } = placement;
      if (attempt.stop !== null) continue;
      const isBorrowing =
        isEntitled &&
        chunk.spec.team !== claimant.spec.team &&
        this.takeFromBorrowed(borrowed, chunk);
      tasks.push({
        rank: isBorrowing ? BORROWED_RANK : chunk.rank,
        resources: chunk.spec,
        loss: lostSeconds(placement, now),
        placement,
      });
    }
    return tasks;
  }

  /**
   * Whether the task runs on borrowed resources, that is beyond its team's guarantee: such a task may be preempted whatever
   * its rank. Subtracts the task from `borrowed`, so that no more than the borrowed amount is preempted.
   */
  private takeFromBorrowed(
    borrowed: Map<string, TeamResources>,
    { spec: { team, cpus, gpus } }: Chunk,
  ): boolean {
    const left = borrowed.get(team) ?? this.teams.borrowed(team);
    borrowed.set(team, left);
    if (left.cpus < cpus || left.gpus < gpus) return false;
    left.cpus -= cpus;
    left.gpus -= gpus;
    return true;
  }

  private machinesWithImage({ spec, zone }: Chunk, now: number): Machine[] {
    return [...this.shard.machines.values()].filter(
      (machine) =>
        machine.isSchedulable(now) &&
        satisfiesConstraints(spec, zone, machine) &&
        machine.hasImage(spec.image) &&
        machine.slowness <= SLOWNESS_LIMIT,
    );
  }

  /** The cheapest candidate among the machines where no victim needs time to write a checkpoint. */
  private cheapestWithoutCheckpoints(
    machines: readonly Machine[],
    chunk: Chunk,
    now: number,
  ): PreemptionCandidate | undefined {
    const candidates: PreemptionCandidate[] = [];
    for (const machine of machines) {
      const running = this.preemptibleTasks(machine, chunk, now);
      const victims = selectVictims(machine.free, chunk.spec, running, chunk.rank);
      if (victims === null) continue;
      if (victims.some(({ placement }) => placement.chunk.spec.checkpointInterval > 0)) continue;
      candidates.push({ machine, victims, loss: totalLoss(victims, 0) });
    }
    return candidates.sort((a, b) => a.loss - b.loss)[0];
  }
}

/** Seconds of work that are lost if the task is stopped. */
function lostSeconds({ chunk: { spec }, attempt }: Placement, now: number): number {
  const ran = attempt.runningSince === null ? 0 : now - attempt.runningSince;
  return spec.checkpointInterval > 0 ? Math.min(ran, spec.checkpointDuration) : ran;
}

function totalLoss(victims: readonly Victim[], penalty: number): number {
  return victims.reduce((sum, victim) => sum + victim.loss, penalty);
}
