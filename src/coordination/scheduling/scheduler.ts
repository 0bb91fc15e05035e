/**
 * Places queued work on the machines of one shard: first come first served within a rank, with EASY backfilling (DESIGN),
 * and preemption of lower ranks if there is no room.
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
  /** Id of the chunk at which the last round ran out of time; null if the round went through the whole queue. */
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

  /** Teams with tasks that this shard's share of their quota blocked in the last round. */
  get throttledTeams(): ReadonlySet<string> {
    return this.throttle.throttledTeams;
  }

  /** By team, the first job in queue order that the team's quota starves. */
  get starvedJobs(): ReadonlyMap<string, StarvedJob> {
    return this.throttle.starvedJobs;
  }

  /** Resources that a team's pending tasks would use here, to compute a new share of the team's quota. */
  pendingDemand(team: string): TeamResources {
    return this.throttle.pendingDemand(team, this.shard.chunks.values());
  }

  /**
   * Runs one round: goes through the queue in order and places what fits, with later work backfilled. The round stops once
   * `outOfTime` returns true, and the next round continues from there.
   */
  runRound(now: number, outOfTime: () => boolean): void {
    const queue = this.shard.queuedChunks();
    const resumeIndex = queue.findIndex((chunk) => chunk.id === this.resumeAt);
    this.resumeAt = null;
    this.throttle.beginRound();
    const round = createRoundState(this.shard.machines.values(), now);
    const blocked: Chunk[] = [];
    for (const [index, chunk] of queue.entries()) {
      // Every round considers live services; batch work continues where the last round stopped.
      if (chunk.rank < rankOrder.prod && index < resumeIndex) continue;
      if (outOfTime()) {
        this.resumeAt = chunk.id;
        break;
      }
      if (!this.isDue(chunk, now) || !this.placeAndCheckBlocked(chunk, round)) continue;
      blocked.push(chunk);
      this.reserveIfFirst(chunk, round);
    }
    this.preemption.makeRoom(blocked, now, outOfTime);
  }

  /** Whether the chunk may be placed in this round: not before its retry, nor while room is made on a machine with its image. */
  private isDue(chunk: Chunk, now: number): boolean {
    if (chunk.retryNotBefore > now) return false;
    return !(chunk.spec.isService && this.preemption.makeRoomAtImage(chunk, now));
  }

  /** Places the chunk; true if tasks are left over because machines, not the team's quota, lack room. */
  private placeAndCheckBlocked(chunk: Chunk, round: RoundState): boolean {
    const attemptsBefore = chunk.attempts.size;
    const outcome = this.placer.placeChunk(chunk, round);
    if (chunk.spec.isGang && chunk.attempts.size > attemptsBefore) chunk.nextAttemptNumber++;
    if (outcome === 'complete') {
      chunk.blockedSince = null;
      return false;
    }
    chunk.blockedSince ??= round.now;
    // A reservation or preemption would not help work that is blocked by its team's quota.
    return !this.throttle.isBlocked(chunk.spec.team);
  }

  /** EASY backfilling: reserves a machine for the first blocked chunk that some machine can hold. */
  private reserveIfFirst(chunk: Chunk, round: RoundState): void {
    const shape = shapeOf(chunk.spec, chunk.zone);
    if (round.reservation !== null || round.unschedulableShapes.has(shape)) return;
    round.reservation = findReservation(this.shard, chunk, round.now);
    if (round.reservation === null) round.unschedulableShapes.add(shape);
  }
}
