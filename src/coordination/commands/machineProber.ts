/** Probes machines that have not been reached yet, and machines whose heartbeat is overdue. */
import type { Clock } from '../../base/clock.js';
import type { Settings } from '../../protocol/settings.js';
import { parseHeartbeat, paths as workerPaths } from '../../protocol/workerProtocol.js';
import { HttpCallError, type HttpClient } from '../../transport/httpClient.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Machine } from '../model/machine.js';

/** Probes that one core can send per second without noticeable load. */
const PROBES_PER_CORE = 120;

/** The parts of a controller that the prober uses. */
export interface MachineProberContext {
  settings: Pick<Settings, 'heartbeatInterval' | 'cores' | 'maxSockets'>;
  clock: Pick<Clock, 'now'>;
  links: { machines: Pick<HttpClient, 'call'> };
  ownedShards: ReadonlyMap<string, OwnedShard>;
  requestSchedulingRound(): void;
}

/** Requests heartbeats from machines, to distinguish machines that hang from those that can't reach this controller. */
export class MachineProber {
  /** Probes in flight to machines that have missed an earlier one. */
  private probesToSilentMachines = 0;

  constructor(private readonly node: MachineProberContext) {}

  /** Periodic pass over a shard's machines. */
  sweep(ownedShard: OwnedShard, now: number): void {
    this.probeUnreached(ownedShard);
    this.probeOverdue(ownedShard, now);
  }

  /**
   * Probes a machine, to distinguish one that hangs from one that can't reach this controller. Does nothing if a probe is
   * in flight already, the address is unknown, or too many silent machines are being probed.
   */
  async probe(ownedShard: OwnedShard, machine: Machine): Promise<void> {
    const { clock, settings } = this.node;
    const { reachability } = machine;
    if (reachability.isProbeInFlight || machine.address === '') return;
    const isSilent = reachability.missedProbes > 0;
    // A probe to a silent machine holds its socket until the timeout. When a zone is cut off there are hundreds of them,
    // and the responsive machines must still be probed: half of the sockets are left for those.
    if (isSilent && this.probesToSilentMachines >= settings.maxSockets / 12) return;
    reachability.isProbeInFlight = true;
    const sentAt = clock.now();
    reachability.lastProbeAt = sentAt;
    if (isSilent) this.probesToSilentMachines++;
    const timeout = settings.heartbeatInterval / 3;
    await this.sendProbe(ownedShard, machine, sentAt, timeout);
    reachability.isProbeInFlight = false;
    if (isSilent) this.probesToSilentMachines--;
    // After a long wait the second probe is sent at once, not in the next sweep.
    const hasWaited = clock.now() - sentAt >= timeout / 2;
    if (hasWaited && reachability.missedProbes === 1 && ownedShard.isOwned)
      void this.probe(ownedShard, machine);
  }

  /** Sends the probe and records the response or the miss; never throws. Times are in seconds. */
  private async sendProbe(
    ownedShard: OwnedShard,
    machine: Machine,
    sentAt: number,
    timeout: number,
  ): Promise<void> {
    const { clock, links } = this.node;
    const { address } = machine;
    try {
      const answer = await links.machines.call(
        address,
        'GET',
        workerPaths.inspect,
        undefined,
        timeout,
      );
      const heartbeat = parseHeartbeat(answer.body);
      if (heartbeat === null || !ownedShard.isOwned || machine.address !== address) return;
      const now = clock.now();
      machine.markReached(now);
      const effect = ownedShard.shard.heartbeats.apply(machine, heartbeat, now, 'response');
      if (effect === 'changed') this.node.requestSchedulingRound();
    } catch (error) {
      // A probe that found no free socket is not a miss: healthy machines would seem to be silent.
      const wasSent = !(error instanceof HttpCallError && error.isLocal);
      if (wasSent) machine.reachability.noteMissedProbe(sentAt);
    }
  }

  /** Probes per second that this node can afford for each shard; more would take processor time from user requests. */
  private get probesPerShard(): number {
    return (PROBES_PER_CORE * this.node.settings.cores) / this.node.ownedShards.size;
  }

  /**
   * Probes recorded machines that this node has not reached: their workers may never contact it by themselves. After a
   * takeover there are hundreds: those with live services go first, and most of the others send a heartbeat meanwhile.
   */
  private probeUnreached(ownedShard: OwnedShard): void {
    const unreached: Machine[] = [];
    for (const machine of ownedShard.shard.machines.values()) {
      if (machine.isReassigned || machine.address === '') continue;
      if (machine.reachability.lastReachedAt === null) unreached.push(machine);
    }
    unreached.sort(
      (a, b) =>
        a.reachability.lastProbeAt - b.reachability.lastProbeAt || b.serviceCpus - a.serviceCpus,
    );
    const limit = Math.ceil(this.probesPerShard * this.node.settings.heartbeatInterval);
    for (const machine of unreached.slice(0, limit)) void this.probe(ownedShard, machine);
  }

  /** Probes machines that were reached before and have been silent for too long. */
  private probeOverdue(ownedShard: OwnedShard, now: number): void {
    const { heartbeatInterval } = this.node.settings;
    const machines = [...ownedShard.shard.machines.values()].filter(
      (machine) => machine.isUp && !machine.isReassigned,
    );
    // Machines probed longest ago go first, since the limits may not allow all of them.
    machines.sort((a, b) => a.reachability.lastProbeAt - b.reachability.lastProbeAt);
    const anyMissedProbe = [...ownedShard.shard.machines.values()].some(
      (machine) => machine.reachability.missedProbes > 0,
    );
    // Only machines with live services are probed this often; in a large shard they are the minority.
    const serviceMachines = machines.reduce(
      (n, machine) => n + (machine.serviceCpus > 0 ? 1 : 0),
      0,
    );
    const shortInterval = Math.min(
      1.3,
      Math.max(0.3, serviceMachines / this.probesPerShard / heartbeatInterval),
    );
    for (const machine of machines) {
      if (machine.reachability.lastReachedAt === null) continue;
      ownedShard.shard.machinesWithDueCommands.add(machine);
      // Silence is noticed within a second or two where live services run, elsewhere once a heartbeat is overdue. While any
      // machine misses probes, all are probed this often: responses of others show that the fault is not on this side.
      const silenceIntervals = machine.serviceCpus > 0 || anyMissedProbe ? shortInterval : 1.3;
      if (now - machine.reachability.lastReachedAt > heartbeatInterval * silenceIntervals)
        void this.probe(ownedShard, machine);
    }
  }
}
