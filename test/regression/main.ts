/**
 * `npm run regression -- KIT [--full]`: scores the reference deployments and compares the figures with the last ones in the
 * journal. Exits with 1 for a broken rule, a figure that fell by more than 0.03, or a site that did not run. Not part of CI.
 */
import { spawnSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import {
  brokenRules,
  findRegressions,
  entriesOfLastSources,
  type ScoreEntry,
} from './comparison.js';

const ROOT = resolve(import.meta.dirname, '../../../..');
const JOURNAL = join(ROOT, 'journal');
const SITES = [
  'lean/pantrack-rehearsals-lean',
  'lean/putnik-quotes-lean',
  'change/pantrack-rehearsals-next',
  'change/putnik-quotes-next',
];

const entryNames = (): string[] =>
  readdirSync(JOURNAL)
    .filter((name) => name.endsWith('.json'))
    .sort();

const readEntry = (name: string): ScoreEntry =>
  JSON.parse(readFileSync(join(JOURNAL, name), 'utf8')) as ScoreEntry;

function runScore(kit: string, isFull: boolean): void {
  const sites = SITES.map((site) => join(kit, `${site}.toml`));
  const quick = isFull ? [] : ['--quick'];
  const why = ['--why', 'regression: no figure lower than the last that was recorded'];
  const bench = join(kit, 'more/hunt/bin/fleetbench');
  spawnSync(bench, ['score', ...sites, ...quick, '--jobs', '4', ...why], {
    cwd: ROOT,
    stdio: 'inherit',
  });
}

/** Prints the regressions and broken rules of one site's score; returns true if there are none. */
function report(site: string, recorded: ScoreEntry[], now: ScoreEntry | undefined): boolean {
  if (now === undefined || !now.ok) {
    console.log(`${site}: did not run: ${now?.error ?? 'no entry in the journal'}`);
    return false;
  }
  const broken = brokenRules(now);
  const regressions = findRegressions(recorded, now);
  const against = recorded.map(({ id }) => id).join(', ') || 'nothing recorded';
  console.log(`${site}: ${now.score?.toFixed(3) ?? '-'} against ${against}`);
  for (const rule of broken) console.log(`  rule broken on ${rule}`);
  for (const { figure, before, after } of regressions) {
    console.log(`  ${figure}: ${after} after ${before} at the least`);
  }
  return broken.length + regressions.length === 0;
}

const [kit, mode] = process.argv.slice(2);
if (kit === undefined) {
  console.error("regression: name the kit's folder: npm run regression -- KIT [--full]");
  process.exit(2);
}
const namesBefore = entryNames();
runScore(resolve(kit), mode === '--full');
const entriesBefore = namesBefore.map(readEntry);
const newEntries = entryNames()
  .filter((name) => !namesBefore.includes(name))
  .map(readEntry);
const verdicts = SITES.map((path) => {
  const site = path.slice(path.indexOf('/') + 1);
  const now = newEntries.find((entry) => entry.site === site);
  return report(site, entriesOfLastSources(entriesBefore, site), now);
});
process.exit(verdicts.every(Boolean) ? 0 : 1);
