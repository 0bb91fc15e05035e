/**
 * Places queued work on the machines of one shard: first come first served within a rank, with EASY
 * backfilling (DESIGN), and preemption of lower ranks where there is no room.
 */
import type { Random } from '../../base/random.js';
import { rankOrder } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import type { ClusterView, StarvedJob, TeamResources } from '../quota/teamUsage.js';
import { ChunkPlacer } from './chunkPlacer.js';
import { shapeOf } from './placement.js';
import { Preemption } from './preemption.js';
import { QuotaThrottle } from './quotaThrottle.js';
import { findReservation } from './reservation.js';
import { createRoundState, type RoundState } from './roundState.js';
import type { RunTimes } from './runTimes.js';
import type { SchedulableShard, SchedulerOptions } from './schedulableShard.js';

/** Runs the scheduling rounds of one shard. */
export class Scheduler {
  /** The chunk at which the last round ran out of time; null: it went through the whole queue. */
  private resumeAt: string | null = null;
  private readonly throttle: QuotaThrottle;
  private readonly placer: ChunkPlacer;
  private readonly preemption: Preemption;

  constructor(
    private readonly shard: SchedulableShard,
    { heartbeatInterval, sample }: SchedulerOptions,
    runTimes: RunTimes,
    random: Random,
    cluster: ClusterView,
  ) {
    this.throttle = new QuotaThrottle(cluster, heartbeatInterval);
    this.placer = new ChunkPlacer(shard, this.throttle, runTimes, random, sample);
    this.preemption = new Preemption(shard, shard.teamUsage, heartbeatInterval);
  }

  /** Teams whose work was blocked by this shard's share of their quota in the last round. */
  get throttledTeams(): ReadonlySet<string> {
    return this.throttle.throttledTeams;
  }

  /** By team, the first job that its quota has blocked for long. */
  get starvedJobs(): ReadonlyMap<string, StarvedJob> {
    return this.throttle.starvedJobs;
  }

  /** What pending tasks of a team would use here, for a new share of the team's quota. */
  pendingDemand(team: string): TeamResources {
    return this.throttle.pendingDemand(team, this.shard.chunks.values());
  }

  /**
   * One round: goes through the queue in order and places what fits; later work is backfilled. It
   * stops once `outOfTime`, and the next round goes on from there.
   */
  runRound(now: number, outOfTime: () => boolean): void {
    const queue = this.shard.queuedChunks();
    const resumeIndex = queue.findIndex((chunk) => chunk.id === this.resumeAt);
    this.resumeAt = null;
    this.throttle.beginRound();
    const round = createRoundState(this.shard.machines.values(), now);
    const blocked: Chunk[] = [];
    for (const [index, chunk] of queue.entries()) {
      // Live services are looked at in every round; batch work goes on where the last round stopped.
      if (chunk.rank < rankOrder.prod && index < resumeIndex) continue;
      if (outOfTime()) {
        this.resumeAt = chunk.id;
        break;
      }
      if (!this.isDue(chunk, now) || !this.isLeftBlocked(chunk, round)) continue;
      blocked.push(chunk);
      this.reserveIfFirst(chunk, round);
    }
    this.preemption.makeRoom(blocked, now, outOfTime);
  }

  /** Whether the chunk may be placed in this round, or has to wait for a retry or for its image's machine. */
  private isDue(chunk: Chunk, now: number): boolean {
    if (chunk.retryNotBefore > now) return false;
    return !(chunk.spec.isService && this.preemption.makeRoomAtImage(chunk, now));
  }

  /** Places the chunk; true when tasks of it are left for which machines, not its quota, lack room. */
  private isLeftBlocked(chunk: Chunk, round: RoundState): boolean {
    const attemptsBefore = chunk.attempts.size;
    const outcome = this.placer.placeChunk(chunk, round);
    if (chunk.spec.isGang && chunk.attempts.size > attemptsBefore) chunk.nextAttemptNumber++;
    if (outcome === 'complete') {
      chunk.blockedSince = null;
      return false;
    }
    chunk.blockedSince ??= round.now;
    // A reservation or a preemption for work that its quota blocks would be in vain.
    return !this.throttle.isBlocked(chunk.spec.team);
  }

  /** EASY backfilling: the first blocked chunk that some machine can hold gets the reservation. */
  private reserveIfFirst(chunk: Chunk, round: RoundState): void {
    const shape = shapeOf(chunk.spec, chunk.zone);
    if (round.reservation !== null || round.unschedulableShapes.has(shape)) return;
    round.reservation = findReservation(this.shard, chunk, round.now);
    if (round.reservation === null) round.unschedulableShapes.add(shape);
  }
}
