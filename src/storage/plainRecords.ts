/** Layout 1 of stored records, that of version 0.2. */
import type { JobSpec } from '../protocol/job.js';
import { mapValues } from './mapValues.js';
import type { BucketRecord, JobRecord } from './records.js';

const plainSpec = ({ waitsOn, ...spec }: JobSpec): unknown =>
  waitsOn.length === 0 ? spec : { ...spec, waitsOn };

export const plainJob = (record: JobRecord): unknown =>
  record.spec === null ? record : { ...record, spec: plainSpec(record.spec) };

export const plainBucket = ({ chunks }: BucketRecord): unknown => ({
  chunks: mapValues(chunks, (chunk) => ({ ...chunk, spec: plainSpec(chunk.spec) })),
});
