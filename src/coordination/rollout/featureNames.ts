/** Names in `deploy/features.toml`; apart from all else, so that a node with everything off loads nothing more. */

/** The subsystem itself; it has no level, since it writes only records of its own. */
export const ROLLOUT = 'rollout';
/** Records are stored compressed where they would be fragmented otherwise. */
export const COMPRESSED_RECORDS = 'compressed-records';
