/** Places what waits on the machines of a part: first come first served within a rank, with backfilling. */
import { log } from '../../base/log.js';
import type { Random } from '../../base/random.js';
import { rankOrder } from '../../protocol/job.js';
import type { Chunk, Attempt } from '../model/chunk.js';
import type { RunTimes } from './runTimes.js';
import type { Machine } from '../model/machine.js';
import type { SchedulableShard, SchedulerOptions } from './schedulableShard.js';
import { satisfiesConstraints, bestFit, sampleCandidates, shapeOf } from './placement.js';
import { fits, subtractResources } from '../model/resources.js';
import { Preemption } from './preemption.js';
import { UnacknowledgedStart } from '../model/unacknowledgedStart.js';
import {
  noTeamResources,
  type TeamResources,
  type ClusterView,
  type StarvedJob,
} from '../quota/teamUsage.js';

interface Round {
  /** Machines that may take work and had room when the round began. */
  withRoom: Machine[];
  /** The machine that is kept for the first that waits, and from when on it will have room. */
  reserved: { machine: Machine; at: number } | null;
  /** Shapes of work for which no machine has room. */
  full: Set<string>;
  /** Shapes of work that no machine will ever have room for. */
  unschedulable: Set<string>;
  /** Teams whose limit holds up the first of their work. */
  throttledTeams: Set<string>;
  /** What was found out of each team's work that starves at other parts. */
  starvedJobs: Map<string, StarvedJob | null>;
}

export class Scheduler {
  /** Teams that were kept waiting by their share of the limit in the last round. */
  readonly throttledTeams = new Set<string>();
  /** The first of each team that its limit has kept waiting for long. */
  readonly starvedJobs = new Map<string, StarvedJob>();
  /** The chunk at which the last round ran out of time. */
  private resumeAfter: string | null = null;
  private readonly preemption: Preemption;

  constructor(
    private readonly shard: SchedulableShard,
    private readonly options: SchedulerOptions,
    private readonly runTimes: RunTimes,
    private readonly random: Random,
    private readonly cluster: ClusterView,
  ) {
    this.preemption = new Preemption(shard, shard.teamUsage, options.heartbeatInterval);
  }

  /**
   * One round: places what fits, first come first served within a rank, later work filling in
   * behind. Stops at the deadline; the next round goes on where this one stopped.
   */
  runRound(now: number, outOfTime: () => boolean): void {
    const queue = this.shard.queuedChunks();
    this.throttledTeams.clear();
    const start = queue.findIndex((c) => c.id === this.resumeAfter);
    this.resumeAfter = null;
    this.starvedJobs.clear();
    const round: Round = {
      withRoom: this.machinesWithRoom(now),
      reserved: null,
      full: new Set(),
      unschedulable: new Set(),
      throttledTeams: new Set(),
      starvedJobs: new Map(),
    };
    const blocked: Chunk[] = [];
    for (let i = 0; i < queue.length; i++) {
      const chunk = queue[i];
      if (chunk === undefined) continue;
      // Live services are always looked at first; batch goes on where the last round stopped.
      if (chunk.rank < rankOrder.prod && start > 0 && i < start) continue;
      if (outOfTime()) {
        this.resumeAfter = chunk.id;
        break;
      }
      if (chunk.retryNotBefore > now) continue;
      if (chunk.spec.isService && this.preemption.makeRoomAtImage(chunk, now)) continue;
      const before = chunk.attempts.size;
      const waits = this.placeChunk(chunk, round, now);
      if (chunk.spec.isGang && chunk.attempts.size > before) chunk.nextAttemptNumber++;
      if (!waits) {
        chunk.blockedSince = null;
        continue;
      }
      chunk.blockedSince ??= now;
      // Room would be kept in vain for one that its team's limit holds up.
      if (round.throttledTeams.has(chunk.spec.team)) continue;
      blocked.push(chunk);
      const shape = shapeOf(chunk.spec, chunk.zone);
      if (round.reserved === null && !round.unschedulable.has(shape)) {
        round.reserved = this.shadow(chunk, now);
        if (round.reserved === null) round.unschedulable.add(shape);
      }
    }
    this.preemption.makeRoom(blocked, now, outOfTime);
  }

