/** Missed probes in a row from which on a machine counts as unresponsive. */
const UNRESPONSIVE_PROBES = 2;

/**
 * What heartbeats and probes show of the connection to a machine. Being heard is not being reachable: a heartbeat may be
 * a late copy, or come from a machine that gets no answer.
 */
export class Reachability {
  /** Steady time of the last heartbeat, unsolicited or as a response; null before the first one. */
  lastHeartbeatAt: number | null = null;
  /** Steady time of the last heartbeat that the worker sent by itself. */
  lastUnsolicitedHeartbeatAt: number | null = null;
  /** Steady time of the last proof that a request or answer of ours arrived; null before the first. */
  lastReachedAt: number | null = null;
  /**
   * It responds, but its worker reaches no controller: responses do not renew the worker's lease, so
   * whatever starts there is killed within one.
   */
  isPartitioned = false;
  /** Probes in a row that got no response. */
  missedProbes = 0;
  /** Steady time at which the first of them was sent. */
  firstMissedProbeAt: number | null = null;
  /** A probe is waiting for its response. */
  isProbeInFlight = false;
  /** Steady time of the last probe. */
  lastProbeAt = -Infinity;

  /** It sends heartbeats, perhaps, but does not respond: its lease is running out, and it gets no work. */
  get isUnresponsive(): boolean {
    return this.missedProbes >= UNRESPONSIVE_PROBES;
  }

  /** Records a heartbeat; one that the worker sent by itself shows that it is not partitioned. */
  noteHeartbeat(now: number, isUnsolicited: boolean): void {
    this.lastHeartbeatAt = now;
    if (!isUnsolicited) return;
    this.lastUnsolicitedHeartbeatAt = now;
    this.isPartitioned = false;
  }

  /** Records the proof that something of ours has arrived. */
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
