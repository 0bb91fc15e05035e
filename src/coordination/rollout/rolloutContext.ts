/** The parts of a controller that the rollout subsystem depends on. */
import type { Clock } from '../../base/clock.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { Drain } from './drain.js';

/** Dependencies of the conversion of stored records. */
export interface MigrationContext {
  clock: Clock;
  settings: { heartbeatInterval: number };
  shards: string[];
  ownedShards: ReadonlyMap<string, OwnedShard>;
  leadership: Pick<ShardLeadership, 'get' | 'isLeaseValid'>;
  stateCache: Pick<StateCache, 'get' | 'applyPut'>;
  stateClient: Pick<StateClient, 'get' | 'transact' | 'keysOfForm' | 'unreadable'>;
  persistence: Pick<JobPersistence, 'rewrite'>;
}

/** Dependencies of the rollout service, which follows and raises the cluster's version. */
export interface RolloutContext extends MigrationContext {
  clock: Clock;
  process: string;
  settings: { label: string; heartbeatInterval: number };
  leadership: ShardLeadership;
  peers: Pick<PeerRegistry, 'processOf'>;
  nodeCapabilities: { readonly isUpgraded: boolean };
  stateCache: MigrationContext['stateCache'] & {
    readonly loaded: boolean;
    entriesWithPrefix(prefix: string): Iterable<[string, { value: unknown; revision: number }]>;
  };
  stateClient: StateClient;
}

/** The state of a controller that its health response is built from. */
export interface HealthContext {
  readonly settings: { readonly label: string };
  readonly process: string;
  readonly isReady: boolean;
  readonly drain: Pick<Drain, 'isActive' | 'isDone'>;
  readonly ownedShards: ReadonlyMap<string, Pick<OwnedShard, 'shard'>>;
  /** Number of submissions answered 503 since the process started. */
  readonly refusedRequests: number;
}
