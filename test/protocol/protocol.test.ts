/** Parsing of submissions, settings and heartbeats, and encoding of the messages between peers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseJob } from '../../src/protocol/job.js';
import {
  decodeAnswer,
  decodeRequest,
  encodeAnswer,
  encodeRequest,
} from '../../src/protocol/peerCodec.js';
import { defaultTuning, parseSettings, parseTuning } from '../../src/protocol/settings.js';
import { parseHeartbeat } from '../../src/protocol/workerProtocol.js';
import { submission } from '../support/cluster.js';
import { productionAnswers, productionRequests } from '../support/messages.js';
import { settingsText } from '../support/settings.js';

const text = (changes: Record<string, unknown>): string =>
  JSON.stringify(submission('wk-000001', changes));

const jobs: [string, string, RegExp | null][] = [
  ['complete', text({}), null],
  ['an unknown field', text({ Colour: 'red' }), null],
  ['the largest job', text({ Pieces: 100_000 }), null],
  [
    'optional fields left out',
    text({ Flavours: undefined, Yard: undefined, DueS: undefined }),
    null,
  ],
  ['a duplicate field: the last one applies', text({}).replace('{', '{"Pieces":"x",'), null],
  ['not JSON', '{"Uid":', /not JSON/],
  ['empty', '', /not JSON/],
  ['not an object', '[]', /body|Uid/],
  ['null', 'null', /body|Invalid/],
  ['no id', text({ Uid: undefined }), /Uid/],
  ['an id that would escape its key', text({ Uid: 'wk-1/../token' }), /Uid/],
  ['an id of another format', text({ Uid: 'job-1' }), /Uid/],
  ['no tasks', text({ Pieces: 0 }), /Pieces/],
  ['too many tasks', text({ Pieces: 100_001 }), /Pieces/],
  ['a fractional count', text({ Pieces: 1.5 }), /Pieces/],
  ['a count as text', text({ Pieces: '3' }), /Pieces/],
  ['no processors', text({ Cores: 0 }), /Cores/],
  ['negative memory', text({ MemoryGb: -1 }), /MemoryGb/],
  ['a gang', text({ Shape: 'ensemble' }), null],
  ['an unknown shape', text({ Shape: 'choir' }), /Shape/],
  ['an unknown rank', text({ Rank: 'vip' }), /Rank/],
  ['a flag as text', text({ Apart: 'no' }), /Apart/],
  ['types that are no list', text({ Flavours: 'm8' }), /Flavours/],
  ['a missing flag', text({ Loaners: undefined }), /Loaners/],
];

test('submissions are validated field by field', () => {
  for (const [name, body, error] of jobs) {
    const parsed = parseJob(body);
    if (error === null) assert.ok('job' in parsed, `${name}: ${JSON.stringify(parsed)}`);
    else assert.match('error' in parsed ? parsed.error : 'accepted', error, name);
  }
});

test('dependencies: duplicates are removed; null, absent and empty mean none', () => {
  const cases: [unknown, string[] | null][] = [
    [undefined, []],
    [null, []],
    [[], []],
    [['wk-2'], ['wk-2']],
    [
      ['wk-2', 'wk-3', 'wk-2'],
      ['wk-2', 'wk-3'],
    ],
    ['wk-2', null],
    [[2], null],
    [[null], null],
    [['job-2'], null],
    [['wk-1/0'], null],
    [{ 0: 'wk-2' }, null],
  ];
  for (const [given, names] of cases) {
    const parsed = parseJob(text({ WaitsOn: given }));
    assert.deepEqual(
      'job' in parsed ? parsed.job.dependencies : null,
      names,
      JSON.stringify(given),
    );
    if ('error' in parsed) assert.match(parsed.error, /WaitsOn/);
  }
});

const optional = ['Flavours', 'Yard', 'DueS'];
for (const field of Object.keys(submission('wk-000001') as Record<string, unknown>)) {
  test(`a submission without ${field}, or with one of another type`, () => {
    const left = parseJob(text({ [field]: undefined }));
    assert.equal('job' in left, optional.includes(field), 'left out');
    assert.equal('job' in parseJob(text({ [field]: null })), optional.includes(field), 'null');
    assert.ok('error' in parseJob(text({ [field]: { a: 1 } })), 'an object');
  });
}

const settings = settingsText();

test('settings: unknown keys are ignored, errors name the invalid key', () => {
  const parsed = parseSettings(settings);
  assert.equal(parsed.workerLease, 18);
  assert.deepEqual(parsed.teams[0], { name: 'crew', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 });
  const bad: [string, string, RegExp][] = [
    ['lease_s = 18.0', 'lease_s = "long"', /settings\.workers\.lease_s/],
    ['lease_s = 18.0', '', /settings\.workers\.lease_s/],
    ['label = "drone-0"', 'label = ""', /label/],
    ['back = "127.0.0.1:2"', 'back = "nowhere"', /back: not an address/],
    ['zones = ["a"]', 'zones = []', /settings\.zones/],
    // With two operations, a chunk could never be migrated.
    ['txn_ops = 16', 'txn_ops = 2', /settings\.state\.txn_ops/],
    ['label = "drone-0"', 'label = ', /not TOML/],
  ];
  for (const [from, to, message] of bad) {
    assert.throws(() => parseSettings(settings.replace(from, to)), message, to);
  }
});

test('announced limits: the smaller ones apply, errors name the invalid key, absent ones change nothing', () => {
  const limitsWith = (next: string): number[] => {
    const text = settings.replace('[settings.cloud]', `${next}\n[settings.cloud]`);
    const { stateRequestRate: stateRate, stateWriteRate, valueBytes, txnOps } = parseSettings(text);
    return [stateRate, stateWriteRate, valueBytes, txnOps];
  };
  const cases: [string, number[]][] = [
    ['', [100, 25, 32768, 16]],
    ['[settings.state.next]', [100, 25, 32768, 16]],
    ['[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 18.0', [100, 18, 2048, 5]],
    ['[settings.state.next]\nvalue_kb = 64.0\ntxn_ops = 32\nrps = 50.0', [50, 25, 32768, 16]],
  ];
  for (const [next, limits] of cases) assert.deepEqual(limitsWith(next), limits, next);
  for (const [name, value] of [
    ['value_kb', '0.0'],
    ['value_kb', '"2"'],
    ['write_rps', '-1.0'],
    ['rps', 'nan'],
    ['txn_ops', '2'],
    ['txn_ops', '5.5'],
  ]) {
    const next = `[settings.state.next]\n${name} = ${value}`;
    assert.throws(() => limitsWith(next), new RegExp(`settings\\.state\\.next\\.${name}`), next);
  }
});

test('properties: defaults, changes and errors', () => {
  assert.deepEqual(parseTuning('# nothing\n'), defaultTuning);
  const changed = parseTuning('migration.threshold = 20\nmigration.enabled: false\nother=1\n');
  assert.deepEqual([changed.threshold, changed.migrate], [20, false]);
  for (const line of ['migration.factor = much', 'placement.sample = 0', 'migration.enabled = 1']) {
    assert.throws(() => parseTuning(line), /properties: /, line);
  }
});

test('heartbeats: a malformed one is rejected, an attempt in an unknown state still occupies resources', () => {
  assert.equal(parseHeartbeat({ Drone: 'n-1' }), null);
  assert.equal(parseHeartbeat(null), null);
  const heartbeat = parseHeartbeat({
    Drone: 'n-1',
    Address: '127.0.0.1:9',
    Flavour: 'm8',
    Yard: 'a',
    Loaners: false,
    Shift: 1,
    Tick: 2,
    Baton: 3,
    Pieces: [{ Piece: 'wk-1/0', Try: 1, Status: 'odd' }],
  });
  assert.equal(heartbeat?.attempts[0]?.state, 'running');
  assert.equal(heartbeat?.preemptionWarning, null);
});

test('messages between peers are unchanged after encoding and decoding', () => {
  for (const request of productionRequests) {
    assert.deepEqual(JSON.parse(JSON.stringify(decodeRequest(encodeRequest(request)))), request);
  }
  for (const answer of productionAnswers) {
    assert.deepEqual(
      JSON.parse(JSON.stringify(decodeAnswer(encodeAnswer(answer)))),
      JSON.parse(JSON.stringify(answer)),
    );
  }
});
