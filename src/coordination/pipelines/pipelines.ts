/** Jobs that wait for others, at one node: what follows there from the graph of dependencies (safety, P1 to P4). */
import type { Clock } from '../../base/clock.js';
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import { CancellationEvidence } from '../persistence/cancellationEvidence.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { DependencyGraph } from './dependencyGraph.js';

/** Of the time that a cancellation has, how old the copy of the records may be, and how long a job may stay open. */
const CANCEL_SHARE = 1 / 3;

/** Cancellations of jobs that need a cancelled one that are stored at a time: starts wait for changes too. */
const MAX_CONCURRENT_WRITES = 4;

/** Names in the reason of a job that waits. */
const MAX_NAMES = 4;

/** What following dependencies needs of a node. */
export interface PipelineContext {
  settings: { cancellationTimeout: number };
  clock: Pick<Clock, 'now'>;
  ownedShards: ReadonlyMap<string, OwnedShard>;
  stateCache: Pick<StateCache, 'get' | 'loaded' | 'syncedAt'>;
  persistence: Pick<JobPersistence, 'acceptMissing' | 'cancel'>;
  requestSchedulingRound(): void;
}

/** The dependencies between jobs as this node knows them, and what they mean for its shards. */
export class Pipelines {
  private readonly graph: DependencyGraph;
  /** Jobs whose cancellation is being stored. */
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

  /** Follows the copy of the records. */
  applyJobRecord(job: string, record: JobRecord): void {
    const { stateCache, clock } = this.context;
    const { spec, state } = record;
    const rank = spec === null ? -Infinity : inheritableRank(spec);
    // What the first reading finds may have been cancelled long ago.
    const learnedAt = stateCache.loaded ? clock.now() : -Infinity;
    this.graph.applyJobState(job, state, spec?.dependencies ?? [], rank, learnedAt);
  }

  /** Nothing of it may start: it waits for others, or needs one that is cancelled. */
  isBlockedOnDependencies(job: string): boolean {
    return this.graph.isBlockedOnDependencies(job);
  }

  /** The highest rank of those that need it; batch work never ranks as a live service. */
  inheritedRank(job: string): number {
    return this.graph.inheritedRank(job);
  }

  /**
   * Whether users may be told that a job is still open. Of one that waits for others this node might not have heard
   * that it has been cancelled with one of them.
   */
  mayCallOpen(job: string): boolean {
    if (!this.isBlockedOnDependencies(job)) return true;
    const maxAge = this.context.settings.cancellationTimeout * CANCEL_SHARE;
    const now = this.context.clock.now();
    const dependencyCancelledAt = this.graph.dependencyCancelledAt(job);
    if (dependencyCancelledAt !== null && now - dependencyCancelledAt > maxAge) return false;
    return now - this.context.stateCache.syncedAt <= maxAge;
  }

  /** Why it waits, in words for the phone. */
  reason(job: string): string | null {
    if (!this.isBlockedOnDependencies(job)) return null;
    if (this.graph.dependencyCancelledAt(job) !== null) {
      return 'A job that it needs was cancelled, so it is being cancelled too.';
    }
    const blockers = this.graph.blockersOf(job);
    const names = blockers.slice(0, MAX_NAMES).join(', ');
    const more = blockers.length > MAX_NAMES ? ` and ${blockers.length - MAX_NAMES} more` : '';
    return `It waits for ${blockers.length} job(s) to be done first: ${names}${more}.`;
  }

  private release(job: string): void {
    for (const ownedShard of this.context.ownedShards.values()) {
      const known = ownedShard.jobs.get(job);
      if (known !== undefined) this.context.persistence.acceptMissing(ownedShard, known);
    }
    this.context.requestSchedulingRound();
  }

  private rerank(job: string): void {
    for (const { shard } of this.context.ownedShards.values()) shard.updateRank(job);
  }

  /** Stores jobs that need a cancelled one as cancelled, where this node leads their home shard. */
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

/** Batch work that a live service waits for is urgent, but no live service itself. */
const inheritableRank = (spec: JobSpec): number => Math.min(rankOrder[spec.rank], rankOrder.high);
