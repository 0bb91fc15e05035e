/** The state of the cluster's version for operators: what it is, and what holds it back since when. */
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

/** How far a feature has come. */
export type FeatureStep = 'can be read' | 'may be written' | 'migrated' | 'being taken back';

/** One feature of the build, and how far it has come in this cluster. */
export interface FeatureStatus {
  name: string;
  level: number;
  writes: string;
  step: FeatureStep;
  isReversible: boolean;
}

/** What a node of the settings publishes. */
export interface NodeStatus {
  label: string;
  /** Levels that it reads, or null while it publishes none. */
  reads: { min: number; max: number } | null;
  wants: number | null;
  process: string | null;
  answer: number | null;
}

/** How far the conversion of a shard's records has come; the names are those of the HTTP interface. */
export interface PartStatus {
  part: string;
  isFinished: boolean;
  converted: number;
  quarantined: Record<string, string>;
  unnamed: number;
}

/** The answer to `GET /v1/rollout`; the names are part of that interface. */
export interface RolloutStatus {
  version: ClusterVersion;
  damage: string | null;
  features: FeatureStatus[];
  nodes: NodeStatus[];
  parts: PartStatus[];
  /** What the next change of the level waits for. */
  blockers: (Blocker & { since: number })[];
}

/** Remembers since when each thing holds the cluster back, as far as this node has seen. */
export class BlockerHistory {
  private readonly since = new Map<string, number>();

  /** The blockers with the time of day at which each was first seen without a break. */
  update(blockers: Blocker[], wall: number): (Blocker & { since: number })[] {
    const keyOf = ({ cause, subject }: Blocker): string => `${cause} ${subject}`;
    const present = new Set(blockers.map(keyOf));
    for (const key of [...this.since.keys()]) if (!present.has(key)) this.since.delete(key);
    return blockers.map((blocker) => {
      const since = this.since.get(keyOf(blocker)) ?? wall;
      this.since.set(keyOf(blocker), since);
      return { ...blocker, since };
    });
  }
}

function stepOf(level: number, version: ClusterVersion): FeatureStep {
  if (level > version.level) return 'can be read';
  if (level > version.target) return 'being taken back';
  const isVerified = version.walk > 0 && version.verified === version.proposal;
  return isVerified ? 'migrated' : 'may be written';
}

/** What holds the next change back. */
export function blockersOf(snapshot: ClusterSnapshot, options: PlanOptions): Blocker[] {
  const decision = planVersion(snapshot, options);
  return decision.kind === 'wait' ? decision.blockers : [];
}

/** What the status is put together from. */
export interface StatusSource {
  copy: Pick<RecordCache, 'get'>;
  snapshot: ClusterSnapshot;
  features: FeatureTable;
  shards: string[];
  blockers: (Blocker & { since: number })[];
}

/** Puts the status together. */
export function rolloutStatus(source: StatusSource): RolloutStatus {
  const { snapshot, features, blockers } = source;
  const { version, damage } = snapshot;
  return {
    version,
    damage,
    features: features.features.map(({ name, level, writes, undo }) => ({
      ...{ name, level, writes },
      step: stepOf(level, version),
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
        source.copy,
        shard,
        version.walk,
      );
      return { part: shard, isFinished, converted, quarantined, unnamed };
    }),
    blockers,
  };
}
