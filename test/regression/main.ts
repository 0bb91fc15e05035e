/**
 * `npm run regression -- KIT [--full]`: scores the deployments that every landing is measured on, and compares the figures
 * with the last that the journal has. Exits with 1 for a broken rule, a figure that fell by more than 0.03, or a site that
 * did not run. Not part of CI.
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

const read = (name: string): ScoreEntry =>
  JSON.parse(readFileSync(join(JOURNAL, name), 'utf8')) as ScoreEntry;

function score(kit: string, isFull: boolean): void {
  const sites = SITES.map((site) => join(kit, `${site}.toml`));
  const quick = isFull ? [] : ['--quick'];
  const why = ['--why', 'regression: no figure lower than the last that was recorded'];
  const bench = join(kit, 'more/hunt/bin/fleetbench');
  spawnSync(bench, ['score', ...sites, ...quick, '--jobs', '4', ...why], {
    cwd: ROOT,
    stdio: 'inherit',
  });
}

/** Prints what is wrong with one site's score; true when nothing is. */
function report(site: string, recorded: ScoreEntry[], now: ScoreEntry | undefined): boolean {
  if (now === undefined || !now.ok) {
    console.log(`${site}: did not run: ${now?.error ?? 'no entry in the journal'}`);
    return false;
  }
  const broken = brokenRules(now);
  const falls = findRegressions(recorded, now);
  const against = recorded.map(({ id }) => id).join(', ') || 'nothing recorded';
  console.log(`${site}: ${now.score?.toFixed(3) ?? '-'} against ${against}`);
  for (const rule of broken) console.log(`  rule broken on ${rule}`);
  for (const { figure: what, before, after: after } of falls) {
    console.log(`  ${what}: ${after} after ${before} at the least`);
  }
  return broken.length + falls.length === 0;
}

const [kit, mode] = process.argv.slice(2);
if (kit === undefined) {
  console.error("regression: name the kit's folder: npm run regression -- KIT [--full]");
  process.exit(2);
}
const before = entryNames();
score(resolve(kit), mode === '--full');
const old = before.map(read);
const fresh = entryNames()
  .filter((name) => !before.includes(name))
  .map(read);
const verdicts = SITES.map((path) => {
  const site = path.slice(path.indexOf('/') + 1);
  const now = fresh.find((entry) => entry.site === site);
  return report(site, entriesOfLastSources(old, site), now);
});
process.exit(verdicts.every(Boolean) ? 0 : 1);
