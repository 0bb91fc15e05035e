/** The machine types that a job may use, without names that the cloud does not list. */
import type { JobSpec } from '../../protocol/job.js';

/**
 * The description without repeated and unknown names of machine types: a submission may name thousands, and the description is part
 * of many records and messages. A list without any known name is left as it is.
 */
export function withKnownMachineTypes(
  spec: JobSpec,
  machineTypes: { has(name: string): boolean },
): JobSpec {
  const { machineTypes: allowed } = spec;
  if (allowed === null) return spec;
  const known = [...new Set(allowed)].filter((name) => machineTypes.has(name));
  const isUnchanged = known.length === 0 || known.length === allowed.length;
  return isUnchanged ? spec : { ...spec, machineTypes: known };
}
