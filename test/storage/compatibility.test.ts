/**
 * The version in production and this one on each other's data. The fixtures were made by production's own modules
 * (`npm run fixtures`); whole clusters of both are played outside CI (`npm run mixed`).
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseJob, type JobSpec } from '../../src/protocol/job.js';
import {
  decodeAnswer,
  decodeRequest,
  decodeSpec,
  encodeAnswer,
  encodeRequest,
  encodeSpec,
} from '../../src/protocol/peerCodec.js';
import { NodeCapabilities } from '../../src/storage/nodeCapabilities.js';
import { RECORD_FORMAT_VERSION, RecordFormat } from '../../src/storage/recordFormat.js';
import { keys, type BucketRecord, type JobRecord } from '../../src/storage/records.js';
import { layoutFor } from '../support/layout.js';
import { productionAnswers, productionRequests } from '../support/messages.js';
import { spec } from '../support/spec.js';
import { MemoryStore } from '../support/store.js';

interface Fixtures {
  submission: unknown;
  records: Record<string, unknown>;
  requests: string[];
  answers: string[];
}

const fixtures = JSON.parse(
  readFileSync(new URL('../../../../test/fixtures/production.json', import.meta.url), 'utf8'),
) as Fixtures;

const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

test('messages are, byte for byte, those of production, in both directions', () => {
  productionRequests.forEach((request, i) => {
    const bytes = Buffer.from(fixtures.requests[i], 'base64');
    assert.deepEqual(encodeRequest(request), bytes);
    assert.deepEqual(plain(decodeRequest(bytes)), plain(request));
  });
  productionAnswers.forEach((answer, i) => {
    const bytes = Buffer.from(fixtures.answers[i], 'base64');
    assert.deepEqual(encodeAnswer(answer), bytes);
    assert.deepEqual(plain(decodeAnswer(bytes)), plain(answer));
  });
});

test('a question of production about a job is understood, and ours holds nothing new', () => {
  const known = plain({ ...spec(), waitsOn: undefined });
  assert.deepEqual(decodeSpec(JSON.stringify(known)), spec());
  assert.deepEqual(JSON.parse(encodeSpec(spec({ waitsOn: ['wk-9'] }))), known);
});

test('records of production are read, and written back as production wrote them', () => {
  const layout = layoutFor();
  for (const [key, stored] of Object.entries(fixtures.records)) {
    const value = layout.decode(key, structuredClone(stored));
    assert.deepEqual(plain(layout.encode(key, value)), stored, key);
    assert.equal(layout.operations(key, value), 1, key);
  }
  const parsed = parseJob(JSON.stringify(fixtures.submission));
  const job = layout.decode('b/job/wk-000001', fixtures.records['b/job/wk-000001']) as JobRecord;
  assert.deepEqual('job' in parsed ? parsed.job : null, job.spec);
});

test('records survive the compact layout, whole or in pieces', () => {
  for (const valueBytes of [32 * 1024, 2 * 1024, 512]) {
    const layout = layoutFor(valueBytes, 64, true);
    for (const [key, stored] of Object.entries(fixtures.records)) {
      const value = layout.decode(key, stored);
      const [head, ...pieces] = layout.encodePuts(key, value);
      for (const put of [head, ...pieces]) {
        assert.ok(Buffer.byteLength(JSON.stringify(put.value)) <= valueBytes, put.key);
      }
      assert.equal(head.key, key);
      assert.ok(pieces.every((piece, i) => piece.key === keys.piece(key, i + 1)));
    }
  }
});

test('what the compact layout leaves out is put back', () => {
  const layout = layoutFor(32 * 1024, 16, true);
  const specs: Partial<JobSpec>[] = [
    {},
    { service: true, gang: true, gpus: 2, types: ['m8'], zone: 'a', oneZone: true, spread: true },
    { spot: false, expect: 0, checkpoint: 3, save: 1, due: 0, waitsOn: ['wk-2', 'wk-3'] },
    { types: [], imageGb: 0, memory: 0 },
  ];
  for (const changes of specs) {
    const job: JobRecord = {
      ...{ spec: spec(changes), home: 'p', state: 'open', tasks: 4, at: 1.5, size: 2 },
      ...{ zones: ['a', 'b'], cut: 7, finished: [0, 1, 4], away: [2, 6] },
    };
    for (const record of [job, { ...job, spec: null, state: 'cancelled', zones: [] }]) {
      assert.deepEqual(layout.decode('b/job/x', plain(layout.encode('b/job/x', record))), record);
    }
    const entry = { task: 3, attempt: 9, machine: 'n-1', session: 1 };
    const bucket: BucketRecord = {
      chunks: {
        'wk-1/0': {
          ...{ spec: spec({ ...changes, waitsOn: [] }), home: 'p', at: 2, from: 0, to: 9 },
          ...{ zone: null, next: 4, done: [0, 2], moves: 0 },
          entries: [entry, { ...entry, task: 4 }, { ...entry, task: 5, session: 2 }],
        },
      },
    };
    assert.deepEqual(layout.decode('b/run/p/s', plain(layout.encode('b/run/p/s', bucket))), bucket);
  }
});

test('the compact layout waits for the marks of all nodes', async () => {
  const store = new MemoryStore();
  const layout = new RecordFormat({ valueBytes: 2048, txnOps: 5 });
  const replica = {
    loaded: false,
    get: (key: string) => store.rows.get(key),
    note: (key: string, value: unknown) => {
      marks.note(key.slice(keys.node('').length), value as { layout: number });
    },
  };
  const marks = new NodeCapabilities(store, replica, layout, 'n0', ['n0', 'n1', 'n2']);
  await marks.ensure();
  assert.equal(store.changes, 0, 'what is stored has not been read yet');
  replica.loaded = true;
  store.refuseNext = 1;
  for (let tries = 0; tries < 4; tries++) await marks.ensure();
  assert.equal(store.changes, 1, 'once');
  marks.note('n1', { layout: RECORD_FORMAT_VERSION });
  marks.note('elsewhere', { layout: RECORD_FORMAT_VERSION });
  marks.note('n2', { layout: RECORD_FORMAT_VERSION - 1 });
  assert.ok(!layout.isCompact && !marks.isUpgraded);
  marks.note('n2', { layout: RECORD_FORMAT_VERSION });
  assert.ok(layout.isCompact && marks.isUpgraded);
});
