/** Builds a view of the cluster from the cached records, for planning the version's next change and for operators. */
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

/** Information from the service that the records of this package do not contain. */
export interface ServiceView {
  /** Labels of all nodes in the settings. */
  nodes: string[];
  /** Labels of all shards, and of the roles that are led like shards. */
  shards: string[];
  /** The process that sends a node's messages; null if none arrived recently. */
  observedProcess(label: string): string | null;
  /** The leader of a shard, according to its leader key. */
  ownerOf(shard: string): OwnerView;
}

/** The view of one node from its records; `observedProcess` as in `ServiceView`. */
export function viewNode(
  cache: Pick<RecordCache, 'get'>,
  label: string,
  observedProcess: string | null,
): NodeView {
  const key = rolloutKeys.presence(label);
  const memberKey = rolloutKeys.member(label);
  const stored = cache.get(key);
  const member = cache.get(memberKey);
  const hasPublished =
    member !== undefined && decodeOrNull(() => decodeMember(memberKey, member.value)) !== null;
  if (stored === undefined) return { label, presence: null, hasPublished, observedProcess };
  const value = decodeOrNull(() => decodePresence(key, stored.value));
  const presence = value === null ? null : { value, revision: stored.revision };
  return { label, presence, hasPublished, observedProcess };
}

/** The view of the whole cluster. `damage`: why the stored version record is invalid; null if it is valid. */
export function viewCluster(
  cache: Pick<RecordCache, 'get'>,
  service: ServiceView,
  version: ClusterVersion,
  damage: string | null,
): ClusterSnapshot {
  const passes = service.shards.map((shard) => ({
    shard,
    progress: readProgress(cache, shard, version.walk),
  }));
  const quarantined = passes.flatMap(({ shard, progress }) => [
    ...Object.keys(progress.quarantined),
    ...(progress.unnamed > 0 ? [`${progress.unnamed} more of ${shard}`] : []),
  ]);
  return {
    version,
    damage,
    versionCondition: unchangedCondition(cache, rolloutKeys.version),
    nodes: service.nodes.map((label) => viewNode(cache, label, service.observedProcess(label))),
    owners: service.shards.map((shard) => service.ownerOf(shard)),
    migration: {
      unfinished: passes.filter(({ progress }) => !progress.isFinished).map(({ shard }) => shard),
      quarantined,
    },
  };
}
