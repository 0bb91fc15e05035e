/** Splitting of jobs into chunks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  chunkRanges,
  chunkSize,
  mayCreateChunk,
  totalChunks,
  zonesFor,
} from '../../src/coordination/model/chunking.js';
import type { JobRecord } from '../../src/storage/records.js';
import { jobSpec } from '../support/jobSpec.js';

test('chunks cover each task once, and a spread job has at most half of its tasks in a zone', () => {
  for (const tasks of [1, 2, 3, 5, 9, 100]) {
    for (const size of [1, 2, 3, 50, 200]) {
      for (const zones of [[], ['a'], ['a', 'b']]) {
        const ranges = chunkRanges(tasks, size, zones);
        const record = { spec: jobSpec({ taskCount: tasks }), chunkSize: size, zones } as JobRecord;
        assert.equal(totalChunks(record), ranges.length);
        const covered = ranges.flatMap((r) =>
          Array.from({ length: r.endTask - r.firstTask }, (_, i) => r.firstTask + i),
        );
        assert.deepEqual(covered, [...Array(tasks).keys()]);
        assert.ok(ranges.every((r) => r.endTask - r.firstTask <= size));
        if (zones.length < 2) continue;
        for (const zone of zones) {
          const inZone = ranges.filter((r) => r.zone === zone);
          const count = inZone.reduce((n, r) => n + r.endTask - r.firstTask, 0);
          assert.ok(count <= Math.ceil(tasks / 2), `${count} of ${tasks} in ${zone}`);
        }
      }
    }
  }
});

test('zones that jobs are bound to', () => {
  const cases: [Parameters<typeof jobSpec>[0], string[], string[]][] = [
    [{}, ['a', 'b'], []],
    [{ spreadZones: true }, ['b', 'a'], ['b', 'a']],
    [{ sameZone: true }, ['b', 'a'], ['b']],
    [{ spreadZones: true, zone: 'a' }, ['b', 'a'], ['a', 'a']],
    [{ spreadZones: true, sameZone: true }, ['b', 'a'], ['b', 'b']],
    [{ spreadZones: true }, ['a'], ['a', 'a']],
  ];
  for (const [changes, zonesByRoom, expected] of cases) {
    assert.deepEqual(zonesFor(jobSpec(changes), zonesByRoom), expected, JSON.stringify(changes));
  }
});

test('the second half of a spread job in one zone waits for the first', () => {
  const record = (doneChunks: number[]): JobRecord => ({
    spec: jobSpec({ taskCount: 5, spreadZones: true }),
    homeShard: 'p',
    state: 'open',
    taskCount: 5,
    submittedAt: 0,
    chunkSize: 2,
    zones: ['a', 'a'],
    createdChunks: 0,
    doneChunks,
    migratedChunks: [],
  });
  // Halves of 3 and 2 tasks in chunks of 2: chunks 0 and 1 are the first half.
  assert.deepEqual(
    [0, 1, 2].map((k) => mayCreateChunk(record([0]), k)),
    [true, true, false],
  );
  assert.ok(mayCreateChunk(record([0, 1]), 2));
});

test('the size of chunks is limited by the shard and by the record', () => {
  const cases: [string, number, number, number, number, number, number][] = [
    ['as many tasks as the shard can run at once', 4, 60, 128, 273, 3, 32],
    ['as many tasks as a record can hold', 1, 100_000, 100_000, 136, 5, 136],
    ['a shard without machines gets the whole job', 4, 60, 0, 273, 3, 60],
    ['a small shard: at most two chunks for each shard', 4, 60, 8, 273, 3, 10],
    ['never less than eight tasks', 4, 12, 8, 273, 3, 8],
  ];
  for (const [name, cpus, tasks, shardCpus, maxTasks, shards, size] of cases) {
    assert.equal(
      chunkSize(jobSpec({ cpus, taskCount: tasks }), shardCpus, maxTasks, shards),
      size,
      name,
    );
  }
});
