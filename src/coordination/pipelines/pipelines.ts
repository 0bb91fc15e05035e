/** Applies the dependency graph at one node: blocks, releases, re-ranks and cancels dependent jobs (safety, P1 to P4). */
import type { Clock } from '../../base/clock.js';
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import { CancellationEvidence } from '../persistence/cancellationEvidence.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { DependencyGraph } from './dependencyGraph.js';

/** Share of the cancellation timeout up to which a stale cache or a cancelled dependency lets a job be reported as open. */
const OPEN_REPORT_SHARE = 1 / 3;

/** Maximum number of dependent cancellations stored at a time, since starts wait for writes, too. */
const MAX_CONCURRENT_WRITES = 4;

/** Maximum number of job ids in a wait reason. */
const MAX_LISTED_BLOCKERS = 4;

/** Dependencies of the `Pipelines` class. */
export interface PipelineContext {
  settings: { cancellationTimeout: number };
  clock: Pick<Clock, 'now'>;
  ownedShards: ReadonlyMap<string, OwnedShard>;
  stateCache: Pick<StateCache, 'get' | 'loaded' | 'syncedAt'>;
  persistence: Pick<JobPersistence, 'createMissingChunks' | 'cancel'>;
  requestSchedulingRound(): void;
}

/** Tracks the dependencies between jobs and applies them to the shards of this node. */
export class Pipelines {
  private readonly graph: DependencyGraph;
  /** Jobs whose cancellations are being stored. */
  private readonly jobsBeingCancelled = new Set<string>();

  constructor(private readonly context: PipelineContext) {
    this.graph = new DependencyGraph((job) => cachedJob(this.context.stateCache, job)?.state, {
      onReleased: (job) => {
        this.release(job);
      },
      onDependencyCancelled: () => {
        this.context.requestSchedulingRound();
      },
      onRankChanged: (job) => {
        this.rerank(job);
      },
    });
  }

  /** Applies a change of a cached job record. */
  applyJobRecord(job: string, record: JobRecord): void {
    const { stateCache, clock } = this.context;
    const { spec, state } = record;
    const rank = spec === null ? -Infinity : inheritableRank(spec);
    // Jobs that the initial read finds cancelled may have been cancelled long ago.
    const learnedAt = stateCache.loaded ? clock.now() : -Infinity;
    this.graph.applyJobState(job, state, spec?.dependencies ?? [], rank, learnedAt);
  }

  /** Whether a job must not start: it has pending dependencies, or a cancelled one. */
  isBlockedOnDependencies(job: string): boolean {
    return this.graph.isBlockedOnDependencies(job);
  }

  /** The highest rank of the jobs that depend on a job; batch work never inherits the rank of a live service. */
  inheritedRank(job: string): number {
    return this.graph.inheritedRank(job);
  }

  /**
   * Whether users may be told that a job is open. A job with pending dependencies may have been cancelled with one of them
   * without this node knowing yet.
   */
  mayReportOpen(job: string): boolean {
    if (!this.isBlockedOnDependencies(job)) return true;
    const maxAge = this.context.settings.cancellationTimeout * OPEN_REPORT_SHARE;
    const now = this.context.clock.now();
    const dependencyCancelledAt = this.graph.dependencyCancelledAt(job);
    if (dependencyCancelledAt !== null && now - dependencyCancelledAt > maxAge) return false;
    return now - this.context.stateCache.syncedAt <= maxAge;
  }

  /** Why a job is blocked on dependencies, as a sentence for users; null if it is not. */
  waitReason(job: string): string | null {
    if (!this.isBlockedOnDependencies(job)) return null;
    if (this.graph.dependencyCancelledAt(job) !== null) {
      return 'A job that it needs was cancelled, so it is being cancelled too.';
    }
    const blockers = this.graph.blockersOf(job);
    const names = blockers.slice(0, MAX_LISTED_BLOCKERS).join(', ');
    const more =
      blockers.length > MAX_LISTED_BLOCKERS
        ? ` and ${blockers.length - MAX_LISTED_BLOCKERS} more`
        : '';
    return `It waits for ${blockers.length} job(s) to be done first: ${names}${more}.`;
  }

  private release(job: string): void {
    for (const ownedShard of this.context.ownedShards.values()) {
      const homeJob = ownedShard.jobs.get(job);
      if (homeJob !== undefined) this.context.persistence.createMissingChunks(ownedShard, homeJob);
    }
    this.context.requestSchedulingRound();
  }

  private rerank(job: string): void {
    for (const { shard } of this.context.ownedShards.values()) shard.updateRank(job);
  }

  /** Stores jobs with a cancelled dependency as cancelled if this node leads their home shard. */
  cancelDependents(timeoutSeconds: number): void {
    const deadline = this.context.clock.now() + timeoutSeconds;
    for (const id of this.graph.withCancelledDependency) {
      if (this.jobsBeingCancelled.size >= MAX_CONCURRENT_WRITES) return;
      if (this.jobsBeingCancelled.has(id)) continue;
      const home = cachedJob(this.context.stateCache, id)?.homeShard;
      const ownedShard = home === undefined ? undefined : this.context.ownedShards.get(home);
      const job = ownedShard?.jobs.get(id);
      if (ownedShard === undefined || job === undefined) continue;
      this.jobsBeingCancelled.add(id);
      void this.context.persistence
        .cancel(ownedShard, job, CancellationEvidence.ofUnreleasableJob(), deadline)
        .finally(() => this.jobsBeingCancelled.delete(id));
    }
  }
}

/** The rank that dependencies inherit: batch work that a live service waits for is urgent, but does not rank as a service. */
const inheritableRank = (spec: JobSpec): number => Math.min(rankOrder[spec.rank], rankOrder.high);
