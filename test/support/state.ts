/** A stand-in for the state service: the part of PROTOCOL that the tests use. */
import { HttpServer, type Reply } from '../../src/transport/httpServer.js';
import type { HttpMessage } from '../../src/transport/httpParser.js';
import { maybeDeliverDuplicate, type MessageDuplication } from './messageDuplication.js';

interface Row {
  value: unknown;
  revision: number;
  /** The lease at whose end the row is removed; null: none. */
  leaseId: number | null;
}
/** A change, as watches deliver it. */
interface Event {
  key: string;
  value: unknown;
  revision: number;
  isRemoved: boolean;
}
/** The body of a transaction, in its wire form. */
export interface TransactionBody {
  When?: { K: string; Stamp: number }[];
  Then?: { Put?: string; Remove?: string; Value?: unknown; Hold?: number }[];
}

/** Maximum bytes of a transaction (PROTOCOL). */
const MAX_TRANSACTION_BYTES = 64 * 1024;

const NO_ANSWER = new Promise<Reply>(() => undefined);

export class StateStandIn {
  revision = 1;
  readonly rows = new Map<string, Row>();
  private readonly log: Event[] = [];
  /** Leases by id, with times in milliseconds. */
  private readonly leases = new Map<number, { ttl: number; expiresAt: number }>();
  private nextLeaseId = 1;
  /** Callbacks that wake waiting watches. */
  private waiters: (() => void)[] = [];
  private readonly servers: HttpServer[] = [];
  /** Clients whose requests get 503; `*` stands for all. */
  readonly refusedClients = new Set<string>();
  /** Selects transactions that are not applied and get no answer; null: none. */
  withholds: ((body: TransactionBody) => boolean) | null = null;
  /** The selected transactions; tests may apply them later. */
  readonly withheldTransactions: TransactionBody[] = [];
  /** Delivers duplicates of answered transactions and lease calls; null: none. */
  duplication: MessageDuplication | null = null;
  /** Seconds before a request of a client is handled, other than its watches; `*` stands for all. */
  readonly answerDelays = new Map<string, number>();
  /** Awaited before a computed answer is sent: the answer may be outdated by then. Null: answers are sent at once. */
  beforeAnswer: ((client: string, request: HttpMessage) => Promise<void>) | null = null;
  /** Clients whose watches deliver nothing. */
  readonly stalledWatchClients = new Set<string>();
  /** Counts changes of keys. */
  writeCount = 0;
  /** Transactions beyond these limits are malformed; tests may lower them at any time. */
  limits = { valueBytes: Infinity, txnOps: Infinity };
  /** Counts transactions beyond the limits. */
  malformedCount = 0;
  /** Keys of single reads, in order. */
  readonly readKeys: string[] = [];

  /** Opens a listener for one client, so that requests can be told apart by client. */
  async listenFor(client: string): Promise<string> {
    const server = new HttpServer((request) => this.answer(client, request), {
      bodyLimit: 1 << 20,
      maxConnections: 1000,
      maxInFlight: 1000,
      requestTimeout: 60,
      idleTimeout: 60,
    });
    this.servers.push(server);
    return `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}`;
  }

  close(): void {
    for (const server of this.servers) server.close();
    this.wake();
  }

  /** Ends expired leases. In an outage that affects all clients, leases do not expire. */
  private endExpiredLeases(): void {
    const now = performance.now();
    if (this.refusedClients.has('*')) {
      for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttl;
      return;
    }
    for (const [id, lease] of [...this.leases]) if (lease.expiresAt < now) this.endLease(id);
  }

  /** Ends a lease, and removes the rows that are bound to it. */
  endLease(id: number): void {
    this.leases.delete(id);
    for (const [key, row] of [...this.rows]) {
      if (row.leaseId === id) this.change(key, null, null, ++this.revision, true);
    }
    this.wake();
  }

  private change(
    key: string,
    value: unknown,
    leaseId: number | null,
    revision: number,
    isRemoved: boolean,
  ): void {
    this.writeCount++;
    if (isRemoved) this.rows.delete(key);
    else this.rows.set(key, { value, revision, leaseId });
    this.log.push({ key, value, revision, isRemoved });
  }

  private wake(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }

