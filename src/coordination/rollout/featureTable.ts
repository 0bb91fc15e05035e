/** The levels of what is stored, and the features that are switched by `deploy/features.toml`. */
import {
  FeatureFileError,
  FeatureTable,
  parseFeatureFile,
  type FeatureSwitches,
} from '@barrowlb/rollout';
import { COMPRESSED_RECORDS, ROLLOUT } from './featureNames.js';

/** Level of a cluster whose nodes have all stored their capabilities (storage/nodeCapabilities.ts). */
export const CAPABILITIES_LEVEL = 2;

/** From this level on, records are stored that builds without a cluster version cannot read. */
export const BARRIER_MIN_LEVEL = 3;

/** The features of this build. */
export const featureTable = new FeatureTable([
  {
    name: 'plain-records',
    level: 1,
    writes: 'records as version 0.2 wrote them',
    undo: null,
    isSwitched: false,
  },
  {
    name: 'compact-records',
    level: CAPABILITIES_LEVEL,
    writes: 'records without their usual values, large ones in pieces',
    undo: null,
    isSwitched: false,
  },
  {
    name: COMPRESSED_RECORDS,
    level: BARRIER_MIN_LEVEL,
    writes: 'compressed values for records that would be stored in pieces',
    undo: 'records are stored in pieces again',
    isSwitched: true,
  },
]);

const switchable = [
  ROLLOUT,
  ...featureTable.features.filter(({ isSwitched }) => isSwitched).map(({ name }) => name),
];

/** Reads the features file; what it does not name is off. */
export function parseFeatures(text: string): FeatureSwitches {
  const switches = parseFeatureFile(text, switchable);
  const [first] = switches.names.filter((name) => name !== ROLLOUT);
  if (first !== undefined && !switches.isOn(ROLLOUT)) {
    throw new FeatureFileError(`features file: ${first} needs ${ROLLOUT} to be on`);
  }
  return switches;
}
