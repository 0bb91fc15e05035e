/**
 * Part of the build: checks `deploy/features.toml` and notes what is switched on, so that neither the parser nor the file
 * is needed at a start. A fault in the file ends the build.
 */
import { existsSync, writeFileSync } from 'node:fs';
import { SettingsError } from '../protocol/settings.js';
import { readFeatureFile } from './featureFile.js';

const SOURCE = 'deploy/features.toml';
const BUILT = 'target/features.json';

try {
  const names = existsSync(SOURCE) ? readFeatureFile(SOURCE) : [];
  writeFileSync(BUILT, `${JSON.stringify(names)}\n`);
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`barrowlb: ${error.message}\n`);
  process.exit(1);
}