  /** Applies a transaction, such as a withheld one. */
  apply(body: TransactionBody): Reply {
    this.endExpiredLeases();
    if (this.isBeyondLimits(body)) {
      this.malformedCount++;
      return { status: 400, body: { error: 'too large' } };
    }
    const failed = (body.When ?? [])
      .filter((c) => (this.rows.get(c.K)?.revision ?? 0) !== c.Stamp)
      .map((c) => c.K);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.revision } };
    for (const op of body.Then ?? []) {
      if (op.Hold !== undefined && !this.leases.has(op.Hold)) {
        return { status: 400, body: { error: 'no such lease' } };
      }
    }
    if ((body.Then ?? []).length === 0) return { status: 200, body: { Epoch: this.revision } };
    const revision = ++this.revision;
    for (const op of body.Then ?? []) {
      if (op.Put !== undefined) this.change(op.Put, op.Value, op.Hold ?? null, revision, false);
      else if (op.Remove !== undefined && this.rows.has(op.Remove)) {
        this.change(op.Remove, null, null, revision, true);
      }
    }
    this.wake();
    return { status: 200, body: { Epoch: revision } };
  }

  private isBeyondLimits(body: TransactionBody): boolean {
    const { When = [], Then = [] } = body;
    const { valueBytes, txnOps } = this.limits;
    if (Buffer.byteLength(JSON.stringify(body)) > MAX_TRANSACTION_BYTES) return true;
    if (Then.length > txnOps || When.length > txnOps * 4) return true;
    return Then.some(({ Value }) => Buffer.byteLength(JSON.stringify(Value ?? null)) > valueBytes);
  }

  private async answer(client: string, request: HttpMessage): Promise<Reply> {
    const reply = await this.execute(client, request);
    await this.beforeAnswer?.(client, request);
    return reply;
  }

  private async execute(client: string, request: HttpMessage): Promise<Reply> {
    const url = new URL(request.target, 'http://state');
    if (url.pathname === '/changes') return this.watch(client, url);
    const delay = Math.max(this.answerDelays.get(client) ?? 0, this.answerDelays.get('*') ?? 0);
    if (delay > 0) await new Promise((resolve) => setTimeout(resolve, delay * 1000));
    if (this.refusedClients.has(client) || this.refusedClients.has('*'))
      return { status: 503, body: {} };
    this.endExpiredLeases();
    if (url.pathname === '/multi') {
      const body = JSON.parse(request.body) as TransactionBody;
      if (this.withholds?.(body) === true) {
        this.withheldTransactions.push(body);
        return NO_ANSWER;
      }
      maybeDeliverDuplicate(this.duplication, () => this.apply(body));
      return this.apply(body);
    }
    if (url.pathname === '/grants') {
      const ttl = (JSON.parse(request.body) as { TtlMs: number }).TtlMs;
      maybeDeliverDuplicate(this.duplication, () => this.grant(ttl));
      return this.grant(ttl);
    }
    const extend = /^\/grants\/(\d+)\/extend$/.exec(url.pathname);
    if (extend !== null) {
      maybeDeliverDuplicate(this.duplication, () => this.extend(Number(extend[1])));
      return this.extend(Number(extend[1]));
    }
    if (url.pathname === '/kv') return this.range(url);
    const key = url.pathname.slice('/kv/'.length);
    this.readKeys.push(key);
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: { Epoch: this.revision } };
    return { status: 200, body: { K: key, Value: row.value, Stamp: row.revision } };
  }

  private grant(ttl: number): Reply {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttl, expiresAt: performance.now() + ttl });
    this.scheduleExpiry(ttl);
    return { status: 200, body: { Hold: id } };
  }

  private extend(id: number): Reply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    lease.expiresAt = performance.now() + lease.ttl;
    this.scheduleExpiry(lease.ttl);
    return { status: 200, body: {} };
  }

  private scheduleExpiry(ttl: number): void {
    setTimeout(() => {
      this.endExpiredLeases();
    }, ttl + 20).unref();
  }

  private range(url: URL): Reply {
    const prefix = url.searchParams.get('Under') ?? '';
    const after = url.searchParams.get('From') ?? '';
    const page = Number(url.searchParams.get('Page'));
    const keys = [...this.rows.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const rows = keys.slice(0, page).map((k) => {
      const row = this.rows.get(k);
      return { K: k, Value: row?.value, Stamp: row?.revision };
    });
    return { status: 200, body: { Rows: rows, More: keys.length > page, Epoch: this.revision } };
  }

  private async watch(client: string, url: URL): Promise<Reply> {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = Number(url.searchParams.get('From'));
    const deadline = performance.now() + Number(url.searchParams.get('HoldMs'));
    for (;;) {
      const isRefused = this.refusedClients.has(client) || this.refusedClients.has('*');
      const events = this.log.filter((e) => e.revision > from && e.key.startsWith(prefix));
      const remaining = deadline - performance.now();
      const isServed = !isRefused && !this.stalledWatchClients.has(client);
      if (isServed && (events.length > 0 || remaining <= 0)) {
        const changes = events.map((e) =>
          e.isRemoved
            ? { Remove: e.key, Stamp: e.revision }
            : { Put: e.key, Value: e.value, Stamp: e.revision },
        );
        return { status: 200, body: { Epoch: this.revision, Log: changes } };
      }
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
        setTimeout(resolve, Math.max(20, Math.min(100, remaining))).unref();
      });
    }
  }
}
