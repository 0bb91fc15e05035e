/** Explains why a job waits, in sentences that an operator can read out on the phone. */
import type { Clock } from '../../base/clock.js';
import type { JobSpec } from '../../protocol/job.js';
import type { OpenJobRecord } from '../../storage/records.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { isCapacity, type AvailabilityState } from '../model/availability.js';
import type { Chunk } from '../model/chunk.js';
import { chunkRanges, mayCreateChunk } from '../model/chunking.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import { fits } from '../model/resources.js';
import { satisfiesConstraints } from '../scheduling/placement.js';
import type { Shard } from '../shard/shard.js';

/** Dependencies of `waitReason`. */
export interface WaitReasonContext {
  readonly clock: Clock;
  readonly leadership: { readonly isLeaseValid: boolean };
  readonly pipelines: Pick<Pipelines, 'waitReason'>;
  readonly ownedShards: ReadonlyMap<string, OwnedShard>;
  readonly persistence: Pick<JobPersistence, 'isTaskLimitReached'>;
}

/** Why a job waits; `localChunks` are its open chunks at the shards of this node. */
export function waitReason(
  context: WaitReasonContext,
  record: OpenJobRecord,
  localChunks: readonly Chunk[],
): string {
  const since = Math.max(0, Math.round(context.clock.wall() - record.submittedAt));
  return `${jobReason(context, record, localChunks)} Submitted ${since} s ago.`;
}

function jobReason(
  context: WaitReasonContext,
  record: OpenJobRecord,
  localChunks: readonly Chunk[],
): string {
  const { spec } = record;
  if (!context.leadership.isLeaseValid) {
    return 'This node cannot reach the state service, so it starts nothing new for now.';
  }
  const dependencyReason = context.pipelines.waitReason(spec.id);
  if (dependencyReason !== null) return dependencyReason;
  const chunk = localChunks.find((c) => c.pendingCount > 0 || c.attempts.size > c.runningCount);
  if (chunk === undefined) {
    if (localChunks.length === 0) return 'It waits at another node of the service.';
    return uncreatedReason(context, record) ?? 'Its last tasks are being completed.';
  }
  const shard = [...context.ownedShards.values()].find(
    (ownedShard) => ownedShard.shard.chunks.get(chunk.id) === chunk,
  )?.shard;
  if (shard === undefined) return 'It waits at another node of the service.';
  return chunkReason(shard, chunk, spec, context.clock.now());
}

/** Why tasks wait that no chunk exists for yet; null if there are none. */
function uncreatedReason({ persistence }: WaitReasonContext, record: OpenJobRecord): string | null {
  const { spec, chunkSize, zones, createdChunks } = record;
  const waiting = chunkRanges(spec.taskCount, chunkSize, zones)
    .slice(createdChunks)
    .reduce((count, { firstTask, endTask }) => count + endTask - firstTask, 0);
  if (waiting === 0) return null;
  if (mayCreateChunk(record, createdChunks)) {
    if (persistence.isTaskLimitReached)
      return `${waiting} further task(s) wait until others have ended: the service has as many as it can hold.`;
    return `${waiting} further task(s) are queued as those before them start.`;
  }
  const zone = zones[0] ?? '';
  return spec.isService
    ? `${waiting} task(s) can't start: at most half may be in one zone, and only zone ${zone} can run them.`
    : `${waiting} task(s) wait for the others to end: at most half may be in one zone, and only zone ${zone} can run them.`;
}

