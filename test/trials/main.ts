/** Runs trials: `npm run trials -- FIRST COUNT`. Prints what broke, and exits with 1 if anything did. */
import { runSeeds } from './runSeeds.js';
import { runTrial } from './trial.js';

await runSeeds({
  pluralName: 'trials',
  defaultCount: 10,
  run: runTrial,
  printsOvertaken: true,
  describeResult: ({ history, submittedCount: jobs, unfinished }) => {
    const { violations, overtaken, peakCpus: peaks } = history;
    const used = [...peaks].map(([team, cpus]) => `${team} ${cpus}`).join(', ');
    return (
      `${jobs} jobs, ${violations.length} violations, ${overtaken.length} overtaken answers, ` +
      `${unfinished.length} unfinished; most processors: ${used}`
    );
  },
});
