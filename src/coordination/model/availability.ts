/**
 * Decides the availability of a machine for work, and from which evidence. It is the only module that does so: placement,
 * estimates, demands and the answers to users are all based on it. It does not decide whether attempts still run on a machine;
 * see `attemptTermination.ts`.
 */
import type { Reachability } from './reachability.js';

/**
 * Availability of a machine; the first state that applies:
 * - `reassigned`: its record names another shard;
 * - `lost`: its worker's lease expired with attempts on it, and it has not been reached since;
 * - `cordoned`: it is to be released, and nothing is placed on it any more;
 * - `preempted`: the cloud has announced that it takes the machine back;
 * - `unresponsive`: several probes in a row got no response;
 * - `booting`: it has not been reached yet, and may still be booting;
 * - `overdue`: it has not been reached for longer than machines take to boot;
 * - `partitioned`: it responds, but its worker reaches no controller;
 * - `full`: its worker's heartbeat has no room for another attempt;
 * - `quarantined`: tasks failed there, and nothing is placed on it for a while;
 * - `ready`: work may be placed on it now.
 */
export type AvailabilityState =
  | 'reassigned'
  | 'lost'
  | 'cordoned'
  | 'preempted'
  | 'unresponsive'
  | 'booting'
  | 'overdue'
  | 'partitioned'
  | 'full'
  | 'quarantined'
  | 'ready';

/** An availability state with the time of its evidence. */
export interface Availability {
  readonly state: AvailabilityState;
  /** Monotonic time of the evidence; null if there is none. */
  readonly evidenceAt: number | null;
}

/** The evidence for the availability of a machine; `Machine` implements it. Times are monotonic. */
export interface AvailabilityEvidence {
  readonly isReassigned: boolean;
  readonly isLost: boolean;
  readonly isCordoned: boolean;
  readonly preemptionDeadline: number | null;
  readonly isReportFull: boolean;
  readonly quarantinedUntil: number;
  readonly leaseRenewedAt: number;
  readonly firstSeenAt: number;
  readonly launchedAtMonotonic: number;
  readonly bootSeconds: number;
  readonly heartbeatInterval: number;
  readonly reachability: Pick<
    Reachability,
    | 'lastHeartbeatAt'
    | 'lastUnsolicitedHeartbeatAt'
    | 'lastReachedAt'
    | 'firstMissedProbeAt'
    | 'isPartitioned'
    | 'isUnresponsive'
  >;
}

/** Almost all machines have booted within this many times the boot time of their type. */
const BOOT_TIMEOUT_RATIO = 1.6;

/** Heartbeat intervals between the end of the boot and the worker's first received heartbeat. */
const FIRST_HEARTBEAT_INTERVALS = 2;

/** Heartbeat intervals after this controller's start or takeover within which a running worker has found it. */
const REDISCOVERY_INTERVALS = 5;

/** Seconds after its launch after which a machine without a heartbeat is overdue. */
export function bootTimeout(bootSeconds: number, heartbeatInterval: number): number {
  return bootSeconds * BOOT_TIMEOUT_RATIO + heartbeatInterval * FIRST_HEARTBEAT_INTERVALS;
}

/** Seconds after a takeover within which a heartbeat of each running worker should have been received. */
export function rediscoveryTimeout(heartbeatInterval: number): number {
  return heartbeatInterval * REDISCOVERY_INTERVALS;
}

/** The availability of a machine at this monotonic time. */
export function availabilityState(machine: AvailabilityEvidence, now: number): AvailabilityState {
  const { reachability } = machine;
  if (machine.isReassigned) return 'reassigned';
  if (machine.isLost) return 'lost';
  if (machine.isCordoned) return 'cordoned';
  if (machine.preemptionDeadline !== null) return 'preempted';
  if (reachability.isUnresponsive) return 'unresponsive';
  if (reachability.lastReachedAt === null) return isOverdue(machine, now) ? 'overdue' : 'booting';
  if (reachability.isPartitioned) return 'partitioned';
  if (machine.isReportFull) return 'full';
  return machine.quarantinedUntil > now ? 'quarantined' : 'ready';
}

/** The availability of a machine, with the time of its evidence. */
export function availabilityOf(machine: AvailabilityEvidence, now: number): Availability {
  const state = availabilityState(machine, now);
  return { state, evidenceAt: EVIDENCE_TIMES[state](machine) };
}

/** Whether queued work can be expected to start on a machine in this state, now or soon. */
export function isCapacity(state: AvailabilityState): boolean {
  return state === 'ready' || state === 'booting' || state === 'quarantined';
}

/**
 * Seconds until work may be placed on a machine for which `isCapacity` holds. A late machine is expected to take as long again
 * as it is late already: otherwise a machine that never boots would always seem about to be ready.
 */
export function readyIn(machine: AvailabilityEvidence, now: number): number {
  if (machine.reachability.lastReachedAt !== null)
    return Math.max(0, machine.quarantinedUntil - now);
  const expectedAt = Math.max(
    machine.launchedAtMonotonic + machine.bootSeconds,
    machine.firstSeenAt,
  );
  return Math.max(MIN_REMAINING_BOOT_S, Math.abs(expectedAt - now));
}

/** Lower limit in seconds of the remaining boot time of a machine without a heartbeat. */
const MIN_REMAINING_BOOT_S = 1;

function isOverdue(machine: AvailabilityEvidence, now: number): boolean {
  const { bootSeconds, heartbeatInterval } = machine;
  const bootDeadline = machine.launchedAtMonotonic + bootTimeout(bootSeconds, heartbeatInterval);
  const rediscoveryDeadline = machine.firstSeenAt + rediscoveryTimeout(heartbeatInterval);
  return now > Math.max(bootDeadline, rediscoveryDeadline);
}

type EvidenceTime = (machine: AvailabilityEvidence) => number | null;

const lastHeartbeatTime: EvidenceTime = ({ reachability }) => reachability.lastHeartbeatAt;
const launchTime: EvidenceTime = ({ launchedAtMonotonic }) => launchedAtMonotonic;
const noEvidence: EvidenceTime = () => null;

/** The monotonic time of the evidence for each state. */
const EVIDENCE_TIMES: Record<AvailabilityState, EvidenceTime> = {
  reassigned: noEvidence,
  lost: ({ leaseRenewedAt }) => leaseRenewedAt,
  cordoned: noEvidence,
  preempted: lastHeartbeatTime,
  unresponsive: ({ reachability }) => reachability.firstMissedProbeAt,
  booting: launchTime,
  overdue: launchTime,
  partitioned: ({ reachability, firstSeenAt }) =>
    reachability.lastUnsolicitedHeartbeatAt ?? firstSeenAt,
  full: lastHeartbeatTime,
  quarantined: lastHeartbeatTime,
  ready: ({ reachability }) => reachability.lastReachedAt,
};
