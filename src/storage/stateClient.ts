/** Client of the state service: reads, watches, leases and transactions, within this node's share of the rate. */
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { log } from '../base/log.js';
import { HttpCallError, type HttpClient, type Response } from '../transport/httpClient.js';
import * as wire from '../protocol/stateProtocol.js';
import { RateLimiter, rateShareOf, type RequestPriority } from './rateLimiter.js';
import { isFragmentKey, joinFragments, fragmentCount } from './fragments.js';
import { CorruptRecordError } from './recordCodec.js';
import { formOf, type RecordFormat, type StoredForm } from './recordFormat.js';
import { keys } from './records.js';

/** The state service could not be reached, or refused: the call may or may not have had an effect. */
export class StateServiceUnavailableError extends Error {}

/** The state service gave an answer that does not conform to its protocol. */
class UnexpectedAnswerError extends StateServiceUnavailableError {
  constructor() {
    super('the state service gave an unexpected answer');
  }
}

/** Outcome of a transaction. */
export type TransactionResult =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  /** No answer: the transaction may have been applied, or may still be. */
  | { kind: 'unknown' }
  | { kind: 'refused' }
  /** A put named a lease that has expired. */
  | { kind: 'no-lease' }
  /** Malformed, or beyond a limit: the service will never apply it as it is. */
  | { kind: 'malformed' };

/** The state service and its rate limits. Times are in seconds, rates per second. */
export interface StateClientOptions {
  endpoint: string;
  rate: number;
  writeRate: number;
  /** How many nodes share the rates. */
  nodeCount: number;
  timeout: number;
}

/** How a transaction stored a record. */
interface WrittenRecord {
  key: string;
  fragments: number;
  form: StoredForm;
}

/** Attempts to read a record in fragments that others change between the reads of its fragments. */
const FRAGMENT_READ_ATTEMPTS = 5;

/** Text in the state service's answer to a put under a lease that has expired. */
const NO_LEASE = 'no such lease';

/** Share of the rate limits that is divided among the nodes; the rest covers outdated reports of other nodes' demand. */
const RATE_SAFETY_FACTOR = 0.92;

/** This node's calls to the state service, within its share of the rate. */
export class StateClient {
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  /** Monotonic time of the last answer that was not a refusal. */
  lastServedAt = -Infinity;
  /** Monotonic time of the last refusal or failed call. */
  lastFailedAt = -Infinity;
  /** Number of fragments of each record when it was last read or written, if any. */
  private readonly fragmentCounts = new Map<string, number>();
  /** Forms of the records that are not stored as `plain`, when they were last read or written. */
  private readonly forms = new Map<string, StoredForm>();
  /** Keys of records that could not be read, and why. */
  readonly unreadable = new Map<string, string>();

  constructor(
    private readonly http: Pick<HttpClient, 'call'>,
    private readonly clock: Clock,
    private readonly options: StateClientOptions,
    private readonly recordFormat: RecordFormat,
  ) {
    const { rate, writeRate, nodeCount } = options;
    this.requests = new RateLimiter(clock, rate / nodeCount, rate / nodeCount);
    this.writes = new RateLimiter(clock, writeRate / nodeCount, writeRate / nodeCount);
  }

  /** This node's demand on the service, per second. */
  get demand(): { requests: number; writes: number } {
    return { requests: this.requests.demand, writes: this.writes.demand };
  }

  /** Sets this node's share of the rates; `needs` are the recently reported demands of other nodes. */
  updateRateShare(needs: { requests: number; writes: number }[]): void {
    const { rate, writeRate, nodeCount } = this.options;
    const requests = needs.map((n) => n.requests);
    const writes = needs.map((n) => n.writes);
    this.requests.setRate(rateShareOf(rate * RATE_SAFETY_FACTOR, nodeCount, requests));
    this.writes.setRate(rateShareOf(writeRate * RATE_SAFETY_FACTOR, nodeCount, writes));
  }

