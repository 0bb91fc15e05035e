/** Compressed records: which records are compressed, how they are read, and how corrupt ones are handled. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { deflateCodec } from '../../src/storage/compression.js';
import { joinFragments } from '../../src/storage/fragments.js';
import { CorruptRecordError, type CompressedValue } from '../../src/storage/recordCodec.js';
import { formOf, RecordFormat, type StoredForm } from '../../src/storage/recordFormat.js';
import { BARRIER_KEY, keys, type JobRecord } from '../../src/storage/records.js';
import { systemClock } from '../../src/base/clock.js';
import { StateClient } from '../../src/storage/stateClient.js';
import { HttpClient } from '../../src/transport/httpClient.js';
import { jobSpec } from '../support/jobSpec.js';
import { StateStandIn } from '../support/state.js';

const VALUE_BYTES = 2048;

function formatWith(mayCompress: boolean, hasCodec = true): RecordFormat {
  const limits = { valueBytes: VALUE_BYTES, txnOps: 16 };
  const recordFormat = new RecordFormat(limits, hasCodec ? deflateCodec : null, () => mayCompress);
  recordFormat.useCompact();
  return recordFormat;
}

const job = (types: string[]): JobRecord => ({
  ...{
    spec: jobSpec({ machineTypes: types }),
    homeShard: 'p',
    state: 'open',
    taskCount: 3,
    submittedAt: 1,
    chunkSize: 3,
  },
  ...{ zones: [], createdChunks: 1, doneChunks: [], migratedChunks: [] },
});

const typeNames = (count: number): string[] => Array.from({ length: count }, (_, i) => `type-${i}`);

/** Returns words that compression does not make smaller. */
const incompressibleNames = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => {
    const bytes = Array.from(
      { length: 24 },
      (__, k) => (Math.imul(i * 24 + k + 1, 2654435761) >>> 13) % 89,
    );
    return bytes
      .map((b) => String.fromCharCode(35 + b))
      .join('')
      .replaceAll('\\', '!');
  });

const key = keys.job('wk-1');

function store(
  recordFormat: RecordFormat,
  value: unknown,
): { form: StoredForm; joined: unknown; puts: number } {
  const { puts, form } = recordFormat.encodeValue(key, value);
  for (const put of puts) assert.ok(Buffer.byteLength(JSON.stringify(put.value)) <= VALUE_BYTES);
  const [head, ...pieces] = puts.map((put) => JSON.parse(JSON.stringify(put.value)) as unknown);
  const joined = joinFragments(head, pieces);
  assert.equal(formOf(key, head, joined), form);
  return { form, joined, puts: puts.length };
}

test('only records that would be stored in fragments are compressed, and only if that is allowed', () => {
  const cases: [string, RecordFormat, string[], StoredForm][] = [
    ['small', formatWith(true), typeNames(5), 'plain'],
    ['large', formatWith(true), typeNames(300), 'compressed'],
    ['large, not allowed', formatWith(false), typeNames(300), 'pieces'],
    ['large, no codec', formatWith(true, false), typeNames(300), 'pieces'],
    [
      'compressed, and still large',
      formatWith(true),
      [...typeNames(300), ...incompressibleNames(120)],
      'compressed',
    ],
    ['larger than a request', formatWith(true), typeNames(9000), 'plain'],
  ];
  for (const [name, recordFormat, types, form] of cases) {
    const record = job(types);
    const stored = store(recordFormat, record);
    assert.equal(stored.form, form, name);
    assert.deepEqual(recordFormat.decode(key, stored.joined), record, name);
  }
  assert.ok(
    store(formatWith(true), job(typeNames(300))).puts <
      store(formatWith(false), job(typeNames(300))).puts,
  );
});

test('records that are not written under a leader record are never compressed', () => {
  const recordFormat = formatWith(true);
  const value = typeNames(500);
  assert.equal(recordFormat.encodeValue('b/types', value).form, 'plain');
  assert.equal(recordFormat.encodeValue('b/quota/crew', value).form, 'plain');
});

test('a build that cannot expand an open job still sees that it is open', () => {
  // Version 0.3.0 takes a job record without a state for a finished job, and reported such jobs as done to users.
  const { joined } = store(formatWith(true), job(typeNames(300)));
  assert.equal((joined as { state?: string }).state, 'open');
});