/** Why a chunk at one of this node's shards waits. */
function chunkReason(shard: Shard, chunk: Chunk, spec: JobSpec, now: number): string {
  if (chunk.isUnstorable) {
    return 'Its description is larger than the service can store, so no task of it can start. Please tell the operators.';
  }
  if (chunk.pendingCount === 0) {
    const attempts = [...chunk.attempts.values()];
    const unstored = attempts.filter((attempt) => !chunk.isDurable(attempt)).length;
    if (unstored > 0) return `${unstored} task(s) have a machine and start once that is stored.`;
    const fetching = attempts.filter((attempt) => attempt.state === 'fetching').length;
    return `${fetching} task(s) have a machine and wait for image ${spec.image} (${spec.imageGb} GB) to be fetched.`;
  }
  if (shard.scheduler.throttledTeams.has(spec.team)) {
    return `Team ${spec.team} is at its limit; tasks start as its others end.`;
  }
  if (chunk.retryNotBefore > now) {
    const retryIn = Math.ceil(chunk.retryNotBefore - now);
    return `Its tasks failed ${chunk.failureCount} time(s) on ${chunk.failedMachines.size} machine(s); the next try is in ${retryIn} s.`;
  }
  return capacityReason(shard, chunk, spec, now);
}

/** Describes which machines a chunk could use, and what is ahead of it in the queue. */
function capacityReason(shard: Shard, chunk: Chunk, spec: JobSpec, now: number): string {
  const zone = chunk.zone === null ? '' : ` in zone ${chunk.zone}`;
  const suitable = [...shard.machines.values()].filter(
    (machine) => satisfiesConstraints(spec, chunk.zone, machine) && fits(machine.capacity, spec),
  );
  const states = suitable.map((machine) => machine.availability(now));
  const booting = states.filter((state) => state === 'booting').length;
  const queue = queueReason(shard, chunk);
  const demand = `${chunk.pendingCount} task(s) of ${spec.cpus} CPUs and ${spec.memoryGb} GB`;
  const request = requestReason(shard, chunk);
  if (suitable.length === 0) {
    return `${demand} wait for a machine${zone}; none is there and ${request}. ${queue}`;
  }
  if (booting > 0) {
    return `${demand} wait for room${zone}; ${booting} machine(s) are on their way. ${queue}`;
  }
  const usable = states.filter(isCapacity).length;
  if (usable === 0) {
    return `${demand} wait for a machine${zone}; ${unusableReason(states)}, and ${request}. ${queue}`;
  }
  const outlook = shard.demand.isDemanded(chunk)
    ? `all taken, and ${request}`
    : 'all taken; they should have room soon';
  return `${demand} wait for room${zone} on ${usable} machine(s), ${outlook}. ${queue}`;
}

/** Whether the cloud is asked for a machine that the chunk may use. */
function requestReason(shard: Shard, chunk: Chunk): string {
  if (chunk.hasFailedTooOften)
    return `no other is asked for, since its tasks have failed ${chunk.failureCount} times`;
  return shard.demand.isDemanded(chunk)
    ? 'the cloud is being asked for one'
    : 'the cloud will be asked for one';
}

/** Wording for the states in which a machine cannot be used. */
const UNUSABLE_WORDING: Partial<Record<AvailabilityState, string>> = {
  overdue: 'should have come up long ago and have not',
  unresponsive: 'do not answer',
  lost: 'do not answer',
  partitioned: 'cannot report to the service',
  full: 'have as many tasks as they can report',
  preempted: 'are about to be taken by the cloud',
  cordoned: 'are being given back',
  reassigned: 'are being given back',
};

function unusableReason(states: readonly AvailabilityState[]): string {
  const counts = new Map<string, number>();
  for (const state of states) {
    const wording = UNUSABLE_WORDING[state];
    if (wording !== undefined) counts.set(wording, (counts.get(wording) ?? 0) + 1);
  }
  return [...counts].map(([wording, count]) => `${count} ${wording}`).join(', ');
}

/** Describes how much of the shard's queue is ahead of a chunk. */
function queueReason(shard: Shard, chunk: Chunk): string {
  const ahead = [...shard.chunks.values()].filter(
    (other) =>
      other !== chunk &&
      other.pendingCount > 0 &&
      (other.rank > chunk.rank ||
        (other.rank === chunk.rank && other.submittedAt < chunk.submittedAt)),
  );
  if (ahead.length === 0) return 'Nothing is ahead of it.';
  const tasks = ahead.reduce((sum, other) => sum + other.pendingCount, 0);
  return `${ahead.length} job(s) with ${tasks} task(s) are ahead of it.`;
}
