/** Parts, queues and machines of a node, for `barrowlb status`. */
import type { Overview } from '../../protocol/overview.js';
import type { Controller } from './controller.js';

export function overview(node: Controller): Overview {
  const parts = [...node.ownedParts.values()].map(({ part, token, jobs }) => ({
    part: part.label,
    token,
    utilisation: Math.round(part.utilisation * 1000) / 1000,
    openJobs: jobs.size,
    runningTasks: [...part.chunks.values()].reduce((n, c) => n + c.running, 0),
    waitingTasks: part.waiting,
    machines: [...part.machines.values()].map((m) => ({
      name: m.name,
      type: m.type,
      zone: m.zone,
      state: m.lost ? 'lost' : !m.up ? 'coming' : m.leaving ? 'leaving' : 'up',
      tasks: m.entries.size,
    })),
  }));
  return {
    node: node.settings.label,
    served: node.ownership.valid,
    counters: node.audit.counters,
    parts,
  };
}
