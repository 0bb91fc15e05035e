/** The limit on open tasks, which any one controller may have to hold alone. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MAX_OPEN_TASKS,
  OpenTaskBudget,
} from '../../src/coordination/persistence/openTaskBudget.js';
import type { IndexedChunk } from '../../src/storage/chunkIndex.js';
import type { OpenJobRecord } from '../../src/storage/records.js';
import { startedChunkRecord } from '../support/jobSpec.js';
import { HomeShardFixture } from '../support/homeShardFixture.js';

// Guards against a single service that fills the heap of one controller after the other, until none is left.
test('chunks are created only while the open tasks of all shards stay within the limit', () => {
  const record = { ...startedChunkRecord(), firstTask: 0, endTask: 50 };
  const stored: [string, IndexedChunk][] = [
    ['wk-2/0', { shard: 'q', bucket: 'x', record, revision: 1 }],
  ];
  // Two chunks of eight tasks are in memory and not stored yet.
  const { ownedShard, job } = new HomeShardFixture(2, { isService: true });
  const index = { entries: () => new Map(stored).entries() };
  const budget = new OpenTaskBudget(index, new Map([['p', ownedShard]]), 100);
  const ofEight = { ...(job.record as OpenJobRecord), createdChunks: 4 };
  assert.equal(budget.takeChunks(ofEight, 3), 3);
  assert.ok(!budget.isExceeded);
  assert.equal(budget.takeChunks(ofEight, 3), 1);
  assert.ok(budget.isExceeded);
});

test('the controllers hold all tasks of the largest service', () => {
  assert.ok(MAX_OPEN_TASKS >= 100_000, `${MAX_OPEN_TASKS} tasks`);
});
