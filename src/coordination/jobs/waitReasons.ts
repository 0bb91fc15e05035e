/** Why a job waits, in words that can be read out on the phone. */
import type { JobRecord } from '../../storage/records.js';
import type { Chunk } from '../shard/chunk.js';
import type { Controller } from '../controller/controller.js';
import { satisfiesConstraints, fits } from '../scheduling/placement.js';

export function waitReason(node: Controller, record: JobRecord, chunks: Chunk[]): string {
  const { spec } = record;
  if (spec === null) return 'The job is over.';
  const since = Math.max(0, Math.round(node.clock.wall() - record.at));
  const tail = ` Submitted ${since} s ago.`;
  if (!node.ownership.valid) {
    return `This node cannot reach the state service, so it starts nothing new for now.${tail}`;
  }
  const held = node.pipelines.reason(spec.id);
  if (held !== null) return `${held}${tail}`;
  const chunk = chunks.find((c) => c.pending > 0 || c.entries.size > c.running);
  if (chunk === undefined) {
    const total = chunks.length;
    if (total > 0) return `Its last tasks are being completed.${tail}`;
    return `It waits at another node of the service.${tail}`;
  }
  const host = [...node.ownedParts.values()].find((h) => h.part.chunks.get(chunk.id) === chunk);
  const part = host?.part;
  if (part === undefined) return `It waits at another node of the service.${tail}`;
  if (chunk.pending === 0) {
    const fetching = [...chunk.entries.values()].filter((e) => e.state === 'fetching').length;
    return `${fetching} task(s) have a machine and wait for image ${spec.image} (${spec.imageGb} GB) to be fetched.${tail}`;
  }
  if (part.scheduler.throttled.has(spec.team)) {
    return `Team ${spec.team} is at its limit; tasks start as its others end.${tail}`;
  }
  if (chunk.notBefore > node.clock.now()) {
    const again = Math.ceil(chunk.notBefore - node.clock.now());
    return `Its tasks failed ${chunk.failures} time(s) on ${chunk.failedOn.size} machine(s); the next try is in ${again} s.${tail}`;
  }
  const place = chunk.zone === null ? '' : ` in zone ${chunk.zone}`;
  const suited = [...part.machines.values()].filter(
    (m) => satisfiesConstraints(spec, chunk.zone, m) && fits(m.size, spec),
  );
  const coming = suited.filter((m) => !m.up).length;
  const ahead = [...part.chunks.values()].filter(
    (c) =>
      c !== chunk &&
      c.pending > 0 &&
      (c.rank > chunk.rank || (c.rank === chunk.rank && c.at < chunk.at)),
  );
  const queue =
    ahead.length === 0
      ? 'Nothing is ahead of it.'
      : `${ahead.length} job(s) with ${ahead.reduce((n, c) => n + c.pending, 0)} task(s) are ahead of it.`;
  const what = `${chunk.pending} task(s) of ${spec.cpus} CPUs and ${spec.memory} GB`;
  if (suited.length === 0) {
    return `${what} wait for a machine${place}; none is there and one is being asked for. ${queue}${tail}`;
  }
  if (coming > 0) {
    return `${what} wait for room${place}; ${coming} machine(s) are on their way. ${queue}${tail}`;
  }
  return `${what} wait for room${place} on ${suited.length} machine(s), all taken. ${queue}${tail}`;
}
