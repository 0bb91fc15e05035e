/**
 * Whether work may count on a machine, and by which evidence. This module alone decides that: placement, estimates, demands
 * and what users are told all ask it. It says nothing of what still runs on a machine; see `attemptTermination.ts`.
 */
import type { Reachability } from './reachability.js';

/**
 * What a machine is to work, the first that applies:
 * - `reassigned`: the records have put it into another shard;
 * - `lost`: its worker's lease ended with attempts on it, and it has not been reached since;
 * - `cordoned`: it is offered back to the cloud, and nothing is placed on it any more;
 * - `preempted`: the cloud has announced that it takes the machine;
 * - `unresponsive`: several probes in a row got no response;
 * - `booting`: it has not been reached yet, and may still come;
 * - `overdue`: it has not been reached for longer than machines take to come;
 * - `partitioned`: it responds, but its worker reaches no controller;
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
  | 'quarantined'
  | 'ready';

/** A state with the time of the evidence for it. */
export interface Availability {
  readonly state: AvailabilityState;
  /** Steady time of the evidence; null where it has none. */
  readonly evidenceAt: number | null;
}

/** What the decision rests on; `Machine` is one. Times are steady. */
export interface AvailabilityEvidence {
  readonly isReassigned: boolean;
  readonly isLost: boolean;
  readonly isCordoned: boolean;
  readonly preemptionDeadline: number | null;
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

/** Almost all machines are up within this many times their type's boot time. */
const LATE_BOOT_RATIO = 1.6;

/** Heartbeats that a worker takes beyond the boot to be heard. */
const FIRST_HEARTBEATS = 2;

/** Heartbeats after a start or takeover of ours within which a worker that is up has found us. */
const SEARCH_HEARTBEATS = 5;

/** Seconds after its launch after which a machine that has not been heard is overdue. */
export function bootTimeout(bootSeconds: number, heartbeatInterval: number): number {
  return bootSeconds * LATE_BOOT_RATIO + heartbeatInterval * FIRST_HEARTBEATS;
}

/** Seconds after a takeover within which each worker that is up should have been heard. */
export function rediscoveryTimeout(heartbeatInterval: number): number {
  return heartbeatInterval * SEARCH_HEARTBEATS;
}

/** What a machine is to work at this steady time. */
export function availabilityState(machine: AvailabilityEvidence, now: number): AvailabilityState {
  const { reachability } = machine;
  if (machine.isReassigned) return 'reassigned';
  if (machine.isLost) return 'lost';
  if (machine.isCordoned) return 'cordoned';
  if (machine.preemptionDeadline !== null) return 'preempted';
  if (reachability.isUnresponsive) return 'unresponsive';
  if (reachability.lastReachedAt === null) return isOverdue(machine, now) ? 'overdue' : 'booting';
  if (reachability.isPartitioned) return 'partitioned';
  return machine.quarantinedUntil > now ? 'quarantined' : 'ready';
}

/** The state with the time of its evidence. */
export function availabilityOf(machine: AvailabilityEvidence, now: number): Availability {
  const state = availabilityState(machine, now);
  return { state, evidenceAt: evidenceTime(machine, state) };
}

/** Whether work that waits may count on a machine in this state, now or soon. */
export function isCapacity(state: AvailabilityState): boolean {
  return state === 'ready' || state === 'booting' || state === 'quarantined';
}

/**
 * Seconds until work may be placed on a machine that is capacity. One that is late is expected to take as long again as it is
 * late already: a machine that never comes must not seem to be about to come for ever.
 */
export function readyIn(machine: AvailabilityEvidence, now: number): number {
  if (machine.reachability.lastReachedAt !== null)
    return Math.max(0, machine.quarantinedUntil - now);
  const expectedAt = Math.max(
    machine.launchedAtMonotonic + machine.bootSeconds,
    machine.firstSeenAt,
  );
  return Math.max(MIN_BOOT_LEFT, Math.abs(expectedAt - now));
}

/** A machine that has not been heard takes at least so many seconds more. */
const MIN_BOOT_LEFT = 1;

function isOverdue(machine: AvailabilityEvidence, now: number): boolean {
  const { bootSeconds, heartbeatInterval } = machine;
  const boot = machine.launchedAtMonotonic + bootTimeout(bootSeconds, heartbeatInterval);
  const search = machine.firstSeenAt + rediscoveryTimeout(heartbeatInterval);
  return now > Math.max(boot, search);
}

function evidenceTime(machine: AvailabilityEvidence, state: AvailabilityState): number | null {
  const { reachability } = machine;
  switch (state) {
    case 'lost':
      return machine.leaseRenewedAt;
    case 'reassigned':
    case 'cordoned':
      return null;
    case 'preempted':
    case 'quarantined':
      return reachability.lastHeartbeatAt;
    case 'unresponsive':
      return reachability.firstMissedProbeAt;
    case 'booting':
    case 'overdue':
      return machine.launchedAtMonotonic;
    case 'partitioned':
      return reachability.lastUnsolicitedHeartbeatAt ?? machine.firstSeenAt;
    case 'ready':
      return reachability.lastReachedAt;
  }
}
