/** The stored records of the cluster's version: their keys, schemas and decoders. */
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
    /** The number of the migration pass; incremented to start a pass over all records. */
    walk: counter,
    /** The proposal for which verification found no record in another form; 0 if not verified. */
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

/** The levels that a node reads and wants, and its latest answer; stored under the lease of its process. */
export type Presence = v.InferOutput<typeof presenceSchema>;
/** The same without a lease: a node that is down still belongs to the cluster. */
export type Member = v.InferOutput<typeof memberSchema>;
/** The version of the cluster: the level of its stored records, and the change in progress. */
export type ClusterVersion = v.InferOutput<typeof versionSchema>;
/** A hold, which keeps the level from rising. `at`: wall-clock time in seconds. */
export type Hold = NonNullable<ClusterVersion['hold']>;
/** The barrier record: the level that a process must be able to read. */
export type Barrier = v.InferOutput<typeof barrierSchema>;

/** A stored record does not match its schema. */
export class DamagedRecordError extends Error {
  constructor(
    readonly key: string,
    reason: string,
  ) {
    super(`the record ${key} is damaged: ${reason}`);
  }
}

/** Runs a decoder; null if it throws a DamagedRecordError. Other errors propagate. */
export function decodeOrNull<Value>(decode: () => Value): Value | null {
  try {
    return decode();
  } catch (error) {
    if (error instanceof DamagedRecordError) return null;
    throw error;
  }
}

/** Creates a decoder for a schema; the decoder throws a DamagedRecordError that names the record and the invalid field. */
export function decoderOf<Schema extends v.GenericSchema>(
  schema: Schema,
): (key: string, value: unknown) => v.InferOutput<Schema> {
  return (key, value) => {
    const result = v.safeParse(schema, value);
    if (result.success) return result.output;
    const issue = result.issues[0];
    const path = v.getDotPath(issue);
    throw new DamagedRecordError(key, path === null ? issue.message : `${path}: ${issue.message}`);
  };
}

/** Decodes a presence record; throws a DamagedRecordError. */
export const decodePresence = decoderOf(presenceSchema);
/** Decodes a member record; throws a DamagedRecordError. */
export const decodeMember = decoderOf(memberSchema);
/** Decodes the record of the cluster's version; throws a DamagedRecordError. */
export const decodeVersion = decoderOf(versionSchema);
/** Decodes the barrier record; throws a DamagedRecordError. */
export const decodeBarrier = decoderOf(barrierSchema);

/** The version of a cluster without a stored version record. */
export const initialVersion = (initialLevel: number): ClusterVersion => ({
  level: initialLevel,
  target: initialLevel,
  phase: 'steady',
  proposal: 0,
  walk: 0,
  verified: 0,
  hold: null,
  token: 0,
});

/** The common prefix of the keys of this package's records. */
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