  /** This node's current share of the write rate, in writes per second. */
  get writeRate(): number {
    return this.writes.rate;
  }

  /** This node's write demand, as a ratio to its share of the write rate. */
  get writeLoad(): number {
    return this.writes.demand / this.writes.rate;
  }

  /** Returns the seconds that a write of this priority would wait for the rate limit. */
  writeDelay(priority: RequestPriority): number {
    return this.writes.delay(priority);
  }

  /** Number of requests and writes that wait for the rate limit. */
  get backlog(): number {
    return this.requests.queueLength + this.writes.queueLength;
  }

  /** Whether the last call was answered and not refused. */
  get isHealthy(): boolean {
    return this.lastServedAt > this.lastFailedAt;
  }

  private async call(
    method: string,
    target: string,
    body: unknown,
    timeout = this.options.timeout,
  ): Promise<Response> {
    try {
      const response = await this.http.call(this.options.endpoint, method, target, body, timeout);
      if (response.status === 503) this.lastFailedAt = this.clock.now();
      else this.lastServedAt = this.clock.now();
      return response;
    } catch (error) {
      this.lastFailedAt = this.clock.now();
      throw error;
    }
  }

  /** Sends a read or a lease request, and retries it after a 429. */
  private async send(
    method: string,
    target: string,
    body?: unknown,
    timeout?: number,
  ): Promise<Response> {
    for (let attempt = 0; ; attempt++) {
      await this.requests.acquire(1, method === 'POST' ? 'ownership' : 'urgent');
      let response: Response;
      try {
        response = await this.call(method, target, body, timeout);
      } catch (error) {
        throw toUnavailableError(error);
      }
      if (response.status === 503) throw new StateServiceUnavailableError('request refused (503)');
      if (response.status !== 429) return response;
      this.requests.backOff();
      if (attempt >= 3) throw new StateServiceUnavailableError('rate limit exceeded (429)');
      await sleep(0.1 * (attempt + 1));
    }
  }

  /** Reads a record and joins its fragments. */
  async get(key: string): Promise<wire.KeyValue | null> {
    for (let attempt = 0; attempt < FRAGMENT_READ_ATTEMPTS; attempt++) {
      const head = await this.getRow(key);
      if (head === null) return null;
      const indices = Array.from({ length: fragmentCount(head.value) }, (_, i) => i + 1);
      const fragments = await Promise.all(indices.map((i) => this.getRow(keys.fragment(key, i))));
      const item = this.join(head, fragments);
      if (item !== null) return item;
    }
    throw new StateServiceUnavailableError(
      'a record kept changing between the reads of its fragments',
    );
  }

  private async getRow(key: string): Promise<wire.KeyValue | null> {
    const response = await this.send('GET', wire.paths.key(key));
    if (response.status === 404) return null;
    const item = wire.parseKeyValue(response.body);
    if (response.status !== 200 || item === null) throw new UnexpectedAnswerError();
    return item;
  }

  /** Joins a head and its fragments. Returns null if they are not all of one revision. */
  private join(
    head: wire.KeyValue,
    fragments: (wire.KeyValue | null | undefined)[],
  ): wire.KeyValue | null {
    const { key, revision } = head;
    if (fragments.some((fragment) => fragment?.revision !== revision)) return null;
    const joined = joinFragments(
      head.value,
      fragments.map((fragment) => fragment?.value),
    );
    this.noteFragmentCount(key, fragments.length);
    this.noteForm(key, formOf(key, head.value, joined));
    return { key, value: this.decode(key, joined), revision };
  }

  private decode(key: string, joined: unknown): unknown {
    try {
      const value = this.recordFormat.decode(key, joined);
      this.unreadable.delete(key);
      return value;
    } catch (error) {
      if (error instanceof CorruptRecordError) this.noteUnreadable(error);
      throw error;
    }
  }

