/** The computation of a team limit's shares. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import { rebalanceShares } from '../../src/coordination/quota/quotaShares.js';

test('the sum of the shares never exceeds the limit, whichever shard requests how much', () => {
  const random = seededRandom(3);
  const limit = { cpus: 40, gpus: Infinity };
  let shares: Parameters<typeof rebalanceShares>[0] = {};
  const used: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let step = 0; step < 500; step++) {
    const shard = ['a', 'b', 'c'][Math.floor(random() * 3)];
    const share = shares[shard]?.cpus ?? 0;
    used[shard] = Math.floor(random() * (share + 1));
    const want = { cpus: Math.floor(random() * 60), gpus: 0 };
    shares = rebalanceShares(shares, shard, { cpus: used[shard], gpus: 0 }, want, limit);
    const sum = Object.values(shares).reduce((n, s) => n + s.cpus, 0);
    assert.ok(sum <= 40, `${sum}`);
    assert.ok((shares[shard]?.cpus ?? 0) >= used[shard]);
  }
});
