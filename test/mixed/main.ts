/**
 * `npm run mixed -- FIRST COUNT`: runs clusters that mix the version in production with the current one, on stand-ins. Each
 * starts with the production version on all nodes. The nodes are upgraded one after another while users submit, query and
 * cancel and faults overlap; a node that crashes before its upgrade restarts with the production version. Then the limits of
 * the state service are lowered and pipelines are submitted. Prints what failed, and exits with 1 if anything did.
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
  describeResult: ({ history, submittedCount, unfinished, malformedCount: malformed }) =>
    `${submittedCount} jobs, ${history.violations.length} violations, ` +
    `${history.overtaken.length} overtaken answers, ${unfinished.length} unfinished, ${malformed} malformed changes`,
});
