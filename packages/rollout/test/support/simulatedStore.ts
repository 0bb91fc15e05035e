/** An in-memory store with revisions, leases, lost responses and delayed transactions, and caches that lag behind it. */
import type { ChangeOutcome, RecordChange, RecordCache, StoredRecord } from '../../src/store.js';

interface Row extends StoredRecord {
  leaseId: number | null;
}

export class SimulatedStore {
  readonly rows = new Map<string, Row>();
  readonly leases = new Set<number>();
  lastRevision = 0;
  private lastLeaseId = 0;
  /** Simulates an outage: no transaction is executed. */
  isDown = false;
  /** The next transaction is executed and its response is lost. */
  losesNextResponse = false;
  /** The next transaction is delayed until `applyDelayed`. */
  delaysNext = false;
  readonly delayed: { change: RecordChange; writer: string }[] = [];
  /** Called for every transaction that is executed, with the process that sent it. */
  observer: (change: RecordChange, writer: string) => void = () => undefined;
  /** Number of transactions that were executed. */
  writes = 0;

  grant(): number {
    this.leases.add(++this.lastLeaseId);
    return this.lastLeaseId;
  }

  /** Expires a lease and deletes the records stored under it. */
  expireLease(leaseId: number): void {
    this.leases.delete(leaseId);
    for (const [key, row] of [...this.rows]) if (row.leaseId === leaseId) this.rows.delete(key);
    this.lastRevision++;
  }

  put(key: string, value: unknown, leaseId: number | null = null): void {
    this.rows.set(key, { value: structuredClone(value), revision: ++this.lastRevision, leaseId });
  }

  transact(change: RecordChange, writer = ''): Promise<ChangeOutcome> {
    if (this.isDown) return Promise.resolve({ kind: 'refused' });
    if (this.delaysNext) {
      this.delaysNext = false;
      this.delayed.push({ change: structuredClone(change), writer });
      return Promise.resolve({ kind: 'unknown' });
    }
    const outcome = this.apply(change, writer);
    if (!this.losesNextResponse) return Promise.resolve(outcome);
    this.losesNextResponse = false;
    return Promise.resolve({ kind: 'unknown' });
  }

  applyDelayed(): ChangeOutcome | null {
    const next = this.delayed.shift();
    return next === undefined ? null : this.apply(next.change, next.writer);
  }

  apply(change: RecordChange, writer = ''): ChangeOutcome {
    const { conditions, puts, deletes } = change;
    const failed = conditions.filter(
      ({ key, revision }) => (this.rows.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) return { kind: 'conflict', failed: failed.map(({ key }) => key) };
    if (puts.some(({ leaseId }) => leaseId !== undefined && !this.leases.has(leaseId))) {
      return { kind: 'no-lease' };
    }
    this.observer(change, writer);
    const revision = ++this.lastRevision;
    for (const { key, value, leaseId } of puts) {
      this.rows.set(key, { value: structuredClone(value), revision, leaseId: leaseId ?? null });
    }
    for (const key of deletes) this.rows.delete(key);
    this.writes++;
    return { kind: 'applied', revision };
  }
}

/** A cache that reflects changes of the store only after `sync`. */
export class SimulatedCache implements RecordCache {
  private readonly rows = new Map<string, StoredRecord>();

  /** Called after every change of the cache, like the listener of the service's cache. */
  onChange: () => void = () => undefined;

  constructor(private readonly store: SimulatedStore) {
    this.sync();
  }

  sync(): void {
    this.rows.clear();
    for (const [key, { value, revision }] of this.store.rows)
      this.rows.set(key, { value, revision });
    this.onChange();
  }

  get(key: string): StoredRecord | undefined {
    return this.rows.get(key);
  }

  *entriesWithPrefix(prefix: string): Iterable<[string, StoredRecord]> {
    for (const row of this.rows) if (row[0].startsWith(prefix)) yield row;
  }

  applyPut(key: string, value: unknown, revision: number): void {
    if (revision <= (this.rows.get(key)?.revision ?? 0)) return;
    this.rows.set(key, { value, revision });
    this.onChange();
  }
}