  /** Rooms only shrink within a round, so the machines that are full at its start need not be looked at again. */
  private machinesWithRoom(now: number): Machine[] {
    const found: Machine[] = [];
    for (const machine of this.shard.machines.values()) {
      // Every task takes some processor, but not every one takes memory.
      if (machine.free.cpus > 0 && machine.isSchedulable(now)) found.push(machine);
    }
    return found;
  }

  /** Gives true when tasks of it are left without room. */
  private placeChunk(chunk: Chunk, round: Round, now: number): boolean {
    const { spec } = chunk;
    if (this.mustYield(chunk, round)) return true;
    if (spec.isGang && !this.gangFits(chunk, round, now)) return true;
    const kept = this.keptFrom(chunk, round, now);
    // Rooms only shrink within a round: what found none leaves none for others of its shape.
    const shape = shapeOf(spec, chunk.zone);
    const behind = `${shape} behind`;
    if (round.full.has(shape) || (kept !== undefined && round.full.has(behind))) return true;
    // A job that has failed on some machines goes to others, as long as there are any.
    const isChoosy =
      chunk.failedMachines.size > 0 && chunk.failedMachines.size < this.shard.machines.size;
    let hosts: Machine[] | null = null;
    while (chunk.pendingCount > 0) {
      if (!this.shard.teamUsage.withinAllowance(spec)) {
        this.noteThrottled(chunk, round, now);
        return true;
      }
      hosts ??= candidates(round.withRoom, chunk, kept, isChoosy);
      const sampled = sampleCandidates(hosts, spec.image, this.options.sample, this.random);
      const machine = bestFit(sampled, spec);
      if (machine === null) {
        if (!isChoosy) round.full.add(kept === undefined ? shape : behind);
        return true;
      }
      const task = chunk.nextPending();
      if (task === null) return false;
      this.place(chunk, task, machine, now);
      if (!fits(machine.free, spec)) hosts.splice(hosts.indexOf(machine), 1);
    }
    return false;
  }

  /** The machine that is reserved for the first that waits, if work of this chunk would delay that. */
  private keptFrom({ spec }: Chunk, { reserved }: Round, now: number): Machine | undefined {
    if (reserved === null || spec.isGang) return undefined;
    const run = this.runTimes.expected(spec.jobClass, spec.expectedRunSeconds);
    return spec.isService || now + run > reserved.at ? reserved.machine : undefined;
  }

  /**
   * At its limit a team's work goes on strictly in order: small tasks that took up each bit of the limit
   * as it came free would keep a large one waiting for good, here or at another part.
   */
  private mustYield(chunk: Chunk, round: Round): boolean {
    const { team } = chunk.spec;
    if (chunk.pendingCount === 0) return false;
    if (round.throttledTeams.has(team)) return true;
    let first = round.starvedJobs.get(team);
    if (first === undefined)
      round.starvedJobs.set(team, (first = this.cluster.starvedElsewhere(team)));
    if (!this.isBehind(chunk, first)) return false;
    round.throttledTeams.add(team);
    return true;
  }

  private isBehind(chunk: Chunk, first: StarvedJob | null): boolean {
    if (first === null || chunk.rank > first.rank) return false;
    return chunk.rank < first.rank || chunk.submittedAt > first.submittedAt;
  }

  /**
   * What waits here of a team and may have a share of its limit. What yields to a job at another part may
   * not: a share kept for it would be the one that the other waits for.
   */
  wanted(team: string): TeamResources {
    const want = noTeamResources();
    const first = this.cluster.starvedElsewhere(team);
    for (const chunk of this.shard.chunks.values()) {
      if (chunk.spec.team !== team || this.isBehind(chunk, first)) continue;
      want.cpus += chunk.pendingCount * chunk.spec.cpus;
      want.gpus += chunk.pendingCount * chunk.spec.gpus;
    }
    return want;
  }

  private noteThrottled(chunk: Chunk, round: Round, now: number): void {
    const { team } = chunk.spec;
    this.throttledTeams.add(team);
    round.throttledTeams.add(team);
    const since = chunk.blockedSince ?? now;
    if (now - since > this.options.heartbeatInterval * 2) {
      this.starvedJobs.set(team, { team, submittedAt: chunk.submittedAt, rank: chunk.rank });
    }
  }

