/** Plays rollouts from version 0.3.0, and every fifth from production: `npm run rollouts -- FIRST COUNT`. */
import { setLogLevel } from '../../src/base/log.js';
import { playSeeds } from '../trials/playSeeds.js';
import { earlierBuild } from './mixedTrial.js';
import { buildCommit, buildProduction, RELEASE_0_3 } from './productionBuild.js';
import { kindOf, runRollout } from './rolloutTrial.js';

/** One in so many begins with the version in production. */
const PRODUCTION_TURN = 5;

setLogLevel('error');
const release = await earlierBuild(buildCommit(RELEASE_0_3));
const production = await earlierBuild(buildProduction());

const isFromProduction = (seed: number): boolean => seed % PRODUCTION_TURN === 0;

await playSeeds({
  what: 'rollouts',
  usualCount: 10,
  run: (seed) => runRollout(seed, isFromProduction(seed) ? production : release),
  nameOf: (seed) => `${kindOf(seed)}, from ${isFromProduction(seed) ? 'production' : '0.3.0'}`,
  describe: ({ history, jobs, unfinished }) =>
    `${jobs} jobs, ${history.violations.length} violations, ${unfinished.length} unfinished`,
});
