/** This node's lease at the state service, which all its leader records are written under. */
import { MAX_CLOCK_DRIFT, type Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';
import type { StateClient } from '../../storage/stateClient.js';

/** How long a renewal waits for its answer, as a ratio to the lease. */
const RENEWAL_TIMEOUT_RATIO = 0.8;

/** Grants and renews the lease, and tells for how long it is valid by this node's own clock. */
export class StateLease {
  private activeId: number | null = null;
  private validUntil = -Infinity;

  /** `ttl`: seconds that the lease lasts. `onEnded`: the service says that the lease has ended. */
  constructor(
    private readonly client: Pick<StateClient, 'grantLease' | 'renewLease'>,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly ttl: number,
    private readonly onEnded: () => void,
  ) {}

  /** The lease's number at the state service; null while there is none. */
  get id(): number | null {
    return this.activeId;
  }

  /** Whether the lease is valid by this node's own clock, drift included. */
  get isValid(): boolean {
    return this.activeId !== null && this.clock.now() < this.validUntil;
  }

  /** Steady time at which the lease ends, or ended, unless it is renewed. */
  get expiresAt(): number {
    return this.validUntil;
  }

  /** Renews the lease, or asks for one where there is none. Rejects where the service gives no answer. */
  async renew(): Promise<void> {
    // Counted from when the renewal was sent: it can't have reached the service earlier.
    const sentAt = this.clock.now();
    const renewedId = this.activeId;
    if (renewedId === null) {
      this.activeId = await this.client.grantLease(this.ttl);
      this.validUntil = -Infinity;
    } else {
      const timeout = this.ttl * RENEWAL_TIMEOUT_RATIO;
      const isRenewed = await this.client.renewLease(renewedId, timeout);
      if (this.activeId !== renewedId) return;
      if (!isRenewed) {
        this.end();
        return;
      }
    }
    // Answers may overtake each other.
    this.validUntil = Math.max(this.validUntil, sentAt + this.ttl * (1 - MAX_CLOCK_DRIFT));
  }

  private end(): void {
    log.info('the lease at the state service has expired; giving up all shards');
    this.activeId = null;
    this.validUntil = -Infinity;
    this.onEnded();
  }
}
