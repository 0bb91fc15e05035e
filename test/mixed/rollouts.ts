/** Plays rollouts from version 0.3.0, and every fifth from production: `npm run rollouts -- FIRST COUNT`. */
import { setLogLevel } from '../../src/base/log.js';
import { earlierBuild } from './mixedTrial.js';
import { buildCommit, buildProduction, RELEASE_0_3 } from './productionBuild.js';
import { kindOf, runRollout } from './rolloutTrial.js';

/** One in so many begins with the version in production. */
const PRODUCTION_TURN = 5;

setLogLevel('error');
const [first = 1, count = 10] = process.argv.slice(2).map(Number);
const release = await earlierBuild(buildCommit(RELEASE_0_3));
const production = await earlierBuild(buildProduction());

let broken = 0;
let unfinished = 0;
let failed = 0;
for (let seed = first; seed < first + count; seed++) {
  const isProduction = seed % PRODUCTION_TURN === 0;
  const from = `${kindOf(seed)}, from ${isProduction ? 'production' : '0.3.0'}`;
  try {
    const {
      history,
      jobs,
      unfinished: open,
    } = await runRollout(seed, isProduction ? production : release);
    console.log(
      `seed ${seed} (${from}): ${jobs} jobs, ${history.violations.length} violations, ${open.length} unfinished`,
    );
    for (const { rule, detail } of history.violations) console.log(`  ${rule}: ${detail}`);
    for (const id of open) console.log(`  unfinished: ${id}`);
    if (history.violations.length > 0) broken++;
    if (open.length > 0) unfinished++;
  } catch (error) {
    failed++;
    console.log(`seed ${seed} (${from}): not finished: ${String(error)}`);
  }
}
console.log(
  `${count} rollouts: ${broken} broken, ${unfinished} with unfinished jobs, ${failed} not finished`,
);
process.exit(broken + unfinished + failed > 0 ? 1 : 0);