  /** A gang starts whole: nothing of it is left running, and there is room for all that is not done. */
  private gangFits(chunk: Chunk, round: Round, now: number): boolean {
    if (chunk.attempts.size > 0) return false;
    const { spec } = chunk;
    if (!this.shard.teamUsage.withinAllowance(spec, chunk.pendingCount)) {
      this.noteThrottled(chunk, round, now);
      return false;
    }
    let left = chunk.pendingCount;
    for (const machine of this.shard.machines.values()) {
      if (!machine.isSchedulable(now) || !satisfiesConstraints(spec, chunk.zone, machine)) continue;
      if (
        chunk.failedMachines.has(machine.name) &&
        chunk.failedMachines.size < this.shard.machines.size
      )
        continue;
      const room = { ...machine.free };
      while (left > 0 && fits(room, spec)) {
        left--;
        subtractResources(room, spec);
      }
    }
    return left === 0;
  }

  private place(chunk: Chunk, task: number, machine: Machine, now: number): void {
    const attempt: Attempt = {
      task,
      // The tasks of a gang know each other by a common attempt.
      attemptNumber: chunk.spec.isGang ? chunk.nextAttemptNumber : chunk.nextAttemptNumber++,
      machine: machine.name,
      agentEpoch: machine.agentEpoch,
      chunkVersion: chunk.version + 1,
      wasReported: false,
      isInherited: false,
      state: 'fetching',
      placedAt: now,
      runningSince: null,
      unacknowledgedStart: new UnacknowledgedStart(),
      startSentInAnswer: false,
      stop: null,
    };
    chunk.attempts.set(task, attempt);
    this.shard.teamUsage.add(chunk.spec, 1);
    machine.place({ chunk, attempt });
    this.shard.waitEstimates.invalidate();
    log.debug(
      `${this.shard.label} places ${chunk.taskName(task)} (${chunk.spec.jobClass}) on ${machine.name}, ` +
        `image ${machine.hasImage(chunk.spec.image) ? 'there' : 'missing'}, ` +
        `after ${(now - chunk.queuedAt).toFixed(1)} s`,
    );
    this.shard.noteChunkChanged(chunk, now);
  }

  /** Where and when the first that waits will find room: that room is kept for it. */
  private shadow(chunk: Chunk, now: number): { machine: Machine; at: number } | null {
    let best: { machine: Machine; at: number } | null = null;
    for (const machine of this.shard.machines.values()) {
      if (!machine.isSchedulable(now) || !satisfiesConstraints(chunk.spec, chunk.zone, machine))
        continue;
      if (!fits(machine.capacity, chunk.spec)) continue;
      // Nothing ends there sooner than what is found already: most machines are passed over so.
      const roomNow = fits(machine.free, chunk.spec);
      if (best !== null && !roomNow && this.soonest(machine, now) >= best.at) continue;
      const room = { ...machine.free };
      const ends = [...machine.placements.values()]
        .map((p) => ({ at: this.shard.waitEstimates.endOf(p, now), need: p.chunk.spec }))
        .sort((a, b) => a.at - b.at);
      let at = now;
      for (const end of ends) {
        if (fits(room, chunk.spec)) break;
        subtractResources(room, end.need, -1);
        at = end.at;
      }
      if (fits(room, chunk.spec) && at < (best?.at ?? Infinity)) best = { machine, at };
    }
    return best;
  }

  private soonest(machine: Machine, now: number): number {
    let first = Infinity;
    for (const placement of machine.placements.values())
      first = Math.min(first, this.shard.waitEstimates.endOf(placement, now));
    return first;
  }
}

/** Machines that have room for a task of the chunk. */
function candidates(
  machines: Machine[],
  chunk: Chunk,
  kept: Machine | undefined,
  isChoosy: boolean,
): Machine[] {
  const { spec, zone, failedMachines: failedOn } = chunk;
  return machines.filter((machine) => {
    if (machine === kept || !fits(machine.free, spec) || !satisfiesConstraints(spec, zone, machine))
      return false;
    return !isChoosy || !failedOn.has(machine.name);
  });
}
