/** Loading a part from its records: what an earlier owner may have left on machines counts, whatever became of its job. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ShardLoader,
  type ShardLoaderContext,
} from '../../src/coordination/leadership/shardLoader.js';
import {
  keys,
  type BucketRecord,
  type JobRecord,
  type MachineRecord,
} from '../../src/storage/records.js';
import type { CachedRecord } from '../../src/storage/stateCache.js';
import { layoutFor } from '../support/layout.js';
import { emptyPart, m8 } from '../support/part.js';
import { spec } from '../support/spec.js';

const HELD = { token: 7, stamp: 9, lostAt: 0 };

/** The records of a part with one machine and one chunk of two tasks, one of which an owner has started. */
function nodeWith(job: Partial<JobRecord>): ShardLoaderContext {
  const task = spec({ id: 'wk-1', tasks: 2 });
  const record: JobRecord = {
    spec: task,
    home: 'p',
    state: 'open',
    tasks: 2,
    at: 1,
    size: 8,
    zones: [],
    cut: 1,
    finished: [],
    away: [],
    ...job,
  };
  const chunk = {
    spec: task,
    home: 'p',
    at: 1,
    from: 0,
    to: 2,
    zone: null,
    next: 3,
    done: [],
    moves: 0,
  };
  const entry = { task: 1, attempt: 2, machine: 'n-1', session: 1 };
  const bucket: BucketRecord = { chunks: { 'wk-1/0': { ...chunk, entries: [entry] } } };
  const rows = new Map<string, CachedRecord>([
    [keys.job('wk-1'), { value: record, stamp: 5 }],
    [keys.run('p', 's1'), { value: bucket, stamp: 4 }],
  ]);
  const machine: MachineRecord = { part: 'p', type: 'm8', zone: 'a', spot: false, at: 0 };
  return {
    clock: { now: () => 100, wall: () => 100 },
    fleet: { of: () => new Map([['n-1', machine]]).entries() },
    replica: {
      get: (key) => rows.get(key),
      *under(prefix) {
        for (const row of rows) if (row[0].startsWith(prefix)) yield row;
      },
      noteRemoved: () => undefined,
    },
    state: { get: () => Promise.resolve(null) },
    cancelPreparations: { apply: () => undefined },
    commits: { acceptMissing: () => undefined },
    layout: layoutFor(),
    requestRound: () => undefined,
  };
}

const cases: { name: string; job: Partial<JobRecord>; isWanted: boolean }[] = [
  { name: 'its job is open', job: {}, isWanted: true },
  { name: 'its job is cancelled', job: { state: 'cancelled', spec: null }, isWanted: false },
  { name: 'its job is done', job: { state: 'done', spec: null }, isWanted: false },
  { name: 'its chunk has been counted as over', job: { finished: [0] }, isWanted: false },
];

for (const { name, job, isWanted } of cases) {
  test(`a task that an earlier owner started is counted until it is known to be over: ${name}`, () => {
    const part = emptyPart(3, new Map([['m8', m8]]));
    new ShardLoader(nodeWith(job)).load(part, HELD, 100);
    assert.equal(part.teams.usedBy('crew').cpus, 2);
    const machine = part.machines.get('n-1');
    assert.equal(machine?.free.cpus, 6);
    const chunk = part.chunks.get('wk-1/0');
    assert.equal(chunk?.unwanted, !isWanted);
    assert.equal(chunk?.entries.get(1)?.stop !== null, !isWanted, 'it is ended if nobody wants it');
  });
}
