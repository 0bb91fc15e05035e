/** Feature names in `deploy/features.toml`; a separate module, so that a node with all features off loads nothing else. */

/** The rollout subsystem itself; it has no level, because it only writes records of its own. */
export const ROLLOUT = 'rollout';
/** Records that would otherwise be stored in fragments are compressed. */
export const COMPRESSED_RECORDS = 'compressed-records';
