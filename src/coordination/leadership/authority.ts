/**
 * Decides what this node may do for a shard at this moment: the only place that combines leadership, fencing token, lease
 * and grace period (safety, O5, O6, O8). Callers check immediately before they send a command or an answer.
 */
import type { Clock } from '../../base/clock.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { OwnedShard } from './ownedShard.js';
import type { ShardLeadership } from './shardLeadership.js';

/** The parts of a node that its authority depends on. */
export interface AuthorityContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'leaseExpiresAt'>;
  peers: Pick<PeerRegistry, 'leaderOf'>;
  clock: Pick<Clock, 'now'>;
  /** Seconds after the expiry of its own lease for which a node still answers its workers. */
  readonly leaderGracePeriod: number;
}

/**
 * Whether a worker's heartbeat is answered with a 200, which renews the worker's lease. `deposed`: the worker has seen a
 * fencing token of a later leadership; `adopted`: a peer reports that it leads the shard; `silent`: the grace period is
 * over or the shard is lost, and a new leader may rely on this node not answering.
 */
export type HeartbeatDecision =
  | { kind: 'answer' }
  | { kind: 'deposed' }
  | { kind: 'adopted'; owner: string }
  | { kind: 'silent' };

/** Decides what this node may do for a shard. */
export class Authority {
  constructor(private readonly node: AuthorityContext) {}

  /** Whether this node may start work and do anything else that is reserved to the leader. */
  mayAct(ownedShard: Pick<OwnedShard, 'isOwned'>): boolean {
    return ownedShard.isOwned && this.node.leadership.isLeaseValid;
  }

  /** Whether this node may stop cancelled tasks. Stopping them is safe for any leader, so it needs no valid lease. */
  mayStopCancelledTasks(ownedShard: Pick<OwnedShard, 'isOwned'>): boolean {
    return ownedShard.isOwned;
  }

  /** Decides on a heartbeat; `seenToken` is the highest fencing token that the worker has seen. */
  decideHeartbeat(ownedShard: OwnedShard, seenToken: number): HeartbeatDecision {
    const { leadership, peers, clock, leaderGracePeriod } = this.node;
    // There is a newer leader; as long as the worker stayed with this node it would ignore this node's commands.
    if (ownedShard.shard.fencingTokens.isSurpassedBy(seenToken)) return { kind: 'deposed' };
    // This node's lease has expired and a peer reports that it leads the shard: redirect the worker to it. If the worker kept
    // sending its heartbeats here, the peer would presume a healthy machine lost.
    const leader = leadership.isLeaseValid ? null : peers.leaderOf(ownedShard.shard.label);
    if (leader !== null && leader.fencingToken > ownedShard.fencingToken)
      return { kind: 'adopted', owner: leader.label };
    const isPastGracePeriod = clock.now() > leadership.leaseExpiresAt + leaderGracePeriod;
    return !ownedShard.isOwned || isPastGracePeriod ? { kind: 'silent' } : { kind: 'answer' };
  }
}
