/**
 * Decides when an attempt has terminated (safety, T2). Only this module does: releasing a task requires an
 * `AttemptTermination`, and no other module can create one.
 */
import { MAX_CLOCK_DRIFT } from '../../base/clock.js';
import type { TerminationRule } from '../audit/terminationRule.js';
import type { Attempt } from '../model/chunk.js';
import type { Machine, Placement } from '../model/machine.js';

/** Times that the workers' leases depend on, in seconds. */
export interface LeaseTimes {
  /** How long a worker runs tasks after the last answer to a heartbeat of its own. */
  readonly workerLease: number;
  /** Time between two heartbeats of a worker. */
  readonly heartbeatInterval: number;
}

/** Proof that an attempt has terminated. */
export class AttemptTermination {
  private constructor(
    readonly rule: TerminationRule,
    /** Monotonic time at which the evidence was received. */
    readonly evidenceAt: number,
  ) {}

  /**
   * Decides by the machine's newest heartbeat, which has already been applied; null if the attempt may still run or start.
   */
  static byHeartbeat(
    machine: Machine,
    { chunk, attempt }: Placement,
    now: number,
  ): AttemptTermination | null {
    // The worker killed all tasks of the earlier agent epoch when its lease expired; none of them returns.
    if (machine.agentEpoch > attempt.agentEpoch)
      return new AttemptTermination('new-agent-epoch', now);
    const reportedAttempt = machine.reportedAttempts.find(
      chunk.taskName(attempt.task),
      attempt.attemptNumber,
    );
    if (reportedAttempt !== undefined) {
      return reportedAttempt.state === 'ended' ? new AttemptTermination('ended', now) : null;
    }
    // The attempt was reported before and no longer is.
    const mayStillStart = machine.mayStartStillExecute(attempt);
    if (attempt.wasReported) return mayStillStart ? null : new AttemptTermination('absent', now);
    // The attempt was never reported and is not to be started any more.
    const isUnwanted = attempt.stop !== null || attempt.isInherited;
    return isUnwanted && !mayStillStart && !attempt.startSentInAnswer
      ? new AttemptTermination('never-started', now)
      : null;
  }

  /**
   * Decides by the worker's lease: once it has expired, the worker itself has killed all its tasks. Null while the lease
   * may be valid.
   */
  static byLeaseExpiry(
    machine: Machine,
    { workerLease, heartbeatInterval }: LeaseTimes,
    now: number,
  ): AttemptTermination | null {
    // The leader of another shard may renew the lease without a message to this controller.
    if (machine.isReassigned) return null;
    const limit = workerLease * (1 + MAX_CLOCK_DRIFT) + heartbeatInterval / 2;
    if (now - machine.leaseRenewedAt <= limit) return null;
    return new AttemptTermination('lease-expired', machine.leaseRenewedAt);
  }

  /** Decides by the removal of the machine's record, which happens only after the cloud has confirmed the release. */
  static byMachineRemoval(now: number): AttemptTermination {
    return new AttemptTermination('machine-released', now);
  }

  /**
   * Decides by the commands sent: an attempt without a start command can't run. Null if one was sent or may be in flight.
   */
  static byStartNeverSent(
    machine: Machine,
    attempt: Attempt,
    now: number,
  ): AttemptTermination | null {
    const mayStillStart =
      attempt.wasReported || attempt.startSentInAnswer || machine.mayStartStillExecute(attempt);
    return mayStillStart || machine.hasCommandInFlight
      ? null
      : new AttemptTermination('never-sent', now);
  }
}
