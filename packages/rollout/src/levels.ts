/** Levels of what may be stored, and the features that are written from each level on. */

/** The levels that a build reads and writes, both included. */
export interface LevelRange {
  min: number;
  max: number;
}

/** Whether a level is within a range. */
export const covers = (range: LevelRange, level: number): boolean =>
  range.min <= level && level <= range.max;

/** One feature; behaviour asks for its gate and never for the version of a build. */
export interface Feature {
  name: string;
  /** From this level on it may be written. */
  level: number;
  /** What it writes, for operators. */
  writes: string;
  /** How it is taken back; null: it cannot be. */
  undo: string | null;
  /** Switched by the features file; the others are part of the build. */
  isSwitched: boolean;
}

/** A build names its features inconsistently. */
export class FeatureTableError extends Error {}

/** All features of a build, by rising level. */
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

  /** The feature of that name. */
  find(name: string): Feature | undefined {
    return this.features.find((feature) => feature.name === name);
  }

  /** The highest level that may be used: up to the first feature that is switched off. */
  enabledLevel(isOn: (name: string) => boolean): number {
    let level = this.lowestLevel;
    for (const feature of this.features) {
      if (feature.isSwitched && !isOn(feature.name)) return level;
      level = feature.level;
    }
    return level;
  }

  /** Features that stop being written when the level falls so far; those that cannot be undone make it impossible. */
  disabledByLowering(from: number, to: number): Feature[] {
    return this.features.filter(({ level }) => level > to && level <= from);
  }
}
