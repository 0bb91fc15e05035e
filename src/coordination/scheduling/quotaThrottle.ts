/**
 * Throttling of teams that have reached their quota. Such a team is served strictly in queue order, at
 * all shards: with backfilling, small tasks would take each bit of quota that becomes free, and a large
 * task of the team would never start, here or at another shard (DESIGN does not have quotas; see
 * "At its limit a team is served strictly in order" in docs/design.md).
 */
import type { Chunk } from '../model/chunk.js';
import {
  zeroTeamResources,
  type ClusterView,
  type StarvedJob,
  type TeamResources,
} from '../quota/teamUsage.js';

/** A job counts as starved once its team's quota has blocked it for this many heartbeat intervals. */
const STARVED_AFTER = 2;

/** Which teams are throttled, and which of their jobs starve; renewed by each scheduling round. */
export class QuotaThrottle {
  /** Teams whose work was blocked by this shard's share of their quota in the last round. */
  readonly throttledTeams = new Set<string>();
  /** By team, the first job that its quota has blocked for long. */
  readonly starvedJobs = new Map<string, StarvedJob>();
  /** Teams of which nothing more is placed in this round. */
  private readonly blockedTeams = new Set<string>();
  /** By team, what `ClusterView.starvedElsewhere` gave in this round. */
  private readonly starvedElsewhere = new Map<string, StarvedJob | null>();

  constructor(
    private readonly cluster: ClusterView,
    /** Seconds between two heartbeats of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Forgets what the last round found. */
  beginRound(): void {
    this.throttledTeams.clear();
    this.starvedJobs.clear();
    this.blockedTeams.clear();
    this.starvedElsewhere.clear();
  }

  /** Whether nothing more of the team is placed in this round. */
  isBlocked(team: string): boolean {
    return this.blockedTeams.has(team);
  }

  /** Whether the chunk must let earlier work of its team go first, here or at another shard. */
  mustYield(chunk: Chunk): boolean {
    const { team } = chunk.spec;
    if (chunk.pendingCount === 0) return false;
    if (this.blockedTeams.has(team)) return true;
    if (!isBehind(chunk, this.firstStarvedElsewhere(team))) return false;
    this.blockedTeams.add(team);
    return true;
  }

  /** The team's quota leaves no room for the chunk's next task. */
  noteThrottled(chunk: Chunk, now: number): void {
    const { team } = chunk.spec;
    this.throttledTeams.add(team);
    this.blockedTeams.add(team);
    const blockedSince = chunk.blockedSince ?? now;
    if (now - blockedSince > this.heartbeatInterval * STARVED_AFTER) {
      this.starvedJobs.set(team, { team, submittedAt: chunk.submittedAt, rank: chunk.rank });
    }
  }

  /**
   * What the team's pending tasks would use, out of `chunks`. Work that yields to a starved job at
   * another shard is left out: quota kept for it here is what that job waits for.
   */
  pendingDemand(team: string, chunks: Iterable<Chunk>): TeamResources {
    const wanted = zeroTeamResources();
    const starved = this.cluster.starvedElsewhere(team);
    for (const chunk of chunks) {
      if (chunk.spec.team !== team || isBehind(chunk, starved)) continue;
      wanted.cpus += chunk.pendingCount * chunk.spec.cpus;
      wanted.gpus += chunk.pendingCount * chunk.spec.gpus;
    }
    return wanted;
  }

  private firstStarvedElsewhere(team: string): StarvedJob | null {
    const known = this.starvedElsewhere.get(team);
    if (known !== undefined) return known;
    const first = this.cluster.starvedElsewhere(team);
    this.starvedElsewhere.set(team, first);
    return first;
  }
}

/** Whether the chunk comes after the starved job in the order of the queue. */
function isBehind(chunk: Chunk, starved: StarvedJob | null): boolean {
  if (starved === null || chunk.rank > starved.rank) return false;
  return chunk.rank < starved.rank || chunk.submittedAt > starved.submittedAt;
}
