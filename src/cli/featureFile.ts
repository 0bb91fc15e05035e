/** Reads the features file for a start or for a build. */
import { FeatureFileError } from '@barrowlb/rollout';
import { parseFeatures } from '../coordination/rollout/featureTable.js';
import { readTextFile, SettingsError } from '../protocol/settings.js';

/** Names of what is switched on. */
export function readFeatureFile(path: string): string[] {
  try {
    return parseFeatures(readTextFile(path)).names;
  } catch (error) {
    if (error instanceof FeatureFileError) throw new SettingsError(error.message);
    throw error;
  }
}
