/** Detects silent machines of a shard, terminates attempts once the worker's lease has expired, and finds lost machines. */
import { log } from '../../base/log.js';
import { AttemptTermination, type LeaseTimes } from './attemptTermination.js';
import { isCapacity, bootTimeout, rediscoveryTimeout } from '../model/availability.js';
import type { Machine, Placement } from '../model/machine.js';
import type { MachineReleaseReason } from '../audit/auditEvent.js';
import type { AuditTrail } from '../audit/auditTrail.js';

/** The parts of a shard that the liveness checks use. */
export interface MachineLivenessContext {
  readonly label: string;
  readonly audit: Pick<AuditTrail, 'note'>;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Removes an attempt that has terminated. */
  terminateAttempt(
    machine: Machine,
    placement: Placement,
    termination: AttemptTermination,
    now: number,
  ): void;
}

/** Finds silent machines, and terminates attempts whose worker's lease has expired. */
export class MachineLiveness {
  /** Monotonic time at which most machines were last silent: more likely a fault on this side than on theirs. */
  private mostSilentAt = -Infinity;
  /** The counts of machines that are not capacity, as last logged. */
  private loggedCapacity = 'lost 0, unresponsive 0, overdue 0, partitioned 0';

  constructor(
    private readonly shard: MachineLivenessContext,
    private readonly options: LeaseTimes,
  ) {}

  /**
   * Marks partitioned machines, and terminates attempts on machines whose worker's lease nobody can have renewed for too
   * long.
   */
  sweep(now: number): void {
    for (const machine of this.shard.machines.values()) {
      machine.reachability.isPartitioned =
        now - (machine.reachability.lastUnsolicitedHeartbeatAt ?? machine.firstSeenAt) >
        this.options.workerLease / 2;
      if (machine.placements.size === 0) continue;
      const termination = AttemptTermination.byLeaseExpiry(machine, this.options, now);
      if (termination === null) continue;
      machine.isLost = true;
      for (const placement of [...machine.placements.values()]) {
        this.shard.terminateAttempt(machine, placement, termination, now);
      }
    }
    this.logCapacity(now);
  }

  /** Logs how many machines count as capacity, and why others don't, when that has changed. */
  private logCapacity(now: number): void {
    const counts = { capacity: 0, lost: 0, unresponsive: 0, overdue: 0, partitioned: 0 };
    for (const machine of this.shard.machines.values()) {
      const state = machine.availability(now);
      if (isCapacity(state)) counts.capacity++;
      else if (state in counts) counts[state as keyof typeof counts]++;
    }
    const { capacity, lost, unresponsive, overdue, partitioned } = counts;
    const missing =
      `lost ${lost}, unresponsive ${unresponsive}, overdue ${overdue}, ` +
      `partitioned ${partitioned}`;
    if (missing === this.loggedCapacity) return;
    this.loggedCapacity = missing;
    const { label, machines } = this.shard;
    log.info(
      `shard ${label}: ${capacity} of ${machines.size} machines count as capacity; ${missing}`,
    );
  }

  /**
   * Machines that have been silent for so long that they count as lost. Releasing them is the quickest proof that their
   * tasks have ended. If no other machine has responded since, the fault is more likely on this side: a node that had lost
   * its network once requested the release of healthy machines, and the request was executed when the partition ended.
   */
  lostMachines(
    now: number,
    bootSecondsOf: (machine: Machine) => number,
    wallTime: number,
  ): string[] {
    if (this.mostAreSilent()) this.mostSilentAt = now;
    const lost: string[] = [];
    for (const machine of this.shard.machines.values()) {
      if (machine.isReassigned) {
        // The machine's record has returned to this shard. Only its confirmed release proves that its attempts here have
        // ended.
        if (machine.recordedShard === this.shard.label) lost.push(machine.name);
        continue;
      }
      // The shard's previous leader may be alive and answer the machine's worker: a failure to reach it
      // from this node does not show that the machine has failed.
      if (machine.reachability.lastReachedAt === null && machine.leaseRenewedAt > now) continue;
      const isNew =
        machine.reachability.lastReachedAt === null &&
        machine.reachability.firstMissedProbeAt === null;
      const isLost = isNew
        ? this.hasNeverComeUp(machine, now, wallTime, bootSecondsOf(machine))
        : this.isLost(machine, now);
      if (!isLost) continue;
      lost.push(machine.name);
      this.recordReleaseRequest(machine, isNew ? 'never-came' : 'silent', now);
    }
    return lost;
  }

  private recordReleaseRequest(machine: Machine, reason: MachineReleaseReason, now: number): void {
    if (machine.isReleaseRequested) return;
    machine.isReleaseRequested = true;
    this.shard.audit.note({
      event: 'machine-release-requested',
      shard: this.shard.label,
      machine: machine.name,
      reason,
      tasks: machine.placements.size,
      silentFor: now - (machine.reachability.lastReachedAt ?? machine.firstSeenAt),
    });
  }

  private mostAreSilent(): boolean {
    let probed = 0;
    let silent = 0;
    for (const { reachability, isReassigned } of this.shard.machines.values()) {
      const { lastReachedAt, missedProbes } = reachability;
      if (isReassigned) continue;
      if (lastReachedAt === null && missedProbes === 0) continue;
      probed++;
      if (missedProbes > 0) silent++;
    }
    return silent * 2 > probed;
  }

  /**
   * Most machines are up within 1.5 times the boot time; one that is not may never come up, and is charged. After a
   * takeover every worker first has to find this node; a machine with tasks was up before.
   */
  private hasNeverComeUp(
    machine: Machine,
    now: number,
    wallTime: number,
    bootSeconds: number,
  ): boolean {
    const { heartbeatInterval } = this.options;
    const isOverdue = wallTime - machine.launchedAt > bootTimeout(bootSeconds, heartbeatInterval);
    const isWatched = now - machine.firstSeenAt > rediscoveryTimeout(heartbeatInterval);
    return isOverdue && isWatched && machine.placements.size === 0;
  }

  private isLost(machine: Machine, now: number): boolean {
    const { heartbeatInterval } = this.options;
    const silentFor = now - (machine.reachability.lastReachedAt ?? machine.firstSeenAt);
    const since = machine.reachability.firstMissedProbeAt;
    if (
      since === null ||
      machine.reachability.missedProbes < 2 ||
      silentFor < heartbeatInterval * 0.8
    )
      return false;
    const { answering, silent } = this.countOthers(machine, since);
    const isAlone = answering === 0 && silent === 0 && silentFor > heartbeatInterval * 3;
    // When a partition ends, most machines respond at once. Those that had not been probed since were once released as
    // lost.
    const wasProbedSince = machine.reachability.lastProbeAt >= this.mostSilentAt;
    return isAlone || (answering > silent && wasProbedSince);
  }

  /** Counts the other machines that have responded since then, and those that are silent. */
  private countOthers(machine: Machine, since: number): { answering: number; silent: number } {
    let answering = 0;
    let silent = 0;
    for (const other of this.shard.machines.values()) {
      if (other === machine || other.isLost || other.isReassigned) continue;
      if (other.reachability.lastReachedAt !== null && other.reachability.lastReachedAt > since)
        answering++;
      else if (other.reachability.missedProbes > 0) silent++;
    }
    return { answering, silent };
  }
}
