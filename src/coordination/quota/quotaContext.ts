/** The interfaces of a shard, and of the controller that leads it, that team quotas use. */
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { StarvedJob, TeamResources, TeamUsage } from './teamUsage.js';

/** The part of a shard that quotas use. */
export interface QuotaShard {
  readonly label: string;
  readonly teamUsage: Pick<TeamUsage, 'usedBy'>;
  readonly scheduler: {
    readonly starvedJobs: ReadonlyMap<string, StarvedJob>;
    pendingDemand(team: string): TeamResources;
  };
  /** `serviceHeadroom`: CPUs for live services that the shard has or expects. */
  readonly demand: { serviceHeadroom(now: number): number };
}

/** A shard that this controller leads. */
export interface OwnedQuotaShard {
  readonly shard: QuotaShard;
}

/**
 * The part of a controller that quota shares use; `Controller` implements it. `Owned` is the controller's own type for a
 * shard that it leads; it is passed back to `persistence` unchanged.
 */
export interface QuotaContext<Owned extends OwnedQuotaShard = OwnedQuotaShard> {
  readonly settings: Pick<Settings, 'teams'>;
  readonly ownedShards: ReadonlyMap<string, Owned>;
  readonly leadership: { readonly isLeaseValid: boolean };
  readonly peers: { gossips(): Pick<Gossip, 'throttledTeams'>[] };
  readonly stateCache: Pick<StateCache, 'get' | 'applyPut'>;
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly persistence: {
    /** Applies a transaction if this controller still leads the shard. */
    write(ownedShard: Owned, transaction: Transaction): Promise<TransactionResult>;
  };
}
