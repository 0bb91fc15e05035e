/** `npm run rollouts -- FIRST COUNT`: runs rollout trials from version 0.3.0, and every fifth from production. */
import { setLogLevel } from '../../src/base/log.js';
import { runSeeds } from '../trials/runSeeds.js';
import { loadEarlierBuild } from './mixedTrial.js';
import { buildCommit, buildProduction, RELEASE_0_3_COMMIT } from './productionBuild.js';
import { rolloutKindOf, runRolloutTrial } from './rolloutTrial.js';

/** Every seed divisible by this starts with the version in production. */
const PRODUCTION_EVERY = 5;

setLogLevel('error');
const release = await loadEarlierBuild(buildCommit(RELEASE_0_3_COMMIT));
const production = await loadEarlierBuild(buildProduction());

const isFromProduction = (seed: number): boolean => seed % PRODUCTION_EVERY === 0;

await runSeeds({
  pluralName: 'rollouts',
  defaultCount: 10,
  run: (seed) => runRolloutTrial(seed, isFromProduction(seed) ? production : release),
  describeSeed: (seed) =>
    `${rolloutKindOf(seed)}, from ${isFromProduction(seed) ? 'production' : '0.3.0'}`,
  describeResult: ({ history, submittedCount, unfinished }) =>
    `${submittedCount} jobs, ${history.violations.length} violations, ${unfinished.length} unfinished`,
});
