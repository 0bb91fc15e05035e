/** What a node tells of itself to those who replace controllers. */
import type { ControllerHealth } from '@barrowlb/rollout';
import { VERSION } from '../../base/version.js';
import type { Controller } from '../controller/controller.js';

export function healthOf(node: Controller): ControllerHealth {
  const parts = [...node.ownedParts.values()].map(({ part }) => part);
  const chunks = parts.flatMap((part) => [...part.chunks.values()]);
  const services = chunks.filter((chunk) => chunk.spec.service);
  return {
    label: node.settings.label,
    process: node.process,
    version: VERSION,
    isReady: node.ready,
    isDraining: node.drain.isActive,
    isDrained: node.drain.isDone,
    parts: parts.map((part) => part.label),
    liveReplicas: services.reduce((sum, chunk) => sum + chunk.running, 0),
    waitingTasks: parts.reduce((sum, part) => sum + part.waiting, 0),
    refusedRequests: node.refusedRequests,
  };
}
