/** Which jobs wait for others, from stored states that arrive in any order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import {
  DependencyGraph,
  type StoredJobState,
} from '../../src/coordination/pipelines/dependencyGraph.js';

interface Job {
  state: StoredJobState;
  needs: string[];
  rank: number;
}

/** Records that are told to a graph one by one, and what it says of them. */
class Records {
  readonly jobs = new Map<string, Job>();
  readonly released: string[] = [];
  readonly doomed: string[] = [];
  rankings = 0;
  readonly graph = new DependencyGraph((id) => this.jobs.get(id)?.state, {
    onReleased: (id) => this.released.push(id),
    onDependencyCancelled: (id) => this.doomed.push(id),
    onRankChanged: () => this.rankings++,
  });

  note(id: string, state: StoredJobState, needs: string[] = [], rank = 0, now = 0): void {
    this.jobs.set(id, { state, needs, rank });
    this.graph.applyJobState(id, state, needs, rank, now);
  }

  /** Told step by step: `a` is open, `b<a,c` is open and needs them, `a+` is done, `a-` is cancelled. */
  tell(steps: string): void {
    for (const step of steps.split(' ')) {
      const [, id = '', names, end] = /^(\w+)(?:<([\w,]+))?([+-])?$/.exec(step) ?? [];
      const state = end === '+' ? 'done' : end === '-' ? 'cancelled' : 'open';
      this.note(id, state, state === 'open' && names !== undefined ? names.split(',') : []);
    }
  }
}

const cases: { name: string; steps: string; released: string; doomed: string; held: string }[] = [
  { name: 'it waits', steps: 'a b<a', released: '', doomed: '', held: 'b' },
  { name: 'it is released', steps: 'a b<a a+', released: 'b', doomed: '', held: '' },
  { name: 'one of two is done', steps: 'a c b<a,c a+', released: '', doomed: '', held: 'b' },
  { name: 'all are done before', steps: 'a+ c+ b<a,c', released: '', doomed: '', held: '' },
  {
    name: 'read after the one that needs it',
    steps: 'b<a a+',
    released: 'b',
    doomed: '',
    held: '',
  },
  { name: 'cancelled', steps: 'a b<a a-', released: '', doomed: 'b', held: 'b' },
  { name: 'cancelled before', steps: 'a- b<a', released: '', doomed: 'b', held: 'b' },
  { name: 'through others', steps: 'a b<a c<b a-', released: '', doomed: 'b c', held: 'b c' },
  { name: 'read backwards', steps: 'c<b b<a a-', released: '', doomed: 'b c', held: 'b c' },
  { name: 'needs a doomed one', steps: 'a b<a a- c<b', released: '', doomed: 'b c', held: 'b c' },
  { name: 'its end is stored', steps: 'a b<a c<b a- b-', released: '', doomed: 'b c', held: 'c' },
  {
    name: 'both ends are stored',
    steps: 'a b<a c<b a- b- c-',
    released: '',
    doomed: 'b c',
    held: '',
  },
  {
    name: 'cancelled and then another done',
    steps: 'a c b<a,c a- c+',
    released: '',
    doomed: 'b',
    held: 'b',
  },
  { name: 'a diamond', steps: 'a b<a c<a d<b,c a+ b+ c+', released: 'b c d', doomed: '', held: '' },
  {
    name: 'a diamond, one side cancelled',
    steps: 'a b<a c<a d<b,c a+ b- c+',
    released: 'b c',
    doomed: 'd',
    held: 'd',
  },
  { name: 'told twice', steps: 'a b<a b<a a+ a+', released: 'b', doomed: '', held: '' },
  {
    name: 'cancelled itself while it waits',
    steps: 'a b<a b- a+',
    released: '',
    doomed: '',
    held: '',
  },
];

