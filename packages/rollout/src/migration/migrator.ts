/**
 * Converts the records of one part in place, a few in each step, from a stored cursor. The owner of the part runs it;
 * whoever owns the part next goes on where it stopped.
 */
import { DamagedRecordError, rolloutKeys } from '../records.js';
import { applyChange, type Condition, type RecordCopy, type RecordStore } from '../store.js';
import {
  decodeProgress,
  emptyProgress,
  withQuarantined,
  type MigrationProgress,
} from './progress.js';

export type Conversion =
  | { kind: 'converted' }
  /** It is in the wanted form, or gone. */
  | { kind: 'needless' }
  /** Something else is being done with it, or the store did not take it: later. */
  | { kind: 'later' }
  /** It will never do: it is quarantined, and the walk goes on. */
  | { kind: 'failed'; reason: string };

/** The records of a part. */
export interface MigratedPart {
  label: string;
  /** The key that entitles to change the part, as this node holds it; null: it does not any more. */
  ownership(): Condition | null;
  /** Keys of records in a form that they should not have, in their order, after a cursor; at most so many. */
  outdated(after: string, most: number): string[];
  convert(key: string): Promise<Conversion>;
}

export interface MigratorOptions {
  /** Operations of one step at the most, the progress record's own included. */
  operations: number;
  /** Quarantined records that are kept by name. */
  quarantineNames: number;
  /** Whether the store has room for it just now. */
  mayWrite: () => boolean;
  log: (line: string) => void;
}

export type MigrationStep = 'finished' | 'advanced' | 'waiting' | 'not-owner';

export class Migrator {
  constructor(
    private readonly store: RecordStore,
    private readonly copy: RecordCopy,
    private readonly options: MigratorOptions,
  ) {}

  /** Some records of a part, as part of a walk. Doing it twice is the same as doing it once. */
  async step(part: MigratedPart, walk: number): Promise<MigrationStep> {
    const before = readProgress(this.copy, part.label, walk);
    if (before.isFinished) return 'finished';
    if (!this.options.mayWrite()) return 'waiting';
    const most = Math.max(1, this.options.operations - 1);
    const keys = part.outdated(before.cursor, most);
    let progress = before;
    for (const key of keys) {
      const conversion = await part.convert(key);
      // Records before the cursor are never looked at again, so it stays in front of one that has to wait.
      if (conversion.kind === 'later') break;
      progress = this.after(progress, key, conversion);
    }
    // What was written in an old form behind the cursor is found when the walk is verified.
    if (keys.length === 0) progress = { ...progress, isFinished: true };
    if (progress === before) return 'waiting';
    return this.save(part, progress);
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

  private async save(part: MigratedPart, progress: MigrationProgress): Promise<MigrationStep> {
    const owner = part.ownership();
    if (owner === null) return 'not-owner';
    const key = rolloutKeys.migration(part.label);
    const outcome = await applyChange(this.store, this.copy, {
      conditions: [owner, { key, revision: this.copy.get(key)?.revision ?? 0 }],
      puts: [{ key, value: progress }],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return 'waiting';
    return progress.isFinished ? 'finished' : 'advanced';
  }
}

/** A part's progress in a walk; a damaged record, or one of an earlier walk, counts as none. */
export function readProgress(
  copy: Pick<RecordCopy, 'get'>,
  part: string,
  walk: number,
): MigrationProgress {
  const key = rolloutKeys.migration(part);
  const stored = copy.get(key);
  if (stored === undefined) return emptyProgress(walk);
  try {
    const progress = decodeProgress(key, stored.value);
    return progress.walk === walk ? progress : emptyProgress(walk);
  } catch (error) {
    if (error instanceof DamagedRecordError) return emptyProgress(walk);
    throw error;
  }
}
