/**
 * Converts the records of one shard in place, a few per step, starting at a stored cursor. The leader of the shard runs it;
 * the next leader continues at the cursor.
 */
import { decodeOrNull, rolloutKeys } from '../records.js';
import { applyChange, type Condition, type RecordCache, type RecordStore } from '../store.js';
import {
  decodeProgress,
  emptyProgress,
  withQuarantined,
  type MigrationProgress,
} from './progress.js';

/** The outcome of the conversion of one record. */
export type Conversion =
  | { kind: 'converted' }
  /** The record is already in the target form, or deleted. */
  | { kind: 'not-needed' }
  /** The record is in use or the store did not apply the write; the conversion is retried in a later step. */
  | { kind: 'deferred' }
  /** The record cannot be converted; it is quarantined and the pass continues. */
  | { kind: 'failed'; reason: string };

/** The records of a shard, as the migrator accesses them. */
export interface MigratedShard {
  label: string;
  /** The condition on the leader key; null if this node does not lead the shard any more. */
  leadership(): Condition | null;
  /** The first `most` keys after a cursor, in ascending order, of records that must be converted. */
  outdatedKeys(after: string, most: number): string[];
  /** Converts one record to the target form. */
  convert(key: string): Promise<Conversion>;
}

/** Limits of a migration. */
export interface MigratorOptions {
  /** Maximum number of operations per step, including the write of the progress record. */
  operations: number;
  /** Maximum number of quarantined records that are stored by name. */
  quarantineNames: number;
  /** Whether the store currently has capacity for the migration. */
  mayWrite: () => boolean;
  log: (line: string) => void;
}

/** The outcome of a step. */
export type MigrationStepResult = 'finished' | 'advanced' | 'waiting' | 'not-leader';

/** Converts records step by step; its only state is the stored progress. */
export class Migrator {
  constructor(
    private readonly store: RecordStore,
    private readonly cache: RecordCache,
    private readonly options: MigratorOptions,
  ) {}

  /** Converts the next records of a shard in the migration pass `walk`. Repeating a step is harmless. */
  async step(shard: MigratedShard, walk: number): Promise<MigrationStepResult> {
    const before = readProgress(this.cache, shard.label, walk);
    if (before.isFinished) return 'finished';
    if (!this.options.mayWrite()) return 'waiting';
    const most = Math.max(1, this.options.operations - 1);
    const keys = shard.outdatedKeys(before.cursor, most);
    let progress = before;
    for (const key of keys) {
      const conversion = await shard.convert(key);
      // Records up to the cursor are not visited again in this pass, so the cursor must not pass a deferred record.
      if (conversion.kind === 'deferred') break;
      progress = this.advance(progress, key, conversion);
    }
    // Verification after the pass finds records that were written in the old form before the cursor.
    if (keys.length === 0) progress = { ...progress, isFinished: true };
    if (progress === before) return 'waiting';
    return this.save(shard, progress);
  }

  private advance(
    progress: MigrationProgress,
    key: string,
    conversion: Conversion,
  ): MigrationProgress {
    const advanced = { ...progress, cursor: key };
    if (conversion.kind === 'converted') return { ...advanced, converted: progress.converted + 1 };
    if (conversion.kind !== 'failed') return advanced;
    this.options.log(`the record ${key} cannot be converted: ${conversion.reason}`);
    return withQuarantined(advanced, key, conversion.reason, this.options.quarantineNames);
  }

  private async save(
    shard: MigratedShard,
    progress: MigrationProgress,
  ): Promise<MigrationStepResult> {
    const leadership = shard.leadership();
    if (leadership === null) return 'not-leader';
    const key = rolloutKeys.migration(shard.label);
    const outcome = await applyChange(this.store, this.cache, {
      conditions: [leadership, { key, revision: this.cache.get(key)?.revision ?? 0 }],
      puts: [{ key, value: progress }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return 'waiting';
    return progress.isFinished ? 'finished' : 'advanced';
  }
}

/** A shard's progress in a migration pass; a damaged record or one of an earlier pass counts as no progress. */
export function readProgress(
  cache: Pick<RecordCache, 'get'>,
  shard: string,
  walk: number,
): MigrationProgress {
  const key = rolloutKeys.migration(shard);
  const stored = cache.get(key);
  if (stored === undefined) return emptyProgress(walk);
  const progress = decodeOrNull(() => decodeProgress(key, stored.value));
  return progress?.walk === walk ? progress : emptyProgress(walk);
}
