/** The checker of histories: what it must reject, and what it must not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { History, type Rule, type Told } from './support/history.js';

type Step =
  | ['told', Told, { sent: number; at: number; node?: string }]
  | ['cancel']
  | ['submit']
  | ['start', string, string]
  | ['leave', string, string];

const cases: { name: string; steps: Step[]; broken: Rule[]; overtaken?: number }[] = [
  {
    name: 'queued, then done',
    steps: [
      ['told', 'open', { sent: 1, at: 2 }],
      ['told', 'done', { sent: 3, at: 4 }],
    ],
    broken: [],
  },
  {
    name: 'open after done at another node',
    steps: [
      ['told', 'done', { sent: 1, at: 2 }],
      ['told', 'open', { sent: 3, at: 4, node: 'q' }],
    ],
    broken: ['went_back'],
  },
  {
    name: 'open after done, but asked before done was told',
    steps: [
      ['told', 'done', { sent: 1, at: 2 }],
      ['told', 'open', { sent: 1.5, at: 4, node: 'q' }],
    ],
    broken: [],
    overtaken: 1,
  },
  {
    name: 'cancelled after done, although asked before that',
    steps: [
      ['cancel'],
      ['told', 'done', { sent: 1, at: 2 }],
      ['told', 'cancelled', { sent: 1.5, at: 4 }],
    ],
    broken: ['went_back'],
  },
  {
    name: 'cancelled without a wish',
    steps: [['told', 'cancelled', { sent: 1, at: 2 }]],
    broken: ['went_back'],
  },
  {
    name: 'unknown after accepted',
    steps: [
      ['told', 'open', { sent: 1, at: 2 }],
      ['told', 'unknown', { sent: 3, at: 4 }],
    ],
    broken: ['forgotten'],
  },
  {
    name: 'a repeated submission is refused',
    steps: [
      ['told', 'open', { sent: 1, at: 2 }],
      ['told', 'refused', { sent: 3, at: 4 }],
    ],
    broken: ['forgotten'],
  },
  {
    name: 'two tasks within the limit',
    steps: [['submit'], ['start', 'wk-1/0', 'n-1'], ['start', 'wk-1/1', 'n-2']],
    broken: [],
  },
  {
    name: 'one more than the limit',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/1', 'n-1'],
      ['start', 'wk-1/2', 'n-2'],
    ],
    broken: ['quota'],
  },
  {
    name: 'room that has come free again',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/1', 'n-1'],
      ['leave', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/2', 'n-2'],
    ],
    broken: [],
  },
  {
    name: 'on two machines',
    steps: [['submit'], ['start', 'wk-1/0', 'n-1'], ['start', 'wk-1/0', 'n-2']],
    broken: ['ran_twice'],
  },
];

for (const { name, steps, broken, overtaken = 0 } of cases) {
  test(`a history: ${name}`, () => {
    const history = new History(new Map([['crew', 4]]));
    for (const step of steps) {
      if (step[0] === 'told') {
        const { sent, at, node = 'p' } = step[2];
        history.answered({ job: 'wk-1', node, sentAt: sent }, at, step[1]);
      } else if (step[0] === 'submit') history.submitted('wk-1', { team: 'crew', cpus: 2 });
      else if (step[0] === 'cancel') history.askedToCancel('wk-1');
      else if (step[0] === 'start') history.started(step[1], step[2]);
      else history.left(step[1], step[2]);
    }
    assert.deepEqual(
      history.violations.map(({ rule }) => rule),
      broken,
    );
    assert.equal(history.overtaken.length, overtaken);
  });
}
