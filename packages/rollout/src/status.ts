/** The status of the cluster's version for operators: the version, the blockers of its next change and their age. */
import type { FeatureTable } from './levels.js';
import { readProgress } from './migration/migrator.js';
import type { ClusterVersion } from './records.js';
import type { RecordCache } from './store.js';
import {
  planVersion,
  type Blocker,
  type ClusterSnapshot,
  type PlanOptions,
} from './versionPlan.js';

/** The progress of a feature. */
export type FeatureStep = 'can be read' | 'may be written' | 'migrated' | 'being taken back';

/** A feature of the build and its progress in this cluster. */
export interface FeatureStatus {
  name: string;
  level: number;
  writes: string;
  step: FeatureStep;
  isReversible: boolean;
}

/** The values that a node of the settings publishes. */
export interface NodeStatus {
  label: string;
  /** The levels that the node reads; null if it publishes none. */
  reads: { min: number; max: number } | null;
  wants: number | null;
  process: string | null;
  answer: number | null;
}

/** The progress of the conversion of a shard's records; the field names are part of the HTTP interface. */
export interface PartStatus {
  part: string;
  isFinished: boolean;
  converted: number;
  quarantined: Record<string, string>;
  unnamed: number;
}

/** The response of `GET /v1/rollout`; the field names are part of that interface. */
export interface RolloutStatus {
  version: ClusterVersion;
  damage: string | null;
  features: FeatureStatus[];
  nodes: NodeStatus[];
  parts: PartStatus[];
  /** The reasons why the next change of the level has to wait, and since when. */
  blockers: (Blocker & { since: number })[];
}

/** Records since when this node has observed each blocker. */
export class BlockerHistory {
  private readonly since = new Map<string, number>();

  /** Adds to each blocker the wall-clock time since which it has been present without interruption. */
  update(blockers: Blocker[], wallTime: number): (Blocker & { since: number })[] {
    const keyOf = ({ cause, subject }: Blocker): string => `${cause} ${subject}`;
    const present = new Set(blockers.map(keyOf));
    for (const key of [...this.since.keys()]) if (!present.has(key)) this.since.delete(key);
    return blockers.map((blocker) => {
      const since = this.since.get(keyOf(blocker)) ?? wallTime;
      this.since.set(keyOf(blocker), since);
      return { ...blocker, since };
    });
  }
}

function featureStep(level: number, version: ClusterVersion): FeatureStep {
  if (level > version.level) return 'can be read';
  if (level > version.target) return 'being taken back';
  const isVerified = version.walk > 0 && version.verified === version.proposal;
  return isVerified ? 'migrated' : 'may be written';
}

/** The blockers of the next change of the version. */
export function blockersOf(snapshot: ClusterSnapshot, options: PlanOptions): Blocker[] {
  const decision = planVersion(snapshot, options);
  return decision.kind === 'wait' ? decision.blockers : [];
}

/** The input for `rolloutStatus`. */
export interface StatusSource {
  cache: Pick<RecordCache, 'get'>;
  snapshot: ClusterSnapshot;
  features: FeatureTable;
  shards: string[];
  blockers: (Blocker & { since: number })[];
}

/** Builds the status. */
export function rolloutStatus(source: StatusSource): RolloutStatus {
  const { snapshot, features, blockers } = source;
  const { version, damage } = snapshot;
  return {
    version,
    damage,
    features: features.features.map(({ name, level, writes, undo }) => ({
      ...{ name, level, writes },
      step: featureStep(level, version),
      isReversible: undo !== null,
    })),
    nodes: snapshot.nodes.map(({ label, presence }) => ({
      label,
      reads: presence === null ? null : { min: presence.value.min, max: presence.value.max },
      wants: presence?.value.wants ?? null,
      process: presence?.value.process ?? null,
      answer: presence?.value.answer ?? null,
    })),
    parts: source.shards.map((shard) => {
      const { isFinished, converted, quarantined, unnamed } = readProgress(
        source.cache,
        shard,
        version.walk,
      );
      return { part: shard, isFinished, converted, quarantined, unnamed };
    }),
    blockers,
  };
}
