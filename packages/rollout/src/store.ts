/** The interface of this package to the shared records; the service adapts its state client and its cache to it. */

/** A stored record. */
export interface StoredRecord {
  value: unknown;
  /** The revision of the record's last change; a revision identifies exactly one value. */
  revision: number;
}

/** A node's cache of the records, which may lag behind the store. */
export interface RecordCache {
  get(key: string): StoredRecord | undefined;
  entriesWithPrefix(prefix: string): Iterable<[string, StoredRecord]>;
  /** Applies a change that this node made itself, before the watch delivers it. */
  applyPut(key: string, value: unknown, revision: number): void;
}

/** A key and the revision that its record must have; 0 means that the key must not exist. */
export interface Condition {
  key: string;
  revision: number;
}

/** A transaction, applied only if all conditions hold. */
export interface RecordChange {
  conditions: Condition[];
  puts: { key: string; value: unknown; leaseId?: number }[];
  deletes: string[];
}

/** The outcome of a transaction. */
export type ChangeOutcome =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  /** No response: the transaction may have been applied, or may still be. */
  | { kind: 'unknown' }
  | { kind: 'refused' | 'no-lease' | 'malformed' };

/** The write access of this package to the store. */
export interface RecordStore {
  transact(change: RecordChange): Promise<ChangeOutcome>;
}

/** The condition that a record has not changed since the cached revision. */
export const unchangedCondition = (cache: Pick<RecordCache, 'get'>, key: string): Condition => ({
  key,
  revision: cache.get(key)?.revision ?? 0,
});

/** Executes a transaction and, if it is applied, updates the cache. */
export async function applyChange(
  store: RecordStore,
  cache: Pick<RecordCache, 'applyPut'>,
  change: RecordChange,
): Promise<ChangeOutcome> {
  const outcome = await store.transact(change);
  if (outcome.kind === 'applied') {
    for (const { key, value } of change.puts) cache.applyPut(key, value, outcome.revision);
  }
  return outcome;
}
