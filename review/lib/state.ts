/** A stand-in for the state service of PROTOCOL, with its limits. Each controller has an address of its own. */
import { JsonServer, type JsonReply, type JsonRequest } from './http.js';
import { sleep } from './record.js';

interface Row {
  value: unknown;
  stamp: number;
  hold: number | null;
}

interface Change {
  key: string;
  value: unknown;
  stamp: number;
  isRemoved: boolean;
}

/** A transaction in its wire form. */
export interface Transaction {
  When?: { K: string; Stamp: number }[];
  Then?: { Put?: string; Remove?: string; Value?: unknown; Hold?: number }[];
}

/** The limits of the settings. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

/** The service keeps the last 10,000 changes. */
const MAX_CHANGES = 10_000;
const MAX_ROWS = 1000;
const MAX_RANGE_BYTES = 512 * 1024;

/** A rate limit with bursts of one second's worth. */
class Allowance {
  private left: number;
  private at = performance.now();

  constructor(private readonly rate: number) {
    this.left = rate;
  }

  take(count: number): boolean {
    const now = performance.now();
    this.left = Math.min(this.rate, this.left + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

const compare = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** The state service. */
export class StateService {
  epoch = 1;
  readonly rows = new Map<string, Row>();
  private sortedKeys: string[] | null = null;
  private readonly changes: Change[] = [];
  private readonly holds = new Map<number, { ttl: number; endsAt: number }>();
  private nextHold = 7;
  private waiters: (() => void)[] = [];
  private readonly servers: JsonServer[] = [];
  private readonly requests: Allowance;
  private readonly writes: Allowance;
  private readonly timer: NodeJS.Timeout;
  /** Controllers whose requests get 503; `*`: all. */
  readonly refused = new Set<string>();
  /** Selects transactions that are neither carried out nor answered; null: none. */
  loses: ((label: string, transaction: Transaction) => boolean) | null = null;

  /** Carries out a transaction that got no answer. */
  applyLate(transaction: Transaction): number {
    return this.transact(transaction)?.status ?? 0;
  }
  /** Answers with 429, and malformed transactions. */
  limited = 0;
  malformed = 0;

  constructor(private readonly limits: StateLimits) {
    this.requests = new Allowance(limits.rps);
    this.writes = new Allowance(limits.writeRps);
    this.timer = setInterval(() => {
      this.endHolds();
    }, 20);
  }

  /** Opens an address for one controller. */
  async listenFor(label: string): Promise<string> {
    // A malformed request gets 400 (PROTOCOL); 64 KiB is a limit of transactions.
    const server = new JsonServer((request) => this.answer(label, request), 400);
    server.onTooLarge = () => {
      this.malformed++;
    };
    this.servers.push(server);
    return `127.0.0.1:${await server.listen()}`;
  }

  /** Stops. */
  close(): void {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  private isRefused(label: string): boolean {
    return this.refused.has(label) || this.refused.has('*');
  }

  private endHolds(): void {
    const now = performance.now();
    for (const [id, hold] of [...this.holds]) {
      // Once an outage is over, every lease has its full time again.
      if (this.refused.has('*')) hold.endsAt = now + hold.ttl;
      else if (hold.endsAt < now) this.endHold(id);
    }
  }

  private endHold(id: number): void {
    this.holds.delete(id);
    for (const [key, row] of [...this.rows]) if (row.hold === id) this.remove(key, ++this.epoch);
    this.wake();
  }

  private remove(key: string, stamp: number): void {
    this.rows.delete(key);
    this.sortedKeys = null;
    this.log({ key, value: null, stamp, isRemoved: true });
  }

  private log(change: Change): void {
    this.changes.push(change);
    if (this.changes.length > 2 * MAX_CHANGES) this.changes.splice(0, MAX_CHANGES);
  }

  private wake(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }

  /** Puts a key as a controller's transaction would. */
  put(key: string, value: unknown, stamp = ++this.epoch, hold: number | null = null): void {
    if (!this.rows.has(key)) this.sortedKeys = null;
    this.rows.set(key, { value, stamp, hold });
    this.log({ key, value, stamp, isRemoved: false });
  }

  private async answer(label: string, request: JsonRequest): Promise<JsonReply> {
    const { url, method, text } = request;
    if (url.pathname === '/changes') return this.watch(label, url);
    await sleep(0.002 + Math.random() * 0.004);
    if (this.isRefused(label)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return this.tooMany();
    if (url.pathname === '/multi') {
      const transaction = JSON.parse(text) as Transaction;
      return this.loses?.(label, transaction) === true ? null : this.transact(transaction);
    }
    const grant = /^\/grants(?:\/(\d+))?(\/extend)?$/.exec(url.pathname);
    if (grant !== null) return this.grant(method, grant, text);
    if (url.pathname === '/kv') return this.range(url);
    const key = decodeURIComponent(url.pathname.slice('/kv/'.length));
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: { Epoch: this.epoch } };
    return { status: 200, body: { K: key, Value: row.value, Stamp: row.stamp, Hold: row.hold } };
  }

  private tooMany(): JsonReply {
    this.limited++;
    return { status: 429, body: { error: 'too many' } };
  }

  private transact({ When = [], Then = [] }: Transaction): JsonReply {
    const { txnOps, valueKb } = this.limits;
    const isTooLarge = Then.some(
      ({ Value }) => Buffer.byteLength(JSON.stringify(Value ?? null)) > valueKb * 1024,
    );
    if (Then.length > txnOps || When.length > 4 * txnOps || isTooLarge) {
      this.malformed++;
      return { status: 400, body: { error: 'beyond a limit' } };
    }
    if (!this.writes.take(Then.length)) return this.tooMany();
    const isHeld = Then.every(({ Hold }) => typeof Hold !== 'number' || this.holds.has(Hold));
    if (!isHeld) return { status: 400, body: { error: 'no such lease' } };
    const failed = When.filter(({ K, Stamp }) => (this.rows.get(K)?.stamp ?? 0) !== Stamp);
    if (failed.length > 0) {
      return { status: 409, body: { failed: failed.map(({ K }) => K), Epoch: this.epoch } };
    }
    if (Then.length > 0) {
      const stamp = ++this.epoch;
      for (const { Put, Remove, Value, Hold } of Then) {
        if (Put !== undefined) this.put(Put, Value, stamp, Hold ?? null);
        else if (Remove !== undefined && this.rows.has(Remove)) this.remove(Remove, stamp);
      }
      this.wake();
    }
    return { status: 200, body: { Epoch: this.epoch } };
  }

  private grant(method: string, match: RegExpExecArray, text: string): JsonReply {
    const now = performance.now();
    if (match[1] === undefined) {
      const ttl = (JSON.parse(text) as { TtlMs: number }).TtlMs;
      const id = this.nextHold++;
      this.holds.set(id, { ttl, endsAt: now + ttl });
      return { status: 200, body: { Hold: id } };
    }
    const id = Number(match[1]);
    const hold = this.holds.get(id);
    if (hold === undefined) return { status: 404, body: { error: 'no such lease' } };
    if (method === 'DELETE') this.endHold(id);
    else hold.endsAt = now + hold.ttl;
    return { status: 200, body: { Hold: id } };
  }

  private range(url: URL): JsonReply {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = url.searchParams.get('From') ?? '';
    const page = Math.min(MAX_ROWS, Number(url.searchParams.get('Page') ?? MAX_ROWS));
    this.sortedKeys ??= [...this.rows.keys()].sort(compare);
    const keys = this.sortedKeys;
    let low = 0;
    let high = keys.length;
    const after = from > prefix ? from : prefix;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((keys[middle] ?? '') < after) low = middle + 1;
      else high = middle;
    }
    const rows: { K: string; Value: unknown; Stamp: number }[] = [];
    let bytes = 0;
    let more = false;
    for (let i = low; i < keys.length; i++) {
      const key = keys[i] ?? '';
      if (key === from) continue;
      if (!key.startsWith(prefix)) break;
      const row = this.rows.get(key);
      if (row === undefined) continue;
      bytes += Buffer.byteLength(JSON.stringify(row.value)) + key.length + 60;
      if (rows.length >= page || bytes > MAX_RANGE_BYTES) {
        more = true;
        break;
      }
      rows.push({ K: key, Value: row.value, Stamp: row.stamp });
    }
    return { status: 200, body: { Rows: rows, More: more, Epoch: this.epoch } };
  }

  private async watch(label: string, url: URL): Promise<JsonReply> {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = Number(url.searchParams.get('From'));
    const deadline = performance.now() + Math.min(60_000, Number(url.searchParams.get('HoldMs')));
    if (this.isRefused(label)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return this.tooMany();
    for (;;) {
      const remaining = deadline - performance.now();
      const oldest = this.changes[Math.max(0, this.changes.length - MAX_CHANGES)];
      if (this.changes.length >= MAX_CHANGES && oldest !== undefined && from < oldest.stamp - 1) {
        return { status: 410, body: { error: 'too old' } };
      }
      if (!this.isRefused(label)) {
        const found: Change[] = [];
        for (let i = this.changes.length - 1; i >= 0; i--) {
          const change = this.changes[i];
          if (change === undefined || change.stamp <= from) break;
          if (change.key.startsWith(prefix)) found.push(change);
        }
        if (found.length > 0 || remaining <= 0) return this.changeLog(found.reverse());
      }
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
        setTimeout(resolve, Math.max(20, Math.min(200, remaining)));
      });
    }
  }

  private changeLog(found: Change[]): JsonReply {
    const log = found.map(({ key, value, stamp, isRemoved }) =>
      isRemoved ? { Remove: key, Stamp: stamp } : { Put: key, Value: value, Stamp: stamp },
    );
    return { status: 200, body: { Epoch: this.epoch, Log: log } };
  }
}
