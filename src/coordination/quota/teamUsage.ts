/** What teams' tasks use of a shard, against their limits and guarantees. */
import type { JobSpec } from '../../protocol/job.js';

/** CPUs and accelerators. */
export interface TeamResources {
  cpus: number;
  gpus: number;
}

/** What a shard has to know of the rest of the cluster. */
export interface ClusterView {
  /** How much of a team's limit this shard may use; null: no limit. */
  allowance(team: string): TeamResources | null;
  /** What a team is guaranteed; 0: nothing. */
  guarantee(team: string): TeamResources;
  /** What a team's tasks use at the other shards, by the last gossip. */
  usedElsewhere(team: string): TeamResources;
  /** The first of a team's jobs that is starved by the team's limit at another shard; null: none is. */
  starvedElsewhere(team: string): StarvedJob | null;
  /** The highest rank of the jobs that depend on a job; below every rank when none does. */
  inheritedRank(job: string): number;
  /** Whether a job is cancelled, or is about to be. */
  cancellationOf(job: string): JobCancellationState;
}

/**
 * `announced`: all nodes have been told that it is about to be cancelled, and nothing of it may start; `stored`: its record says
 * that it is cancelled.
 */
export type JobCancellationState = 'none' | 'announced' | 'stored';

/** A job that has long been kept waiting by its team's limit. */
export interface StarvedJob {
  team: string;
  /** Time of day of its submission, and its rank: the order of the queue. */
  submittedAt: number;
  rank: number;
}

/** Nothing of both; a new object each time. */
export const zeroTeamResources = (): TeamResources => ({ cpus: 0, gpus: 0 });

/** The view of a shard that is the only one. */
export const singleShardView: ClusterView = {
  allowance: () => null,
  guarantee: zeroTeamResources,
  usedElsewhere: zeroTeamResources,
  starvedElsewhere: () => null,
  inheritedRank: () => -Infinity,
  cancellationOf: () => 'none',
};

/** Room for rounding where amounts are added and taken away again. */
const EPSILON = 1e-6;

/** What each team's tasks use of one shard. */
export class TeamUsage {
  /** Kept up to date, since each decision asks for it. */
  private readonly used = new Map<string, TeamResources>();

  constructor(private readonly cluster: ClusterView) {}

  /** Whether so many more tasks of the job stay within this shard's share of its team's limit. */
  withinAllowance(spec: JobSpec, tasks = 1): boolean {
    const allowance = this.cluster.allowance(spec.team);
    if (allowance === null) return true;
    const used = this.usedBy(spec.team);
    return (
      used.cpus + tasks * spec.cpus <= allowance.cpus + EPSILON &&
      used.gpus + tasks * spec.gpus <= allowance.gpus + EPSILON
    );
  }

  private total(team: string): TeamResources {
    const here = this.usedBy(team);
    const there = this.cluster.usedElsewhere(team);
    return { cpus: here.cpus + there.cpus, gpus: here.gpus + there.gpus };
  }

  /** Whether one more task of the job stays within its team's guarantee. */
  isEntitled(spec: JobSpec): boolean {
    const guarantee = this.cluster.guarantee(spec.team);
    if (guarantee.cpus === 0 && guarantee.gpus === 0) return false;
    const used = this.total(spec.team);
    return (
      used.cpus + spec.cpus <= guarantee.cpus + EPSILON &&
      used.gpus + spec.gpus <= guarantee.gpus + EPSILON
    );
  }

  /** What a team runs beyond its guarantee. */
  borrowed(team: string): TeamResources {
    const guarantee = this.cluster.guarantee(team);
    const used = this.total(team);
    return { cpus: used.cpus - guarantee.cpus, gpus: used.gpus - guarantee.gpus };
  }

  /** What a team's tasks use here, including those that may still run. */
  usedBy(team: string): Readonly<TeamResources> {
    return this.used.get(team) ?? zeroTeamResources();
  }

  /** Counts tasks that have been placed here, or, below zero, have ended. */
  add(spec: JobSpec, tasks: number): void {
    const used = this.used.get(spec.team) ?? zeroTeamResources();
    this.used.set(spec.team, used);
    used.cpus += tasks * spec.cpus;
    used.gpus += tasks * spec.gpus;
  }
}
