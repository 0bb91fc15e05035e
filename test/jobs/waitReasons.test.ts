/** What users read of a job that waits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitReason } from '../../src/coordination/jobs/waitReasons.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import type { OpenJobRecord } from '../../src/storage/records.js';
import { m8 } from '../support/emptyShard.js';
import { jobRecord, jobSpec } from '../support/jobSpec.js';
import { ShardFixture } from '../support/shardFixture.js';

function reasonFor(
  fixture: ShardFixture,
  record: OpenJobRecord,
  isTaskLimitReached = false,
): string {
  const { shard } = fixture;
  const ownedShard = createOwnedShard(shard, { fencingToken: 5, revision: 1 }, 0);
  const context = {
    clock: { now: () => fixture.now, wall: () => fixture.now },
    leadership: { isLeaseValid: true },
    pipelines: { waitReason: () => null },
    ownedShards: new Map([['p', ownedShard]]),
    persistence: { isTaskLimitReached },
  };
  return waitReason(context, record, shard.chunksOf(record.spec.id));
}

const recordOf = (changes: Partial<OpenJobRecord>): OpenJobRecord => ({
  ...(jobRecord('wk-1', 'p', 'open') as OpenJobRecord),
  ...changes,
});

// Guards against users who read of machines that are all taken, when a service holds them and a further one is needed.
test('a user reads whether the cloud is asked for a machine, or the machines at hand should have room soon', () => {
  for (const { run, expected } of [
    { run: 5, expected: 'all taken; they should have room soon' },
    { run: 5000, expected: 'all taken, and the cloud is being asked for one' },
  ]) {
    const fixture = new ShardFixture();
    fixture.addMachine();
    fixture.addChunk({ id: 'wk-2', cpus: 8, expectedRunSeconds: run });
    fixture.runSchedulingRound();
    const chunk = fixture.addChunk({ cpus: 8, expectedRunSeconds: 5 });
    fixture.runSchedulingRound();
    fixture.shard.demand.demands(fixture.now);
    assert.match(reasonFor(fixture, recordOf({ spec: chunk.spec })), new RegExp(expected));
  }
});

// Guards against "Its last tasks are being completed." for replicas that have not been started.
const uncreated: {
  name: string;
  isService: boolean;
  zones: string[];
  isTaskLimitReached?: boolean;
  expected: RegExp;
}[] = [
  {
    name: 'of a service beyond the limit of open tasks',
    isService: true,
    zones: [],
    isTaskLimitReached: true,
    expected: /16 further task\(s\) wait until others have ended/,
  },
  { name: 'of a service', isService: true, zones: [], expected: /16 further task\(s\) are queued/ },
  {
    name: 'of a service that only one zone can run',
    isService: true,
    zones: ['a', 'a'],
    expected: /12 task\(s\) can't start: at most half may be in one zone, and only zone a can/,
  },
  {
    name: 'of an array that only one zone can run',
    isService: false,
    zones: ['a', 'a'],
    expected: /12 task\(s\) wait for the others to end/,
  },
];
for (const { name, isService, zones, isTaskLimitReached, expected } of uncreated) {
  test(`a user reads why tasks without a chunk wait: ${name}`, () => {
    const fixture = new ShardFixture();
    fixture.machineTypes.set('m8', { ...m8, cpus: 64, memoryGb: 512 });
    const machine = fixture.addMachine();
    const chunk = fixture.addChunk({ isService, taskCount: zones.length > 0 ? 12 : 8 });
    fixture.runSchedulingRound();
    const running = [...machine.placements].map(([task, { attempt }]) => ({
      task,
      attemptNumber: attempt.attemptNumber,
    }));
    fixture.applyHeartbeat(machine, running);
    const spec = jobSpec({ ...chunk.spec, taskCount: 24 });
    const createdChunks = zones.length > 0 ? 2 : 1;
    const record = recordOf({ spec, taskCount: 24, zones, createdChunks });
    assert.match(reasonFor(fixture, record, isTaskLimitReached), expected);
  });
}
