/** A shard without machines and jobs, and the machine type `m8`. */
import { seededRandom } from '../../src/base/random.js';
import { singleShardView, type ClusterView } from '../../src/coordination/quota/teamUsage.js';
import { RunTimes } from '../../src/coordination/scheduling/runTimes.js';
import { Shard } from '../../src/coordination/shard/shard.js';
import type { MachineType } from '../../src/protocol/cloudProtocol.js';

export const m8: MachineType = {
  name: 'm8',
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  fetchGbPerSecond: 1,
  cacheGb: 10,
  price: 1,
  spotPrice: 0.4,
  bootSeconds: 30,
  zones: ['a'],
};

export function emptyShard(
  heartbeatInterval: number,
  types = new Map<string, MachineType>(),
  view: Partial<ClusterView> = {},
): Shard {
  const options = {
    workerLease: 18,
    heartbeatInterval,
    sample: 8,
    zones: ['a'],
  };
  const autoscaling = { scaleOutWindow: 30, onDemandWindow: 60, headroom: 1, arrivalWindow: 100 };
  const cluster = { ...singleShardView, ...view };
  const shardOptions = { ...options, ...autoscaling };
  return new Shard('p', shardOptions, () => types, new RunTimes(), seededRandom(1), cluster);
}
