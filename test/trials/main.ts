/** Runs trials: `npm run trials -- FIRST COUNT`. Prints what broke, and exits with 1 if anything did. */
import { runTrial } from './trial.js';

const [first = 1, count = 10] = process.argv.slice(2).map(Number);

let broken = 0;
let unfinished = 0;
let failed = 0;
for (let seed = first; seed < first + count; seed++) {
  try {
    const result = await runTrial(seed);
    const { violations, overtaken, peaks } = result.history;
    const used = [...peaks].map(([team, cpus]) => `${team} ${cpus}`).join(', ');
    console.log(
      `seed ${seed}: ${result.jobs} jobs, ${violations.length} violations, ${overtaken.length} overtaken answers, ` +
        `${result.unfinished.length} unfinished; most processors: ${used}`,
    );
    for (const { rule, detail } of violations) console.log(`  ${rule}: ${detail}`);
    for (const detail of overtaken) console.log(`  overtaken: ${detail}`);
    for (const id of result.unfinished) console.log(`  unfinished: ${id}`);
    if (violations.length > 0) broken++;
    if (result.unfinished.length > 0) unfinished++;
  } catch (error) {
    failed++;
    console.log(`seed ${seed}: not finished: ${String(error)}`);
  }
}
console.log(
  `${count} trials: ${broken} broken, ${unfinished} with unfinished jobs, ${failed} not finished`,
);
process.exit(broken + unfinished + failed > 0 ? 1 : 0);
