/** The cluster's version as a node's copy of the records shows it, and what that means for this node. */
import { covers, type FeatureTable, type LevelRange } from './levels.js';
import {
  DamagedRecordError,
  decodeBarrier,
  decodeVersion,
  initialVersion,
  rolloutKeys,
  type ClusterVersion,
} from './records.js';

/** This node must not serve: the records are at a level that it cannot read. */
export interface Refusal {
  level: number;
  range: LevelRange;
}

/** The refusal in words, with what to do about it. */
export const describeRefusal = ({ level, range }: Refusal): string =>
  `the cluster stores records of level ${level}, and this node reads levels ${range.min} to ${range.max}; ` +
  'start it with a build and features that read that level';

/** Follows the version and the barrier in the copy of the records. */
export class VersionTracker {
  private version: ClusterVersion;
  /** Why the stored version cannot be believed; null: it can. */
  damage: string | null = null;
  /** The lowest level that readers need, by the barrier. */
  private barrier = 0;

  constructor(
    private readonly features: FeatureTable,
    private readonly range: LevelRange,
    /** The level of a cluster that has stored no version. */
    private readonly initialLevel: number,
  ) {
    this.version = initialVersion(initialLevel);
  }

  /** The newest version that could be read. */
  get current(): ClusterVersion {
    return this.version;
  }

  /** Whether a feature may be written: its level is reached, and not about to be given up. */
  isActive(name: string): boolean {
    const feature = this.features.find(name);
    if (feature === undefined || this.damage !== null) return false;
    const { level, target } = this.version;
    return feature.level <= Math.min(level, target);
  }

  /** Follows the version's record; null: it has been removed. */
  updateVersion(value: unknown): void {
    if (value === null) {
      this.version = initialVersion(this.initialLevel);
      this.damage = null;
      return;
    }
    try {
      this.version = decodeVersion(rolloutKeys.version, value);
      this.damage = null;
    } catch (error) {
      if (!(error instanceof DamagedRecordError)) throw error;
      // What was known before still holds: nobody raises or lowers the level while its record is damaged.
      this.damage = error.message;
    }
  }

  /** Follows the barrier's record; one that cannot be read is taken for the highest. */
  updateBarrier(key: string, value: unknown): void {
    if (value === null) {
      this.barrier = 0;
      return;
    }
    try {
      this.barrier = decodeBarrier(key, value).readers;
    } catch (error) {
      if (!(error instanceof DamagedRecordError)) throw error;
      this.barrier = Infinity;
    }
  }

  /** Why this node must not serve; null: it may. */
  get refusal(): Refusal | null {
    const level = this.damage === null ? this.version.level : this.barrier;
    const needed = Math.max(level, this.barrier);
    if (needed === 0 || covers(this.range, needed)) return null;
    return { level: needed, range: this.range };
  }
}
