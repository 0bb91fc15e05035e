/** Parts, queues and machines of a node, for `barrowlb status`. */
import type { Controller } from './controller.js';

export interface Overview {
  node: string;
  /** Whether the state service serves this node. */
  served: boolean;
  /** What the audit trail has counted since the start. */
  counters?: Record<string, number>;
  parts: {
    part: string;
    token: number;
    utilisation: number;
    openJobs: number;
    runningTasks: number;
    waitingTasks: number;
    machines: { name: string; type: string; zone: string; state: string; tasks: number }[];
  }[];
}

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
