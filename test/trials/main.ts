/** Runs trials: `npm run trials -- FIRST COUNT`. Prints what broke, and exits with 1 if anything did. */
import { playSeeds } from './playSeeds.js';
import { runTrial } from './trial.js';

await playSeeds({
  what: 'trials',
  usualCount: 10,
  run: runTrial,
  listsOvertaken: true,
  describe: ({ history, jobs, unfinished }) => {
    const { violations, overtaken, peaks } = history;
    const used = [...peaks].map(([team, cpus]) => `${team} ${cpus}`).join(', ');
    return (
      `${jobs} jobs, ${violations.length} violations, ${overtaken.length} overtaken answers, ` +
      `${unfinished.length} unfinished; most processors: ${used}`
    );
  },
});
