/** `npm run trials -- FIRST COUNT`: runs trials, prints what failed, and exits with 1 if anything did. */
import { runSeeds } from './runSeeds.js';
import { runTrial } from './trial.js';

await runSeeds({
  pluralName: 'trials',
  defaultCount: 10,
  run: runTrial,
  printsOvertaken: true,
  describeResult: ({ history, submittedCount, unfinished }) => {
    const { violations, overtaken, peakCpus: peaks } = history;
    const used = [...peaks].map(([team, cpus]) => `${team} ${cpus}`).join(', ');
    return (
      `${submittedCount} jobs, ${violations.length} violations, ${overtaken.length} overtaken answers, ` +
      `${unfinished.length} unfinished; most processors: ${used}`
    );
  },
});
