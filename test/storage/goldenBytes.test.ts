/**
 * Compares stored records and messages byte for byte with those of version 0.4.1 (`test/fixtures/golden.json`): every kind
 * of record in both record formats, whole, in fragments and compressed, and every peer message. A build that changes one of
 * these bytes cannot run in one cluster with the nodes in production.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';
import { encodeAnswer, encodeRequest, encodeSpec } from '../../src/protocol/peerCodec.js';
import { leaseRequest, transactionRequest } from '../../src/protocol/stateProtocol.js';
import {
  heartbeatAnswer,
  commandsRequest,
  type CommandToken,
  redirectAnswer,
  type Command,
} from '../../src/protocol/workerProtocol.js';
import { deflateCodec } from '../../src/storage/compression.js';
import { RecordFormat } from '../../src/storage/recordFormat.js';
import {
  keys,
  type BucketRecord,
  type ChunkRecord,
  type MachineGroupRecord,
  type JobRecord,
  type NodeCapabilityRecord,
  type LeaderRecord,
  type QuotaRecord,
  type FencingTokenRecord,
} from '../../src/storage/records.js';
import type { MachineType } from '../../src/protocol/cloudProtocol.js';
import { productionAnswers, productionRequests } from '../support/messages.js';
import { jobSpec } from '../support/jobSpec.js';

const goldenFile = new URL('../../../../test/fixtures/golden.json', import.meta.url);

const fullSpec = jobSpec({
  id: 'wk-000001',
  isService: true,
  isGang: true,
  rank: 'prod',
  gpus: 1,
  machineTypes: ['m8', 'm16'],
  zone: 'a',
  sameZone: true,
  spreadZones: true,
  checkpointInterval: 20,
  checkpointDuration: 4,
  deadline: 300,
  dependencies: ['wk-000002', 'wk-000003'],
});

const openJob: JobRecord = {
  spec: jobSpec({ id: 'wk-000002', taskCount: 300 }),
  homeShard: 'drone-0',
  state: 'open',
  taskCount: 300,
  submittedAt: 1764637200.25,
  chunkSize: 100,
  zones: [],
  createdChunks: 3,
  doneChunks: [2, 1],
  migratedChunks: [1, 2, 5],
};

const chunkRecord: ChunkRecord = {
  spec: jobSpec({ id: 'wk-000002', taskCount: 300 }),
  homeShard: 'drone-0',
  submittedAt: 1764637200.25,
  firstTask: 0,
  endTask: 100,
  zone: 'a',
  nextAttemptNumber: 61,
  doneTasks: [0, 12, 30, 40],
  attempts: [
    { task: 40, attemptNumber: 1, machine: 'n-000100', agentEpoch: 1 },
    { task: 41, attemptNumber: 2, machine: 'n-000101', agentEpoch: 2 },
    { task: 42, attemptNumber: 3, machine: 'n-000100', agentEpoch: 1 },
  ],
  migrationCount: 1,
};

const bucket: BucketRecord = {
  chunks: {
    'wk-000002/0': chunkRecord,
    'wk-000001/1': {
      ...chunkRecord,
      spec: fullSpec,
      zone: null,
      doneTasks: [],
      attempts: [],
      migrationCount: 0,
    },
  },
};

const owner: LeaderRecord = { node: 'drone-1', fencingToken: 7, process: 'x' };

const tokenCounter: FencingTokenRecord = {
  lastToken: 7,
  lastLeaders: { 'drone-0': { node: 'drone-1', lostAtByNode: { 'drone-0': 1764637200 } } },
};

const node: NodeCapabilityRecord = { recordFormat: 2 };

const group: MachineGroupRecord = {
  shard: 'drone-0',
  type: 'm8',
  zone: 'a',
  spot: true,
  machines: {
    'n-000100': { launchedAt: 1764637200.25, address: '10.1.0.1:9000' },
    'n-000101': { launchedAt: 1764637201.5 },
  },
};

const openRental: MachineGroupRecord = { ...group, machines: {}, requestedCount: 12 };

const quota: QuotaRecord = { 'drone-0': { cpus: 8, gpus: 0 }, 'drone-1': { cpus: 4, gpus: 1 } };

const machineTypes: MachineType[] = [
  {
    name: 'm8',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    fetchGbPerSecond: 0.5,
    cacheGb: 20,
    price: 1.2,
    spotPrice: 0.4,
    bootSeconds: 50,
    zones: ['a', 'b'],
  },
];

/** One record of each kind by key, or several if a kind has several forms. */
const records: [string, unknown][] = [
  [keys.job('wk-000001'), { ...openJob, spec: fullSpec, zones: ['a', 'b'] } satisfies JobRecord],
  [keys.job('wk-000002'), openJob],
  [
    keys.job('wk-000003'),
    { ...openJob, spec: null, state: 'done', doneChunks: [], migratedChunks: [] },
  ],
  [keys.job('wk-000004'), { ...openJob, spec: null, state: 'cancelled' } satisfies JobRecord],
  [keys.bucket('drone-0', 's1'), bucket],
  [keys.bucket('drone-0', 's2'), { chunks: {} } satisfies BucketRecord],
  [keys.leader('drone-0'), owner],
  [keys.fencingTokens, tokenCounter],
  [keys.node('drone-0'), node],
  [keys.machineGroup('r-1'), group],
  [keys.machineGroup('r-2'), openRental],
  [keys.quota('crew'), quota],
  [keys.machineTypes, machineTypes],
  ['b/rollout/version', { level: 2, target: 2, phase: 'steady' }],
];

