/**
 * Compatibility of this version and the one in production with each other's data. The fixtures were generated with the
 * modules of the production version (`npm run fixtures`); clusters of both versions run outside CI (`npm run mixed`).
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseJob, type JobSpec } from '../../src/protocol/job.js';
import { toStoredSpec } from '../../src/protocol/storedJobSpec.js';
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
import { recordFormatFor } from '../support/recordFormat.js';
import { productionAnswers, productionRequests } from '../support/messages.js';
import { jobSpec } from '../support/jobSpec.js';
import { MemoryStore } from '../support/memoryStore.js';

interface Fixtures {
  submission: unknown;
  records: Record<string, unknown>;
  requests: string[];
  answers: string[];
}

const fixtures = JSON.parse(
  readFileSync(new URL('../../../../test/fixtures/production.json', import.meta.url), 'utf8'),
) as Fixtures;

const toPlainJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

test('messages equal those of production byte for byte, in both directions', () => {
  productionRequests.forEach((request, i) => {
    const bytes = Buffer.from(fixtures.requests[i], 'base64');
    assert.deepEqual(encodeRequest(request), bytes);
    assert.deepEqual(toPlainJson(decodeRequest(bytes)), toPlainJson(request));
  });
  productionAnswers.forEach((answer, i) => {
    const bytes = Buffer.from(fixtures.answers[i], 'base64');
    assert.deepEqual(encodeAnswer(answer), bytes);
    assert.deepEqual(toPlainJson(decodeAnswer(bytes)), toPlainJson(answer));
  });
});

test("production's job description in a peer request is decoded, and ours has no new fields", () => {
  const known = toPlainJson(toStoredSpec(jobSpec()));
  assert.deepEqual(decodeSpec(JSON.stringify(known)), jobSpec());
  assert.deepEqual(JSON.parse(encodeSpec(jobSpec({ dependencies: ['wk-9'] }))), known);
});

test('records of production are read, and written back as production wrote them', () => {
  const recordFormat = recordFormatFor();
  for (const [key, stored] of Object.entries(fixtures.records)) {
    const value = recordFormat.decode(key, structuredClone(stored));
    assert.deepEqual(toPlainJson(recordFormat.encode(key, value)), stored, key);
    assert.equal(recordFormat.operations(key, value), 1, key);
  }
  const parsed = parseJob(JSON.stringify(fixtures.submission));
  const job = recordFormat.decode(
    'b/job/wk-000001',
    fixtures.records['b/job/wk-000001'],
  ) as JobRecord;
  assert.deepEqual('job' in parsed ? parsed.job : null, job.spec);
});

test('records in the compact format stay within the value limit, whole or in fragments', () => {
  for (const valueBytes of [32 * 1024, 2 * 1024, 512]) {
    const recordFormat = recordFormatFor(valueBytes, 64, true);
    for (const [key, stored] of Object.entries(fixtures.records)) {
      const value = recordFormat.decode(key, stored);
      const [head, ...pieces] = recordFormat.encodePuts(key, value);
      for (const put of [head, ...pieces]) {
        assert.ok(Buffer.byteLength(JSON.stringify(put.value)) <= valueBytes, put.key);
      }
      assert.equal(head.key, key);
      assert.ok(pieces.every((piece, i) => piece.key === keys.fragment(key, i + 1)));
    }
  }
});

test('fields that the compact format omits are restored', () => {
  const recordFormat = recordFormatFor(32 * 1024, 16, true);
  const specs: Partial<JobSpec>[] = [
    {},
    {
      isService: true,
      isGang: true,
      gpus: 2,
      machineTypes: ['m8'],
      zone: 'a',
      sameZone: true,
      spreadZones: true,
    },
    {
      allowsSpot: false,
      expectedRunSeconds: 0,
      checkpointInterval: 3,
      checkpointDuration: 1,
      deadline: 0,
      dependencies: ['wk-2', 'wk-3'],
    },
    { machineTypes: [], imageGb: 0, memoryGb: 0 },
  ];
  for (const changes of specs) {
    const job: JobRecord = {
      ...{
        spec: jobSpec(changes),
        homeShard: 'p',
        state: 'open',
        taskCount: 4,
        submittedAt: 1.5,
        chunkSize: 2,
      },
      ...{ zones: ['a', 'b'], createdChunks: 7, doneChunks: [0, 1, 4], migratedChunks: [2, 6] },
    };
    for (const record of [job, { ...job, spec: null, state: 'cancelled', zones: [] }]) {
      assert.deepEqual(
        recordFormat.decode('b/job/x', toPlainJson(recordFormat.encode('b/job/x', record))),
        record,
      );
    }
    const attempt = { task: 3, attemptNumber: 9, machine: 'n-1', agentEpoch: 1 };
    const bucket: BucketRecord = {
      chunks: {
        'wk-1/0': {
          ...{
            spec: jobSpec({ ...changes, dependencies: [] }),
            homeShard: 'p',
            submittedAt: 2,
            firstTask: 0,
            endTask: 9,
          },
          ...{ zone: null, nextAttemptNumber: 4, doneTasks: [0, 2], migrationCount: 0 },
          attempts: [attempt, { ...attempt, task: 4 }, { ...attempt, task: 5, agentEpoch: 2 }],
        },
      },
    };
    assert.deepEqual(
      recordFormat.decode('b/run/p/s', toPlainJson(recordFormat.encode('b/run/p/s', bucket))),
      bucket,
    );
  }
});

test('the compact format is written only once all nodes have published that they can read it', async () => {
  const store = new MemoryStore();
  const recordFormat = new RecordFormat({ valueBytes: 2048, txnOps: 5 });
  const stateCache = {
    loaded: false,
    get: (key: string) => store.rows.get(key),
    applyPut: (key: string, value: unknown) => {
      capabilities.update(key.slice(keys.node('').length), value as { recordFormat: number });
    },
  };
  const capabilities = new NodeCapabilities(store, stateCache, recordFormat, 'n0', [
    'n0',
    'n1',
    'n2',
  ]);
  await capabilities.publish();
  assert.equal(store.changeCount, 0, 'the stored records have not been read yet');
  stateCache.loaded = true;
  store.refuseNext = 1;
  for (let i = 0; i < 4; i++) await capabilities.publish();
  assert.equal(store.changeCount, 1, 'published once');
  capabilities.update('n1', { recordFormat: RECORD_FORMAT_VERSION });
  capabilities.update('elsewhere', { recordFormat: RECORD_FORMAT_VERSION });
  capabilities.update('n2', { recordFormat: RECORD_FORMAT_VERSION - 1 });
  assert.ok(!recordFormat.isCompact && !capabilities.isUpgraded);
  capabilities.update('n2', { recordFormat: RECORD_FORMAT_VERSION });
  assert.ok(recordFormat.isCompact && capabilities.isUpgraded);
});
