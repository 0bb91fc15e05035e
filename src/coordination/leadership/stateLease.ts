/** This node's lease at the state service; all its leader records are attached to it. */
import { MAX_CLOCK_DRIFT, type Clock } from '../../base/clock.js';
import { log } from '../../base/log.js';
import type { StateClient } from '../../storage/stateClient.js';

/** Timeout of a renewal, as a ratio to the duration of the lease. */
const RENEWAL_TIMEOUT_RATIO = 0.8;

/** Obtains and renews the lease, and tracks until when it is valid by this node's own clock. */
export class StateLease {
  private activeId: number | null = null;
  private validUntil = -Infinity;

  /** `ttl` is the duration of the lease in seconds; `onEnded` is called when the state service reports its expiry. */
  constructor(
    private readonly client: Pick<StateClient, 'grantLease' | 'renewLease'>,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly ttl: number,
    private readonly onEnded: () => void,
  ) {}

  /** Id of the lease at the state service; null while there is none. */
  get id(): number | null {
    return this.activeId;
  }

  /** Whether the lease is valid by this node's own clock, with a margin for drift. */
  get isValid(): boolean {
    return this.activeId !== null && this.clock.now() < this.validUntil;
  }

  /** Monotonic time at which the lease expires, or has expired, unless it is renewed. */
  get expiresAt(): number {
    return this.validUntil;
  }

  /** Renews the lease, or requests one if there is none. Rejects if the service does not answer. */
  async renew(): Promise<void> {
    // The lease counts from when the request was sent: the service cannot have received it earlier.
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
    // Answers to overlapping renewals may arrive out of order.
    this.validUntil = Math.max(this.validUntil, sentAt + this.ttl * (1 - MAX_CLOCK_DRIFT));
  }

  private end(): void {
    log.info('the lease at the state service has expired; all shards are lost');
    this.activeId = null;
    this.validUntil = -Infinity;
    this.onEnded();
  }
}
