/** Creates a node's components from its settings and connects them through callbacks. */
import { sleep, type Clock } from '../../base/clock.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Settings } from '../../protocol/settings.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { BUCKET_PREFIX, KEY_PREFIX } from '../../storage/records.js';
import { StateCache } from '../../storage/stateCache.js';
import { StateClient } from '../../storage/stateClient.js';
import type { HttpClient } from '../../transport/httpClient.js';
import { PeerClient } from '../../transport/peerLink.js';
import type { CommandDispatcher } from '../commands/commandDispatcher.js';
import type { CancellationPreparations } from '../jobs/cancellationPreparations.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { ShardLeadership, type ShardLeadershipEvents } from '../leadership/shardLeadership.js';
import { PeerRegistry } from '../peers/peerRegistry.js';
import { JobPersistence } from '../persistence/jobPersistence.js';
import type { RolloutService } from '../rollout/rolloutService.js';
import { leaderGracePeriod, stateLeaseTtl, watchTimings } from './timings.js';

/** Maximum number of unanswered calls to one peer. */
const MAX_PEER_CALLS = 256;

/** Seconds between two checks whether all writes of a shard have been answered. */
const WRITES_POLL_INTERVAL_S = 0.01;

/** HTTP clients for the requests that this node sends. */
export interface HttpClients {
  services: Pick<HttpClient, 'call'>;
  machines: Pick<HttpClient, 'call'>;
}

/** State of the node that several components are created from. */
interface NodeContext {
  readonly settings: Settings;
  readonly clock: Clock;
  /** Identifies this run of the process. */
  readonly process: string;
  /** Labels of all shards: each node is the home of one shard, which has the node's label. */
  readonly shards: string[];
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
}

/** Creates the client of the state service. */
export function createStateClient(
  node: Pick<NodeContext, 'settings' | 'clock' | 'shards'> & {
    readonly links: HttpClients;
    readonly recordFormat: RecordFormat;
  },
): StateClient {
  const { settings } = node;
  const options = {
    endpoint: settings.stateEndpoint,
    rate: settings.stateRequestRate,
    writeRate: settings.stateWriteRate,
    nodeCount: node.shards.length,
    // Long enough for a slow service: a request that times out is retried, which slows the service down further.
    timeout: stateLeaseTtl(settings) / 2,
  };
  return new StateClient(node.links.services, node.clock, options, node.recordFormat);
}

/** Creates the cache of the stored records; `onChange` is called with each change. */
export function createStateCache(
  node: Pick<NodeContext, 'settings' | 'clock' | 'shards'> & { readonly stateClient: StateClient },
  onChange: (change: KeyValueChange) => void,
): StateCache {
  const watch = watchTimings(node.settings, node.shards.length);
  return new StateCache(node.stateClient, KEY_PREFIX, node.clock, watch, onChange);
}

/** Creates the registry of the peers, with a connection to each. */
export function createPeerRegistry({
  settings,
  clock,
}: Pick<NodeContext, 'settings' | 'clock'>): PeerRegistry {
  const { heartbeatInterval } = settings;
  const peers = settings.peers.map((peer) => ({
    ...peer,
    client: new PeerClient(peer.endpoint, MAX_PEER_CALLS, heartbeatInterval / 2),
  }));
  return new PeerRegistry(clock, heartbeatInterval, settings.clockSkew, peers);
}

/** Dependencies of `createLeadership`. */
export interface LeadershipWiringContext extends NodeContext {
  readonly stateClient: StateClient;
  readonly stateCache: StateCache;
  readonly peers: Pick<PeerRegistry, 'hasBeenServedFor'>;
  /** Null if rollouts are switched off. */
  readonly rollout: Pick<
    RolloutService,
    'isCurrent' | 'mayClaimShards' | 'isLeaderCompatible'
  > | null;
}

/** Creates the component that leads shards. It uses `node`'s peers and rollout only after the node has started. */
export function createLeadership(
  node: LeadershipWiringContext,
  transitions: Pick<ShardLeadershipEvents, 'onGained' | 'onLost'>,
): ShardLeadership {
  const { settings } = node;
  const options = {
    label: settings.label,
    process: node.process,
    shards: node.shards,
    leaseTtl: stateLeaseTtl(settings),
    leaderGracePeriod: leaderGracePeriod(settings),
  };
  return new ShardLeadership(node.stateClient, node.stateCache, node.clock, options, {
    ...transitions,
    awaitWrites: async (shard) => {
      while ((node.ownedShards.get(shard)?.writesInFlight ?? 0) > 0) {
        await sleep(WRITES_POLL_INTERVAL_S);
      }
    },
    isReadyToLead: (label) =>
      node.peers.hasBeenServedFor(label, settings.heartbeatInterval / 2) &&
      node.rollout?.isCurrent(label) !== false,
    mayClaim: () => node.rollout?.mayClaimShards() !== false,
    isLeaderCompatible: (leader) => node.rollout?.isLeaderCompatible(leader) !== false,
  });
}

/** Dependencies of `createPersistence`. */
export interface PersistenceWiringContext extends NodeContext {
  readonly stateClient: StateClient;
  readonly stateCache: StateCache;
  readonly chunkIndex: ChunkIndex;
  readonly recordFormat: RecordFormat;
  readonly leadership: Pick<ShardLeadership, 'isLeaseValid' | 'verifyLeadership'>;
  readonly cancellationPreparations: Pick<CancellationPreparations, 'stateOf'>;
  readonly commands: Pick<CommandDispatcher, 'queueStarts'>;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  isBlockedOnDependencies(job: string): boolean;
}

/** Creates the persistence of jobs. It uses `node`'s commands and cancellations only after the node has started. */
export function createPersistence(node: PersistenceWiringContext): JobPersistence {
  const { settings, stateClient, stateCache, chunkIndex, clock } = node;
  const owner = {
    ownedShards: node.ownedShards,
    isBeingCancelled: (job: string) => node.cancellationPreparations.stateOf(job) !== 'none',
    isBlockedOnDependencies: (job: string) => node.isBlockedOnDependencies(job),
    get machineTypes() {
      return node.machineTypes;
    },
    get hasUnreadableChunks() {
      return stateClient.hasUnreadable(BUCKET_PREFIX);
    },
    isLeaseValid: () => node.leadership.isLeaseValid,
    verifyLeadership: (shard: string) => node.leadership.verifyLeadership(shard),
    onChunksStored: (...[ownedShard, chunks]: Parameters<CommandDispatcher['queueStarts']>) => {
      node.commands.queueStarts(ownedShard, chunks);
    },
  };
  return new JobPersistence(stateClient, stateCache, chunkIndex, clock, owner, {
    txnOps: settings.txnOps,
    recordFormat: node.recordFormat,
    flushDelay: settings.heartbeatInterval / 2,
    retryDelay: settings.heartbeatInterval / 15,
    process: node.process,
  });
}
