/** Checks the dependencies of a submitted job: whether they allow it to be accepted, and which are pending (safety, P5). */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';

/** Looks up the records of jobs. */
export interface DependencyLookup {
  /** The cached record of a job. */
  cachedRecord(job: string): JobRecord | undefined;
  /** Reads a job's stored record; null if there is none, undefined if the state service cannot be read. */
  fetchRecord(job: string): Promise<JobRecord | null | undefined>;
}

/** Result of checking a job's dependencies. */
export type DependencyCheck =
  /** All exist and none is cancelled; `pending` are not done. */
  | { kind: 'open'; pending: string[] }
  | { kind: 'cancelled' }
  | { kind: 'refused'; reason: string }
  /** The state service cannot be read. */
  | { kind: 'unavailable' };

/** Checks a job's dependencies. Only the state service can tell that a job was never accepted. */
export async function checkDependencies(
  spec: JobSpec,
  lookup: DependencyLookup,
): Promise<DependencyCheck> {
  const pending: string[] = [];
  let isCancelled = false;
  for (const dependency of spec.dependencies) {
    if (dependency === spec.id) return { kind: 'refused', reason: 'it waits for itself' };
    const record = lookup.cachedRecord(dependency) ?? (await lookup.fetchRecord(dependency));
    if (record === undefined) return { kind: 'unavailable' };
    if (record === null) return { kind: 'refused', reason: `no job ${dependency} to wait for` };
    if (record.spec?.isService === true) {
      return { kind: 'refused', reason: `${dependency} is a service and is never done` };
    }
    if (record.state === 'open') pending.push(dependency);
    isCancelled ||= record.state === 'cancelled';
  }
  return isCancelled ? { kind: 'cancelled' } : { kind: 'open', pending };
}
