/** What team quotas use of a shard and of the controller that leads it. */
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import type { StarvedJob, TeamResources, TeamUsage } from './teamUsage.js';

/** A shard as quotas see it. */
export interface QuotaShard {
  readonly label: string;
  readonly teamUsage: Pick<TeamUsage, 'usedBy'>;
  readonly scheduler: {
    readonly starvedJobs: ReadonlyMap<string, StarvedJob>;
    pendingDemand(team: string): TeamResources;
  };
  /** Processors for live services that the shard has or expects. */
  readonly demand: { serviceHeadroom(now: number): number };
}

/** A shard that this controller leads. */
export interface OwnedQuotaShard {
  readonly shard: QuotaShard;
}

/**
 * The parts of a controller that quota shares work with; `Controller` is one. `Owned` is what the
 * controller keeps for each shard that it leads, and is handed back to `persistence` as it is.
 */
export interface QuotaContext<Owned extends OwnedQuotaShard = OwnedQuotaShard> {
  readonly settings: Pick<Settings, 'teams'>;
  readonly ownedShards: ReadonlyMap<string, Owned>;
  readonly leadership: { readonly isLeaseValid: boolean };
  readonly peers: { gossips(): Pick<Gossip, 'throttledTeams'>[] };
  readonly stateCache: Pick<StateCache, 'get' | 'note'>;
  readonly stateClient: Pick<StateClient, 'get'>;
  readonly persistence: {
    /** Applies a transaction if this controller still leads the shard. */
    write(ownedShard: Owned, transaction: Transaction): Promise<TransactionResult>;
  };
}
