/** The interface of the controller that job migration uses. */
import type { Clock } from '../../base/clock.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';

/** The part of a controller that job migration uses; `Controller` implements it. */
export interface MigrationContext {
  readonly clock: Clock;
  readonly settings: Pick<Settings, 'objectives' | 'heartbeatInterval'>;
  readonly tuning: Pick<Tuning, 'threshold' | 'factor' | 'tolerance' | 'peerTimeout' | 'migrate'>;
  readonly stateClient: Pick<StateClient, 'writeDelay'>;
  readonly stateCache: Pick<StateCache, 'get'>;
  readonly leadership: Pick<ShardLeadership, 'isLeaseValid'>;
  readonly peers: Pick<PeerRegistry, 'requestEstimates'>;
  readonly persistence: Pick<JobPersistence, 'migrate'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  /** The zone of each shard's machines, by the shard's label. */
  readonly zoneOf: ReadonlyMap<string, string>;
}
