/** Limits a node's calls to a service to its rate, and divides that rate among the nodes. */
import type { Clock } from '../base/clock.js';

/** Time constant of the demand average, in seconds. */
const DEMAND_AVERAGE_SECONDS = 3;

/**
 * Priority of a request, highest first. `ownership`: leases and leader records, which all else depends on; `submission`: a
 * user waits for the answer; `rental`: machines that are paid for; `urgent`: starts and completions that users wait for;
 * `later`: bookkeeping.
 */
export type RequestPriority = 'ownership' | 'submission' | 'rental' | 'urgent' | 'later';

const PRIORITY_ORDER: Record<RequestPriority, number> = {
  ownership: 0,
  submission: 1,
  rental: 2,
  urgent: 3,
  later: 4,
};

/**
 * Shares of the rate that these priorities may use ahead of starts; beyond its share, a priority queues like `urgent`. Many
 * submissions, or many rentals without available machines, must not delay starts.
 */
const PRIORITY_SHARES: ReadonlyMap<RequestPriority, number> = new Map([
  ['submission', 1 / 2],
  ['rental', 1 / 4],
]);

/** A token bucket with a priority queue of waiting callers. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  /** Recently requested cost per second, decaying exponentially. */
  private demandRate = 0;
  private demandRateAt: number;
  /** Tokens left of each share; while they are below zero, that priority queues like `urgent`. */
  private readonly shareLevels = new Map<RequestPriority, number>();
  private readonly queue: { cost: number; order: number; resolve: () => void }[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly clock: Clock,
    private refillRate: number,
    private burst: number,
  ) {
    this.tokens = burst;
    for (const [priority, share] of PRIORITY_SHARES) this.shareLevels.set(priority, burst * share);
    this.refilledAt = clock.now();
    this.demandRateAt = this.refilledAt;
  }

  /** Requested cost per second, including queued requests. */
  get demand(): number {
    this.decayDemand();
    let waiting = 0;
    for (const { cost } of this.queue) waiting += cost;
    return this.demandRate + waiting / DEMAND_AVERAGE_SECONDS;
  }

  /** Changes the rate. The burst is one second's worth of tokens, so it follows the rate. */
  setRate(rate: number): void {
    this.refill();
    this.refillRate = rate;
    this.burst = rate;
    this.tokens = Math.min(this.tokens, rate);
  }

  private decayDemand(): void {
    const now = this.clock.now();
    this.demandRate *= Math.exp(-(now - this.demandRateAt) / DEMAND_AVERAGE_SECONDS);
    this.demandRateAt = now;
  }

  /** Permitted cost per second. */
  get rate(): number {
    return this.refillRate;
  }

  /** Number of queued callers. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Returns the seconds that a request of this priority would wait. */
  delay(priority: RequestPriority): number {
    this.refill();
    let ahead = 0;
    const ownOrder = this.orderOf(priority);
    for (const { cost, order } of this.queue) if (order <= ownOrder) ahead += cost;
    return Math.max(0, (ahead - this.tokens) / this.refillRate);
  }

  /** Resolves once a request of this cost may be sent. */
  acquire(cost: number, priority: RequestPriority): Promise<void> {
    this.decayDemand();
    this.refill();
    this.demandRate += cost / DEMAND_AVERAGE_SECONDS;
    const order = this.orderOf(priority);
    if (order === PRIORITY_ORDER[priority]) this.spendShare(priority, cost);
    return new Promise((resolve) => {
      const request = { cost, order, resolve };
      const position = this.queue.findIndex((queued) => queued.order > order);
      if (position >= 0) this.queue.splice(position, 0, request);
      else this.queue.push(request);
      this.admitQueued();
    });
  }

  private orderOf(priority: RequestPriority): number {
    const isBeyondShare = (this.shareLevels.get(priority) ?? 0) < 0;
    return PRIORITY_ORDER[isBeyondShare ? 'urgent' : priority];
  }

  private spendShare(priority: RequestPriority, cost: number): void {
    const level = this.shareLevels.get(priority);
    if (level !== undefined) this.shareLevels.set(priority, level - cost);
  }

  /** Charges the cost of a request that is sent without waiting; later requests wait longer for it. */
  charge(cost: number, priority: RequestPriority): void {
    this.refill();
    this.tokens -= cost;
    this.spendShare(priority, cost);
    this.decayDemand();
    this.demandRate += cost / DEMAND_AVERAGE_SECONDS;
  }

  /** Empties the bucket after the service reported that the rate was exceeded: other nodes use more than was assumed. */
  backOff(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.refillRate;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    for (const [priority, share] of PRIORITY_SHARES) {
      const level = this.shareLevels.get(priority) ?? 0;
      this.shareLevels.set(priority, Math.min(this.burst * share, level + gained * share));
    }
    this.refilledAt = now;
  }

  private admitQueued(): void {
    this.refill();
    for (;;) {
      const head = this.queue[0];
      if (head === undefined) return;
      // A request larger than the burst is sent when the bucket is full, and the token count becomes negative.
      const neededTokens = Math.min(head.cost, this.burst);
      if (this.tokens + 1e-9 < neededTokens) {
        this.timer ??= setTimeout(
          () => {
            this.timer = null;
            this.admitQueued();
          },
          Math.ceil(((neededTokens - this.tokens) / this.refillRate) * 1000) + 1,
        );
        return;
      }
      this.queue.shift();
      this.tokens -= head.cost;
      head.resolve();
    }
  }
}

/**
 * Returns this node's share of a rate that all nodes share: what the demands of the others leave. A node that demands more
 * than the even share counts with the even share, and so does a node whose demand is unknown. The result is at least half
 * of the even share, since the reported demands may be outdated.
 */
export function rateShareOf(total: number, nodeCount: number, demands: number[]): number {
  const evenShare = total / nodeCount;
  let remaining = total;
  for (let i = 0; i < nodeCount - 1; i++) remaining -= Math.min(evenShare, demands[i] ?? evenShare);
  return Math.max(evenShare / 2, remaining);
}
