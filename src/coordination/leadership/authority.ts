/**
 * What this node may do for a part at this moment: the one place that weighs ownership, token, lease and grace (safety, O5,
 * O6, O8). Asked at the last moment before something leaves.
 */
import type { Clock } from '../../base/clock.js';
import type { ShardLeadership } from './shardLeadership.js';
import type { OwnedShard } from './ownedShard.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

export interface AuthorityContext {
  leadership: Pick<ShardLeadership, 'isLeaseValid' | 'leaseExpiresAt'>;
  peers: Pick<PeerRegistry, 'hostOf'>;
  clock: Pick<Clock, 'now'>;
  /** Seconds after its own lease for which a node goes on answering its workers. */
  readonly leaderGracePeriod: number;
}

/**
 * Whether a worker's report gets a 200, which renews its lease. `deposed`: its worker has seen a token above ours; `adopted`: a
 * peer says that it owns the part; `silent`: an adopter may count on our silence by now.
 */
export type HeartbeatDecision =
  | { kind: 'answer' }
  | { kind: 'deposed' }
  | { kind: 'adopted'; owner: string }
  | { kind: 'silent' };

export class Authority {
  constructor(private readonly node: AuthorityContext) {}

  /** Work may be started, and anything else that only the owner may do. */
  mayAct(host: Pick<OwnedShard, 'isOwned'>): boolean {
    return host.isOwned && this.node.leadership.isLeaseValid;
  }

  /** Tasks that users have asked to cancel may be ended without a valid lease too: that can't be wrong. */
  mayEnd(host: Pick<OwnedShard, 'isOwned'>): boolean {
    return host.isOwned;
  }

  /** `seenToken`: the highest token that the worker has seen. */
  decideHeartbeat(ownedShard: OwnedShard, seenToken: number): HeartbeatDecision {
    const { leadership: ownership, peers, clock, leaderGracePeriod: grace } = this.node;
    // Another owner is entitled now; we would be ignored for as long as we held the worker here.
    if (seenToken > ownedShard.fencingToken) return { kind: 'deposed' };
    // Our own lease has lapsed and a peer says that it has adopted the part: send the worker there,
    // or it would stay with us, and the adopter would take a healthy machine for a lost one.
    const told = ownership.isLeaseValid ? null : peers.hostOf(ownedShard.shard.label);
    if (told !== null && told.fencingToken > ownedShard.fencingToken)
      return { kind: 'adopted', owner: told.label };
    const isSilent = !ownedShard.isOwned || clock.now() > ownership.leaseExpiresAt + grace;
    return isSilent ? { kind: 'silent' } : { kind: 'answer' };
  }
}
