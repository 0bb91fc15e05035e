/** Parts, queues and machines of a node, for `barrowlb status`. */
import type { Overview } from '../../protocol/overview.js';
import type { Controller } from './controller.js';

export function overview(node: Controller): Overview {
  const shards = [...node.ownedShards.values()].map(({ shard, fencingToken, jobs }) => ({
    part: shard.label,
    token: fencingToken,
    utilisation: Math.round(shard.utilisation * 1000) / 1000,
    openJobs: jobs.size,
    runningTasks: [...shard.chunks.values()].reduce((n, c) => n + c.runningCount, 0),
    waitingTasks: shard.waitingTaskCount,
    machines: [...shard.machines.values()].map((m) => ({
      name: m.name,
      type: m.type,
      zone: m.zone,
      state: m.isLost ? 'lost' : !m.isUp ? 'coming' : m.isCordoned ? 'leaving' : 'up',
      tasks: m.placements.size,
    })),
  }));
  return {
    node: node.settings.label,
    served: node.leadership.isLeaseValid,
    counters: node.audit.counters,
    parts: shards,
  };
}