  /** Whether any record under a prefix cannot be read. */
  hasUnreadable(prefix: string): boolean {
    for (const key of this.unreadable.keys()) if (key.startsWith(prefix)) return true;
    return false;
  }

  private noteUnreadable({ key, reason, message }: CorruptRecordError): void {
    if (!this.unreadable.has(key)) log.error(message);
    this.unreadable.set(key, reason);
  }

  private noteFragmentCount(key: string, count: number): void {
    if (count > 0) this.fragmentCounts.set(key, count);
    else this.fragmentCounts.delete(key);
  }

  private noteForm(key: string, form: StoredForm): void {
    if (form === 'plain') this.forms.delete(key);
    else this.forms.set(key, form);
  }

  /** Returns the keys of records that had this form when they were last read or written here, sorted. */
  keysOfForm(form: StoredForm): string[] {
    const matching: string[] = [];
    for (const [key, storedForm] of this.forms) if (storedForm === form) matching.push(key);
    return matching.sort();
  }

  /** Reads all records under a prefix. Each is at least as recent as the returned revision. */
  async readRange(prefix: string): Promise<{ items: wire.KeyValue[]; revision: number }> {
    const { rows, revision } = await this.readRows(prefix);
    return { items: await this.joinAll(rows), revision };
  }

  private async readRows(
    prefix: string,
  ): Promise<{ rows: Map<string, wire.KeyValue>; revision: number }> {
    const rows = new Map<string, wire.KeyValue>();
    let revision: number | null = null;
    for (let after = '', more = true; more;) {
      const target = wire.paths.range(prefix, after, wire.RANGE_PAGE_SIZE);
      const response = await this.send('GET', target, undefined, this.options.timeout * 3);
      const page = wire.parseRange(response.body);
      if (response.status !== 200 || page === null) throw new UnexpectedAnswerError();
      for (const item of page.items) rows.set(item.key, item);
      revision ??= page.revision;
      const last = page.items[page.items.length - 1];
      more = page.more && last !== undefined;
      after = last?.key ?? '';
    }
    return { rows, revision: revision ?? 0 };
  }

  /** Reads the keys of records that are stored in this form from the state service, not from memory; sorted. */
  async readKeysOfForm(prefix: string, form: StoredForm): Promise<string[]> {
    const { rows } = await this.readRows(prefix);
    const matching: string[] = [];
    for (const row of rows.values()) {
      if (isFragmentKey(row.key)) continue;
      const fragments = fragmentsOf(row, (key) => rows.get(key));
      // The record was written between two pages, so its current form is read separately.
      const isTorn = fragments.some((fragment) => fragment?.revision !== row.revision);
      if (isTorn) await this.get(row.key);
      const current = isTorn ? (this.forms.get(row.key) ?? 'plain') : formOfRows(row, fragments);
      if (current === form) matching.push(row.key);
    }
    return matching;
  }

  /** Joins the records of many rows; a record that changed between two pages is read again separately. */
  private async joinAll(rows: Map<string, wire.KeyValue>): Promise<wire.KeyValue[]> {
    const items: wire.KeyValue[] = [];
    for (const row of rows.values()) {
      if (isFragmentKey(row.key)) continue;
      const item = await this.joinOrReread(
        row,
        fragmentsOf(row, (key) => rows.get(key)),
      );
      if (item !== null) items.push(item);
    }
    return items;
  }

  /** Joins a record from the given rows, or else reads it again. Returns null if it was removed or cannot be read. */
  private async joinOrReread(
    head: wire.KeyValue,
    fragments: (wire.KeyValue | undefined)[],
  ): Promise<wire.KeyValue | null> {
    try {
      return this.join(head, fragments) ?? (await this.get(head.key));
    } catch (error) {
      // One corrupt record must not prevent the others from being read.
      if (error instanceof CorruptRecordError) return null;
      throw error;
    }
  }

