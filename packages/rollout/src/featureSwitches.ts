/** The file that switches on what is new: `deploy/features.toml`. */
import { closest } from 'fastest-levenshtein';
import { parse } from 'smol-toml';

/** The features file is faulty; the message says where. */
export class FeatureFileError extends Error {}

/** What is switched on; everything that the file does not name is off. */
export class FeatureSwitches {
  constructor(private readonly on: ReadonlySet<string> = new Set()) {}

  /** Whether a feature is switched on. */
  isOn(name: string): boolean {
    return this.on.has(name);
  }

  /** The features that are on, sorted. */
  get names(): string[] {
    return [...this.on].sort();
  }
}

const TABLE = 'features';

/**
 * Reads the file strictly: an unknown name is refused, since it would silently switch on nothing.
 * @throws {FeatureFileError} if the file is not as it must be.
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
