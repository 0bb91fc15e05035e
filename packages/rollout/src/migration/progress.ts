/** The stored progress of a shard's record conversion. */
import * as v from 'valibot';
import { decoderOf } from '../records.js';

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));

const progressSchema = v.object({
  /** The migration pass; a progress record of an earlier pass counts as no progress. */
  walk: counter,
  /** The last key that was processed; empty if none was. */
  cursor: v.string(),
  isFinished: v.boolean(),
  converted: counter,
  /** The keys of records that could not be converted, each with the reason. */
  quarantined: v.record(v.string(), v.string()),
  /** Number of further such records, which are not listed by name. */
  unnamed: counter,
});

/** The stored progress of one shard. */
export type MigrationProgress = v.InferOutput<typeof progressSchema>;

/** Decodes a progress record; throws a DamagedRecordError. */
export const decodeProgress = decoderOf(progressSchema);

/** The progress of a pass that has not begun. */
export const emptyProgress = (walk: number): MigrationProgress => ({
  walk,
  cursor: '',
  isFinished: false,
  converted: 0,
  quarantined: {},
  unnamed: 0,
});

/** Maximum number of characters of a reason that are stored; reasons are only shown to operators. */
const MAX_REASON_LENGTH = 80;

/** Adds a record that could not be converted; at most `maxNames` are listed by name. */
export function withQuarantined(
  progress: MigrationProgress,
  key: string,
  reason: string,
  maxNames: number,
): MigrationProgress {
  if (key in progress.quarantined) return progress;
  if (Object.keys(progress.quarantined).length >= maxNames) {
    return { ...progress, unnamed: progress.unnamed + 1 };
  }
  const quarantined = { ...progress.quarantined, [key]: reason.slice(0, MAX_REASON_LENGTH) };
  return { ...progress, quarantined };
}
