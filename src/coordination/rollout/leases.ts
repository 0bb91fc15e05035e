/** Adapters that expose the node's leases to the rollout package. */
import type { LeaderLease, ParticipantNode, VersionTracker } from '@barrowlb/rollout';
import { keys } from '../../storage/records.js';
import { AUTOSCALER_ROLE, type ShardLeadership } from '../leadership/shardLeadership.js';

/** The lease that the node's presence record is attached to, and the version that the node answers. */
export const presenceLease = (
  { leadership }: { leadership: Pick<ShardLeadership, 'isLeaseValid' | 'leaseId'> },
  tracker: Pick<VersionTracker, 'current'>,
): ParticipantNode => ({
  get leaseId() {
    return leadership.isLeaseValid ? leadership.leaseId : null;
  },
  get version() {
    return tracker.current;
  },
});

/** The autoscaler's leadership: only its leader changes the cluster's version (safety, R2). */
export const autoscalerLease = (
  leadership: Pick<ShardLeadership, 'get' | 'isLeaseValid'>,
): LeaderLease => ({
  condition: () => {
    const current = leadership.get(AUTOSCALER_ROLE);
    if (current === undefined || !leadership.isLeaseValid) return null;
    return { key: keys.leader(AUTOSCALER_ROLE), revision: current.revision };
  },
  get token() {
    return leadership.get(AUTOSCALER_ROLE)?.fencingToken ?? 0;
  },
});
