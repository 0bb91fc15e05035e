/** A feature table like that of the service: one irreversible feature and two reversible ones. */
import { FeatureTable } from '../../src/levels.js';

const feature = (name: string, level: number, undo: string | null, isSwitchable: boolean) => ({
  ...{ name, level, undo, isSwitchable },
  writes: `records of ${name}`,
});

export const features = new FeatureTable([
  feature('compact', 2, null, false),
  feature('compressed', 3, 'written plainly again', true),
  feature('merged', 4, 'written apart again', true),
]);
