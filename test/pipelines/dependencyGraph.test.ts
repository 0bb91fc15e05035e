/** The dependency graph: which jobs wait for others, given stored states that arrive in any order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/base/random.js';
import {
  DependencyGraph,
  type StoredJobState,
} from '../../src/coordination/pipelines/dependencyGraph.js';

interface Job {
  state: StoredJobState;
  dependencies: string[];
  rank: number;
}

/** Applies records to a graph one by one and collects its callbacks. */
class GraphFixture {
  readonly jobs = new Map<string, Job>();
  readonly released: string[] = [];
  readonly dependencyCancelled: string[] = [];
  rankChanges = 0;
  readonly graph = new DependencyGraph((id) => this.jobs.get(id)?.state, {
    onReleased: (id) => this.released.push(id),
    onDependencyCancelled: (id) => this.dependencyCancelled.push(id),
    onRankChanged: () => this.rankChanges++,
  });

  applyState(
    id: string,
    state: StoredJobState,
    dependencies: string[] = [],
    rank = 0,
    now = 0,
  ): void {
    this.jobs.set(id, { state, dependencies, rank });
    this.graph.applyJobState(id, state, dependencies, rank, now);
  }

  /** Applies steps in order: `a` is open, `b<a,c` is open and depends on both, `a+` is done, `a-` is cancelled. */
  applySteps(steps: string): void {
    for (const step of steps.split(' ')) {
      const [, id = '', names, end] = /^(\w+)(?:<([\w,]+))?([+-])?$/.exec(step) ?? [];
      const state = end === '+' ? 'done' : end === '-' ? 'cancelled' : 'open';
      this.applyState(id, state, state === 'open' && names !== undefined ? names.split(',') : []);
    }
  }
}

const cases: {
  name: string;
  steps: string;
  released: string;
  dependencyCancelled: string;
  blocked: string;
}[] = [
  {
    name: 'a pending dependency',
    steps: 'a b<a',
    released: '',
    dependencyCancelled: '',
    blocked: 'b',
  },
  {
    name: 'the dependency is done',
    steps: 'a b<a a+',
    released: 'b',
    dependencyCancelled: '',
    blocked: '',
  },
  {
    name: 'one of two dependencies is done',
    steps: 'a c b<a,c a+',
    released: '',
    dependencyCancelled: '',
    blocked: 'b',
  },
  {
    name: 'all dependencies are done already',
    steps: 'a+ c+ b<a,c',
    released: '',
    dependencyCancelled: '',
    blocked: '',
  },
  {
    name: 'a dependency is read after its dependent',
    steps: 'b<a a+',
    released: 'b',
    dependencyCancelled: '',
    blocked: '',
  },
  {
    name: 'the dependency is cancelled',
    steps: 'a b<a a-',
    released: '',
    dependencyCancelled: 'b',
    blocked: 'b',
  },
  {
    name: 'the dependency is cancelled already',
    steps: 'a- b<a',
    released: '',
    dependencyCancelled: 'b',
    blocked: 'b',
  },
  {
    name: 'a transitive dependency is cancelled',
    steps: 'a b<a c<b a-',
    released: '',
    dependencyCancelled: 'b c',
    blocked: 'b c',
  },
  {
    name: 'dependents are read before their dependencies',
    steps: 'c<b b<a a-',
    released: '',
    dependencyCancelled: 'b c',
    blocked: 'b c',
  },
  {
    name: 'a dependency that has a cancelled dependency',
    steps: 'a b<a a- c<b',
    released: '',
    dependencyCancelled: 'b c',
    blocked: 'b c',
  },
  {
    name: 'the end of a dependent is stored',
    steps: 'a b<a c<b a- b-',
    released: '',
    dependencyCancelled: 'b c',
    blocked: 'c',
  },
  {
    name: 'the ends of both dependents are stored',
    steps: 'a b<a c<b a- b- c-',
    released: '',
    dependencyCancelled: 'b c',
    blocked: '',
  },
  {
    name: 'one dependency is cancelled, then another is done',
    steps: 'a c b<a,c a- c+',
    released: '',
    dependencyCancelled: 'b',
    blocked: 'b',
  },
  {
    name: 'a diamond',
    steps: 'a b<a c<a d<b,c a+ b+ c+',
    released: 'b c d',
    dependencyCancelled: '',
    blocked: '',
  },
  {
    name: 'a diamond, one side cancelled',
    steps: 'a b<a c<a d<b,c a+ b- c+',
    released: 'b c',
    dependencyCancelled: 'd',
    blocked: 'd',
  },
  {
    name: 'fixture are applied twice',
    steps: 'a b<a b<a a+ a+',
    released: 'b',
    dependencyCancelled: '',
    blocked: '',
  },
  {
    name: 'the dependent itself is cancelled while it waits',
    steps: 'a b<a b- a+',
    released: '',
    dependencyCancelled: '',
    blocked: '',
  },
];

