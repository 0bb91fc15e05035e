/** How far the records of one shard have been converted, as it is stored. */
import * as v from 'valibot';
import { decoderOf } from '../records.js';

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));

const progressSchema = v.object({
  /** The walk that this is about; a record of an earlier one counts as not begun. */
  walk: counter,
  /** The last key that was dealt with; empty: none yet. */
  cursor: v.string(),
  isFinished: v.boolean(),
  converted: counter,
  /** Records that could not be converted, and why. */
  quarantined: v.record(v.string(), v.string()),
  /** Those beyond what the record holds by name. */
  unnamed: counter,
});

/** The stored progress of one shard. */
export type MigrationProgress = v.InferOutput<typeof progressSchema>;

/** Decodes a progress record; throws a DamagedRecordError. */
export const decodeProgress = decoderOf(progressSchema);

/** The progress of a walk that has not begun. */
export const emptyProgress = (walk: number): MigrationProgress => ({
  walk,
  cursor: '',
  isFinished: false,
  converted: 0,
  quarantined: {},
  unnamed: 0,
});

/** Names and reasons are for people; what is kept of a reason. */
const REASON_LENGTH = 80;

/** The progress with one more record that could not be converted; `most` are kept by name. */
export function withQuarantined(
  progress: MigrationProgress,
  key: string,
  reason: string,
  most: number,
): MigrationProgress {
  if (key in progress.quarantined) return progress;
  if (Object.keys(progress.quarantined).length >= most) {
    return { ...progress, unnamed: progress.unnamed + 1 };
  }
  const quarantined = { ...progress.quarantined, [key]: reason.slice(0, REASON_LENGTH) };
  return { ...progress, quarantined };
}
