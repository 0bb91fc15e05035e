/**
 * Build step: validates `deploy/features.toml` and writes the names of the enabled features to `target/features.json`, so
 * that a start needs neither the TOML parser nor the file. An error in the file fails the build.
 */
import { existsSync, writeFileSync } from 'node:fs';
import { SettingsError } from '../protocol/settings.js';
import { readFeatureFile } from './featureFile.js';

const SOURCE = 'deploy/features.toml';
const OUTPUT = 'target/features.json';

try {
  const names = existsSync(SOURCE) ? readFeatureFile(SOURCE) : [];
  writeFileSync(OUTPUT, `${JSON.stringify(names)}\n`);
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`barrowlb: ${error.message}\n`);
  process.exit(1);
}
