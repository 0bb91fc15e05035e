/** Whether a job that names others may be accepted, and how these stand (safety, P5). */
import type { JobSpec } from '../../protocol/job.js';
import type { JobRecord } from '../../storage/records.js';

/** What is needed to look jobs up. */
export interface DependencyLookup {
  /** This node's copy of a job's record. */
  cachedRecord(job: string): JobRecord | undefined;
  /** The stored record; null when there is none, undefined when that can't be told. */
  fetchRecord(job: string): Promise<JobRecord | null | undefined>;
}

/** How the jobs that a job names stand. */
export type DependencyCheck =
  /** All are known and none is cancelled; `pending` are not done. */
  | { kind: 'open'; pending: string[] }
  | { kind: 'cancelled' }
  | { kind: 'refused'; reason: string }
  /** The store can't be asked. */
  | { kind: 'unavailable' };

/** How the jobs that a job names stand. Only the store can tell that one was never accepted. */
export async function checkDependencies(
  spec: JobSpec,
  lookup: DependencyLookup,
): Promise<DependencyCheck> {
  const pending: string[] = [];
  let isCancelled = false;
  for (const need of spec.dependencies) {
    if (need === spec.id) return { kind: 'refused', reason: 'it waits for itself' };
    const record = lookup.cachedRecord(need) ?? (await lookup.fetchRecord(need));
    if (record === undefined) return { kind: 'unavailable' };
    if (record === null) return { kind: 'refused', reason: `no job ${need} to wait for` };
    if (record.spec?.isService === true) {
      return { kind: 'refused', reason: `${need} is a service and is never done` };
    }
    if (record.state === 'open') pending.push(need);
    isCancelled ||= record.state === 'cancelled';
  }
  return isCancelled ? { kind: 'cancelled' } : { kind: 'open', pending };
}
