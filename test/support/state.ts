/** A stand-in for the state service: as much of PROTOCOL as the tests use. */
import { HttpServer, type Reply } from '../../src/transport/httpServer.js';
import type { HttpMessage } from '../../src/transport/httpParser.js';
import { maybeDeliverDuplicate, type MessageDuplication } from './messageDuplication.js';

interface Row {
  value: unknown;
  revision: number;
  hold: number | null;
}
interface Event {
  key: string;
  value: unknown;
  revision: number;
  removed: boolean;
}
/** The body of a transaction. */
export interface TransactionBody {
  When?: { K: string; Stamp: number }[];
  Then?: { Put?: string; Remove?: string; Value?: unknown; Hold?: number }[];
}

const never = new Promise<Reply>(() => undefined);

export class StateStandIn {
  revision = 1;
  readonly rows = new Map<string, Row>();
  private readonly log: Event[] = [];
  private readonly holds = new Map<number, { ttl: number; ends: number }>();
  private nextHold = 1;
  private waiters: (() => void)[] = [];
  private readonly servers: HttpServer[] = [];
  /** Clients that get 503; '*' means everybody. */
  readonly refusedClients = new Set<string>();
  /** Transactions for which this says yes are kept back and get no answer. */
  withholds: ((body: TransactionBody) => boolean) | null = null;
  readonly withheldTransactions: TransactionBody[] = [];
  /** Copies of answered transactions and lease calls; null: there are none. */
  duplication: MessageDuplication | null = null;
  /** Seconds that answers to a client take; `*` means everybody. */
  readonly answerDelays = new Map<string, number>();
  /**
   * Waited for between the moment at which an answer is worked out and that at which it leaves: until then others may
   * change what it tells. Null: answers leave at once.
   */
  beforeAnswer: ((client: string, request: HttpMessage) => Promise<void>) | null = null;
  /** Clients whose watches are told of nothing. */
  readonly stalledWatchClients = new Set<string>();
  writeCount = 0;
  /** Beyond these a transaction is malformed; they may fall while it serves. */
  limits = { valueBytes: Infinity, txnOps: Infinity };
  /** Transactions beyond the limits. */
  malformedCount = 0;
  /** Keys that were read one by one. */
  readonly readKeys: string[] = [];

  /** One listener for each client, so that a single one can be refused. */
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

  private expire(): void {
    const now = performance.now();
    if (this.refusedClients.has('*')) {
      for (const hold of this.holds.values()) hold.ends = now + hold.ttl;
      return;
    }
    for (const [id, hold] of [...this.holds]) if (hold.ends < now) this.endLease(id);
  }

  endLease(id: number): void {
    this.holds.delete(id);
    for (const [key, row] of [...this.rows]) {
      if (row.hold === id) this.change(key, null, null, ++this.revision, true);
    }
    this.wake();
  }

  private change(
    key: string,
    value: unknown,
    hold: number | null,
    revision: number,
    removed: boolean,
  ): void {
    this.writeCount++;
    if (removed) this.rows.delete(key);
    else this.rows.set(key, { value, revision, hold });
    this.log.push({ key, value, revision, removed });
  }

  private wake(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }

  /** Applies a transaction as the service would, also one that was kept back. */
  apply(body: TransactionBody): Reply {
    this.expire();
    if (this.isBeyondLimits(body)) {
      this.malformedCount++;
      return { status: 400, body: { error: 'too large' } };
    }
    const failed = (body.When ?? [])
      .filter((c) => (this.rows.get(c.K)?.revision ?? 0) !== c.Stamp)
      .map((c) => c.K);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.revision } };
    for (const op of body.Then ?? []) {
      if (op.Hold !== undefined && !this.holds.has(op.Hold)) {
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

  private isBeyondLimits({ When = [], Then = [] }: TransactionBody): boolean {
    const { valueBytes, txnOps } = this.limits;
    if (Then.length > txnOps || When.length > txnOps * 4) return true;
    return Then.some(({ Value }) => Buffer.byteLength(JSON.stringify(Value ?? null)) > valueBytes);
  }

  private async answer(client: string, request: HttpMessage): Promise<Reply> {
    const reply = await this.carryOut(client, request);
    await this.beforeAnswer?.(client, request);
    return reply;
  }

  private async carryOut(client: string, request: HttpMessage): Promise<Reply> {
    const url = new URL(request.target, 'http://state');
    if (url.pathname === '/changes') return this.watch(client, url);
    const slow = Math.max(this.answerDelays.get(client) ?? 0, this.answerDelays.get('*') ?? 0);
    if (slow > 0) await new Promise((resolve) => setTimeout(resolve, slow * 1000));
    if (this.refusedClients.has(client) || this.refusedClients.has('*'))
      return { status: 503, body: {} };
    this.expire();
    if (url.pathname === '/multi') {
      const body = JSON.parse(request.body) as TransactionBody;
      if (this.withholds?.(body) === true) {
        this.withheldTransactions.push(body);
        return never;
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
    const id = this.nextHold++;
    this.holds.set(id, { ttl, ends: performance.now() + ttl });
    this.expireAfter(ttl);
    return { status: 200, body: { Hold: id } };
  }

  private extend(id: number): Reply {
    const hold = this.holds.get(id);
    if (hold === undefined) return { status: 404, body: {} };
    hold.ends = performance.now() + hold.ttl;
    this.expireAfter(hold.ttl);
    return { status: 200, body: {} };
  }

  private expireAfter(ttl: number): void {
    setTimeout(() => {
      this.expire();
    }, ttl + 20).unref();
  }

  private range(url: URL): Reply {
    const prefix = url.searchParams.get('Under') ?? '';
    const after = url.searchParams.get('From') ?? '';
    const page = Number(url.searchParams.get('Page'));
    const names = [...this.rows.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const rows = names.slice(0, page).map((k) => {
      const row = this.rows.get(k);
      return { K: k, Value: row?.value, Stamp: row?.revision };
    });
    return { status: 200, body: { Rows: rows, More: names.length > page, Epoch: this.revision } };
  }

  private async watch(client: string, url: URL): Promise<Reply> {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = Number(url.searchParams.get('From'));
    const ends = performance.now() + Number(url.searchParams.get('HoldMs'));
    for (;;) {
      const refused = this.refusedClients.has(client) || this.refusedClients.has('*');
      const events = this.log.filter((e) => e.revision > from && e.key.startsWith(prefix));
      const left = ends - performance.now();
      const isTold = !refused && !this.stalledWatchClients.has(client);
      if (isTold && (events.length > 0 || left <= 0)) {
        const changes = events.map((e) =>
          e.removed
            ? { Remove: e.key, Stamp: e.revision }
            : { Put: e.key, Value: e.value, Stamp: e.revision },
        );
        return { status: 200, body: { Epoch: this.revision, Log: changes } };
      }
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
        setTimeout(resolve, Math.max(20, Math.min(100, left))).unref();
      });
    }
  }
}
