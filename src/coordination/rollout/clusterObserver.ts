/** This node's view of the cluster, for planning the next change of the version and for operators. */
import {
  BlockerHistory,
  blockersOf,
  rolloutStatus,
  viewCluster,
  type ClusterSnapshot,
  type OwnerView,
  type PlanOptions,
  type RolloutStatus,
  type VersionTracker,
} from '@barrowlb/rollout';
import { keys, type LeaderRecord } from '../../storage/records.js';
import { AUTOSCALER_ROLE } from '../leadership/shardLeadership.js';
import { featureTable } from './featureTable.js';
import type { RolloutContext } from './rolloutContext.js';

/** Combines the cached records, the processes observed in peers' messages and the tracker's current version. */
export class ClusterObserver {
  private readonly history = new BlockerHistory();

  constructor(
    private readonly node: Pick<
      RolloutContext,
      'clock' | 'peers' | 'process' | 'settings' | 'shards' | 'stateCache'
    >,
    private readonly tracker: Pick<VersionTracker, 'current' | 'damage'>,
    private readonly plan: PlanOptions,
  ) {}

  /** The input for planning the next change of the version. */
  snapshot(): ClusterSnapshot {
    const { stateCache, shards, peers, settings, process } = this.node;
    const service = {
      nodes: shards,
      shards: this.allShards,
      observedProcess: (label: string) =>
        label === settings.label ? process : peers.processOf(label),
      ownerOf: (shard: string) => this.leaderOf(shard),
    };
    return viewCluster(stateCache, service, this.tracker.current, this.tracker.damage);
  }

  /** The blockers of the next change, and since when this node has observed each of them. */
  blockers(): RolloutStatus['blockers'] {
    const blockers = blockersOf(this.snapshot(), this.plan);
    return this.history.update(blockers, this.node.clock.wall());
  }

  /** The state of the cluster's version, for operators. */
  status(): RolloutStatus {
    return rolloutStatus({
      cache: this.node.stateCache,
      snapshot: this.snapshot(),
      features: featureTable,
      shards: this.allShards,
      blockers: this.blockers(),
    });
  }

  private get allShards(): string[] {
    return [...this.node.shards, AUTOSCALER_ROLE];
  }

  private leaderOf(shard: string): OwnerView {
    const key = keys.leader(shard);
    const stored = this.node.stateCache.get(key);
    const owner = (stored?.value ?? null) as LeaderRecord | null;
    return { shard, key, revision: stored?.revision ?? 0, owner };
  }
}
