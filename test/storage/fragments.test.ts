/** Records beyond the size limit: stored in fragments by one transaction, and read completely or not at all. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { systemClock } from '../../src/base/clock.js';
import type { MachineGroupRecord } from '../../src/storage/records.js';
import { keys } from '../../src/storage/records.js';
import { StateClient } from '../../src/storage/stateClient.js';
import { HttpClient } from '../../src/transport/httpClient.js';
import { recordFormatFor } from '../support/recordFormat.js';
import { StateStandIn } from '../support/state.js';

const LIMITS = { valueBytes: 2048, txnOps: 5 };
const KEY = keys.machineGroup('r-1');

let state: StateStandIn;
let endpoint = '';

before(async () => {
  state = new StateStandIn();
  endpoint = await state.listenFor('x');
});
after(() => {
  state.close();
});

function client(isCompact = true): StateClient {
  const options = { endpoint, rate: 1e4, writeRate: 1e4, nodeCount: 1, timeout: 5 };
  const recordFormat = recordFormatFor(LIMITS.valueBytes, LIMITS.txnOps, isCompact);
  return new StateClient(new HttpClient(10, 5), systemClock, options, recordFormat);
}

const group = (machines: number): MachineGroupRecord => ({
  ...{ shard: 'p', type: 'm8', zone: 'a', spot: true },
  machines: Object.fromEntries(
    Array.from({ length: machines }, (_, i) => [
      `n-${1000 + i}`,
      { launchedAt: 5.5, address: '10.255.255.255:65535' },
    ]),
  ),
});

const stored = (): string[] => [...state.rows.keys()].filter((key) => key.includes('r-1')).sort();

test('a record from larger limits is read, is rewritten in fragments, and is deleted with all of them', async () => {
  state.limits = { valueBytes: Infinity, txnOps: Infinity };
  const old = client(false);
  const puts = [{ key: KEY, value: group(50) }];
  assert.equal((await old.transact({ conditions: [], puts, deletes: [] })).kind, 'applied');
  // The limits are lowered without notice.
  state.limits = { ...LIMITS };
  const current = client();
  const sizes: [number, number][] = [
    [49, 2],
    [30, 1],
    [45, 2],
    [20, 1],
  ];
  for (const [machines, records] of sizes) {
    const before = await current.get(KEY);
    const conditions = [{ key: KEY, revision: before?.revision ?? 0 }];
    const change = [{ key: KEY, value: group(machines) }];
    assert.equal(
      (await current.transact({ conditions, puts: change, deletes: [] })).kind,
      'applied',
    );
    assert.equal(stored().length, records, `${machines} machines`);
    for (const reader of [current, client(), client(false)]) {
      assert.deepEqual((await reader.get(KEY))?.value, group(machines));
      const { items } = await reader.readRange('b/');
      assert.deepEqual(
        items.map(({ key, value }) => [key, value]),
        [[KEY, group(machines)]],
      );
    }
  }
  const large = [{ key: KEY, value: group(50) }];
  await current.transact({ conditions: [], puts: large, deletes: [] });
  assert.equal(
    (await current.transact({ conditions: [], puts: [], deletes: [KEY] })).kind,
    'applied',
  );
  assert.deepEqual(stored(), []);
  assert.equal(state.malformedCount, 0);
});

test('a change log has complete records, also of those that have changed again since', async () => {
  state.limits = { ...LIMITS };
  const writer = client();
  const from = state.revision;
  for (const machines of [50, 10, 48]) {
    await writer.transact({
      conditions: [],
      puts: [{ key: KEY, value: group(machines) }],
      deletes: [],
    });
  }
  const log = await client().readChanges('b/', from, 0);
  assert.deepEqual(
    log?.changes.map((change) => Object.keys((change.value as MachineGroupRecord).machines).length),
    [50, 10, 48],
  );
  await writer.transact({ conditions: [], puts: [], deletes: [KEY] });
});

test('a head whose fragments have another revision is read again', async () => {
  state.limits = { ...LIMITS };
  const writer = client();
  await writer.transact({ conditions: [], puts: [{ key: KEY, value: group(50) }], deletes: [] });
  const half = state.rows.get(KEY);
  await writer.transact({ conditions: [], puts: [{ key: KEY, value: group(48) }], deletes: [] });
  const whole = state.rows.get(KEY);
  // The previous head is served together with the current fragments until both have been read.
  if (half !== undefined) state.rows.set(KEY, half);
  state.readKeys.length = 0;
  const restore = setInterval(() => {
    if (state.readKeys.includes(keys.fragment(KEY, 1)) && whole !== undefined)
      state.rows.set(KEY, whole);
  }, 1);
  const read = await client().get(KEY);
  clearInterval(restore);
  assert.ok(state.readKeys.filter((key) => key === KEY).length > 1, 'the head was read again');
  assert.equal(Object.keys((read?.value as MachineGroupRecord).machines).length, 48);
  await writer.transact({ conditions: [], puts: [], deletes: [KEY] });
});

test('a malformed transaction is distinguished from one under an expired lease', async () => {
  state.limits = { valueBytes: 100, txnOps: 5 };
  const puts = [{ key: KEY, value: group(50) }];
  assert.equal(
    (await client(false).transact({ conditions: [], puts, deletes: [] })).kind,
    'malformed',
  );
  state.limits = { valueBytes: Infinity, txnOps: Infinity };
  const held = [{ key: KEY, value: group(1), leaseId: 999 }];
  assert.equal(
    (await client().transact({ conditions: [], puts: held, deletes: [] })).kind,
    'no-lease',
  );
});
