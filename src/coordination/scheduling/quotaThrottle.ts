/**
 * Throttles teams that have reached their quota. The tasks of such a team are placed strictly in queue order, at all
 * shards: with backfilling, small tasks would use up all quota that becomes free, and a large task of the team would never
 * start, here or at another shard (DESIGN does not have quotas; see "At its limit a team is served strictly in order" in
 * docs/design.md).
 */
import type { Chunk } from '../model/chunk.js';
import {
  zeroTeamResources,
  type ClusterView,
  type StarvedJob,
  type TeamResources,
} from '../quota/teamUsage.js';

/** A job is starved once its team's quota has blocked it for this many heartbeat intervals. */
const STARVATION_INTERVALS = 2;

/** Which teams are throttled, and which of their jobs are starved; recomputed by each scheduling round. */
export class QuotaThrottle {
  /** Teams with tasks that this shard's share of their quota blocked in the last round. */
  readonly throttledTeams = new Set<string>();
  /** By team, the first job in queue order that the team's quota starves. */
  readonly starvedJobs = new Map<string, StarvedJob>();
  /** Teams whose tasks are no longer placed in this round. */
  private readonly blockedTeams = new Set<string>();
  /** By team, the cached result of `ClusterView.starvedElsewhere` for this round. */
  private readonly starvedElsewhere = new Map<string, StarvedJob | null>();

  constructor(
    private readonly cluster: ClusterView,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Discards the results of the last round. */
  beginRound(): void {
    this.throttledTeams.clear();
    this.starvedJobs.clear();
    this.blockedTeams.clear();
    this.starvedElsewhere.clear();
  }

  /** Whether the team's tasks are no longer placed in this round. */
  isBlocked(team: string): boolean {
    return this.blockedTeams.has(team);
  }

  /** Whether the chunk must wait for earlier work of its team, here or at another shard. */
  mustYield(chunk: Chunk): boolean {
    const { team } = chunk.spec;
    if (chunk.pendingCount === 0) return false;
    if (this.blockedTeams.has(team)) return true;
    if (!isBehind(chunk, this.firstStarvedElsewhere(team))) return false;
    this.blockedTeams.add(team);
    return true;
  }

  /** Records that the team's quota has no room for the chunk's next task. */
  noteThrottled(chunk: Chunk, now: number): void {
    const { team } = chunk.spec;
    this.throttledTeams.add(team);
    this.blockedTeams.add(team);
    const blockedSince = chunk.blockedSince ?? now;
    if (now - blockedSince > this.heartbeatInterval * STARVATION_INTERVALS) {
      this.starvedJobs.set(team, { team, submittedAt: chunk.submittedAt, rank: chunk.rank });
    }
  }

  /**
   * Resources that the team's pending tasks in `chunks` would use. Tasks that yield to a starved job at another shard are
   * left out: that job waits for the quota that this shard would keep for them.
   */
  pendingDemand(team: string, chunks: Iterable<Chunk>): TeamResources {
    const demand = zeroTeamResources();
    const starved = this.cluster.starvedElsewhere(team);
    for (const chunk of chunks) {
      if (chunk.spec.team !== team || isBehind(chunk, starved)) continue;
      demand.cpus += chunk.pendingCount * chunk.spec.cpus;
      demand.gpus += chunk.pendingCount * chunk.spec.gpus;
    }
    return demand;
  }

  private firstStarvedElsewhere(team: string): StarvedJob | null {
    const cached = this.starvedElsewhere.get(team);
    if (cached !== undefined) return cached;
    const first = this.cluster.starvedElsewhere(team);
    this.starvedElsewhere.set(team, first);
    return first;
  }
}

/** Whether the chunk comes after the starved job in queue order. */
function isBehind(chunk: Chunk, starved: StarvedJob | null): boolean {
  if (starved === null || chunk.rank > starved.rank) return false;
  return chunk.rank < starved.rank || chunk.submittedAt > starved.submittedAt;
}