for (const { name, steps, released, dependencyCancelled, blocked } of cases) {
  test(`dependencies: ${name}`, () => {
    const fixture = new GraphFixture();
    fixture.applySteps(steps);
    assert.equal(fixture.released.join(' '), released, 'released');
    assert.equal(
      [...fixture.dependencyCancelled].sort().join(' '),
      dependencyCancelled,
      'dependencyCancelled',
    );
    const stillBlocked = [...fixture.jobs.keys()].filter((id) =>
      fixture.graph.isBlockedOnDependencies(id),
    );
    assert.equal(stillBlocked.sort().join(' '), blocked, 'blocked');
  });
}

test('an inherited rank follows the dependents of a job and falls when they end', () => {
  const fixture = new GraphFixture();
  const { graph } = fixture;
  fixture.applyState('a', 'open');
  fixture.applyState('b', 'open', ['a']);
  assert.equal(graph.inheritedRank('a'), 0);
  fixture.applyState('c', 'open', ['b'], 2);
  assert.deepEqual([graph.inheritedRank('a'), graph.inheritedRank('b')], [2, 2]);
  fixture.applyState('d', 'open', ['a'], 1);
  fixture.applyState('c', 'cancelled');
  assert.deepEqual([graph.inheritedRank('a'), graph.inheritedRank('b')], [1, -Infinity]);
  fixture.applyState('a', 'done');
  assert.equal(graph.inheritedRank('a'), -Infinity);
});

test('the cost of a change in long chains and wide fan-ins is proportional to the change', () => {
  const LENGTH = 3000;
  const chain = new GraphFixture();
  for (let i = 0; i < LENGTH; i++) chain.applyState(`j${i}`, 'open', i === 0 ? [] : [`j${i - 1}`]);
  chain.rankChanges = 0;
  chain.applyState('last', 'open', [`j${LENGTH - 1}`], 2);
  assert.equal(chain.rankChanges, LENGTH, 'each job is re-ranked once');
  chain.applyState('j0', 'cancelled');
  assert.equal(chain.dependencyCancelled.length, LENGTH);
  const wide = new GraphFixture();
  const first = Array.from({ length: LENGTH }, (_, i) => `f${i}`);
  for (const id of first) wide.applyState(id, 'open');
  wide.applyState('join', 'open', first);
  for (let i = 0; i < LENGTH; i++) wide.applyState(`g${i}`, 'open', ['join']);
  for (const id of first) wide.applyState(id, 'done');
  wide.applyState('join', 'done');
  assert.equal(wide.released.length, LENGTH + 1);
});

/** The expected result according to the definition, computed from the stored states without any bookkeeping. */
function expected(
  jobs: ReadonlyMap<string, Job>,
  id: string,
): { blocked: boolean; dependencyCancelled: boolean } {
  const job = jobs.get(id);
  if (job === undefined || job.state !== 'open')
    return { blocked: false, dependencyCancelled: false };
  const hasCancelledDependency = job.dependencies.some((dependency) => {
    return (
      jobs.get(dependency)?.state === 'cancelled' || expected(jobs, dependency).dependencyCancelled
    );
  });
  const isBlocked = job.dependencies.some((dependency) => jobs.get(dependency)?.state !== 'done');
  return { blocked: isBlocked, dependencyCancelled: hasCancelledDependency };
}

test('random histories in any order produce the expected result', () => {
  const random = seededRandom(11);
  for (let round = 0; round < 200; round++) {
    const fixture = new GraphFixture();
    const ids = Array.from({ length: 12 }, (_, i) => `j${i}`);
    const dependencies = new Map(
      ids.map((id, i) => [id, ids.slice(0, i).filter(() => random() < 0.25)] as const),
    );
    const unread = [...ids].sort(() => random() - 0.5);
    for (let step = 0; step < 40; step++) {
      const open = [...fixture.jobs].filter(([, job]) => job.state === 'open');
      const id = unread.pop();
      if (id !== undefined && random() < 0.6) fixture.applyState(id, 'open', dependencies.get(id));
      else {
        if (id !== undefined) unread.push(id);
        const [over] = open[Math.floor(random() * open.length)] ?? [];
        if (over === undefined) continue;
        const mayBeDone = !expected(fixture.jobs, over).blocked;
        fixture.applyState(over, mayBeDone && random() < 0.7 ? 'done' : 'cancelled');
      }
      for (const known of fixture.jobs.keys()) {
        const { blocked, dependencyCancelled } = expected(fixture.jobs, known);
        assert.equal(
          fixture.graph.isBlockedOnDependencies(known),
          blocked,
          `${known} in round ${round}`,
        );
        assert.equal(
          fixture.graph.dependencyCancelledAt(known) !== null,
          dependencyCancelled,
          `${known} in round ${round}`,
        );
      }
    }
  }
});