for (const { name, steps, released, doomed, held } of cases) {
  test(`dependencies: ${name}`, () => {
    const records = new Records();
    records.tell(steps);
    assert.equal(records.released.join(' '), released, 'released');
    assert.equal([...records.doomed].sort().join(' '), doomed, 'doomed');
    const stillHeld = [...records.jobs.keys()].filter((id) =>
      records.graph.isBlockedOnDependencies(id),
    );
    assert.equal(stillHeld.sort().join(' '), held, 'held');
  });
}

test('what a job inherits follows those that need it, and falls when they are over', () => {
  const records = new Records();
  const { graph } = records;
  records.note('a', 'open');
  records.note('b', 'open', ['a']);
  assert.equal(graph.inheritedRank('a'), 0);
  records.note('c', 'open', ['b'], 2);
  assert.deepEqual([graph.inheritedRank('a'), graph.inheritedRank('b')], [2, 2]);
  records.note('d', 'open', ['a'], 1);
  records.note('c', 'cancelled');
  assert.deepEqual([graph.inheritedRank('a'), graph.inheritedRank('b')], [1, -Infinity]);
  records.note('a', 'done');
  assert.equal(graph.inheritedRank('a'), -Infinity);
});

test('long chains and wide jobs cost work in proportion to the change', () => {
  const LENGTH = 3000;
  const chain = new Records();
  for (let i = 0; i < LENGTH; i++) chain.note(`j${i}`, 'open', i === 0 ? [] : [`j${i - 1}`]);
  chain.rankings = 0;
  chain.note('last', 'open', [`j${LENGTH - 1}`], 2);
  assert.equal(chain.rankings, LENGTH, 'each is ranked once');
  chain.note('j0', 'cancelled');
  assert.equal(chain.doomed.length, LENGTH);
  const wide = new Records();
  const first = Array.from({ length: LENGTH }, (_, i) => `f${i}`);
  for (const id of first) wide.note(id, 'open');
  wide.note('join', 'open', first);
  for (let i = 0; i < LENGTH; i++) wide.note(`g${i}`, 'open', ['join']);
  for (const id of first) wide.note(id, 'done');
  wide.note('join', 'done');
  assert.equal(wide.released.length, LENGTH + 1);
});

/** What the stored states say by definition, without any bookkeeping. */
function expected(jobs: ReadonlyMap<string, Job>, id: string): { held: boolean; doomed: boolean } {
  const job = jobs.get(id);
  if (job === undefined || job.state !== 'open') return { held: false, doomed: false };
  const isDoomed = job.needs.some((need) => {
    return jobs.get(need)?.state === 'cancelled' || expected(jobs, need).doomed;
  });
  const isHeld = job.needs.some((need) => jobs.get(need)?.state !== 'done');
  return { held: isHeld, doomed: isDoomed };
}

test('random histories in any order come to what the stored states say', () => {
  const random = seededRandom(11);
  for (let round = 0; round < 200; round++) {
    const records = new Records();
    const ids = Array.from({ length: 12 }, (_, i) => `j${i}`);
    const needs = new Map(
      ids.map((id, i) => [id, ids.slice(0, i).filter(() => random() < 0.25)] as const),
    );
    const unread = [...ids].sort(() => random() - 0.5);
    for (let step = 0; step < 40; step++) {
      const open = [...records.jobs].filter(([, job]) => job.state === 'open');
      const id = unread.pop();
      if (id !== undefined && random() < 0.6) records.note(id, 'open', needs.get(id));
      else {
        if (id !== undefined) unread.push(id);
        const [over] = open[Math.floor(random() * open.length)] ?? [];
        if (over === undefined) continue;
        const mayBeDone = !expected(records.jobs, over).held;
        records.note(over, mayBeDone && random() < 0.7 ? 'done' : 'cancelled');
      }
      for (const known of records.jobs.keys()) {
        const { held, doomed } = expected(records.jobs, known);
        assert.equal(
          records.graph.isBlockedOnDependencies(known),
          held,
          `${known} in round ${round}`,
        );
        assert.equal(
          records.graph.dependencyCancelledAt(known) !== null,
          doomed,
          `${known} in round ${round}`,
        );
      }
    }
  }
});
