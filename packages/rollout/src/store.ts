/** The records that the nodes share, as this package needs them; the service adapts its own client and copy. */

/** A record as the store has it. */
export interface StoredRecord {
  value: unknown;
  /** The revision of the record's last change; it never stands for two values. */
  revision: number;
}

/** A node's copy of the records, a little behind the store. */
export interface RecordCache {
  get(key: string): StoredRecord | undefined;
  entriesWithPrefix(prefix: string): Iterable<[string, StoredRecord]>;
  /** Takes up a change that this node made itself, ahead of the watch. */
  note(key: string, value: unknown, revision: number): void;
}

/** A key and the revision that it must have; 0: it must not exist. */
export interface Condition {
  key: string;
  revision: number;
}

/** An atomic change, applied only if every condition holds. */
export interface RecordChange {
  conditions: Condition[];
  puts: { key: string; value: unknown; leaseId?: number }[];
  deletes: string[];
}

/** What came of a change. */
export type ChangeOutcome =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  /** No answer: it may have been applied, or may still be. */
  | { kind: 'unknown' }
  | { kind: 'refused' | 'no-lease' | 'malformed' };

/** The store, as far as this package writes to it. */
export interface RecordStore {
  transact(change: RecordChange): Promise<ChangeOutcome>;
}

/** The condition that a record is as the copy shows it. */
export const unchangedCondition = (copy: Pick<RecordCache, 'get'>, key: string): Condition => ({
  key,
  revision: copy.get(key)?.revision ?? 0,
});

/** Applies a change and takes it up in the copy. */
export async function applyChange(
  store: RecordStore,
  copy: Pick<RecordCache, 'note'>,
  change: RecordChange,
): Promise<ChangeOutcome> {
  const outcome = await store.transact(change);
  if (outcome.kind === 'applied') {
    for (const { key, value } of change.puts) copy.note(key, value, outcome.revision);
  }
  return outcome;
}
