/** The source of random numbers, passed in wherever one is needed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of numbers in [0, 1); seeded, so that tests repeat. */
export type Random = () => number;

/** A random source that repeats for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
