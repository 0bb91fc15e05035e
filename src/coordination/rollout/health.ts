/** The health of a node, for the rollout driver and operators that replace controllers. */
import type { ControllerHealth } from '@barrowlb/rollout';
import { VERSION } from '../../base/version.js';
import type { HealthContext } from './rolloutContext.js';

/** The response of `GET /v1/rollout/health`. */
export function healthOf(node: HealthContext): ControllerHealth {
  const shards = [...node.ownedShards.values()].map(({ shard }) => shard);
  const chunks = shards.flatMap((shard) => [...shard.chunks.values()]);
  const services = chunks.filter((chunk) => chunk.spec.isService);
  return {
    label: node.settings.label,
    process: node.process,
    version: VERSION,
    isReady: node.isReady,
    isDraining: node.drain.isActive,
    isDrained: node.drain.isDone,
    parts: shards.map((shard) => shard.label),
    liveReplicas: services.reduce((sum, chunk) => sum + chunk.runningCount, 0),
    waitingTasks: shards.reduce((sum, shard) => sum + shard.waitingTaskCount, 0),
    refusedRequests: node.refusedRequests,
  };
}
