/** The state service in memory, for tests of what writes to it: conditions hold, answers can get lost. */
import type { Transaction, KeyValue } from '../../src/protocol/stateProtocol.js';
import type { RecordFormat } from '../../src/storage/recordFormat.js';
import type { TransactionResult } from '../../src/storage/stateClient.js';

export class MemoryStore {
  readonly rows = new Map<string, KeyValue>();
  revision = 0;
  changeCount = 0;
  /** The next transaction gets no answer and is kept back; `late` applies it. */
  withholdNext = false;
  /** So many transactions are refused. */
  refuseNext = 0;
  private kept: Transaction | null = null;
  /** Transactions that were applied and answered, in their order. */
  private readonly answered: Transaction[] = [];
  readonly writeRate = 1000;
  /** What is asked for of the changes, as a ratio to them. */
  writeLoad = 0;
  /** False in an outage: its last answer was a refusal. */
  isHealthy = true;
  /** Bytes of a value and of a transaction, beyond which one is malformed. */
  limits = { value: 16 * 1024, txn: 64 * 1024 };

  writeDelay(): number {
    return 0;
  }

  chargeWrites(): void {
    // Changes are not limited here.
  }

  operations(key: string, value: unknown): number {
    const rowsOf = (any: unknown): number => this.recordFormat?.operations(key, any) ?? 1;
    const before = this.rows.get(key);
    return Math.max(
      before === undefined ? 1 : rowsOf(before.value),
      value === null ? 1 : rowsOf(value),
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
      this.kept = copy;
      return Promise.resolve({ kind: 'unknown' });
    }
    const result = this.apply(copy);
    if (result.kind === 'applied') this.answered.push(copy);
    return Promise.resolve(result);
  }

  /** A copy of each answered transaction arrives once more; what becomes of each. */
  applyDuplicates(): TransactionResult['kind'][] {
    return this.answered.splice(0).map((transaction) => this.apply(transaction).kind);
  }

  get hasWithheld(): boolean {
    return this.kept !== null;
  }

  applyWithheld(): TransactionResult {
    if (this.kept === null) throw new Error('nothing was kept back');
    return this.apply(this.kept);
  }

  /** How values are laid out, where their sizes there matter. */
  recordFormat: RecordFormat | null = null;
  /** Most operations of a transaction. */
  txnOps = Infinity;

  private apply(txn: Transaction): TransactionResult {
    const { recordFormat: layout } = this;
    const puts =
      layout === null ? txn.puts : txn.puts.flatMap((p) => layout.encodePuts(p.key, p.value));
    if (puts.length + txn.deletes.length > this.txnOps) return { kind: 'malformed' };
    const sizes = puts.map((put) => JSON.stringify(put.value).length);
    const all = sizes.reduce((a, b) => a + b, 0);
    if (all > this.limits.txn || sizes.some((size) => size > this.limits.value)) {
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
