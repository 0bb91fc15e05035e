/** What a node may ask of a service that limits its rate, and how nodes share that. */
import type { Clock } from '../base/clock.js';

/** Seconds over which need is averaged. */
const MEMORY = 3;

/**
 * Who goes first. `ownership`: without it nothing else counts; `submission`: a user waits for the answer;
 * `rental`: machines that are paid for; `urgent`: starts and ends that somebody waits for; `later`: bookkeeping.
 */
export type RequestPriority = 'ownership' | 'submission' | 'rental' | 'urgent' | 'later';

const ORDER: Record<RequestPriority, number> = {
  ownership: 0,
  submission: 1,
  rental: 2,
  urgent: 3,
  later: 4,
};

/**
 * Of the rate, what these may take ahead of starts; beyond it they queue with them. A flood of submissions, or of
 * rentals that find nothing, must not keep starts waiting.
 */
const SHARES: ReadonlyMap<RequestPriority, number> = new Map([
  ['submission', 1 / 2],
  ['rental', 1 / 4],
]);

/** A bucket of tokens, refilled at a rate; callers wait their turn. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  /** Cost asked for lately, a second; forgets over a few seconds. */
  private demandRate = 0;
  private demandRateAt: number;
  /** What is left of each share; below zero, they queue like other urgent work. */
  private readonly shareLevels = new Map<RequestPriority, number>();
  private readonly queue: { cost: number; order: number; go: () => void }[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly clock: Clock,
    private refillRate: number,
    private burst: number,
  ) {
    this.tokens = burst;
    for (const [priority, share] of SHARES) this.shareLevels.set(priority, burst * share);
    this.refilledAt = clock.now();
    this.demandRateAt = this.refilledAt;
  }

  /** Cost a second that is being asked for, what waits included. */
  get demand(): number {
    this.forget();
    let waiting = 0;
    for (const { cost } of this.queue) waiting += cost;
    return this.demandRate + waiting / MEMORY;
  }

  /** Bursts of a second's worth are allowed, so the burst follows the rate. */
  setRate(rate: number): void {
    this.refill();
    this.refillRate = rate;
    this.burst = rate;
    this.tokens = Math.min(this.tokens, rate);
  }

  private forget(): void {
    const now = this.clock.now();
    this.demandRate *= Math.exp(-(now - this.demandRateAt) / MEMORY);
    this.demandRateAt = now;
  }

  /** Cost a second that is granted. */
  get rate(): number {
    return this.refillRate;
  }

  /** Callers that wait for their turn. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Seconds until something of this urgency would get its turn. */
  delay(priority: RequestPriority): number {
    this.refill();
    let ahead = 0;
    const own = this.orderOf(priority);
    for (const { cost, order } of this.queue) if (order <= own) ahead += cost;
    return Math.max(0, (ahead - this.tokens) / this.refillRate);
  }

  /** Resolves when it is the turn of a request of this cost. */
  acquire(cost: number, priority: RequestPriority): Promise<void> {
    this.forget();
    this.refill();
    this.demandRate += cost / MEMORY;
    const order = this.orderOf(priority);
    if (order === ORDER[priority]) this.spendShare(priority, cost);
    return new Promise((go) => {
      const entry = { cost, order, go };
      const at = this.queue.findIndex((e) => e.order > order);
      if (at >= 0) this.queue.splice(at, 0, entry);
      else this.queue.push(entry);
      this.drain();
    });
  }

  private orderOf(priority: RequestPriority): number {
    const isBeyondShare = (this.shareLevels.get(priority) ?? 0) < 0;
    return ORDER[isBeyondShare ? 'urgent' : priority];
  }

  private spendShare(priority: RequestPriority, cost: number): void {
    const level = this.shareLevels.get(priority);
    if (level !== undefined) this.shareLevels.set(priority, level - cost);
  }

  /** What goes along with somebody whose turn it is; the next wait for it. */
  charge(cost: number, priority: RequestPriority): void {
    this.refill();
    this.tokens -= cost;
    this.spendShare(priority, cost);
    this.forget();
    this.demandRate += cost / MEMORY;
  }

  /** The other side says that the rate was passed: the others use more than we thought. */
  backOff(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.refillRate;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    for (const [priority, share] of SHARES) {
      const level = this.shareLevels.get(priority) ?? 0;
      this.shareLevels.set(priority, Math.min(this.burst * share, level + gained * share));
    }
    this.refilledAt = now;
  }

  private drain(): void {
    this.refill();
    for (;;) {
      const head = this.queue[0];
      if (head === undefined) return;
      // A request larger than the burst goes when the bucket is full, and leaves a debt.
      const need = Math.min(head.cost, this.burst);
      if (this.tokens + 1e-9 < need) {
        this.timer ??= setTimeout(
          () => {
            this.timer = null;
            this.drain();
          },
          Math.ceil(((need - this.tokens) / this.refillRate) * 1000) + 1,
        );
        return;
      }
      this.queue.shift();
      this.tokens -= head.cost;
      head.go();
    }
  }
}

/**
 * This node's part of a rate that all share. What the others leave is ours; one that needs more than
 * its even share counts with no more than that, and so does one that has not been heard. Never less
 * than half of the even share: what the others said may be old.
 */
export function rateShareOf(total: number, sharers: number, needs: number[]): number {
  const even = total / sharers;
  let left = total;
  for (let i = 0; i < sharers - 1; i++) left -= Math.min(even, needs[i] ?? even);
  return Math.max(even / 2, left);
}
