/**
 * `npm run fixtures`: writes test/fixtures/production.json with records and messages as encoded by the modules of the version
 * in production. test/storage/compatibility.test.ts reads them with the current code.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { encodeAnswer, encodeRequest } from '../../src/protocol/peerCodec.js';
import {
  decodeWireAnswer,
  decodeWireRequest,
  type WireAnswer,
  type WireRequest,
} from '../../src/protocol/peerWire.js';
import type { StoredJobSpec } from '../../src/protocol/storedJobSpec.js';
import type {
  StoredChunkRecord,
  StoredAttemptRecord,
  StoredJobRecord,
} from '../../src/storage/storedRecords.js';
import { productionAnswers, productionRequests } from '../support/messages.js';
import { buildProduction, loadModule, productionCommit } from './productionBuild.js';

/** The exports of the version in production that this program uses. */
interface ProductionPeerModule {
  encodeRequest(request: WireRequest): Buffer;
  encodeAnswer(answer: WireAnswer): Buffer;
}
interface ProductionChunkModule {
  Chunk: {
    load(index: number, record: StoredChunkRecord, now: number): { record(): StoredChunkRecord };
  };
}
interface ProductionJobModule {
  parseJob(body: string): { job: StoredJobSpec };
}

const body = {
  ...{ Uid: 'wk-000001', Jobclass: 'batch', Owner: 'crew', Shape: 'sweep', Rank: 'normal' },
  ...{ Pieces: 300, Cores: 8, Accelerators: 0, MemoryGb: 28, Flavours: ['m8'], Yard: 'a' },
  ...{ SamePlace: false, Apart: false, Loaners: true, Bundle: 'img', PullGb: 1.5 },
  ...{ ExpectS: 15, SnapshotS: 20, FlushS: 4, DueS: 300 },
};

const attemptRecords = (count: number): StoredAttemptRecord[] =>
  Array.from({ length: count }, (_, i) => ({
    task: 40 + i,
    attempt: 1 + i,
    machine: `n-${String(100 + (i >> 2)).padStart(6, '0')}`,
    session: 1 + (i % 2),
  }));

function storedRecords(
  spec: StoredJobSpec,
  { Chunk }: ProductionChunkModule,
): Record<string, unknown> {
  const job: StoredJobRecord = {
    ...{ spec, home: 'drone-0', state: 'open', tasks: 300, at: 1764637200.25 },
    ...{ size: 100, zones: [], cut: 3, finished: [1], away: [1, 2] },
  };
  const chunk: StoredChunkRecord = {
    ...{ spec, home: 'drone-0', at: 1764637200.25, from: 0, to: 100, zone: 'a', next: 61 },
    ...{ done: [0, 12, 30, 40], entries: attemptRecords(60), moves: 1 },
  };
  const written = Chunk.load(0, chunk, 0).record();
  const machines = Object.fromEntries(
    Array.from({ length: 50 }, (_, i) => [
      `n-${String(100 + i).padStart(6, '0')}`,
      { at: 1764637200.25, address: `10.1.0.${i}:9000` },
    ]),
  );
  return {
    'b/job/wk-000001': job,
    'b/job/wk-000002': { ...job, spec: null, state: 'done', finished: [], away: [] },
    'b/run/drone-0/s1': { chunks: { 'wk-000001/0': { ...written, entries: attemptRecords(60) } } },
    'b/fleet/r-1': { part: 'drone-0', type: 'm8', zone: 'a', spot: true, machines },
    'b/quota/crew': { 'drone-0': { cpus: 8, gpus: 0 } },
    'b/token': {
      last: 7,
      owners: { 'drone-0': { node: 'drone-1', lost: { 'drone-0': 1764637200 } } },
    },
    'b/own/drone-0': { node: 'drone-1', token: 7, process: 'x' },
  };
}

const compiled = buildProduction();
const peer = await loadModule<ProductionPeerModule>(compiled, 'protocol/peer.js');
const job = await loadModule<ProductionJobModule>(compiled, 'protocol/job.js');
const chunk = await loadModule<ProductionChunkModule>(compiled, 'coordination/chunk.js');
const { job: spec } = job.parseJob(JSON.stringify(body));
const fixtures = {
  commit: productionCommit(),
  submission: body,
  records: storedRecords(spec, chunk),
  requests: productionRequests.map((request) =>
    peer.encodeRequest(decodeWireRequest(encodeRequest(request))).toString('base64'),
  ),
  answers: productionAnswers.map((answer) =>
    peer.encodeAnswer(decodeWireAnswer(encodeAnswer(answer))).toString('base64'),
  ),
};
const folder = resolve(import.meta.dirname, '../../../../test/fixtures');
mkdirSync(folder, { recursive: true });
writeFileSync(join(folder, 'production.json'), `${JSON.stringify(fixtures, null, 2)}\n`);
