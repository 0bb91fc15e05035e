/** Number of consecutive missed probes after which a machine is unresponsive. */
const MISSED_PROBE_LIMIT = 2;

/**
 * State of the connection to a machine, as heartbeats and probes show it. A received heartbeat does not prove that the machine
 * is reachable: it may be a late copy, or come from a machine that receives no answers.
 */
export class Reachability {
  /** Monotonic time of the last heartbeat, unsolicited or as a response; null before the first one. */
  lastHeartbeatAt: number | null = null;
  /** Monotonic time of the last unsolicited heartbeat; null before the first one. */
  lastUnsolicitedHeartbeatAt: number | null = null;
  /** Monotonic time of the last proof that a request or answer of this controller arrived; null before the first one. */
  lastReachedAt: number | null = null;
  /**
   * The machine responds, but its worker reaches no controller: responses do not renew the worker's lease, so each task that
   * starts there is killed within one lease duration.
   */
  isPartitioned = false;
  /** Number of consecutive probes without a response. */
  missedProbes = 0;
  /** Monotonic time at which the first of these probes was sent; null without one. */
  firstMissedProbeAt: number | null = null;
  /** A probe has been sent, and its response is pending. */
  isProbeInFlight = false;
  /** Monotonic time of the last probe. */
  lastProbeAt = -Infinity;

  /** Whether the machine does not respond, even if it sends heartbeats: its lease will expire, and it gets no work. */
  get isUnresponsive(): boolean {
    return this.missedProbes >= MISSED_PROBE_LIMIT;
  }

  /** Records a heartbeat; an unsolicited one shows that the worker is not partitioned. */
  noteHeartbeat(now: number, isUnsolicited: boolean): void {
    this.lastHeartbeatAt = now;
    if (!isUnsolicited) return;
    this.lastUnsolicitedHeartbeatAt = now;
    this.isPartitioned = false;
  }

  /** Records proof that a message of this controller has arrived. */
  noteReached(now: number): void {
    this.lastReachedAt = now;
    this.missedProbes = 0;
    this.firstMissedProbeAt = null;
  }

  /** Records that a probe sent at `sentAt` got no response. */
  noteMissedProbe(sentAt: number): void {
    this.missedProbes++;
    this.firstMissedProbeAt ??= sentAt;
  }
}