  /** Waits for the rate limit ahead of a transaction that is built afterwards and sent with priority `granted`. */
  awaitWriteTurn(cost: number, priority: RequestPriority): Promise<void> {
    return this.writes.acquire(cost, priority);
  }

  /** Charges further writes that are sent together with those that were waited for. */
  chargeWrites(cost: number, priority: RequestPriority): void {
    this.writes.charge(cost, priority);
  }

  /** Sends a transaction; the result says whether it was, or may have been, applied. */
  async transact(
    transaction: wire.Transaction,
    priority: RequestPriority | 'granted' = 'later',
  ): Promise<TransactionResult> {
    const { stored, written } = this.encodeTxn(transaction);
    const cost = stored.puts.length + stored.deletes.length;
    if (cost > 0 && priority !== 'granted') await this.writes.acquire(cost, priority);
    // `awaitWriteTurn` was called without the cost of fragments.
    const fragmentCost = cost - transaction.puts.length - transaction.deletes.length;
    if (fragmentCost > 0 && priority === 'granted') this.writes.charge(fragmentCost, 'urgent');
    await this.requests.acquire(1, priority === 'granted' ? 'ownership' : priority);
    let response: Response;
    try {
      response = await this.call('POST', wire.paths.transaction, wire.transactionRequest(stored));
    } catch (error) {
      if (error instanceof HttpCallError && error.unsent) return { kind: 'refused' };
      return { kind: 'unknown' };
    }
    const result = this.resultOf(response);
    if (result.kind === 'applied') this.noteWritten(written, transaction.deletes);
    if (result.kind === 'malformed') logMalformed(stored);
    return result;
  }

  /** Encodes a transaction as it is sent: values in the record format, and large ones in fragments. */
  private encodeTxn(transaction: wire.Transaction): {
    stored: wire.Transaction;
    written: WrittenRecord[];
  } {
    const puts: wire.Transaction['puts'] = [];
    const deletes = [...transaction.deletes];
    const written: WrittenRecord[] = [];
    const deleteFragments = (key: string, from: number): void => {
      for (let i = from; i <= (this.fragmentCounts.get(key) ?? 0); i++)
        deletes.push(keys.fragment(key, i));
    };
    for (const { key, value, leaseId } of transaction.puts) {
      const { puts: encoded, form } = this.recordFormat.encodeValue(key, value);
      const [head, ...fragments] = encoded;
      puts.push(leaseId === undefined ? head : { ...head, leaseId }, ...fragments);
      deleteFragments(key, fragments.length + 1);
      written.push({ key, fragments: fragments.length, form });
    }
    for (const key of transaction.deletes) deleteFragments(key, 1);
    return { stored: { conditions: transaction.conditions, puts, deletes }, written };
  }

  /** Returns the operations that a write of a record takes, including its fragments; `value` is null for its removal. */
  operations(key: string, value: unknown): number {
    const before = 1 + (this.fragmentCounts.get(key) ?? 0);
    return value === null ? before : Math.max(before, this.recordFormat.operations(key, value));
  }

  private noteWritten(written: WrittenRecord[], removed: string[]): void {
    for (const { key, fragments, form } of written) {
      this.noteFragmentCount(key, fragments);
      this.noteForm(key, form);
      this.unreadable.delete(key);
    }
    for (const key of removed) this.forget(key);
  }

  private forget(key: string): void {
    this.fragmentCounts.delete(key);
    this.forms.delete(key);
    this.unreadable.delete(key);
  }

  private resultOf(response: Response): TransactionResult {
    if (response.status === 200) {
      return { kind: 'applied', revision: wire.parseRevision(response.body) ?? 0 };
    }
    if (response.status === 409) {
      return { kind: 'conflict', failed: wire.parseFailedConditions(response.body) };
    }
    if (response.status === 400) {
      const isLease = wire.parseError(response.body).includes(NO_LEASE);
      return { kind: isLease ? 'no-lease' : 'malformed' };
    }
    if (response.status === 429) {
      this.writes.backOff();
      this.requests.backOff();
    }
    return { kind: 'refused' };
  }

