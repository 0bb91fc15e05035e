/** Questions to machines: to those that have not been reached, and to those whose report is overdue. */
import type { Clock } from '../../base/clock.js';
import type { Settings } from '../../protocol/settings.js';
import { parseHeartbeat, paths as workerPaths } from '../../protocol/workerProtocol.js';
import { HttpCallError, type HttpClient } from '../../transport/httpClient.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { Machine } from '../model/machine.js';

/** Machines that one core may ask in a second without noticing it. */
const PROBES_PER_CORE = 120;

/** What is needed of a node. */
export interface MachineProberContext {
  settings: Pick<Settings, 'heartbeatInterval' | 'cores' | 'maxSockets'>;
  clock: Pick<Clock, 'now'>;
  links: { machines: Pick<HttpClient, 'call'> };
  ownedShards: ReadonlyMap<string, OwnedShard>;
  requestSchedulingRound(): void;
}

/** Asks machines for a report: a hanging one is told from one that can't reach us. */
export class MachineProber {
  /** Questions on their way to machines that have left one without an answer. */
  private probesToSilentMachines = 0;

  constructor(private readonly node: MachineProberContext) {}

  /** The regular look at a shard's machines. */
  sweep(ownedShard: OwnedShard, now: number): void {
    this.probeUnreached(ownedShard);
    this.probeOverdue(ownedShard, now);
  }

  /** Asks a machine whose report is overdue: a hanging one is told from one that can't reach us. */
  async probe(ownedShard: OwnedShard, machine: Machine): Promise<void> {
    const { clock, settings } = this.node;
    const { reachability } = machine;
    if (reachability.isProbeInFlight || machine.address === '') return;
    const isSilent = reachability.missedProbes > 0;
    // A question to a silent machine holds its socket until its time is up. When a zone is cut off they
    // are hundreds, and those that answer still must be asked: half of the sockets are left for them.
    if (isSilent && this.probesToSilentMachines >= settings.maxSockets / 12) return;
    reachability.isProbeInFlight = true;
    const sentAt = clock.now();
    reachability.lastProbeAt = sentAt;
    if (isSilent) this.probesToSilentMachines++;
    const timeout = settings.heartbeatInterval / 3;
    await this.ask(ownedShard, machine, sentAt, timeout);
    reachability.isProbeInFlight = false;
    if (isSilent) this.probesToSilentMachines--;
    // Where time was lost with waiting, the second question goes at once, not with the next round.
    const hasWaited = clock.now() - sentAt >= timeout / 2;
    if (hasWaited && reachability.missedProbes === 1 && ownedShard.isOwned)
      void this.probe(ownedShard, machine);
  }

  /** Notes what the machine answers, or that it does not; never throws. Times in seconds. */
  private async ask(
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
      // Not asked for want of sockets: healthy machines would be taken for silent ones.
      const wasAsked = !(error instanceof HttpCallError && error.isLocal);
      if (wasAsked) machine.reachability.noteMissedProbe(sentAt);
    }
  }

  /** Questions a second that this node can afford for each shard: more would take the processor from users. */
  private get affordableProbes(): number {
    return (PROBES_PER_CORE * this.node.settings.cores) / this.node.ownedShards.size;
  }

  /**
   * Machines stored by an earlier owner are asked directly, since their workers may never come. After a
   * takeover they are hundreds: those with live services go first, and most of the others report meanwhile.
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
    const most = Math.ceil(this.affordableProbes * this.node.settings.heartbeatInterval);
    for (const machine of unreached.slice(0, most)) void this.probe(ownedShard, machine);
  }

  /** Machines that were in reach and have said nothing for too long. */
  private probeOverdue(ownedShard: OwnedShard, now: number): void {
    const { heartbeatInterval } = this.node.settings;
    const machines = [...ownedShard.shard.machines.values()].filter(
      (machine) => machine.isUp && !machine.isReassigned,
    );
    // Those that were asked longest ago go first, since not all may get their turn.
    machines.sort((a, b) => a.reachability.lastProbeAt - b.reachability.lastProbeAt);
    const doubtful = [...ownedShard.shard.machines.values()].some(
      (machine) => machine.reachability.missedProbes > 0,
    );
    // Only those with live services are asked so often: in a large shard they are the fewer.
    const serviceCpus = machines.reduce((n, machine) => n + (machine.serviceCpus > 0 ? 1 : 0), 0);
    const watchful = Math.min(
      1.3,
      Math.max(0.3, serviceCpus / this.affordableProbes / heartbeatInterval),
    );
    for (const machine of machines) {
      if (machine.reachability.lastReachedAt === null) continue;
      ownedShard.shard.machinesWithDueCommands.add(machine);
      // Where live services run, silence is noticed within a second or two; elsewhere when a heartbeat
      // is overdue.
      // When one does not answer, all are asked: others that answer show that the fault is not ours.
      const silenceIntervals = machine.serviceCpus > 0 || doubtful ? watchful : 1.3;
      if (now - machine.reachability.lastReachedAt > heartbeatInterval * silenceIntervals)
        void this.probe(ownedShard, machine);
    }
  }
}
