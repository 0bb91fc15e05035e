/** Jobs that wait for others, at one node: what follows there from the graph of dependencies (safety, P1 to P4). */
import type { Clock } from '../../base/clock.js';
import { rankOrder, type JobSpec } from '../../protocol/job.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { DependencyGraph } from './dependencyGraph.js';

/** Of the time that a cancellation has, how old the copy of the records may be, and how long a job may stay open. */
const CANCEL_SHARE = 1 / 3;

/** Cancellations of jobs that need a cancelled one that are stored at a time: starts wait for changes too. */
const MOST_WRITES = 4;

/** Names in the reason of a job that waits. */
const MOST_NAMES = 4;

/** What is needed of a node. */
export interface PipelineContext {
  settings: { cancel: number };
  clock: Pick<Clock, 'now'>;
  ownedParts: ReadonlyMap<string, OwnedShard>;
  replica: Pick<StateCache, 'get' | 'loaded' | 'syncedAt'>;
  commits: Pick<JobPersistence, 'acceptMissing' | 'cancel'>;
  requestRound(): void;
}

export class Pipelines {
  private readonly graph: DependencyGraph;
  /** Jobs whose cancellation is being stored. */
  private readonly writing = new Set<string>();

  constructor(private readonly node: PipelineContext) {
    this.graph = new DependencyGraph((job) => this.recordOf(job)?.state, {
      released: (job) => {
        this.release(job);
      },
      doomed: () => {
        this.node.requestRound();
      },
      ranked: (job) => {
        this.rerank(job);
      },
    });
  }

  private recordOf(job: string): JobRecord | undefined {
    return this.node.replica.get(keys.job(job))?.value as JobRecord | undefined;
  }

  /** Follows the copy of the records. */
  note(job: string, record: JobRecord): void {
    const { replica, clock } = this.node;
    const { spec, state } = record;
    const rank = spec === null ? -Infinity : inheritableRank(spec);
    // What the first reading finds may have been cancelled long ago.
    const learnedAt = replica.loaded ? clock.now() : -Infinity;
    this.graph.note(job, state, spec?.waitsOn ?? [], rank, learnedAt);
  }

  /** Nothing of it may start: it waits for others, or needs one that is cancelled. */
  isHeld(job: string): boolean {
    return this.graph.isHeld(job);
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
    if (!this.isHeld(job)) return true;
    const patience = this.node.settings.cancel * CANCEL_SHARE;
    const now = this.node.clock.now();
    const doomedAt = this.graph.doomedAt(job);
    if (doomedAt !== null && now - doomedAt > patience) return false;
    return now - this.node.replica.syncedAt <= patience;
  }

  /** Why it waits, in words for the phone. */
  reason(job: string): string | null {
    if (!this.isHeld(job)) return null;
    if (this.graph.doomedAt(job) !== null) {
      return 'A job that it needs was cancelled, so it is being cancelled too.';
    }
    const blockers = this.graph.blockersOf(job);
    const names = blockers.slice(0, MOST_NAMES).join(', ');
    const more = blockers.length > MOST_NAMES ? ` and ${blockers.length - MOST_NAMES} more` : '';
    return `It waits for ${blockers.length} job(s) to be done first: ${names}${more}.`;
  }

  private release(job: string): void {
    for (const host of this.node.ownedParts.values()) {
      const known = host.jobs.get(job);
      if (known !== undefined) this.node.commits.acceptMissing(host, known);
    }
    this.node.requestRound();
  }

  private rerank(job: string): void {
    for (const { part } of this.node.ownedParts.values()) part.rerank(job);
  }

  /** Stores jobs that need a cancelled one as cancelled, where this node is their home's owner. */
  cancelDoomed(patience: number): void {
    for (const id of this.graph.doomedJobs) {
      if (this.writing.size >= MOST_WRITES) return;
      if (this.writing.has(id)) continue;
      const home = this.recordOf(id)?.home;
      const host = home === undefined ? undefined : this.node.ownedParts.get(home);
      const job = host?.jobs.get(id);
      if (host === undefined || job === undefined) continue;
      this.writing.add(id);
      void this.node.commits
        .cancel(host, job, this.node.clock.now() + patience)
        .finally(() => this.writing.delete(id));
    }
  }
}

/** Batch work that a live service waits for is urgent, but no live service itself. */
const inheritableRank = (spec: JobSpec): number => Math.min(rankOrder[spec.rank], rankOrder.high);