const recordFormats = {
  'format 1': () => new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 }),
  'format 2': () => {
    const recordFormat = new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 });
    recordFormat.useCompact();
    return recordFormat;
  },
  'format 2 in fragments': () => {
    const recordFormat = new RecordFormat({ valueBytes: 160, txnOps: 64 });
    recordFormat.useCompact();
    return recordFormat;
  },
  'format 2 compressed': () => {
    const recordFormat = new RecordFormat(
      { valueBytes: 160, txnOps: 64 },
      deflateCodec,
      () => true,
    );
    recordFormat.useCompact();
    return recordFormat;
  },
} satisfies Record<string, () => RecordFormat>;

const commands: Command[] = [
  { verb: 'start', task: 'wk-1/0', attemptNumber: 1 },
  { verb: 'stop', task: 'wk-1/1', attemptNumber: 2, gracePeriod: 4 },
  { verb: 'acknowledge', task: 'wk-1/2', attemptNumber: 3 },
];

/** Returns every kind of message to the state service, a peer or a worker, as text. */
function everyMessage(): Record<string, string> {
  const messages: Record<string, string> = {};
  for (const [name, create] of Object.entries(recordFormats)) {
    for (const [key, value] of records) {
      for (const put of create().encodePuts(key, value)) {
        messages[`${name}: ${put.key}`] = JSON.stringify(put.value);
      }
    }
  }
  productionRequests.forEach((request, index) => {
    messages[`peer request ${String(index)}`] = encodeRequest(request).toString('base64');
  });
  productionAnswers.forEach((answer, index) => {
    messages[`peer answer ${String(index)}`] = encodeAnswer(answer).toString('base64');
  });
  messages['job description in a peer request'] = encodeSpec(fullSpec);
  messages['answer to a worker'] = JSON.stringify(heartbeatAnswer(7 as CommandToken, commands));
  messages['request to a worker'] = JSON.stringify(commandsRequest(7 as CommandToken, 2, commands));
  messages['redirection of a worker'] = JSON.stringify([
    redirectAnswer('drone-1'),
    redirectAnswer(null),
  ]);
  messages['transaction'] = JSON.stringify(
    transactionRequest({
      conditions: [{ key: 'b/a', revision: 3 }],
      puts: [
        { key: 'b/a', value: 1 },
        { key: 'b/b', value: { x: 1 }, leaseId: 9 },
      ],
      deletes: ['b/c'],
    }),
  );
  messages['lease'] = JSON.stringify(leaseRequest(1.5));
  return messages;
}

/** Reads the golden messages. `UPDATE_GOLDEN=1` rewrites them first, only for a new kind of record or message. */
function goldenMessages(): Record<string, string> {
  if (process.env.UPDATE_GOLDEN === '1') {
    writeFileSync(goldenFile, `${JSON.stringify(everyMessage(), null, 2)}\n`);
  }
  return JSON.parse(readFileSync(goldenFile, 'utf8')) as Record<string, string>;
}

const golden = goldenMessages();

test('every record and message is encoded to the golden bytes', () => {
  assert.deepEqual(everyMessage(), golden);
});

test('every golden record is decoded to the record that was encoded', () => {
  const recordFormat = new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 }, deflateCodec);
  for (const [key, value] of records) {
    const stored = JSON.parse(golden[`format 1: ${key}`] ?? '') as unknown;
    assert.deepEqual(recordFormat.decode(key, stored), value, key);
  }
});

test('a decoded record of the compact format is encoded to the same bytes again', () => {
  const recordFormat = recordFormats['format 2']();
  for (const [key] of records) {
    const stored = JSON.parse(golden[`format 2: ${key}`] ?? '') as unknown;
    const again = JSON.stringify(recordFormat.encode(key, recordFormat.decode(key, stored)));
    assert.deepEqual(JSON.parse(again), stored, key);
  }
});
