/** Resources that teams' tasks use in a shard, compared with the teams' limits and guarantees. */
import type { JobSpec } from '../../protocol/job.js';

/** Amounts of CPUs and accelerators. */
export interface TeamResources {
  cpus: number;
  gpus: number;
}

/** What a shard knows about the rest of the cluster. */
export interface ClusterView {
  /** Resources that this shard may use of a team's limit; null if the team has no limit. */
  allowance(team: string): TeamResources | null;
  /** A team's guaranteed resources; 0 for a resource without a guarantee. */
  guarantee(team: string): TeamResources;
  /** Resources that a team's tasks use in the other shards, according to the last gossip. */
  usedElsewhere(team: string): TeamResources;
  /** The first of a team's jobs that the team's limit starves at another shard; null if there is none. */
  starvedElsewhere(team: string): StarvedJob | null;
  /** The highest rank of the jobs that depend on a job; below every rank if there are none. */
  inheritedRank(job: string): number;
  /** Whether a job is cancelled, or about to be cancelled. */
  cancellationOf(job: string): JobCancellationState;
}

/**
 * State of a job's cancellation. `announced`: all nodes have been told that the job is about to be cancelled, and none of its
 * tasks may start; `stored`: the job's record says that it is cancelled.
 */
export type JobCancellationState = 'none' | 'announced' | 'stored';

/** A job that its team's limit has blocked for a long time. */
export interface StarvedJob {
  team: string;
  /** Wall-clock time of its submission, which with its rank gives its place in queue order. */
  submittedAt: number;
  rank: number;
}

/** A new object with an amount of 0 for each resource. */
export const zeroTeamResources = (): TeamResources => ({ cpus: 0, gpus: 0 });

/** The view of a shard that is the only one in its cluster. */
export const singleShardView: ClusterView = {
  allowance: () => null,
  guarantee: zeroTeamResources,
  usedElsewhere: zeroTeamResources,
  starvedElsewhere: () => null,
  inheritedRank: () => -Infinity,
  cancellationOf: () => 'none',
};

/** Tolerance for rounding errors when amounts are added and subtracted. */
const EPSILON = 1e-6;

/** Resources that each team's tasks use in one shard. */
export class TeamUsage {
  /** By team. Updated with each change rather than computed, since each placement decision reads it. */
  private readonly used = new Map<string, TeamResources>();

  constructor(private readonly cluster: ClusterView) {}

  /** Whether this many more tasks of the job stay within the shard's share of the team's limit. */
  withinAllowance(spec: JobSpec, tasks = 1): boolean {
    const allowance = this.cluster.allowance(spec.team);
    if (allowance === null) return true;
    const used = this.usedBy(spec.team);
    return (
      used.cpus + tasks * spec.cpus <= allowance.cpus + EPSILON &&
      used.gpus + tasks * spec.gpus <= allowance.gpus + EPSILON
    );
  }

  /** Resources that a team's tasks use in all shards. */
  private total(team: string): TeamResources {
    const local = this.usedBy(team);
    const elsewhere = this.cluster.usedElsewhere(team);
    return { cpus: local.cpus + elsewhere.cpus, gpus: local.gpus + elsewhere.gpus };
  }

  /** Whether one more task of the job stays within the team's guarantee. */
  isEntitled(spec: JobSpec): boolean {
    const guarantee = this.cluster.guarantee(spec.team);
    if (guarantee.cpus === 0 && guarantee.gpus === 0) return false;
    const used = this.total(spec.team);
    return (
      used.cpus + spec.cpus <= guarantee.cpus + EPSILON &&
      used.gpus + spec.gpus <= guarantee.gpus + EPSILON
    );
  }

  /** Resources that a team uses beyond its guarantee; negative if it uses less. */
  borrowed(team: string): TeamResources {
    const guarantee = this.cluster.guarantee(team);
    const used = this.total(team);
    return { cpus: used.cpus - guarantee.cpus, gpus: used.gpus - guarantee.gpus };
  }

  /** Resources that a team's tasks use in this shard, including tasks that may still run. */
  usedBy(team: string): Readonly<TeamResources> {
    return this.used.get(team) ?? zeroTeamResources();
  }

  /** Adds the resources of tasks that have been placed here or, with a negative count, have ended. */
  add(spec: JobSpec, tasks: number): void {
    const used = this.used.get(spec.team) ?? zeroTeamResources();
    this.used.set(spec.team, used);
    used.cpus += tasks * spec.cpus;
    used.gpus += tasks * spec.gpus;
  }
}
