/** The autoscaler's view of its controller. */
import type { Clock } from '../../base/clock.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Settings } from '../../protocol/settings.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { HttpClient } from '../../transport/httpClient.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { Gossiper } from '../peers/gossiper.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

/** The parts of a controller that the autoscaler uses; `Controller` implements it. */
export interface AutoscalingContext {
  readonly clock: Clock;
  readonly settings: Settings;
  readonly links: { readonly services: Pick<HttpClient, 'call'> };
  readonly stateClient: Pick<StateClient, 'transact' | 'get' | 'operations' | 'lastServedAt'>;
  /** Seconds for which a lease at the state service is valid. */
  readonly stateLeaseTtl: number;
  readonly stateCache: Pick<StateCache, 'get' | 'applyPut' | 'applyRemoval'>;
  readonly inventory: Pick<
    MachineInventory,
    | 'get'
    | 'size'
    | 'names'
    | 'group'
    | 'entries'
    | 'groupsOf'
    | 'contested'
    | 'isPendingRental'
    | 'countsOf'
  >;
  readonly leadership: Pick<ShardLeadership, 'get' | 'isLeaseValid' | 'verifyLeadership'>;
  readonly peers: Pick<PeerRegistry, 'gossips' | 'demands'>;
  readonly gossiper: Pick<Gossiper, 'demands' | 'lostMachines' | 'spareMachines'>;
  /** The labels of all shards of the deployment. */
  readonly shards: string[];
  /** The zone that each shard's machines are in, by the shard's label. */
  readonly zoneOf: ReadonlyMap<string, string>;
  /** Machine types that the cloud offers, by name; empty until they have been read. */
  readonly machineTypes: ReadonlyMap<string, MachineType>;
}