  /** Requests a new lease of `ttl` seconds and returns its id. */
  async grantLease(ttl: number): Promise<number> {
    const response = await this.send('POST', wire.paths.leases, wire.leaseRequest(ttl));
    const leaseId = wire.parseLease(response.body);
    if (leaseId === null) throw new UnexpectedAnswerError();
    return leaseId;
  }

  /** Renews a lease; returns false if it has expired. The call bypasses the rate limit, as a delayed renewal is useless. */
  async renewLease(leaseId: number, timeout: number): Promise<boolean> {
    let response: Response;
    try {
      response = await this.call('POST', wire.paths.renewLease(leaseId), undefined, timeout);
    } catch (error) {
      throw toUnavailableError(error);
    }
    if (response.status === 404) return false;
    if (response.status !== 200)
      throw new StateServiceUnavailableError(`lease renewal failed with status ${response.status}`);
    return true;
  }

  /** Reads the changes after a revision. Returns null if the service no longer keeps changes from that revision on. */
  async readChanges(
    prefix: string,
    revision: number,
    pollTimeout: number,
  ): Promise<{ revision: number; changes: wire.KeyValueChange[] } | null> {
    const target = wire.paths.changes(prefix, revision, pollTimeout);
    const response = await this.send('GET', target, undefined, pollTimeout + this.options.timeout);
    if (response.status === 410) return null;
    const changeLog = wire.parseChanges(response.body);
    if (response.status !== 200 || changeLog === null) throw new UnexpectedAnswerError();
    return { revision: changeLog.revision, changes: await this.joinChanges(changeLog.changes) };
  }

  /** Joins the records of a change log. A head and its fragments change in one transaction, so the log has all or none. */
  private async joinChanges(changes: wire.KeyValueChange[]): Promise<wire.KeyValueChange[]> {
    const fragments = new Map<string, wire.KeyValue>();
    const versioned = (key: string, revision: number): string => `${key}@${revision}`;
    for (const change of changes) {
      if (isFragmentKey(change.key)) fragments.set(versioned(change.key, change.revision), change);
    }
    const joined: wire.KeyValueChange[] = [];
    for (const change of changes) {
      if (isFragmentKey(change.key)) continue;
      if (change.removed) {
        this.forget(change.key);
        joined.push(change);
        continue;
      }
      const found = fragmentsOf(change, (key) => fragments.get(versioned(key, change.revision)));
      const item = await this.joinOrReread(change, found);
      if (item !== null) joined.push({ ...item, removed: false });
    }
    return joined;
  }
}

const toUnavailableError = (cause: unknown): StateServiceUnavailableError =>
  new StateServiceUnavailableError(cause instanceof Error ? cause.message : 'no answer', { cause });

/** Returns the fragments that a head counts; undefined for those that `find` does not know. */
const fragmentsOf = (
  head: wire.KeyValue,
  find: (key: string) => wire.KeyValue | undefined,
): (wire.KeyValue | undefined)[] =>
  Array.from({ length: fragmentCount(head.value) }, (_, i) => find(keys.fragment(head.key, i + 1)));

const formOfRows = (head: wire.KeyValue, fragments: (wire.KeyValue | undefined)[]): StoredForm =>
  formOf(
    head.key,
    head.value,
    joinFragments(
      head.value,
      fragments.map((fragment) => fragment?.value),
    ),
  );

function logMalformed({ puts, deletes }: wire.Transaction): void {
  const sizes = puts.map(({ key, value }) => `${key} ${JSON.stringify(value).length}`);
  log.error(
    `the service rejected a malformed transaction: ${puts.length + deletes.length} operations, ` +
      `bytes of ${sizes.join(', ')}`,
  );
}
