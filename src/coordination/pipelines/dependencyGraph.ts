/**
 * Determines which jobs wait for others from the stored states of jobs alone. A final state never changes, so all nodes
 * that have read the same records reach the same result without exchanging messages. The graph does no I/O: changed records
 * are applied to it in any order, and the cost of a change is proportional to what it changes.
 */

/** The stored state of a job; a job that is not known yet counts as open. */
export type StoredJobState = 'open' | 'done' | 'cancelled';

/** An open job with dependencies. */
interface Dependent {
  /** Its dependencies that are not known to be done. */
  readonly pending: Set<string>;
  /** Its own rank; a higher rank goes first. */
  readonly rank: number;
  /** Monotonic time at which a direct or transitive dependency was found to be cancelled; null if none was. */
  dependencyCancelledAt: number | null;
}

/** Callbacks for the effects of a change on jobs. */
export interface DependencyEvents {
  /** All dependencies of the job are done. */
  onReleased(job: string): void;
  /** A direct or transitive dependency of the job is cancelled. */
  onDependencyCancelled(job: string): void;
  /** The highest rank of the jobs that depend on the job has changed. */
  onRankChanged(job: string): void;
}

/** The open jobs that depend on others, updated from the stored states of jobs. */
export class DependencyGraph {
  private readonly dependents = new Map<string, Dependent>();
  /** The direct dependents of each job that is not done. */
  private readonly directDependents = new Map<string, Set<string>>();
  /** For each job that is not done, the highest rank of its direct and transitive dependents. */
  private readonly inheritedRanks = new Map<string, number>();
  private readonly jobsWithCancelledDependency = new Set<string>();

  constructor(
    private readonly stateOf: (job: string) => StoredJobState | undefined,
    private readonly events: DependencyEvents,
  ) {}

  /** Whether a job must not start: it has pending dependencies, or is to be cancelled with one of them. */
  isBlockedOnDependencies(job: string): boolean {
    return this.dependents.has(job);
  }

  /** Monotonic time at which a direct or transitive dependency was found to be cancelled; null if none was. */
  dependencyCancelledAt(job: string): number | null {
    return this.dependents.get(job)?.dependencyCancelledAt ?? null;
  }

  /** Open jobs with a cancelled direct or transitive dependency. */
  get withCancelledDependency(): ReadonlySet<string> {
    return this.jobsWithCancelledDependency;
  }

  /** The pending dependencies of a job. */
  blockersOf(job: string): string[] {
    return [...(this.dependents.get(job)?.pending ?? [])];
  }

  /** The highest rank of the jobs that depend on a job; lower than every rank if there are none. */
  inheritedRank(job: string): number {
    return this.inheritedRanks.get(job) ?? -Infinity;
  }

  /** Applies the stored state of a job. `now`: when this node learned of it; -Infinity if the change may be long ago. */
  applyJobState(
    job: string,
    state: StoredJobState,
    dependencies: readonly string[],
    rank: number,
    now: number,
  ): void {
    if (state === 'open') this.add(job, dependencies, rank, now);
    else this.finish(job, state, now);
  }

  private add(job: string, dependencies: readonly string[], rank: number, now: number): void {
    if (dependencies.length === 0 || this.dependents.has(job)) return;
    const pending = new Set<string>();
    let hasCancelledDependency = false;
    for (const dependency of dependencies) {
      const state = this.stateOf(dependency);
      if (state === 'done') continue;
      pending.add(dependency);
      hasCancelledDependency ||=
        state === 'cancelled' || this.jobsWithCancelledDependency.has(dependency);
    }
    if (pending.size === 0) return;
    this.dependents.set(job, { pending, rank, dependencyCancelledAt: null });
    for (const dependency of pending) {
      const directDependents = this.directDependents.get(dependency) ?? new Set<string>();
      this.directDependents.set(dependency, directDependents.add(job));
    }
    if (hasCancelledDependency) this.markDependencyCancelled([job], now);
    else this.rerank(pending);
  }

  private finish(job: string, state: 'done' | 'cancelled', now: number): void {
    const directDependents = this.directDependents.get(job) ?? new Set<string>();
    if (state === 'cancelled') this.markDependencyCancelled(directDependents, now);
    this.directDependents.delete(job);
    this.inheritedRanks.delete(job);
    this.remove(job);
    if (state === 'cancelled') return;
    for (const directDependent of directDependents) this.satisfyDependency(directDependent, job);
  }

  /** Removes a dependency that is done from a job, and releases the job if it was the last one. */
  private satisfyDependency(job: string, dependency: string): void {
    const dependent = this.dependents.get(job);
    if (dependent === undefined) return;
    dependent.pending.delete(dependency);
    if (dependent.pending.size > 0 || dependent.dependencyCancelledAt !== null) return;
    this.dependents.delete(job);
    this.events.onReleased(job);
  }

  /** Removes a job that has ended itself, together with its dependencies. */
  private remove(job: string): void {
    const dependent = this.dependents.get(job);
    if (dependent === undefined) return;
    this.dependents.delete(job);
    this.jobsWithCancelledDependency.delete(job);
    for (const dependency of dependent.pending) {
      const directDependents = this.directDependents.get(dependency);
      if (directDependents?.delete(job) === true && directDependents.size === 0)
        this.directDependents.delete(dependency);
    }
    this.rerank(dependent.pending);
  }

  /** Marks jobs, and all that depend on them, as having a cancelled dependency. */
  private markDependencyCancelled(jobs: Iterable<string>, now: number): void {
    const remaining = [...jobs];
    for (let job = remaining.pop(); job !== undefined; job = remaining.pop()) {
      const dependent = this.dependents.get(job);
      if (dependent?.dependencyCancelledAt !== null) continue;
      dependent.dependencyCancelledAt = now;
      this.jobsWithCancelledDependency.add(job);
      this.events.onDependencyCancelled(job);
      remaining.push(...(this.directDependents.get(job) ?? []));
      this.rerank(dependent.pending);
    }
  }

  /** Recomputes the inherited ranks of jobs and, where one changes, those of the job's dependencies. */
  private rerank(jobs: Iterable<string>): void {
    const remaining = [...jobs];
    for (let job = remaining.pop(); job !== undefined; job = remaining.pop()) {
      const before = this.inheritedRank(job);
      let highest = -Infinity;
      for (const directDependent of this.directDependents.get(job) ?? []) {
        highest = Math.max(highest, this.effectiveRank(directDependent));
      }
      if (highest === before) continue;
      if (highest === -Infinity) this.inheritedRanks.delete(job);
      else this.inheritedRanks.set(job, highest);
      this.events.onRankChanged(job);
      remaining.push(...(this.dependents.get(job)?.pending ?? []));
    }
  }

  private effectiveRank(job: string): number {
    const dependent = this.dependents.get(job);
    if (dependent?.dependencyCancelledAt !== null) return -Infinity;
    return Math.max(dependent.rank, this.inheritedRank(job));
  }
}
