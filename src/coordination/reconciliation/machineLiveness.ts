/** Which machines of a shard are silent, and since when what ran there is over. */
import { log } from '../../base/log.js';
import { AttemptTermination, type LeaseTimes } from './attemptTermination.js';
import { isCapacity, bootTimeout, rediscoveryTimeout } from '../model/availability.js';
import type { Machine, Placement } from '../model/machine.js';
import type { MachineReleaseReason } from '../audit/auditEvent.js';
import type { AuditTrail } from '../audit/auditTrail.js';

/** What the liveness checks need of their shard. */
export interface MachineLivenessContext {
  readonly label: string;
  readonly audit: Pick<AuditTrail, 'note'>;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Ends an attempt that is over. */
  terminateAttempt(
    machine: Machine,
    placement: Placement,
    termination: AttemptTermination,
    now: number,
  ): void;
}

/** Finds machines that are silent, and ends attempts of which the worker's lease has expired. */
export class MachineLiveness {
  /** When most of the machines were last silent: more likely a fault on our side than on theirs. */
  private mostSilentAt = -Infinity;
  /** The machines that are no capacity, as last logged. */
  private notedCapacity = 'lost 0, unresponsive 0, overdue 0, partitioned 0';

  constructor(
    private readonly shard: MachineLivenessContext,
    private readonly options: LeaseTimes,
  ) {}

  /** Silent machines: what ran there is over once nobody can have renewed the lease that long. */
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
    this.noteCapacity(now);
  }

  /** Logs how many machines work may count on, and why others don't count, when that has changed. */
  private noteCapacity(now: number): void {
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
    if (missing === this.notedCapacity) return;
    this.notedCapacity = missing;
    const { label, machines } = this.shard;
    log.info(
      `shard ${label}: work may count on ${capacity} of ${machines.size} machines; ${missing}`,
    );
  }

  /**
   * Machines so long silent that they count as lost. Ending them is the quickest proof that their
   * tasks are over. When no other machine has answered since, the fault is more likely ours: a node
   * that lost its network once asked for the release of healthy machines, and the request was carried
   * out when the cut was over.
   */
  lostMachines(now: number, bootOf: (machine: Machine) => number, wall: number): string[] {
    if (this.mostAreSilent()) this.mostSilentAt = now;
    const lost: string[] = [];
    for (const machine of this.shard.machines.values()) {
      if (machine.isReassigned) {
        // It has come back: what ran here is over once its release is confirmed, and not known to be before.
        if (machine.recordedShard === this.shard.label) lost.push(machine.name);
        continue;
      }
      // Its last owner may be alive and answer it: that we can't reach it says nothing of the machine.
      if (machine.reachability.lastReachedAt === null && machine.leaseRenewedAt > now) continue;
      const isNew =
        machine.reachability.lastReachedAt === null &&
        machine.reachability.firstMissedProbeAt === null;
      const isLost = isNew
        ? this.neverCame(machine, now, wall, bootOf(machine))
        : this.isLost(machine, now);
      if (!isLost) continue;
      lost.push(machine.name);
      this.noteGivenUp(machine, isNew ? 'never-came' : 'silent', now);
    }
    return lost;
  }

  private noteGivenUp(machine: Machine, reason: MachineReleaseReason, now: number): void {
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
    let asked = 0;
    let silent = 0;
    for (const { reachability, isReassigned } of this.shard.machines.values()) {
      const { lastReachedAt, missedProbes } = reachability;
      if (isReassigned) continue;
      if (lastReachedAt === null && missedProbes === 0) continue;
      asked++;
      if (missedProbes > 0) silent++;
    }
    return silent * 2 > asked;
  }

  /**
   * Most are up within 1.5 times the boot time; one that isn't may never come, and is charged. After a
   * takeover every worker first has to find us; one that has tasks was up before.
   */
  private neverCame(machine: Machine, now: number, wall: number, boot: number): boolean {
    const { heartbeatInterval } = this.options;
    const isOverdue = wall - machine.launchedAt > bootTimeout(boot, heartbeatInterval);
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
    const { answering, silent } = this.othersSince(machine, since);
    const isAlone = answering === 0 && silent === 0 && silentFor > heartbeatInterval * 3;
    // When a cut ends most answer at once. The others have not been asked since, and were released as lost.
    const askedSince = machine.reachability.lastProbeAt >= this.mostSilentAt;
    return isAlone || (answering > silent && askedSince);
  }

  /** Of the other machines, how many have answered since then, and how many are silent. */
  private othersSince(machine: Machine, since: number): { answering: number; silent: number } {
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
