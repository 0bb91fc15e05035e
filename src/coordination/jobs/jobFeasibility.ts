/** Determines whether a job can ever run in this cluster, and in which zones. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { JobSpec } from '../../protocol/job.js';
import type { Settings } from '../../protocol/settings.js';
import { FRAGMENT_ESCAPE_RATIO, type RecordFormat } from '../../storage/recordFormat.js';
import type { ClusterTotals } from '../quota/clusterTotals.js';
import { limitOf } from '../quota/quotaShares.js';
import { fits } from '../model/resources.js';
import { satisfiesConstraints } from '../scheduling/placement.js';

/** Dependencies of the feasibility checks. */
export interface FeasibilityContext {
  readonly settings: Pick<Settings, 'teams' | 'zones'>;
  readonly recordFormat: RecordFormat;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  readonly clusterTotals: Pick<ClusterTotals, 'serviceHeadroomIn'>;
}

/** Why a job can never run; null if it can. */
export function infeasibilityReason(context: FeasibilityContext, spec: JobSpec): string | null {
  const { settings } = context;
  const quotaReason = quotaInfeasibility(context, spec);
  if (quotaReason !== null) return quotaReason;
  if (spec.isGang && !isGangRecordable(context.recordFormat, spec)) {
    return 'a gang of this size cannot be recorded';
  }
  if (spec.zone !== null && !settings.zones.includes(spec.zone)) {
    return `unknown zone ${spec.zone}`;
  }
  return feasibleZones(context, spec).length > 0 ? null : 'a task fits no allowed machine type';
}

/** Why the job's concurrent tasks can never fit into its team's limit; null if they can. */
function quotaInfeasibility({ settings }: FeasibilityContext, spec: JobSpec): string | null {
  const team = settings.teams.find(({ name }) => name === spec.team);
  if (team === undefined) return `unknown team ${spec.team}`;
  const limit = limitOf(team);
  const exceedsLimit = (tasks: number): boolean =>
    spec.cpus * tasks > limit.cpus || spec.gpus * tasks > limit.gpus;
  if (exceedsLimit(spec.isService ? spec.taskCount : 1)) {
    return `needs more than the limit of team ${spec.team}`;
  }
  if (spec.isGang && exceedsLimit(spec.taskCount)) {
    return `all of the gang together need more than the limit of team ${spec.team}`;
  }
  return null;
}

/** Whether a gang fits into one record: it is a single chunk, whose record holds an entry for each running task. */
const isGangRecordable = (recordFormat: RecordFormat, spec: JobSpec): boolean =>
  spec.taskCount * recordFormat.sizes.taskBytes * FRAGMENT_ESCAPE_RATIO <=
  recordFormat.maxRecordBytes(1);

/** Zones that have a machine type which can hold a task; those with the most headroom come first. */
export function feasibleZones(context: FeasibilityContext, spec: JobSpec): string[] {
  const headroom = new Map<string, number>();
  for (const machineType of context.machineTypes.values()) {
    if (!fits(machineType, spec)) continue;
    for (const zone of machineType.zones) {
      const machine = { type: machineType.name, zone, spot: false };
      if (satisfiesConstraints(spec, null, machine)) headroom.set(zone, 0);
    }
  }
  for (const zone of headroom.keys()) {
    headroom.set(zone, context.clusterTotals.serviceHeadroomIn(zone));
  }
  const zones = [...headroom.keys()].sort();
  // Among zones with equal headroom, the job's id determines the first one.
  const first = zones[idHash(spec.id) % Math.max(1, zones.length)];
  return zones.sort(
    (a, b) =>
      (headroom.get(b) ?? 0) - (headroom.get(a) ?? 0) || Number(b === first) - Number(a === first),
  );
}

/** A hash that spreads job ids evenly. */
const idHash = (id: string): number =>
  Array.from(id).reduce((hash, character) => (hash * 31 + character.charCodeAt(0)) % 65521, 7);
