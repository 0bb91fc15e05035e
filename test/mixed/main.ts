/**
 * Plays clusters of the version in production and this one on stand-ins: `npm run mixed -- FIRST COUNT`. Each begins
 * with production at all nodes, which are replaced one after the other while users submit, ask and cancel and faults
 * overlap; a node that crashes before its turn comes back old. Then the limits of the state service fall, and pipelines
 * are submitted. Prints what broke, and exits with 1 if anything did.
 */
import { setLogLevel } from '../../src/base/log.js';
import { runSeeds } from '../trials/runSeeds.js';
import { runMixedTrial } from './mixedTrial.js';
import { buildProduction } from './productionBuild.js';

setLogLevel('error');
const compiled = buildProduction();

await runSeeds({
  pluralName: 'mixed clusters',
  defaultCount: 5,
  run: (seed) => runMixedTrial(seed, compiled),
  describeResult: ({ history, submittedCount: jobs, unfinished, malformedCount: malformed }) =>
    `${jobs} jobs, ${history.violations.length} violations, ` +
    `${history.overtaken.length} overtaken answers, ${unfinished.length} unfinished, ${malformed} malformed changes`,
});
