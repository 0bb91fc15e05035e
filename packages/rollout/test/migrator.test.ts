/** Walking through the records of a shard: interrupted, repeated, refused and damaged. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Migrator,
  readProgress,
  type Conversion,
  type MigratedShard,
} from '../src/migration/migrator.js';
import { rolloutKeys } from '../src/records.js';
import { SimulatedCopy, SimulatedStore } from './support/simulatedStore.js';

const OWNER = 'b/own/p';
const OPERATIONS = 5;

class Walk {
  readonly store = new SimulatedStore();
  readonly old = new Set<string>();
  readonly damaged = new Set<string>();
  readonly busy = new Set<string>();
  readonly converted: string[] = [];
  mayWrite = true;
  isLeader = true;

  constructor(count: number) {
    this.store.put(OWNER, { node: 'p' });
    for (let i = 0; i < count; i++) this.old.add(`b/run/p/${String(i).padStart(4, '0')}`);
  }

  private shard(): MigratedShard {
    const revision = this.store.rows.get(OWNER)?.revision ?? 0;
    return {
      label: 'p',
      leadership: () => (this.isLeader ? { key: OWNER, revision } : null),
      outdatedKeys: (after, most) =>
        [...this.old]
          .filter((key) => key > after)
          .sort()
          .slice(0, most),
      convert: (key) => Promise.resolve(this.convert(key)),
    };
  }

  private convert(key: string): Conversion {
    if (this.damaged.has(key)) return { kind: 'failed', reason: 'its checksum does not match' };
    if (this.busy.has(key)) return { kind: 'later' };
    this.converted.push(key);
    this.old.delete(key);
    return { kind: 'converted' };
  }

  /** Another process, which knows only what is stored. */
  async step(walk = 1): Promise<string> {
    const log = (): void => undefined;
    const copy = new SimulatedCopy(this.store);
    const mayWrite = (): boolean => this.mayWrite;
    const options = { operations: OPERATIONS, quarantineNames: 2, mayWrite, log };
    return new Migrator(this.store, copy, options).step(this.shard(), walk);
  }

  get progress() {
    return readProgress(new SimulatedCopy(this.store), 'p', 1);
  }

  async finish(): Promise<void> {
    for (let i = 0; i < 100 && (await this.step()) !== 'finished'; i++);
  }
}

test('a walk goes on from its stored cursor, whoever takes the steps, and does each record once', async () => {
  const walk = new Walk(30);
  await walk.finish();
  assert.equal(walk.converted.length, 30);
  assert.equal(new Set(walk.converted).size, 30);
  const { converted, isFinished } = walk.progress;
  assert.deepEqual({ converted, isFinished }, { converted: 30, isFinished: true });
});

test('a step takes no more operations than it may', async () => {
  const walk = new Walk(30);
  assert.equal(await walk.step(), 'advanced');
  assert.equal(walk.converted.length + walk.store.writes, OPERATIONS);
});

test('a record that cannot be converted is kept by name and stalls neither the others nor the end', async () => {
  const walk = new Walk(12);
  for (const index of ['0001', '0005', '0009', '0011']) walk.damaged.add(`b/run/p/${index}`);
  await walk.finish();
  const { quarantined, unnamed, converted, isFinished } = walk.progress;
  assert.deepEqual(quarantined, {
    'b/run/p/0001': 'its checksum does not match',
    'b/run/p/0005': 'its checksum does not match',
  });
  assert.deepEqual(
    { unnamed, converted, isFinished },
    { unnamed: 2, converted: 8, isFinished: true },
  );
});

test('a record that is busy is waited for, and nothing behind it is passed over', async () => {
  const walk = new Walk(6);
  walk.busy.add('b/run/p/0002');
  for (let i = 0; i < 5; i++) await walk.step();
  assert.equal(walk.progress.cursor, 'b/run/p/0001');
  walk.busy.clear();
  await walk.finish();
  assert.equal(walk.progress.isFinished, true);
  assert.equal(walk.old.size, 0);
});

test('nothing is written while the store is short, down, or owned by another', async () => {
  const cases: [string, (walk: Walk) => void, string][] = [
    ['short', (walk) => (walk.mayWrite = false), 'waiting'],
    ['down', (walk) => (walk.store.isDown = true), 'waiting'],
    ['not led', (walk) => (walk.isLeader = false), 'not-leader'],
  ];
  for (const [what, prepare, outcome] of cases) {
    const walk = new Walk(3);
    prepare(walk);
    assert.equal(await walk.step(), outcome, what);
    assert.equal(walk.store.rows.get(rolloutKeys.migration('p')), undefined, what);
  }
});

test('a lost answer, and a progress record that is damaged or of an earlier walk, only cost repetition', async () => {
  const walk = new Walk(10);
  walk.store.losesAnswer = true;
  await walk.step();
  await walk.finish();
  assert.equal(walk.old.size, 0);
  walk.old.add('b/run/p/0003');
  walk.store.put(rolloutKeys.migration('p'), { cursor: 7 });
  await walk.finish();
  assert.equal(walk.old.size, 0);
  assert.equal(await walk.step(2), 'finished');
});
