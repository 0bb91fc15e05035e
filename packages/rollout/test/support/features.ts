/** Levels as the service has them: one that cannot be undone, and two that can. */
import { FeatureTable } from '../../src/levels.js';

const feature = (name: string, level: number, undo: string | null, isSwitched: boolean) => ({
  ...{ name, level, undo, isSwitched },
  writes: `what ${name} writes`,
});

export const features = new FeatureTable([
  feature('compact', 2, null, false),
  feature('compressed', 3, 'written plainly again', true),
  feature('merged', 4, 'written apart again', true),
]);
