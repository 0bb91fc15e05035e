/**
 * Converts the records of one shard in place, a few in each step, from a stored cursor. The shard's leader runs it;
 * the next leader goes on where it stopped.
 */
import { decodeOrNull, rolloutKeys } from '../records.js';
import { applyChange, type Condition, type RecordCache, type RecordStore } from '../store.js';
import {
  decodeProgress,
  emptyProgress,
  withQuarantined,
  type MigrationProgress,
} from './progress.js';

/** What came of the conversion of one record. */
export type Conversion =
  | { kind: 'converted' }
  /** It is in the wanted form, or gone. */
  | { kind: 'needless' }
  /** Something else is being done with it, or the store did not take it: later. */
  | { kind: 'later' }
  /** It will never do: it is quarantined, and the walk goes on. */
  | { kind: 'failed'; reason: string };

/** The records of a shard, as its leader converts them. */
export interface MigratedShard {
  label: string;
  /** The leader key as this node holds it; null: it does not lead the shard any more. */
  leadership(): Condition | null;
  /** Keys of records in a form that they should not have, in their order, after a cursor; at most so many. */
  outdatedKeys(after: string, most: number): string[];
  /** Brings one record into the wanted form. */
  convert(key: string): Promise<Conversion>;
}

/** Limits of a migration. */
export interface MigratorOptions {
  /** Operations of one step at the most, the progress record's own included. */
  operations: number;
  /** Quarantined records that are kept by name. */
  quarantineNames: number;
  /** Whether the store has room for it just now. */
  mayWrite: () => boolean;
  log: (line: string) => void;
}

/** What came of a step. */
export type MigrationStepResult = 'finished' | 'advanced' | 'waiting' | 'not-leader';

/** Converts records step by step; its state is the stored progress alone. */
export class Migrator {
  constructor(
    private readonly store: RecordStore,
    private readonly copy: RecordCache,
    private readonly options: MigratorOptions,
  ) {}

  /** Converts some records of a shard, as part of a walk. Doing it twice is the same as doing it once. */
  async step(shard: MigratedShard, walk: number): Promise<MigrationStepResult> {
    const before = readProgress(this.copy, shard.label, walk);
    if (before.isFinished) return 'finished';
    if (!this.options.mayWrite()) return 'waiting';
    const most = Math.max(1, this.options.operations - 1);
    const keys = shard.outdatedKeys(before.cursor, most);
    let progress = before;
    for (const key of keys) {
      const conversion = await shard.convert(key);
      // Records before the cursor are never looked at again, so it stays in front of one that has to wait.
      if (conversion.kind === 'later') break;
      progress = this.after(progress, key, conversion);
    }
    // What was written in an old form behind the cursor is found when the walk is verified.
    if (keys.length === 0) progress = { ...progress, isFinished: true };
    if (progress === before) return 'waiting';
    return this.save(shard, progress);
  }

  private after(
    progress: MigrationProgress,
    key: string,
    conversion: Conversion,
  ): MigrationProgress {
    const moved = { ...progress, cursor: key };
    if (conversion.kind === 'converted') return { ...moved, converted: progress.converted + 1 };
    if (conversion.kind !== 'failed') return moved;
    this.options.log(`the record ${key} cannot be converted: ${conversion.reason}`);
    return withQuarantined(moved, key, conversion.reason, this.options.quarantineNames);
  }

  private async save(
    shard: MigratedShard,
    progress: MigrationProgress,
  ): Promise<MigrationStepResult> {
    const leadership = shard.leadership();
    if (leadership === null) return 'not-leader';
    const key = rolloutKeys.migration(shard.label);
    const outcome = await applyChange(this.store, this.copy, {
      conditions: [leadership, { key, revision: this.copy.get(key)?.revision ?? 0 }],
      puts: [{ key, value: progress }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return 'waiting';
    return progress.isFinished ? 'finished' : 'advanced';
  }
}

/** A shard's progress in a walk; a damaged record, or one of an earlier walk, counts as none. */
export function readProgress(
  copy: Pick<RecordCache, 'get'>,
  shard: string,
  walk: number,
): MigrationProgress {
  const key = rolloutKeys.migration(shard);
  const stored = copy.get(key);
  if (stored === undefined) return emptyProgress(walk);
  const progress = decodeOrNull(() => decodeProgress(key, stored.value));
  return progress?.walk === walk ? progress : emptyProgress(walk);
}
