/** The levels of stored records, and the features that each level adds. */

/** The levels that a build reads and writes; both bounds are inclusive. */
export interface LevelRange {
  min: number;
  max: number;
}

/** Whether the range includes the level. */
export const covers = (range: LevelRange, level: number): boolean =>
  range.min <= level && level <= range.max;

/** A feature of the stored records. Code checks whether a feature is active and never the version of the build. */
export interface Feature {
  name: string;
  /** The lowest level at which the feature may be written. */
  level: number;
  /** Describes what the feature writes, for operators. */
  writes: string;
  /** Describes how the feature is reverted; null if it is irreversible. */
  undo: string | null;
  /** Whether the features file enables it; otherwise it is always on. */
  isSwitchable: boolean;
}

/** The feature table of the build is inconsistent. */
export class FeatureTableError extends Error {}

/** All features of a build, in ascending order of level. */
export class FeatureTable {
  readonly features: readonly Feature[];

  constructor(features: Feature[]) {
    this.features = [...features].sort((a, b) => a.level - b.level);
    const names = new Set(features.map((feature) => feature.name));
    const levels = new Set(features.map((feature) => feature.level));
    if (names.size < features.length) throw new FeatureTableError('two features have one name');
    if (levels.size < features.length) throw new FeatureTableError('two features have one level');
    if (features.length === 0) throw new FeatureTableError('there are no features');
  }

  /** The lowest level that this build reads. */
  get lowestLevel(): number {
    return this.features[0]?.level ?? 0;
  }

  /** The highest level that this build reads and may write. */
  get highestLevel(): number {
    return this.features[this.features.length - 1]?.level ?? 0;
  }

  /** The feature with this name; undefined if the build has none. */
  find(name: string): Feature | undefined {
    return this.features.find((feature) => feature.name === name);
  }

  /** The highest level below the first disabled feature. */
  enabledLevel(isOn: (name: string) => boolean): number {
    let level = this.lowestLevel;
    for (const feature of this.features) {
      if (feature.isSwitchable && !isOn(feature.name)) return level;
      level = feature.level;
    }
    return level;
  }

  /** The features that are no longer written after the level falls from `from` to `to`; an irreversible one prevents it. */
  disabledByLowering(from: number, to: number): Feature[] {
    return this.features.filter(({ level }) => level > to && level <= from);
  }
}
