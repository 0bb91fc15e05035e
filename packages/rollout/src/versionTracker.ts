/** Tracks the cluster's version in a node's cache, and whether this node may write a feature or must not serve. */
import { covers, type FeatureTable, type LevelRange } from './levels.js';
import {
  DamagedRecordError,
  decodeBarrier,
  decodeVersion,
  initialVersion,
  rolloutKeys,
  type ClusterVersion,
} from './records.js';

/** The reason why this node must not serve: it cannot read the level of the stored records. */
export interface Refusal {
  level: number;
  range: LevelRange;
}

/** A log message for the refusal, with the remedy. */
export const describeRefusal = ({ level, range }: Refusal): string =>
  `the cluster stores records of level ${level}, and this node reads levels ${range.min} to ${range.max}; ` +
  'start it with a build and features that read that level';

/** Tracks the version record and the barrier record. */
export class VersionTracker {
  private version: ClusterVersion;
  /** Why the stored version record is invalid; null if it is valid. */
  damage: string | null = null;
  /** The level that the barrier requires; 0 without a barrier. */
  private barrier = 0;

  constructor(
    private readonly features: FeatureTable,
    private readonly range: LevelRange,
    /** The level of a cluster without a stored version record. */
    private readonly initialLevel: number,
  ) {
    this.version = initialVersion(initialLevel);
  }

  /** The most recent valid version. */
  get current(): ClusterVersion {
    return this.version;
  }

  /** Whether a feature may be written: its level is reached and not being lowered. */
  isActive(name: string): boolean {
    const feature = this.features.find(name);
    if (feature === undefined || this.damage !== null) return false;
    const { level, target } = this.version;
    return feature.level <= Math.min(level, target);
  }

  /** Handles a new value of the version record; null if it was deleted. */
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
      // The previous version stays valid, because no node changes the level while the record is damaged.
      this.damage = error.message;
    }
  }

  /** Handles a new value of the barrier record; a damaged one is treated as a barrier that no node passes. */
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

  /** Why this node must not serve; null if it may. */
  get refusal(): Refusal | null {
    const level = this.damage === null ? this.version.level : this.barrier;
    const requiredLevel = Math.max(level, this.barrier);
    if (requiredLevel === 0 || covers(this.range, requiredLevel)) return null;
    return { level: requiredLevel, range: this.range };
  }
}
