/** Stored records of a cluster's version: their keys, and the checks that they pass before they are believed. */
import * as v from 'valibot';

const level = v.pipe(v.number(), v.integer(), v.minValue(1));
const counter = v.pipe(v.number(), v.integer(), v.minValue(0));
const name = v.pipe(v.string(), v.nonEmpty());

const rangeFields = { min: level, max: level, wants: level, process: name };

const presenceSchema = v.object({ ...rangeFields, answer: counter });
const memberSchema = v.object(rangeFields);

const versionSchema = v.pipe(
  v.object({
    level,
    target: level,
    phase: v.picklist(['steady', 'raising', 'lowering']),
    proposal: counter,
    /** Rises when the records have to be walked once more. */
    walk: counter,
    /** Proposal after which no record in an old form was found; 0: not verified. */
    verified: counter,
    hold: v.nullable(v.object({ by: v.string(), reason: v.string(), at: v.number() })),
    token: counter,
  }),
  v.check(
    ({ level: now, target, phase }) =>
      phase === 'steady' ? target === now : phase === 'raising' ? target > now : target < now,
    'the target does not fit the phase',
  ),
);

const barrierSchema = v.object({ readers: level });

/** What a node reads and writes, for as long as its process lives. */
export type Presence = v.InferOutput<typeof presenceSchema>;
/** The same without an end: a node that is down is still one of the cluster. */
export type Member = v.InferOutput<typeof memberSchema>;
/** The version of the cluster: the level of what may be stored, and the change that is under way. */
export type ClusterVersion = v.InferOutput<typeof versionSchema>;
/** An operator's hold: the level does not rise. `at`: time of day in seconds. */
export type Hold = NonNullable<ClusterVersion['hold']>;
/** The lowest level that a reader of the records needs. */
export type Barrier = v.InferOutput<typeof barrierSchema>;

/** A stored record is not of the form that it must have. */
export class DamagedRecordError extends Error {
  constructor(
    readonly key: string,
    reason: string,
  ) {
    super(`the record ${key} is damaged: ${reason}`);
  }
}

/** Decodes a record; null for a damaged one, where that counts as none. Other errors are thrown on. */
export function decodeOrNull<Value>(decode: () => Value): Value | null {
  try {
    return decode();
  } catch (error) {
    if (error instanceof DamagedRecordError) return null;
    throw error;
  }
}

/** A decoder for records of a schema; it throws a DamagedRecordError that names the record and the faulty field. */
export function decoderOf<Schema extends v.GenericSchema>(
  schema: Schema,
): (key: string, value: unknown) => v.InferOutput<Schema> {
  return (key, value) => {
    const result = v.safeParse(schema, value);
    if (result.success) return result.output;
    const issue = result.issues[0];
    const place = v.getDotPath(issue);
    throw new DamagedRecordError(
      key,
      place === null ? issue.message : `${place}: ${issue.message}`,
    );
  };
}

/** Decodes a presence record; throws a DamagedRecordError. */
export const decodePresence = decoderOf(presenceSchema);
/** Decodes a member record; throws a DamagedRecordError. */
export const decodeMember = decoderOf(memberSchema);
/** Decodes the record of the cluster's version; throws a DamagedRecordError. */
export const decodeVersion = decoderOf(versionSchema);
/** Decodes the barrier; throws a DamagedRecordError. */
export const decodeBarrier = decoderOf(barrierSchema);

/** The version of a cluster that has never stored one. */
export const initialVersion = (lowest: number): ClusterVersion => ({
  level: lowest,
  target: lowest,
  phase: 'steady',
  proposal: 0,
  walk: 0,
  verified: 0,
  hold: null,
  token: 0,
});

/** What the keys of this package's records begin with. */
export const rolloutPrefix = 'b/rollout/';

/** Keys of the records. */
export const rolloutKeys = {
  version: `${rolloutPrefix}version`,
  presences: `${rolloutPrefix}presence/`,
  presence: (label: string): string => `${rolloutPrefix}presence/${label}`,
  member: (label: string): string => `${rolloutPrefix}member/${label}`,
  migrations: `${rolloutPrefix}migration/`,
  migration: (shard: string): string => `${rolloutPrefix}migration/${shard}`,
  driver: `${rolloutPrefix}driver`,
};
