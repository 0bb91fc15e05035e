/** Messages and paths of the state service's HTTP API. */
import * as v from 'valibot';

/** A key of the state service with its value and the revision of its last change. */
export interface KeyValue {
  key: string;
  value: unknown;
  revision: number;
}

/** A change that a watch delivers; `value` is null if the key was removed. */
export interface KeyValueChange extends KeyValue {
  removed: boolean;
}

/** A compare-and-swap: all puts and deletes are applied if every condition holds, otherwise none. */
export interface Transaction {
  /** Keys and the revisions that they must have; 0: the key must not exist. */
  conditions: { key: string; revision: number }[];
  puts: { key: string; value: unknown; leaseId?: number }[];
  deletes: string[];
}

/** The body of a request to apply a transaction. */
export const transactionRequest = (transaction: Transaction): Record<string, unknown> => ({
  When: transaction.conditions.map((c) => ({ K: c.key, Stamp: c.revision })),
  Then: [
    ...transaction.puts.map((p) => ({
      Put: p.key,
      Value: p.value,
      ...(p.leaseId === undefined ? {} : { Hold: p.leaseId }),
    })),
    ...transaction.deletes.map((key) => ({ Remove: key })),
  ],
});

const stamp = v.pipe(v.number(), v.integer(), v.minValue(0));
const keyValueSchema = v.object({ K: v.string(), Value: v.unknown(), Stamp: stamp });
const rangeSchema = v.object({ Rows: v.array(keyValueSchema), More: v.boolean(), Epoch: stamp });
const revisionSchema = v.object({ Epoch: stamp });
const failedConditionsSchema = v.object({ failed: v.array(v.string()), Epoch: stamp });
const leaseSchema = v.object({ Hold: stamp });
const changesSchema = v.object({
  Epoch: stamp,
  Log: v.array(
    v.object({
      Put: v.optional(v.string()),
      Remove: v.optional(v.string()),
      Value: v.optional(v.unknown()),
      Stamp: stamp,
    }),
  ),
});

/** Parses one key with its value; null if the answer is malformed. */
export function parseKeyValue(raw: unknown): KeyValue | null {
  const result = v.safeParse(keyValueSchema, raw);
  if (!result.success) return null;
  return { key: result.output.K, value: result.output.Value, revision: result.output.Stamp };
}

/** Parses one page of the keys below a prefix; null if the answer is malformed. */
export function parseRange(
  raw: unknown,
): { items: KeyValue[]; more: boolean; revision: number } | null {
  const result = v.safeParse(rangeSchema, raw);
  if (!result.success) return null;
  const { Rows, More, Epoch } = result.output;
  return {
    items: Rows.map((r) => ({ key: r.K, value: r.Value, revision: r.Stamp })),
    more: More,
    revision: Epoch,
  };
}

/** Parses the state service's revision; null if the answer is malformed. */
export function parseRevision(raw: unknown): number | null {
  const result = v.safeParse(revisionSchema, raw);
  return result.success ? result.output.Epoch : null;
}

/** Parses the keys whose conditions did not hold; empty if the answer does not list them. */
export function parseFailedConditions(raw: unknown): string[] {
  const result = v.safeParse(failedConditionsSchema, raw);
  return result.success ? result.output.failed : [];
}

const errorSchema = v.object({ error: v.string() });

/** Parses the error message of a refused request; empty if there is none. */
export function parseError(raw: unknown): string {
  const result = v.safeParse(errorSchema, raw);
  return result.success ? result.output.error : '';
}

/** Parses the id of a granted lease; null if the answer is malformed. */
export function parseLease(raw: unknown): number | null {
  const result = v.safeParse(leaseSchema, raw);
  return result.success ? result.output.Hold : null;
}

/** Parses the changes after a revision; null if the answer is malformed. */
export function parseChanges(raw: unknown): { revision: number; changes: KeyValueChange[] } | null {
  const result = v.safeParse(changesSchema, raw);
  if (!result.success) return null;
  return {
    revision: result.output.Epoch,
    changes: result.output.Log.map((c) => ({
      key: c.Put ?? c.Remove ?? '',
      value: c.Value ?? null,
      revision: c.Stamp,
      removed: c.Put === undefined,
    })),
  };
}

/** The body of a request for a lease; `ttl` is in seconds. */
export const leaseRequest = (ttl: number): Record<string, unknown> => ({
  TtlMs: Math.round(ttl * 1000),
});

/** The state service's HTTP paths. */
export const paths = {
  key: (key: string): string => `/kv/${key}`,
  range: (prefix: string, after: string, page: number): string =>
    `/kv?Under=${encodeURIComponent(prefix)}` +
    `${after === '' ? '' : `&From=${encodeURIComponent(after)}`}&Page=${page}`,
  transaction: '/multi',
  leases: '/grants',
  renewLease: (leaseId: number): string => `/grants/${leaseId}/extend`,
  changes: (prefix: string, from: number, hold: number): string =>
    `/changes?Under=${encodeURIComponent(prefix)}&From=${from}&HoldMs=${Math.round(hold * 1000)}`,
};

/** Number of keys on one page of a range. */
export const RANGE_PAGE_SIZE = 1000;
/** Maximum size of a request's body. */
export const MAX_REQUEST_BYTES = 64 * 1024;
/** Maximum size of a transaction's changes; the rest of the request is left for its conditions. */
export const MAX_TRANSACTION_CHANGE_BYTES = MAX_REQUEST_BYTES - 4 * 1024;
