/**
 * Tracks which nodes led a shard before and may still answer its workers. A new leader waits for their grace periods to
 * end. The last leaders are stored in the record of the fencing token counter and change in the same transaction.
 */
import type { LastLeader } from '../../storage/records.js';

/**
 * Returns the last leaders after this node has handed a shard over. This node no longer answers the shard's workers, so
 * nobody has to wait for it. A shard that returns to its home node is recorded with that node as its last leader. If any
 * peer may claim it, no last leader is recorded, unless an earlier one may still answer workers.
 */
export function lastLeadersAfterHandOver(
  lastLeaders: Record<string, LastLeader> | undefined,
  shard: string,
  isForAnyPeer: boolean,
): Record<string, LastLeader> {
  const lostAtByNode = lastLeaders?.[shard]?.lostAtByNode ?? {};
  if (!isForAnyPeer) return { ...lastLeaders, [shard]: { node: shard, lostAtByNode } };
  const others = Object.entries(lastLeaders ?? {}).filter(([name]) => name !== shard);
  const [earlier] = Object.keys(lostAtByNode);
  return {
    ...Object.fromEntries(others),
    ...(earlier === undefined ? {} : { [shard]: { node: earlier, lostAtByNode } }),
  };
}

/**
 * Returns the nodes that may still answer the shard's workers once `node` leads it, with the wall-clock time at which
 * each lost the shard. It leaves out `node` itself, whose earlier process has ended, and nodes that lost the shard more
 * than two grace periods ago. `wallTime` and `gracePeriod` are in seconds.
 */
export function previousLeaders(
  lastLeader: LastLeader | undefined,
  node: string,
  wallTime: number,
  gracePeriod: number,
): Record<string, number> {
  const lostAtByNode = { ...lastLeader?.lostAtByNode };
  if (lastLeader !== undefined) lostAtByNode[lastLeader.node] = wallTime;
  return Object.fromEntries(
    Object.entries(lostAtByNode).filter(
      ([other, leadershipLostAt]) =>
        other !== node && wallTime - leadershipLostAt <= gracePeriod * 2,
    ),
  );
}
