/** Selection of the blocked chunks about which the peers are asked. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextMigrationCandidates } from '../../src/coordination/migration/migrationInitiator.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { jobSpec } from '../support/jobSpec.js';

test('the peers are asked about each blocked chunk in turn, about live services first', () => {
  const chunks = [1, 2, 3, 4, 5, 6, 7].map((n) => {
    const job = jobSpec({ id: `wk-${n}`, rank: n === 6 ? 'prod' : 'normal' });
    return new Chunk(job, 0, 'p', 0, 0, 1, null, 0);
  });
  const asked: string[] = [];
  // Reviews run three times as often as the peers may be asked about one chunk.
  for (let now = 0; now < 8; now++) {
    for (const chunk of nextMigrationCandidates(chunks, 2, (c) => now - c.peersAskedAt >= 3)) {
      chunk.peersAskedAt = now;
      asked.push(chunk.spec.id);
    }
  }
  assert.equal(asked[0], 'wk-6');
  assert.equal(new Set(asked).size, 7, 'the peers were asked about every chunk');
});
