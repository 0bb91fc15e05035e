/**
 * What is stored and what controllers send each other, byte for byte as version 0.4.1 wrote it (`test/fixtures/golden.json`):
 * every kind of record in both record formats, whole, in fragments and compressed, and every peer message. A build that
 * changes one of these bytes cannot run beside the nodes that are in production.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';
import { encodeAnswer, encodeRequest, encodeSpec } from '../../src/protocol/peerCodec.js';
import { leaseRequest, transactionRequest } from '../../src/protocol/stateProtocol.js';
import {
  heartbeatAnswer,
  commandsRequest,
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
import { spec } from '../support/spec.js';

const goldenFile = new URL('../../../../test/fixtures/golden.json', import.meta.url);

const fullSpec = spec({
  id: 'wk-000001',
  service: true,
  gang: true,
  rank: 'prod',
  gpus: 1,
  types: ['m8', 'm16'],
  zone: 'a',
  oneZone: true,
  spread: true,
  checkpoint: 20,
  save: 4,
  due: 300,
  waitsOn: ['wk-000002', 'wk-000003'],
});

const openJob: JobRecord = {
  spec: spec({ id: 'wk-000002', tasks: 300 }),
  home: 'drone-0',
  state: 'open',
  tasks: 300,
  at: 1764637200.25,
  size: 100,
  zones: [],
  cut: 3,
  finished: [2, 1],
  away: [1, 2, 5],
};

const chunkRecord: ChunkRecord = {
  spec: spec({ id: 'wk-000002', tasks: 300 }),
  home: 'drone-0',
  at: 1764637200.25,
  from: 0,
  to: 100,
  zone: 'a',
  next: 61,
  done: [0, 12, 30, 40],
  entries: [
    { task: 40, attempt: 1, machine: 'n-000100', session: 1 },
    { task: 41, attempt: 2, machine: 'n-000101', session: 2 },
    { task: 42, attempt: 3, machine: 'n-000100', session: 1 },
  ],
  moves: 1,
};

const bucket: BucketRecord = {
  chunks: {
    'wk-000002/0': chunkRecord,
    'wk-000001/1': { ...chunkRecord, spec: fullSpec, zone: null, done: [], entries: [], moves: 0 },
  },
};

const owner: LeaderRecord = { node: 'drone-1', token: 7, process: 'x' };

const tokenCounter: FencingTokenRecord = {
  last: 7,
  owners: { 'drone-0': { node: 'drone-1', lost: { 'drone-0': 1764637200 } } },
};

const node: NodeCapabilityRecord = { layout: 2 };

const group: MachineGroupRecord = {
  part: 'drone-0',
  type: 'm8',
  zone: 'a',
  spot: true,
  machines: {
    'n-000100': { at: 1764637200.25, address: '10.1.0.1:9000' },
    'n-000101': { at: 1764637201.5 },
  },
};

const openRental: MachineGroupRecord = { ...group, machines: {}, asked: 12 };

const quota: QuotaRecord = { 'drone-0': { cpus: 8, gpus: 0 }, 'drone-1': { cpus: 4, gpus: 1 } };

const machineTypes: MachineType[] = [
  {
    name: 'm8',
    cpus: 8,
    gpus: 0,
    memory: 32,
    fetchRate: 0.5,
    cache: 20,
    price: 1.2,
    spotPrice: 0.4,
    boot: 50,
    zones: ['a', 'b'],
  },
];

/** One record of each kind, by its key; several where their forms differ. */
const records: [string, unknown][] = [
  [keys.job('wk-000001'), { ...openJob, spec: fullSpec, zones: ['a', 'b'] } satisfies JobRecord],
  [keys.job('wk-000002'), openJob],
  [keys.job('wk-000003'), { ...openJob, spec: null, state: 'done', finished: [], away: [] }],
  [keys.job('wk-000004'), { ...openJob, spec: null, state: 'cancelled' } satisfies JobRecord],
  [keys.run('drone-0', 's1'), bucket],
  [keys.run('drone-0', 's2'), { chunks: {} } satisfies BucketRecord],
  [keys.owner('drone-0'), owner],
  [keys.token, tokenCounter],
  [keys.node('drone-0'), node],
  [keys.group('r-1'), group],
  [keys.group('r-2'), openRental],
  [keys.quota('crew'), quota],
  [keys.types, machineTypes],
  ['b/rollout/version', { level: 2, target: 2, phase: 'steady' }],
];

const layouts = {
  'format 1': () => new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 }),
  'format 2': () => {
    const layout = new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 });
    layout.useCompact();
    return layout;
  },
  'format 2 in fragments': () => {
    const layout = new RecordFormat({ valueBytes: 160, txnOps: 64 });
    layout.useCompact();
    return layout;
  },
  'format 2 compressed': () => {
    const layout = new RecordFormat({ valueBytes: 160, txnOps: 64 }, deflateCodec, () => true);
    layout.useCompact();
    return layout;
  },
} satisfies Record<string, () => RecordFormat>;

const orders: Command[] = [
  { verb: 'start', task: 'wk-1/0', attempt: 1 },
  { verb: 'halt', task: 'wk-1/1', attempt: 2, wind: 4 },
  { verb: 'reap', task: 'wk-1/2', attempt: 3 },
];

/** Everything that leaves this process for the state service, a peer or a worker, as text. */
function everyMessage(): Record<string, string> {
  const messages: Record<string, string> = {};
  for (const [name, create] of Object.entries(layouts)) {
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
  messages['answer to a worker'] = JSON.stringify(heartbeatAnswer(7, orders));
  messages['request to a worker'] = JSON.stringify(commandsRequest(7, 2, orders));
  messages['redirection of a worker'] = JSON.stringify([
    redirectAnswer('drone-1'),
    redirectAnswer(null),
  ]);
  messages['transaction'] = JSON.stringify(
    transactionRequest({
      when: [{ key: 'b/a', stamp: 3 }],
      puts: [
        { key: 'b/a', value: 1 },
        { key: 'b/b', value: { x: 1 }, hold: 9 },
      ],
      removes: ['b/c'],
    }),
  );
  messages['lease'] = JSON.stringify(leaseRequest(1.5));
  return messages;
}

/** Written with `UPDATE_GOLDEN=1`, which only a new kind of record or message is a reason for. */
function goldenMessages(): Record<string, string> {
  if (process.env.UPDATE_GOLDEN === '1') {
    writeFileSync(goldenFile, `${JSON.stringify(everyMessage(), null, 2)}\n`);
  }
  return JSON.parse(readFileSync(goldenFile, 'utf8')) as Record<string, string>;
}

const golden = goldenMessages();

test('every record and message is written byte for byte as before', () => {
  assert.deepEqual(everyMessage(), golden);
});

test('every stored record is read back as the record that was written', () => {
  const layout = new RecordFormat({ valueBytes: 16 * 1024, txnOps: 16 }, deflateCodec);
  for (const [key, value] of records) {
    const stored = JSON.parse(golden[`format 1: ${key}`] ?? '') as unknown;
    assert.deepEqual(layout.decode(key, stored), value, key);
  }
});

test('a record of the compact format is written again as it was read', () => {
  const layout = layouts['format 2']();
  for (const [key] of records) {
    const stored = JSON.parse(golden[`format 2: ${key}`] ?? '') as unknown;
    const again = JSON.stringify(layout.encode(key, layout.decode(key, stored)));
    assert.deepEqual(JSON.parse(again), stored, key);
  }
});
