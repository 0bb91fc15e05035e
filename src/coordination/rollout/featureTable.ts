/** The levels of stored records in this build, and the features that `deploy/features.toml` can enable. */
import {
  FeatureFileError,
  FeatureTable,
  parseFeatureFile,
  type FeatureSwitches,
} from '@barrowlb/rollout';
import { COMPRESSED_RECORDS, ROLLOUT } from './featureNames.js';

/** The level of a cluster whose nodes have all stored their capabilities (storage/nodeCapabilities.ts). */
export const CAPABILITIES_LEVEL = 2;

/** The lowest level with records that builds without a cluster version cannot read; the barrier keeps such builds out. */
export const BARRIER_MIN_LEVEL = 3;

/** The features of this build. */
export const featureTable = new FeatureTable([
  {
    name: 'plain-records',
    level: 1,
    writes: 'records as version 0.2 wrote them',
    undo: null,
    isSwitchable: false,
  },
  {
    name: 'compact-records',
    level: CAPABILITIES_LEVEL,
    writes: 'records without their usual values, large ones in pieces',
    undo: null,
    isSwitchable: false,
  },
  {
    name: COMPRESSED_RECORDS,
    level: BARRIER_MIN_LEVEL,
    writes: 'compressed values for records that would be stored in pieces',
    undo: 'records are stored in pieces again',
    isSwitchable: true,
  },
]);

const switchable = [
  ROLLOUT,
  ...featureTable.features.filter(({ isSwitchable }) => isSwitchable).map(({ name }) => name),
];

/** Parses the features file; features that it does not name are off. */
export function parseFeatures(text: string): FeatureSwitches {
  const enabled = parseFeatureFile(text, switchable);
  const [first] = enabled.names.filter((name) => name !== ROLLOUT);
  if (first !== undefined && !enabled.isOn(ROLLOUT)) {
    throw new FeatureFileError(`features file: ${first} needs ${ROLLOUT} to be on`);
  }
  return enabled;
}
