/** Seeded random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns uniformly distributed numbers in [0, 1). Injected, so that tests are repeatable. */
export type Random = () => number;

/** A generator that yields the same sequence for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