test('the barrier record is stored and read unchanged', () => {
  const recordFormat = formatWith(true);
  const barrier = { readers: 3 };
  assert.deepEqual(recordFormat.encode(BARRIER_KEY, barrier), barrier);
  assert.deepEqual(recordFormat.decode(BARRIER_KEY, barrier), barrier);
});

const SMALL_JOB = { v: 2, home: 'p', state: 'done', tasks: 1, at: 1, size: 1, cut: 0 };

test('one unreadable record does not prevent others from being read, and is read again once it is repaired', async () => {
  const state = new StateStandIn();
  try {
    const endpoint = await state.listenFor('x');
    const options = { endpoint, rate: 1e4, writeRate: 1e4, nodeCount: 1, timeout: 5 };
    const client = new StateClient(new HttpClient(10, 5), systemClock, options, formatWith(true));
    const [good, bad, small] = [keys.job('wk-1'), keys.job('wk-2'), keys.job('wk-3')];
    const puts = [good, bad].map((name) => ({ key: name, value: job(typeNames(300)) }));
    assert.equal((await client.transact({ conditions: [], puts, deletes: [] })).kind, 'applied');
    const stored = state.rows.get(bad)?.value as CompressedValue;
    const corruptPut = { Put: bad, Value: { ...stored, sum: stored.sum ^ 1 } };
    state.apply({
      Then: [corruptPut, { Put: small, Value: SMALL_JOB }],
    });
    const { items } = await client.readRange('b/');
    assert.deepEqual(items.map((item) => item.key).sort(), [good, small]);
    await assert.rejects(client.get(bad), CorruptRecordError);
    assert.equal(client.hasUnreadable('b/job/'), true);
    assert.equal(client.hasUnreadable('b/run/'), false);
    assert.deepEqual(await client.readKeysOfForm('b/', 'compressed'), [good, bad]);
    const repaired = [{ key: bad, value: job(typeNames(300)) }];
    await client.transact({ conditions: [], puts: repaired, deletes: [] });
    assert.equal(client.hasUnreadable('b/job/'), false);
    assert.deepEqual((await client.get(bad))?.value, job(typeNames(300)));
  } finally {
    state.close();
  }
});

test('any text is restored after compression, or is rejected as too large', () => {
  fc.assert(
    fc.property(fc.string({ unit: 'binary', maxLength: 3000, size: 'max' }), (text) => {
      const compressed = deflateCodec.compress(text);
      if (compressed === null) return Buffer.byteLength(text) > 64 * 1024;
      return deflateCodec.expand(key, compressed) === text;
    }),
    { seed: 20261202, numRuns: 200 },
  );
});

test('a corrupt record causes a CorruptRecordError and is never read as an empty record', () => {
  const recordFormat = formatWith(true);
  const { joined } = store(recordFormat, job(typeNames(300)));
  const good = joined as CompressedValue;
  const bytes = Buffer.from(good.data, 'base64');
  const cut = bytes.subarray(0, bytes.length / 2).toString('base64');
  const flipped = Buffer.from(bytes);
  flipped[40] = (flipped[40] ?? 0) ^ 0x10;
  const damaged: [string, unknown][] = [
    ['truncated', { ...good, data: cut }],
    ['one bit flipped', { ...good, data: flipped.toString('base64') }],
    ['empty', { ...good, data: '' }],
    ['not base64', { ...good, data: '!!!' }],
    ['wrong checksum', { ...good, sum: good.sum ^ 1 }],
    ['size too small', { ...good, bytes: good.bytes - 1 }],
    ['size too large', { ...good, bytes: good.bytes + 1 }],
    ['size beyond the limit', { ...good, bytes: 1 << 30 }],
    ['negative size', { ...good, bytes: -1 }],
    ['missing size', { ...good, bytes: undefined }],
    ['text is not JSON', deflateCodec.compress('{"v":2,')],
    ['compressed twice', deflateCodec.compress(JSON.stringify(good))],
  ];
  for (const [name, value] of damaged) {
    assert.throws(() => recordFormat.decode(key, value), CorruptRecordError, name);
  }
  assert.throws(
    () => formatWith(true, false).decode(key, good),
    /it is compressed, but compressed records are disabled on this node/,
  );
});
