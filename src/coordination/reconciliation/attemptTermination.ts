/**
 * When an attempt is over (safety, T2). This module alone says so: what releases a task takes a verdict of this type, and
 * nothing else can make one.
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

/** The proof that an attempt is over. */
export class AttemptTermination {
  private constructor(
    readonly rule: TerminationRule,
    /** Steady time at which the evidence was heard. */
    readonly evidenceAt: number,
  ) {}

  /** By the newest heartbeat of its machine, which has been taken in already; null: it may still be there, or come. */
  static byHeartbeat(
    machine: Machine,
    { chunk, attempt }: Placement,
    now: number,
  ): AttemptTermination | null {
    // The worker killed everything when its lease ran out; nothing of that agent epoch comes back.
    if (machine.agentEpoch > attempt.agentEpoch)
      return new AttemptTermination('new-agent-epoch', now);
    const reportedAttempt = machine.reportedAttempts.find(
      chunk.taskName(attempt.task),
      attempt.attemptNumber,
    );
    if (reportedAttempt !== undefined) {
      return reportedAttempt.state === 'ended' ? new AttemptTermination('ended', now) : null;
    }
    // It was here and is no more.
    const mayCome = machine.mayStartStillExecute(attempt);
    if (attempt.wasReported) return mayCome ? null : new AttemptTermination('absent', now);
    // It never came and is not to be started any longer.
    const isUnwanted = attempt.stop !== null || attempt.isInherited;
    return isUnwanted && !mayCome && !attempt.startSentInAnswer
      ? new AttemptTermination('never-started', now)
      : null;
  }

  /** By the worker's lease: all that ran there was killed by the worker itself. */
  static byLeaseExpiry(
    machine: Machine,
    { workerLease, heartbeatInterval }: LeaseTimes,
    now: number,
  ): AttemptTermination | null {
    // Another shard's leader may renew it without our knowledge.
    if (machine.isReassigned) return null;
    const limit = workerLease * (1 + MAX_CLOCK_DRIFT) + heartbeatInterval / 2;
    if (now - machine.leaseRenewedAt <= limit) return null;
    return new AttemptTermination('lease-expired', machine.leaseRenewedAt);
  }

  /** The record of its machine was removed, which happens only after the cloud has confirmed the release. */
  static byMachineRemoval(now: number): AttemptTermination {
    return new AttemptTermination('machine-released', now);
  }

  /** No start was sent, so nothing can come of it; null: one was, or is on its way. */
  static byStartNeverSent(
    machine: Machine,
    attempt: Attempt,
    now: number,
  ): AttemptTermination | null {
    const mayCome =
      attempt.wasReported || attempt.startSentInAnswer || machine.mayStartStillExecute(attempt);
    return mayCome || machine.hasCommandInFlight ? null : new AttemptTermination('never-sent', now);
  }
}
