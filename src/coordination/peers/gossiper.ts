/** Sends gossip: reports to the peers at a fixed interval what this controller leads, lacks and can spare. */
import type { Clock } from '../../base/clock.js';
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { Machine } from '../model/machine.js';
import type { Shard } from '../shard/shard.js';
import type { PeerRegistry } from './peerRegistry.js';

/** Demands for machines, as a shard's estimator returns them. */
export type Demands = ReturnType<Shard['demand']['demands']>;

/** The parts of a controller that gossip uses; `Controller` implements it. */
export interface GossipContext {
  settings: Pick<Settings, 'label' | 'heartbeatInterval' | 'workerLease' | 'teams'>;
  tuning: Pick<Tuning, 'idleRatio'>;
  clock: Clock;
  process: string;
  ownedShards: ReadonlyMap<string, { readonly shard: Shard; readonly fencingToken: number }>;
  stateClient: Pick<StateClient, 'demand' | 'updateRateShare' | 'lastServedAt'>;
  stateLeaseTtl: number;
  leadership: { readonly isLeaseValid: boolean };
  peers: Pick<PeerRegistry, 'broadcastGossip' | 'stateDemands'>;
  drain: { readonly isActive: boolean };
}

/**
 * Time between two messages, as a ratio to the heartbeat interval. At an eighth, the messages to all peers and the
 * computation of the demands in them would be a tenth of a small controller's work.
 */
const INTERVAL = 1 / 5;

/** Composes and sends this controller's gossip. */
export class Gossiper {
  /** The demands of the shards here as of the last message. */
  demands: Demands = [];
  private lastSent = -Infinity;
  private sequence = 0;

  constructor(private readonly node: GossipContext) {}

  /** Sends a message to all peers if one is due. */
  sendIfDue(): void {
    const { clock, settings, stateClient: state, peers } = this.node;
    const now = clock.now();
    if (now - this.lastSent < settings.heartbeatInterval * INTERVAL) return;
    this.lastSent = now;
    state.updateRateShare(peers.stateDemands());
    peers.broadcastGossip(this.composeMessage(now), settings.heartbeatInterval / 2);
  }

  private composeMessage(now: number): Gossip {
    const { settings, process, clock, stateClient: state, leadership, drain } = this.node;
    const isServed = leadership.isLeaseValid;
    if (isServed) this.demands = this.shards.flatMap((shard) => shard.demand.demands(now));
    return {
      sender: settings.label,
      process,
      sequence: ++this.sequence,
      sentAt: clock.wall(),
      stateDemand: state.demand,
      // A draining controller must not get its shard back.
      isServed: isServed && !drain.isActive,
      shards: this.ownedShards(now),
      demands: isServed ? this.demands : [],
      idleMachines: isServed ? this.spareMachines() : [],
      lostMachines: isServed ? this.lostMachines() : [],
      teamUsage: this.teamUsage(),
      throttledTeams: [
        ...new Set(this.shards.flatMap((shard) => [...shard.scheduler.throttledTeams])),
      ],
      starvedJobs: this.shards.flatMap((shard) => [...shard.scheduler.starvedJobs.values()]),
    };
  }

  private get shards(): Shard[] {
    return [...this.node.ownedShards.values()].map((ownedShard) => ownedShard.shard);
  }

  private ownedShards(now: number): Gossip['shards'] {
    return [...this.node.ownedShards.values()].map(({ shard, fencingToken }) => ({
      shard: shard.label,
      fencingToken,
      utilisation: shard.utilisation,
      waiting: shard.waitingTaskCount,
      serviceHeadroom: shard.demand.serviceHeadroom(now),
    }));
  }

  /** What the tasks of teams with a guarantee use in this controller's shards. */
  private teamUsage(): Gossip['teamUsage'] {
    const guaranteed = this.node.settings.teams.filter((team) => team.cpus > 0 || team.gpus > 0);
    return guaranteed.map(({ name: team }) => {
      const amounts = this.shards.map((shard) => shard.teamUsage.usedBy(team));
      const cpus = amounts.reduce((sum, amount) => sum + amount.cpus, 0);
      const gpus = amounts.reduce((sum, amount) => sum + amount.gpus, 0);
      return { team, cpus, gpus };
    });
  }

  /** Idle machines that may be released. */
  spareMachines(): string[] {
    const { clock, tuning } = this.node;
    return this.shards.flatMap((shard) =>
      shard.demand.cordonIdleMachines(clock.now(), tuning.idleRatio),
    );
  }

  /** Machines that are lost and should be released. */
  lostMachines(): string[] {
    const { clock, settings, stateClient, stateLeaseTtl } = this.node;
    const now = clock.now();
    // Without the state service this controller may be partitioned, and then every machine seems to be lost.
    if (now - stateClient.lastServedAt > stateLeaseTtl / 2) return [];
    const boot = (machine: Machine): number =>
      machine.machineType?.bootSeconds ?? settings.workerLease;
    return this.shards.flatMap((shard) => shard.liveness.lostMachines(now, boot, clock.wall()));
  }
}
