/** An in-memory state client: it checks the conditions of transactions, and can refuse them or withhold their answers. */
import type { Transaction, KeyValue } from '../../src/protocol/stateProtocol.js';
import type { RecordFormat } from '../../src/storage/recordFormat.js';
import type { TransactionResult } from '../../src/storage/stateClient.js';

export class MemoryStore {
  readonly rows = new Map<string, KeyValue>();
  revision = 0;
  /** Counts changes of keys. */
  changeCount = 0;
  /** Whether the outcome of the next transaction stays unknown; `applyWithheld` applies it later. */
  withholdNext = false;
  /** Called after a transaction was applied, before it is answered. */
  onApplied: () => void = () => undefined;
  /** Number of transactions to refuse from now on. */
  refuseNext = 0;
  private withheld: Transaction | null = null;
  /** Transactions that were applied and answered, in order. */
  private readonly answered: Transaction[] = [];
  readonly writeRate = 1000;
  /** Demand for writes as a ratio of the rate limit. */
  writeLoad = 0;
  /** False in an outage: the last request was refused. */
  isHealthy = true;
  /** Largest value and transaction in bytes; larger ones are malformed. */
  limits = { value: 16 * 1024, txn: 64 * 1024 };

  writeDelay(): number {
    return 0;
  }

  chargeWrites(): void {
    // Writes are not rate-limited here.
  }

  operations(key: string, value: unknown): number {
    const operationsOf = (stored: unknown): number =>
      this.recordFormat?.operations(key, stored) ?? 1;
    const before = this.rows.get(key);
    return Math.max(
      before === undefined ? 1 : operationsOf(before.value),
      value === null ? 1 : operationsOf(value),
    );
  }

  awaitWriteTurn(): Promise<void> {
    return Promise.resolve();
  }

  get(key: string): Promise<KeyValue | null> {
    return Promise.resolve(this.rows.get(key) ?? null);
  }

  transact(txn: Transaction): Promise<TransactionResult> {
    const copy = structuredClone(txn);
    if (this.refuseNext > 0) {
      this.refuseNext--;
      return Promise.resolve({ kind: 'refused' });
    }
    if (this.withholdNext) {
      this.withholdNext = false;
      this.withheld = copy;
      return Promise.resolve({ kind: 'unknown' });
    }
    const result = this.apply(copy);
    if (result.kind === 'applied') {
      this.answered.push(copy);
      this.onApplied();
    }
    return Promise.resolve(result);
  }

  /** Applies a duplicate of each answered transaction; returns the outcomes. */
  applyDuplicates(): TransactionResult['kind'][] {
    return this.answered.splice(0).map((transaction) => this.apply(transaction).kind);
  }

  get hasWithheld(): boolean {
    return this.withheld !== null;
  }

  /** Applies the withheld transaction. */
  applyWithheld(): TransactionResult {
    if (this.withheld === null) throw new Error('no transaction was withheld');
    return this.apply(this.withheld);
  }

  /** The record format that determines operations and sizes; null: one operation a key, with the value as it is. */
  recordFormat: RecordFormat | null = null;
  /** Largest number of operations in a transaction. */
  txnOps = Infinity;

  private apply(txn: Transaction): TransactionResult {
    const { recordFormat } = this;
    const puts =
      recordFormat === null
        ? txn.puts
        : txn.puts.flatMap((put) => recordFormat.encodePuts(put.key, put.value));
    if (puts.length + txn.deletes.length > this.txnOps) return { kind: 'malformed' };
    const sizes = puts.map((put) => JSON.stringify(put.value).length);
    const totalSize = sizes.reduce((a, b) => a + b, 0);
    if (totalSize > this.limits.txn || sizes.some((size) => size > this.limits.value)) {
      return { kind: 'malformed' };
    }
    const failed = txn.conditions.filter(
      (c) => (this.rows.get(c.key)?.revision ?? 0) !== c.revision,
    );
    if (failed.length > 0) return { kind: 'conflict', failed: failed.map((c) => c.key) };
    this.revision++;
    for (const { key, value } of txn.puts) {
      this.rows.set(key, { key, value, revision: this.revision });
    }
    for (const key of txn.deletes) this.rows.delete(key);
    this.changeCount += txn.puts.length + txn.deletes.length;
    return { kind: 'applied', revision: this.revision };
  }
}
