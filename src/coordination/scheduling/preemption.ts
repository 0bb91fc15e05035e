/**
 * Preempts running work of lower ranks, and work that other teams run beyond their guarantee, where
 * queued work needs the room (docs/design.md, "Rank before arrival").
 */
import { rankOrder } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import { Heap } from './heap.js';
import type { Machine, Placement } from '../model/machine.js';
import { fits } from '../model/resources.js';
import {
  satisfiesConstraints,
  shapeOf,
  SLOW_MACHINE,
  selectVictims,
  type Victim,
} from './placement.js';
import type { PreemptibleShard } from './schedulableShard.js';
import type { TeamResources, TeamUsage } from '../quota/teamUsage.js';

/** A running task that may be preempted. */
interface RunningTask extends Victim {
  readonly placement: Placement;
}

/** A machine on which preempting some tasks makes room for one. */
interface PreemptionCandidate {
  readonly machine: Machine;
  readonly victims: readonly RunningTask[];
  /** Seconds of work that would be lost, and a penalty where the image is missing. */
  readonly loss: number;
}

/** What has been found of the running work at the start of a round. */
interface RunningWork {
  /** The lowest rank of what runs; Infinity if nothing does. */
  readonly lowestRank: number;
  /** Tasks that are being stopped already; their room will be free soon. */
  readonly stopping: number;
}

/** Added to the loss, in seconds, where the image is missing: machines that have it come first. */
const MISSING_IMAGE_PENALTY = 1e6;

/** Below every rank: work that its team only borrows the room for, against an entitled team. */
const BORROWED_RANK = -1;

/** The heartbeat interval divided by how long a service waits for a preemption at its image. */
const IMAGE_PREEMPTION_DIVISOR = 6;

/** The rank up to which a chunk may preempt: its own, whatever rank it has inherited. */
const preemptingRank = (chunk: Chunk): number => rankOrder[chunk.spec.rank];

/** Chooses and stops the running tasks of one shard that give way to queued work. */
export class Preemption {
  constructor(
    private readonly shard: PreemptibleShard,
    private readonly teams: TeamUsage,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Makes room for blocked chunks, in their order, on the machines where that costs least. */
  makeRoom(blocked: Chunk[], now: number, outOfTime: () => boolean): void {
    if (blocked.length === 0) return;
    const { lowestRank, stopping } = this.runningWork();
    let freedSoon = stopping;
    // Where nothing of a lower rank runs, hundreds of machines need not be looked at.
    const claimants = blocked.filter(
      (chunk) => preemptingRank(chunk) > lowestRank || this.teams.isEntitled(chunk.spec),
    );
    const candidates = new Map<string, Heap<PreemptionCandidate>>();
    for (const chunk of claimants) {
      // What is being stopped already counts for the first chunks; more would be stopped for nothing.
      const count = Math.max(0, chunk.pendingCount - freedSoon);
      freedSoon = Math.max(0, freedSoon - chunk.pendingCount);
      if (count === 0) continue;
      if (outOfTime()) return;
      this.preemptFor(chunk, count, this.candidatesFor(chunk, candidates, now), now);
    }
  }

  /**
   * Preempts batch work for a service's task that would have to fetch its image although a machine
   * that has the image is full of lower-ranked work. True while the task should wait for that machine.
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

  /** The candidates for the chunk, cheapest first; `known` keeps them for chunks alike. */
  private candidatesFor(
    chunk: Chunk,
    known: Map<string, Heap<PreemptionCandidate>>,
    now: number,
  ): Heap<PreemptionCandidate> {
    const { spec, zone } = chunk;
    const key = [shapeOf(spec, zone), preemptingRank(chunk), spec.team, spec.image].join(' ');
    let candidates = known.get(key);
    if (candidates === undefined) {
      candidates = new Heap<PreemptionCandidate>((a, b) => a.loss - b.loss);
      for (const machine of this.shard.machines.values()) {
        this.addCandidate(candidates, machine, chunk, now);
      }
      known.set(key, candidates);
    }
    return candidates;
  }

  /** Preempts the cheapest candidates for so many tasks of the chunk. */
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
      // A chunk of another shape may have taken some of its victims in the meantime.
      const isStale = best.victims.some(({ placement }) => placement.attempt.stop !== null);
      if (!isStale) {
        unserved--;
        this.stopVictims(best);
      }
      this.addCandidate(candidates, best.machine, chunk, now);
    }
  }

  /** Stops the candidate's victims; those that write checkpoints get the time to write one more. */
  private stopVictims({ machine, victims }: PreemptionCandidate): void {
    for (const { placement } of victims) {
      const { checkpointInterval, checkpointDuration } = placement.chunk.spec;
      const gracePeriod = checkpointInterval > 0 ? checkpointDuration : 0;
      this.shard.requestStop(machine, placement.attempt, gracePeriod);
    }
  }

  /** Adds the machine, if preempting some of its tasks makes room for a task of the chunk. */
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

  /** The machine's tasks that are not being stopped, with the rank that counts against the claimant. */
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
        need: chunk.spec,
        loss: lostSeconds(placement, now),
        placement,
      });
    }
    return tasks;
  }

  /**
   * Whether the task runs on what its team has borrowed, that is beyond its own guarantee; such work
   * of any rank gives way. Takes the task off `borrowed`, so that no more than that gives way.
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
        machine.slowness <= SLOW_MACHINE,
    );
  }

  /** The cheapest of the machines where no victim would need time to write a checkpoint. */
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

/** Seconds of work that stopping the task would lose. */
function lostSeconds({ chunk: { spec }, attempt }: Placement, now: number): number {
  const ran = attempt.runningSince === null ? 0 : now - attempt.runningSince;
  return spec.checkpointInterval > 0 ? Math.min(ran, spec.checkpointDuration) : ran;
}

function totalLoss(victims: readonly Victim[], penalty: number): number {
  return victims.reduce((sum, victim) => sum + victim.loss, penalty);
}
