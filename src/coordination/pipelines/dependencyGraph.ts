/**
 * Which jobs wait for others, worked out from the stored states of jobs alone. A final state never changes, so every
 * node that has read a record comes to the same result, without a message. Pure: it is told of records as they change,
 * in any order, and each change costs work in proportion to what it changes.
 */

/** What the store says of a job; a job that is not known here yet is open. */
export type StoredJobState = 'open' | 'done' | 'cancelled';

/** An open job that names others. */
interface Dependent {
  /** Those of the jobs it names that are not known to be done. */
  readonly pending: Set<string>;
  /** Its own rank; larger goes first. */
  readonly rank: number;
  /** Steady time at which it was found to need a cancelled job; null: it does not. */
  dependencyCancelledAt: number | null;
}

/** What follows for jobs from a change of the graph. */
export interface DependencyEvents {
  /** All jobs that it needs are done. */
  onReleased(job: string): void;
  /** It needs a cancelled job, directly or through others. */
  onDependencyCancelled(job: string): void;
  /** The highest rank of those that need it has changed. */
  onRankChanged(job: string): void;
}

/** The open jobs that depend on others, kept up to date from the stored states of jobs. */
export class DependencyGraph {
  private readonly dependents = new Map<string, Dependent>();
  /** By a job that is not done: those that name it. */
  private readonly waiters = new Map<string, Set<string>>();
  /** By a job that is not done: the highest rank of those that need it, directly or through others. */
  private readonly inherited = new Map<string, number>();
  private readonly jobsWithCancelledDependency = new Set<string>();

  constructor(
    private readonly stateOf: (job: string) => StoredJobState | undefined,
    private readonly events: DependencyEvents,
  ) {}

  /** It may not start: it waits for others, or is cancelled with one of them. */
  isBlockedOnDependencies(job: string): boolean {
    return this.dependents.has(job);
  }

  /** Steady time at which it was found to need a cancelled job; null: it does not. */
  dependencyCancelledAt(job: string): number | null {
    return this.dependents.get(job)?.dependencyCancelledAt ?? null;
  }

  /** Open jobs that need a cancelled one. */
  get withCancelledDependency(): ReadonlySet<string> {
    return this.jobsWithCancelledDependency;
  }

  /** The jobs that it waits for. */
  blockersOf(job: string): string[] {
    return [...(this.dependents.get(job)?.pending ?? [])];
  }

  /** The highest rank of the jobs that need it; below every rank when none does. */
  inheritedRank(job: string): number {
    return this.inherited.get(job) ?? -Infinity;
  }

  /** A job as the store has it. `now` is when this node learned of it; -Infinity: it may be long ago. */
  applyJobState(
    job: string,
    state: StoredJobState,
    needs: readonly string[],
    rank: number,
    now: number,
  ): void {
    if (state === 'open') this.add(job, needs, rank, now);
    else this.finish(job, state, now);
  }

  private add(job: string, needs: readonly string[], rank: number, now: number): void {
    if (needs.length === 0 || this.dependents.has(job)) return;
    const pending = new Set<string>();
    let needsCancelledJob = false;
    for (const need of needs) {
      const state = this.stateOf(need);
      if (state === 'done') continue;
      pending.add(need);
      needsCancelledJob ||= state === 'cancelled' || this.jobsWithCancelledDependency.has(need);
    }
    if (pending.size === 0) return;
    this.dependents.set(job, { pending, rank, dependencyCancelledAt: null });
    for (const need of pending) {
      const waiters = this.waiters.get(need) ?? new Set<string>();
      this.waiters.set(need, waiters.add(job));
    }
    if (needsCancelledJob) this.noteDependencyCancelled([job], now);
    else this.rerank(pending);
  }

  private finish(job: string, state: 'done' | 'cancelled', now: number): void {
    const waiters = this.waiters.get(job) ?? new Set<string>();
    if (state === 'cancelled') this.noteDependencyCancelled(waiters, now);
    this.waiters.delete(job);
    this.inherited.delete(job);
    this.remove(job);
    if (state === 'cancelled') return;
    for (const waiter of waiters) this.satisfy(waiter, job);
  }

  /** One of the jobs that it needs is done. */
  private satisfy(job: string, need: string): void {
    const dependent = this.dependents.get(job);
    if (dependent === undefined) return;
    dependent.pending.delete(need);
    if (dependent.pending.size > 0 || dependent.dependencyCancelledAt !== null) return;
    this.dependents.delete(job);
    this.events.onReleased(job);
  }

  /** It is over itself, and needs nothing any more. */
  private remove(job: string): void {
    const dependent = this.dependents.get(job);
    if (dependent === undefined) return;
    this.dependents.delete(job);
    this.jobsWithCancelledDependency.delete(job);
    for (const need of dependent.pending) {
      const waiters = this.waiters.get(need);
      if (waiters?.delete(job) === true && waiters.size === 0) this.waiters.delete(need);
    }
    this.rerank(dependent.pending);
  }

  /** They, and all that need them, are cancelled with a job that they need. */
  private noteDependencyCancelled(jobs: Iterable<string>, now: number): void {
    const open = [...jobs];
    for (let job = open.pop(); job !== undefined; job = open.pop()) {
      const dependent = this.dependents.get(job);
      if (dependent?.dependencyCancelledAt !== null) continue;
      dependent.dependencyCancelledAt = now;
      this.jobsWithCancelledDependency.add(job);
      this.events.onDependencyCancelled(job);
      open.push(...(this.waiters.get(job) ?? []));
      this.rerank(dependent.pending);
    }
  }

  /** Works out anew what some jobs inherit, and, where that changes, what those that they need do. */
  private rerank(jobs: Iterable<string>): void {
    const open = [...jobs];
    for (let job = open.pop(); job !== undefined; job = open.pop()) {
      const before = this.inheritedRank(job);
      let highest = -Infinity;
      for (const waiter of this.waiters.get(job) ?? []) {
        highest = Math.max(highest, this.effectiveRank(waiter));
      }
      if (highest === before) continue;
      if (highest === -Infinity) this.inherited.delete(job);
      else this.inherited.set(job, highest);
      this.events.onRankChanged(job);
      open.push(...(this.dependents.get(job)?.pending ?? []));
    }
  }

  private effectiveRank(job: string): number {
    const dependent = this.dependents.get(job);
    if (dependent?.dependencyCancelledAt !== null) return -Infinity;
    return Math.max(dependent.rank, this.inheritedRank(job));
  }
}
