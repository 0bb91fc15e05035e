/** Shares of a team limit, as pure arithmetic. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import { rebalanceShares } from '../../src/coordination/quota/quotaShares.js';

test('shares of a limit never add up to more than it, whoever asks for how much', () => {
  const random = seededRandom(3);
  const limit = { cpus: 40, gpus: Infinity };
  let shares: Parameters<typeof rebalanceShares>[0] = {};
  const used: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let step = 0; step < 500; step++) {
    const part = ['a', 'b', 'c'][Math.floor(random() * 3)];
    const share = shares[part]?.cpus ?? 0;
    used[part] = Math.floor(random() * (share + 1));
    const want = { cpus: Math.floor(random() * 60), gpus: 0 };
    shares = rebalanceShares(shares, part, { cpus: used[part], gpus: 0 }, want, limit);
    const sum = Object.values(shares).reduce((n, s) => n + s.cpus, 0);
    assert.ok(sum <= 40, `${sum}`);
    assert.ok((shares[part]?.cpus ?? 0) >= used[part]);
  }
});
