/** Puts together what the stored records tell of the cluster, for planning and for operators. */
import { readProgress } from './migration/migrator.js';
import {
  decodeMember,
  decodePresence,
  decodeOrNull,
  rolloutKeys,
  type ClusterVersion,
} from './records.js';
import { unchangedCondition, type RecordCache } from './store.js';
import type { ClusterSnapshot, NodeView, OwnerView } from './versionPlan.js';

/** What the service knows beside the records of this package. */
export interface ServiceView {
  /** All nodes of the settings. */
  nodes: string[];
  /** All shards, and the duties that have a leader as shards do. */
  shards: string[];
  /** The process that a node's messages come from; null: not heard of lately. */
  observedProcess(label: string): string | null;
  /** Who leads a shard, by its leader key. */
  ownerOf(shard: string): OwnerView;
}

/** What is known of a node, by its records; `heardProcess` as the service hears of it. */
export function viewNode(
  copy: Pick<RecordCache, 'get'>,
  label: string,
  heardProcess: string | null,
): NodeView {
  const key = rolloutKeys.presence(label);
  const memberKey = rolloutKeys.member(label);
  const stored = copy.get(key);
  const member = copy.get(memberKey);
  const isKnown =
    member !== undefined && decodeOrNull(() => decodeMember(memberKey, member.value)) !== null;
  if (stored === undefined)
    return { label, presence: null, hasPublished: isKnown, observedProcess: heardProcess };
  const value = decodeOrNull(() => decodePresence(key, stored.value));
  const presence = value === null ? null : { value, revision: stored.revision };
  return { label, presence, hasPublished: isKnown, observedProcess: heardProcess };
}

/** The cluster as the records show it. `damage`: why the stored version cannot be believed. */
export function viewCluster(
  copy: Pick<RecordCache, 'get'>,
  service: ServiceView,
  version: ClusterVersion,
  damage: string | null,
): ClusterSnapshot {
  const walks = service.shards.map((shard) => ({
    shard,
    progress: readProgress(copy, shard, version.walk),
  }));
  const quarantined = walks.flatMap(({ shard, progress }) => [
    ...Object.keys(progress.quarantined),
    ...(progress.unnamed > 0 ? [`${progress.unnamed} more of ${shard}`] : []),
  ]);
  return {
    version,
    damage,
    versionCondition: unchangedCondition(copy, rolloutKeys.version),
    nodes: service.nodes.map((label) => viewNode(copy, label, service.observedProcess(label))),
    owners: service.shards.map((shard) => service.ownerOf(shard)),
    migration: {
      unfinished: walks.filter(({ progress }) => !progress.isFinished).map(({ shard }) => shard),
      quarantined,
    },
  };
}
