/** A store in memory with stamps, leases and answers that get lost, and copies of it that lag behind. */
import type { ChangeOutcome, RecordChange, RecordCache, StoredRecord } from '../../src/store.js';

interface Row extends StoredRecord {
  hold: number | null;
}

export class SimulatedStore {
  readonly rows = new Map<string, Row>();
  readonly holds = new Set<number>();
  epoch = 0;
  private nextHold = 0;
  /** In an outage nothing is carried out. */
  isDown = false;
  /** The next change is carried out, and its answer is lost. */
  losesAnswer = false;
  /** The next change is kept back, and carried out by `applyLate`. */
  keepsBack = false;
  readonly kept: { change: RecordChange; writer: string }[] = [];
  /** Hears of every change that is carried out, and who asked for it. */
  observer: (change: RecordChange, writer: string) => void = () => undefined;
  /** Changes that were carried out, for counting. */
  writes = 0;

  grant(): number {
    this.holds.add(++this.nextHold);
    return this.nextHold;
  }

  /** A lease ends, and the records that it holds with it. */
  endHold(hold: number): void {
    this.holds.delete(hold);
    for (const [key, row] of [...this.rows]) if (row.hold === hold) this.rows.delete(key);
    this.epoch++;
  }

  put(key: string, value: unknown, hold: number | null = null): void {
    this.rows.set(key, { value: structuredClone(value), revision: ++this.epoch, hold });
  }

  transact(change: RecordChange, writer = ''): Promise<ChangeOutcome> {
    if (this.isDown) return Promise.resolve({ kind: 'refused' });
    if (this.keepsBack) {
      this.keepsBack = false;
      this.kept.push({ change: structuredClone(change), writer });
      return Promise.resolve({ kind: 'unknown' });
    }
    const outcome = this.apply(change, writer);
    if (!this.losesAnswer) return Promise.resolve(outcome);
    this.losesAnswer = false;
    return Promise.resolve({ kind: 'unknown' });
  }

  applyLate(): ChangeOutcome | null {
    const late = this.kept.shift();
    return late === undefined ? null : this.apply(late.change, late.writer);
  }

  apply(change: RecordChange, writer = ''): ChangeOutcome {
    const { conditions: when, puts, deletes: removes } = change;
    const failed = when.filter(
      ({ key, revision }) => (this.rows.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) return { kind: 'conflict', failed: failed.map(({ key }) => key) };
    if (puts.some(({ leaseId: hold }) => hold !== undefined && !this.holds.has(hold))) {
      return { kind: 'no-lease' };
    }
    this.observer(change, writer);
    const revision = ++this.epoch;
    for (const { key, value, leaseId: hold } of puts) {
      this.rows.set(key, { value: structuredClone(value), revision, hold: hold ?? null });
    }
    for (const key of removes) this.rows.delete(key);
    this.writes++;
    return { kind: 'applied', revision };
  }
}

/** A copy that knows of changes only when it is synchronised. */
export class SimulatedCopy implements RecordCache {
  private readonly rows = new Map<string, StoredRecord>();

  /** Hears of every change of the copy, as the service's own does. */
  changed: () => void = () => undefined;

  constructor(private readonly store: SimulatedStore) {
    this.sync();
  }

  sync(): void {
    this.rows.clear();
    for (const [key, { value, revision }] of this.store.rows)
      this.rows.set(key, { value, revision });
    this.changed();
  }

  get(key: string): StoredRecord | undefined {
    return this.rows.get(key);
  }

  *entriesWithPrefix(prefix: string): Iterable<[string, StoredRecord]> {
    for (const row of this.rows) if (row[0].startsWith(prefix)) yield row;
  }

  note(key: string, value: unknown, revision: number): void {
    if (revision <= (this.rows.get(key)?.revision ?? 0)) return;
    this.rows.set(key, { value, revision });
    this.changed();
  }
}
