/** Migration passes over the records of a shard, with interruptions, repetitions, rejected writes and damaged records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Migrator,
  readProgress,
  type Conversion,
  type MigratedShard,
} from '../src/migration/migrator.js';
import { rolloutKeys } from '../src/records.js';
import { SimulatedCache, SimulatedStore } from './support/simulatedStore.js';

const OWNER = 'b/own/p';
const OPERATIONS = 5;

class MigrationPass {
  readonly store = new SimulatedStore();
  readonly outdated = new Set<string>();
  readonly damaged = new Set<string>();
  readonly busy = new Set<string>();
  readonly converted: string[] = [];
  mayWrite = true;
  isLeader = true;

  constructor(count: number) {
    this.store.put(OWNER, { node: 'p' });
    for (let i = 0; i < count; i++) this.outdated.add(`b/run/p/${String(i).padStart(4, '0')}`);
  }

  private shard(): MigratedShard {
    const revision = this.store.rows.get(OWNER)?.revision ?? 0;
    return {
      label: 'p',
      leadership: () => (this.isLeader ? { key: OWNER, revision } : null),
      outdatedKeys: (after, most) =>
        [...this.outdated]
          .filter((key) => key > after)
          .sort()
          .slice(0, most),
      convert: (key) => Promise.resolve(this.convert(key)),
    };
  }

  private convert(key: string): Conversion {
    if (this.damaged.has(key)) return { kind: 'failed', reason: 'its checksum does not match' };
    if (this.busy.has(key)) return { kind: 'deferred' };
    this.converted.push(key);
    this.outdated.delete(key);
    return { kind: 'converted' };
  }

  /** Executes one step in a new process, which only knows the stored state. */
  async step(walk = 1): Promise<string> {
    const log = (): void => undefined;
    const cache = new SimulatedCache(this.store);
    const mayWrite = (): boolean => this.mayWrite;
    const options = { operations: OPERATIONS, quarantineNames: 2, mayWrite, log };
    return new Migrator(this.store, cache, options).step(this.shard(), walk);
  }

  get progress() {
    return readProgress(new SimulatedCache(this.store), 'p', 1);
  }

  async finish(): Promise<void> {
    for (let i = 0; i < 100 && (await this.step()) !== 'finished'; i++);
  }
}

test('a pass continues at its stored cursor in any process and converts each record once', async () => {
  const pass = new MigrationPass(30);
  await pass.finish();
  assert.equal(pass.converted.length, 30);
  assert.equal(new Set(pass.converted).size, 30);
  const { converted, isFinished } = pass.progress;
  assert.deepEqual({ converted, isFinished }, { converted: 30, isFinished: true });
});

test('a step stays within its operation limit', async () => {
  const pass = new MigrationPass(30);
  assert.equal(await pass.step(), 'advanced');
  assert.equal(pass.converted.length + pass.store.writes, OPERATIONS);
});

test('a record that cannot be converted is quarantined by name and blocks neither the others nor the end of the pass', async () => {
  const pass = new MigrationPass(12);
  for (const index of ['0001', '0005', '0009', '0011']) pass.damaged.add(`b/run/p/${index}`);
  await pass.finish();
  const { quarantined, unnamed, converted, isFinished } = pass.progress;
  assert.deepEqual(quarantined, {
    'b/run/p/0001': 'its checksum does not match',
    'b/run/p/0005': 'its checksum does not match',
  });
  assert.deepEqual(
    { unnamed, converted, isFinished },
    { unnamed: 2, converted: 8, isFinished: true },
  );
});

test('the cursor stops at a busy record, and no record after it is skipped', async () => {
  const pass = new MigrationPass(6);
  pass.busy.add('b/run/p/0002');
  for (let i = 0; i < 5; i++) await pass.step();
  assert.equal(pass.progress.cursor, 'b/run/p/0001');
  pass.busy.clear();
  await pass.finish();
  assert.equal(pass.progress.isFinished, true);
  assert.equal(pass.outdated.size, 0);
});

test('no progress is written while the store is overloaded or down, or another node leads the shard', async () => {
  const cases: [string, (pass: MigrationPass) => void, string][] = [
    ['overloaded', (pass) => (pass.mayWrite = false), 'waiting'],
    ['down', (pass) => (pass.store.isDown = true), 'waiting'],
    ['not led', (pass) => (pass.isLeader = false), 'not-leader'],
  ];
  for (const [what, prepare, outcome] of cases) {
    const pass = new MigrationPass(3);
    prepare(pass);
    assert.equal(await pass.step(), outcome, what);
    assert.equal(pass.store.rows.get(rolloutKeys.migration('p')), undefined, what);
  }
});

test('a lost response, and a progress record that is damaged or of an earlier pass, only cause repetition', async () => {
  const pass = new MigrationPass(10);
  pass.store.losesNextResponse = true;
  await pass.step();
  await pass.finish();
  assert.equal(pass.outdated.size, 0);
  pass.outdated.add('b/run/p/0003');
  pass.store.put(rolloutKeys.migration('p'), { cursor: 7 });
  await pass.finish();
  assert.equal(pass.outdated.size, 0);
  assert.equal(await pass.step(2), 'finished');
});
