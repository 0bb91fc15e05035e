/** Why a job waits, in words that can be read out on the phone. */
import type { JobRecord } from '../../storage/records.js';
import type { Chunk } from '../model/chunk.js';
import type { Controller } from '../controller/controller.js';
import { satisfiesConstraints } from '../scheduling/placement.js';
import { fits } from '../model/resources.js';

export function waitReason(node: Controller, record: JobRecord, chunks: Chunk[]): string {
  const { spec } = record;
  if (spec === null) return 'The job is over.';
  const since = Math.max(0, Math.round(node.clock.wall() - record.submittedAt));
  const tail = ` Submitted ${since} s ago.`;
  if (!node.leadership.isLeaseValid) {
    return `This node cannot reach the state service, so it starts nothing new for now.${tail}`;
  }
  const held = node.pipelines.reason(spec.id);
  if (held !== null) return `${held}${tail}`;
  const chunk = chunks.find((c) => c.pendingCount > 0 || c.attempts.size > c.runningCount);
  if (chunk === undefined) {
    const total = chunks.length;
    if (total > 0) return `Its last tasks are being completed.${tail}`;
    return `It waits at another node of the service.${tail}`;
  }
  const ownedShard = [...node.ownedShards.values()].find(
    (h) => h.shard.chunks.get(chunk.id) === chunk,
  );
  const part = ownedShard?.shard;
  if (part === undefined) return `It waits at another node of the service.${tail}`;
  if (chunk.pendingCount === 0) {
    const fetching = [...chunk.attempts.values()].filter((e) => e.state === 'fetching').length;
    return `${fetching} task(s) have a machine and wait for image ${spec.image} (${spec.imageGb} GB) to be fetched.${tail}`;
  }
  if (part.scheduler.throttledTeams.has(spec.team)) {
    return `Team ${spec.team} is at its limit; tasks start as its others end.${tail}`;
  }
  if (chunk.retryNotBefore > node.clock.now()) {
    const again = Math.ceil(chunk.retryNotBefore - node.clock.now());
    return `Its tasks failed ${chunk.failureCount} time(s) on ${chunk.failedMachines.size} machine(s); the next try is in ${again} s.${tail}`;
  }
  const place = chunk.zone === null ? '' : ` in zone ${chunk.zone}`;
  const suited = [...part.machines.values()].filter(
    (m) => satisfiesConstraints(spec, chunk.zone, m) && fits(m.capacity, spec),
  );
  const coming = suited.filter((m) => !m.isUp).length;
  const ahead = [...part.chunks.values()].filter(
    (c) =>
      c !== chunk &&
      c.pendingCount > 0 &&
      (c.rank > chunk.rank || (c.rank === chunk.rank && c.submittedAt < chunk.submittedAt)),
  );
  const queue =
    ahead.length === 0
      ? 'Nothing is ahead of it.'
      : `${ahead.length} job(s) with ${ahead.reduce((n, c) => n + c.pendingCount, 0)} task(s) are ahead of it.`;
  const what = `${chunk.pendingCount} task(s) of ${spec.cpus} CPUs and ${spec.memoryGb} GB`;
  if (suited.length === 0) {
    return `${what} wait for a machine${place}; none is there and one is being asked for. ${queue}${tail}`;
  }
  if (coming > 0) {
    return `${what} wait for room${place}; ${coming} machine(s) are on their way. ${queue}${tail}`;
  }
  return `${what} wait for room${place} on ${suited.length} machine(s), all taken. ${queue}${tail}`;
}
