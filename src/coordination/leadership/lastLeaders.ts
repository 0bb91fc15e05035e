/**
 * Which nodes led a shard before and may still answer its workers. A new leader waits for their grace periods; the
 * records are kept beside the fencing token counter and change with it.
 */
import type { LastLeader } from '../../storage/records.js';

/**
 * The last leaders once this node has handed a shard over: it answers the shard's workers no more, so nobody has to wait
 * for it. A shard that goes to its home node is noted as that node's; where any peer may take it, nobody is noted, unless
 * an earlier leader has to be waited for.
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
 * The nodes that may still answer the shard's workers once `node` leads it, with the time of day at which each lost the
 * shard. Not among them are `node` itself, whose earlier process has ended, and nodes that lost it long ago. `wallTime` and
 * `gracePeriod` are in seconds.
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
