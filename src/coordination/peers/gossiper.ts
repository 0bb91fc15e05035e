/** Tells the peers at a steady pace what this node owns, lacks and can spare. */
import type { Clock } from '../../base/clock.js';
import type { Gossip } from '../../protocol/peerMessages.js';
import type { Settings, Tuning } from '../../protocol/settings.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Machine } from '../shard/machine.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import type { PeerRegistry } from './peerRegistry.js';

export type Demands = ReturnType<Shard['needs']['demands']>;

/** What is needed of a node. */
export interface GossipContext {
  settings: Pick<Settings, 'label' | 'report' | 'lease' | 'teams'>;
  tuning: Pick<Tuning, 'idleRatio'>;
  clock: Clock;
  process: string;
  ownedParts: ReadonlyMap<string, OwnedShard>;
  state: Pick<StateClient, 'need' | 'share' | 'lastServed'>;
  stateTtl: number;
  ownership: Pick<ShardLeadership, 'valid'>;
  peers: Pick<PeerRegistry, 'gossip' | 'needs'>;
  drain: { readonly isActive: boolean };
}

/**
 * How often peers are told, as a ratio to the time between reports. A message to each peer, with all that waits
 * worked out for it, is a tenth of a small controller's work at an eighth of a report.
 */
const INTERVAL = 1 / 5;

export class Gossiper {
  /** What the parts here lacked when the peers were last told of it. */
  demands: Demands = [];
  private lastSent = -Infinity;
  private sequence = 0;

  constructor(private readonly node: GossipContext) {}

  /** Sends a message to all peers if one is due. */
  sendIfDue(): void {
    const { clock, settings, state, peers } = this.node;
    const now = clock.now();
    if (now - this.lastSent < settings.report * INTERVAL) return;
    this.lastSent = now;
    state.share(peers.needs());
    peers.gossip(this.message(now), settings.report / 2);
  }

  private message(now: number): Gossip {
    const { settings, process, clock, state, ownership, drain } = this.node;
    const isServed = ownership.valid;
    if (isServed) this.demands = this.parts.flatMap((part) => part.needs.demands(now));
    return {
      from: settings.label,
      process,
      sequence: ++this.sequence,
      at: clock.wall(),
      need: state.need,
      // One that is leaving wants nothing back.
      served: isServed && !drain.isActive,
      hosts: this.ownedParts(),
      demands: isServed ? this.demands : [],
      spare: isServed ? this.spareMachines() : [],
      lost: isServed ? this.lostMachines() : [],
      used: this.teamUsage(),
      throttled: [...new Set(this.parts.flatMap((part) => [...part.scheduler.throttled]))],
      starving: this.parts.flatMap((part) => [...part.scheduler.starving.values()]),
    };
  }

  private get parts(): Shard[] {
    return [...this.node.ownedParts.values()].map((host) => host.part);
  }

  private ownedParts(): Gossip['hosts'] {
    return [...this.node.ownedParts.values()].map(({ part, token }) => ({
      part: part.label,
      token,
      utilisation: part.utilisation,
      waiting: part.waiting,
      liveRoom: part.needs.liveRoom(),
    }));
  }

  /** What teams with a guarantee use here. */
  private teamUsage(): Gossip['used'] {
    const guaranteed = this.node.settings.teams.filter((team) => team.cpus > 0 || team.gpus > 0);
    return guaranteed.map(({ name: team }) => {
      const amounts = this.parts.map((part) => part.teams.usedBy(team));
      const cpus = amounts.reduce((sum, amount) => sum + amount.cpus, 0);
      const gpus = amounts.reduce((sum, amount) => sum + amount.gpus, 0);
      return { team, cpus, gpus };
    });
  }

  /** Machines that may be returned. */
  spareMachines(): string[] {
    const { clock, tuning } = this.node;
    return this.parts.flatMap((part) => part.needs.spare(clock.now(), tuning.idleRatio));
  }

  /** Machines that are given up for release. */
  lostMachines(): string[] {
    const { clock, settings, state, stateTtl } = this.node;
    const now = clock.now();
    // Without a word from the state service the network may have left us, and everybody seems lost.
    if (now - state.lastServed > stateTtl / 2) return [];
    const boot = (machine: Machine): number => machine.shape?.boot ?? settings.lease;
    return this.parts.flatMap((part) => part.liveness.lostMachines(now, boot, clock.wall()));
  }
}
