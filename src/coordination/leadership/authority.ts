/**
 * What this node may do for a shard at this moment: the one place that weighs leadership, fencing token, lease and grace
 * period (safety, O5, O6, O8). It is asked at the last moment before a command or an answer is sent.
 */
import type { Clock } from '../../base/clock.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { OwnedShard } from './ownedShard.js';
import type { ShardLeadership } from './shardLeadership.js';

/** What is needed of a node. */
export interface AuthorityContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'leaseExpiresAt'>;
  peers: Pick<PeerRegistry, 'leaderOf'>;
  clock: Pick<Clock, 'now'>;
  /** Seconds after its own lease for which a node goes on answering its workers. */
  readonly leaderGracePeriod: number;
}

/**
 * Whether a worker's heartbeat gets a 200, which renews the worker's lease. `deposed`: the worker has seen a fencing token
 * above ours; `adopted`: a peer says that it leads the shard; `silent`: a new leader may rely on our silence by now.
 */
export type HeartbeatDecision =
  | { kind: 'answer' }
  | { kind: 'deposed' }
  | { kind: 'adopted'; owner: string }
  | { kind: 'silent' };

/** Decides what this node may do for a shard. */
export class Authority {
  constructor(private readonly node: AuthorityContext) {}

  /** Whether work may be started, and anything else done that only the leader may do. */
  mayAct(ownedShard: Pick<OwnedShard, 'isOwned'>): boolean {
    return ownedShard.isOwned && this.node.leadership.isLeaseValid;
  }

  /** Whether cancelled tasks may be stopped. That needs no valid lease: it can't be wrong. */
  mayEnd(ownedShard: Pick<OwnedShard, 'isOwned'>): boolean {
    return ownedShard.isOwned;
  }

  /** Decides on a heartbeat; `seenToken` is the highest fencing token that the worker has seen. */
  decideHeartbeat(ownedShard: OwnedShard, seenToken: number): HeartbeatDecision {
    const { leadership, peers, clock, leaderGracePeriod } = this.node;
    // There is another leader; the worker would ignore our commands for as long as it stayed with us.
    if (ownedShard.shard.fencingTokens.isSurpassedBy(seenToken)) return { kind: 'deposed' };
    // Our own lease has expired and a peer says that it leads the shard: send the worker there, or it would stay
    // with us, and the peer would take a healthy machine for a lost one.
    const leader = leadership.isLeaseValid ? null : peers.leaderOf(ownedShard.shard.label);
    if (leader !== null && leader.fencingToken > ownedShard.fencingToken)
      return { kind: 'adopted', owner: leader.label };
    const isPastGracePeriod = clock.now() > leadership.leaseExpiresAt + leaderGracePeriod;
    return !ownedShard.isOwned || isPastGracePeriod ? { kind: 'silent' } : { kind: 'answer' };
  }
}
