/** Describes the shards, queues and machines of a node for `barrowlb status`. */
import type { Clock } from '../../base/clock.js';
import type { Overview } from '../../protocol/overview.js';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { availabilityOf } from '../model/availability.js';
import type { Machine } from '../model/machine.js';

/** Dependencies of `createOverview`. */
export interface OverviewContext {
  readonly settings: { readonly label: string };
  readonly clock: Pick<Clock, 'now'>;
  readonly leadership: { readonly isLeaseValid: boolean };
  readonly audit: Pick<AuditTrail, 'counters'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
}

type ShardOverview = Overview['parts'][number];
type MachineOverview = ShardOverview['machines'][number];

/** Creates the answer to `/v1/overview`. */
export function createOverview(context: OverviewContext): Overview {
  const { settings, clock, leadership, audit, ownedShards } = context;
  const now = clock.now();
  return {
    node: settings.label,
    served: leadership.isLeaseValid,
    counters: audit.counters,
    parts: [...ownedShards.values()].map((ownedShard) => shardOverview(ownedShard, now)),
  };
}

function shardOverview({ shard, fencingToken, jobs }: OwnedShard, now: number): ShardOverview {
  const chunks = [...shard.chunks.values()];
  return {
    part: shard.label,
    token: fencingToken,
    utilisation: Math.round(shard.utilisation * 1000) / 1000,
    openJobs: jobs.size,
    runningTasks: chunks.reduce((sum, chunk) => sum + chunk.runningCount, 0),
    waitingTasks: shard.waitingTaskCount,
    machines: [...shard.machines.values()].map((machine) => machineOverview(machine, now)),
  };
}

function machineOverview(machine: Machine, now: number): MachineOverview {
  const { state: availability, evidenceAt } = availabilityOf(machine, now);
  return {
    name: machine.name,
    type: machine.type,
    zone: machine.zone,
    state: machineState(machine),
    tasks: machine.placements.size,
    availability,
    evidenceAge: evidenceAt === null ? null : Math.round((now - evidenceAt) * 10) / 10,
  };
}

function machineState({ isLost, isUp, isCordoned }: Machine): string {
  if (isLost) return 'lost';
  if (!isUp) return 'coming';
  return isCordoned ? 'leaving' : 'up';
}
