/**
 * Plays clusters of the version in production and this one on stand-ins: `npm run mixed -- FIRST COUNT`. Each begins
 * with production at all nodes, which are replaced one after the other while users submit, ask and cancel and faults
 * overlap; a node that crashes before its turn comes back old. Then the limits of the state service fall, and pipelines
 * are submitted. Prints what broke, and exits with 1 if anything did.
 */
import { setLogLevel } from '../../src/base/log.js';
import { runMixed } from './mixedTrial.js';
import { buildProduction } from './productionBuild.js';

setLogLevel('error');
const [first = 1, count = 5] = process.argv.slice(2).map(Number);
const compiled = buildProduction();

let broken = 0;
let unfinished = 0;
let failed = 0;
for (let seed = first; seed < first + count; seed++) {
  try {
    const { history, jobs, unfinished: open, malformed } = await runMixed(seed, compiled);
    console.log(
      `seed ${seed}: ${jobs} jobs, ${history.violations.length} violations, ` +
        `${history.overtaken.length} overtaken answers, ${open.length} unfinished, ${malformed} malformed changes`,
    );
    for (const { rule, detail } of history.violations) console.log(`  ${rule}: ${detail}`);
    for (const id of open) console.log(`  unfinished: ${id}`);
    if (history.violations.length > 0) broken++;
    if (open.length > 0) unfinished++;
  } catch (error) {
    failed++;
    console.log(`seed ${seed}: not finished: ${String(error)}`);
  }
}
console.log(
  `${count} mixed clusters: ${broken} broken, ${unfinished} with unfinished jobs, ${failed} not finished`,
);
process.exit(broken + unfinished + failed > 0 ? 1 : 0);
