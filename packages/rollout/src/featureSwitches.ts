/** The features file `deploy/features.toml`, which enables features. */
import { closest } from 'fastest-levenshtein';
import { parse } from 'smol-toml';

/** The features file is invalid; the message says what is wrong. */
export class FeatureFileError extends Error {}

/** The enabled features; features that the file does not name are off. */
export class FeatureSwitches {
  constructor(private readonly on: ReadonlySet<string> = new Set()) {}

  /** Whether the feature is enabled. */
  isOn(name: string): boolean {
    return this.on.has(name);
  }

  /** The names of the enabled features, sorted. */
  get names(): string[] {
    return [...this.on].sort();
  }
}

const TABLE = 'features';

/**
 * Parses the file strictly: an unknown name is an error, because a misspelt feature would silently stay off.
 * @throws {FeatureFileError} if the file is invalid.
 */
export function parseFeatureFile(text: string, known: readonly string[]): FeatureSwitches {
  const file = parseToml(text);
  for (const name of Object.keys(file)) {
    if (name !== TABLE) throw new FeatureFileError(`features file: unknown table or key "${name}"`);
  }
  const table = file[TABLE] ?? {};
  if (typeof table !== 'object' || Array.isArray(table) || table instanceof Date) {
    throw new FeatureFileError(`features file: [${TABLE}] is not a table`);
  }
  const on = new Set<string>();
  for (const [name, value] of Object.entries(table)) {
    if (!known.includes(name)) throw new FeatureFileError(unknownFeature(name, known));
    if (typeof value !== 'boolean') {
      throw new FeatureFileError(`features file: ${name}: expected true or false`);
    }
    if (value) on.add(name);
  }
  return new FeatureSwitches(on);
}

function parseToml(text: string): Record<string, unknown> {
  try {
    return parse(text);
  } catch (error) {
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    throw new FeatureFileError(`features file is not TOML: ${reason}`);
  }
}

function unknownFeature(name: string, known: readonly string[]): string {
  if (known.length === 0) return `features file: unknown feature "${name}"`;
  return `features file: unknown feature "${name}"; did you mean "${closest(name, [...known])}"?`;
}
