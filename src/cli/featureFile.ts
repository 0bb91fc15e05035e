/** Reads the features file at startup or during the build. */
import { FeatureFileError } from '@barrowlb/rollout';
import { parseFeatures } from '../coordination/rollout/featureTable.js';
import { readTextFile, SettingsError } from '../protocol/settings.js';

/**
 * Reads the file and returns the names of the enabled features.
 * @throws {SettingsError} if the file cannot be read or is invalid.
 */
export function readFeatureFile(path: string): string[] {
  try {
    return parseFeatures(readTextFile(path)).names;
  } catch (error) {
    if (error instanceof FeatureFileError) throw new SettingsError(error.message);
    throw error;
  }
}
