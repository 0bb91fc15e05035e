/** Puts together what the stored records tell of the cluster, for planning and for operators. */
import { readProgress } from './migration/migrator.js';
import {
  DamagedRecordError,
  decodeMember,
  decodePresence,
  rolloutKeys,
  type ClusterVersion,
} from './records.js';
import type { StoredRecord, RecordCopy } from './store.js';
import { unchanged } from './store.js';
import type { ClusterSnapshot, NodeView, OwnerView } from './versionPlan.js';

/** What the service knows beside the records of this package. */
export interface ServiceView {
  /** All nodes of the settings. */
  nodes: string[];
  parts: string[];
  heardProcess(label: string): string | null;
  owner(part: string): OwnerView;
}

/** The value of a record that can be read; null for a damaged one. */
function readable<Value>(
  stored: StoredRecord | undefined,
  decode: (value: unknown) => Value,
): Value | null {
  if (stored === undefined) return null;
  try {
    return decode(stored.value);
  } catch (error) {
    if (error instanceof DamagedRecordError) return null;
    throw error;
  }
}

export function viewNode(
  copy: Pick<RecordCopy, 'get'>,
  label: string,
  heardProcess: string | null,
): NodeView {
  const key = rolloutKeys.presence(label);
  const memberKey = rolloutKeys.member(label);
  const stored = copy.get(key);
  const value = readable(stored, (raw) => decodePresence(key, raw));
  const member = readable(copy.get(memberKey), (raw) => decodeMember(memberKey, raw));
  const presence =
    stored === undefined || value === null ? null : { value, revision: stored.revision };
  return { label, presence, isKnown: member !== null, heardProcess };
}

export function viewCluster(
  copy: Pick<RecordCopy, 'get'>,
  service: ServiceView,
  version: ClusterVersion,
  damage: string | null,
): ClusterSnapshot {
  const walks = service.parts.map((part) => ({
    part,
    progress: readProgress(copy, part, version.walk),
  }));
  const quarantined = walks.flatMap(({ part, progress }) => [
    ...Object.keys(progress.quarantined),
    ...(progress.unnamed > 0 ? [`${progress.unnamed} more of ${part}`] : []),
  ]);
  return {
    version,
    damage,
    versionCondition: unchanged(copy, rolloutKeys.version),
    nodes: service.nodes.map((label) => viewNode(copy, label, service.heardProcess(label))),
    owners: service.parts.map((part) => service.owner(part)),
    walk: {
      unfinished: walks.filter(({ progress }) => !progress.isFinished).map(({ part }) => part),
      quarantined,
    },
  };
}
