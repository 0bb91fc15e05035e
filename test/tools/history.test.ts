/** The checker of histories: what it must reject, and what it must not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { History, type Rule, type ReportedState } from '../support/history.js';

type Step =
  | ['told', ReportedState, { sent: number; at: number; node?: string; job?: string }]
  | ['cancel']
  | ['submit']
  /** A job of one task that needs another. */
  | ['needs', string, string]
  | ['done', string, number?]
  | ['start', string, string, number?]
  /** Its start leaves a controller. */
  | ['sent', string, number]
  /** A look at what runs. */
  | ['check', number]
  | ['unknown']
  /** Nothing more will happen. */
  | ['finish']
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
    name: 'open by a repeated submission that was sent as the cancellation was confirmed',
    steps: [
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['told', 'open', { sent: 2, at: 2.15, node: 'q' }],
    ],
    broken: ['went_back'],
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
  {
    name: 'a stage starts when the one before is done',
    steps: [
      ['submit'],
      ['needs', 'wk-2', 'wk-1'],
      ...[0, 1, 2].map((task): Step => ['done', `wk-1/${task}`]),
      ['start', 'wk-2/0', 'n-1'],
    ],
    broken: [],
  },
  {
    name: 'a stage starts with one task of the one before to come',
    steps: [
      ['submit'],
      ['needs', 'wk-2', 'wk-1'],
      ['done', 'wk-1/0'],
      ['done', 'wk-1/1'],
      ['done', 'wk-1/1'],
      ['start', 'wk-2/0', 'n-1'],
    ],
    broken: ['too_early'],
  },
  {
    name: 'cancelled with the job before the one before',
    steps: [
      ['submit'],
      ['needs', 'wk-2', 'wk-1'],
      ['needs', 'wk-3', 'wk-2'],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['told', 'open', { sent: 6, at: 7, job: 'wk-3' }],
      ['told', 'cancelled', { sent: 8, at: 9, job: 'wk-3' }],
    ],
    broken: [],
  },
  {
    name: 'still open too long after the job before was cancelled',
    steps: [
      ['submit'],
      ['needs', 'wk-2', 'wk-1'],
      ['needs', 'wk-3', 'wk-2'],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['told', 'open', { sent: 6, at: 7.1, job: 'wk-3' }],
    ],
    broken: ['orphaned'],
  },
  {
    name: 'cancelled, although only a job that needs it was',
    steps: [
      ['submit'],
      ['needs', 'wk-0', 'wk-1'],
      ['needs', 'wk-1', 'wk-9'],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2, job: 'wk-9' }],
    ],
    broken: ['went_back'],
  },
  {
    name: 'a task goes on for too long after its job was cancelled: named once',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['check', 7],
      ['check', 7.1],
      ['check', 8],
    ],
    broken: ['ran_cancelled'],
  },
  {
    name: 'a task is gone in time after its job was cancelled',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['leave', 'wk-1/0', 'n-1'],
      ['check', 8],
    ],
    broken: [],
  },
  {
    name: 'a task starts too long after its job was cancelled',
    steps: [
      ['submit'],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['start', 'wk-1/0', 'n-1', 7.5],
    ],
    broken: ['ran_cancelled'],
  },
  {
    name: 'a start is sent after its job was called cancelled',
    steps: [
      ['submit'],
      ['cancel'],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['sent', 'wk-1/0', 3.5],
    ],
    broken: ['started_cancelled'],
  },
  {
    name: 'a start that was sent before its job was called cancelled is carried out after that',
    steps: [
      ['submit'],
      ['cancel'],
      ['sent', 'wk-1/0', 1.9],
      ['told', 'cancelled', { sent: 1, at: 2 }],
      ['start', 'wk-1/0', 'n-1', 4],
      ['leave', 'wk-1/0', 'n-1'],
      ['check', 8],
    ],
    broken: [],
  },
  {
    name: 'called done before its last task is',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['done', 'wk-1/0', 2],
      ['done', 'wk-1/1', 3],
      ['told', 'done', { sent: 3, at: 4 }],
      ['done', 'wk-1/2', 5],
      ['finish'],
    ],
    broken: ['not_done'],
  },
  {
    name: 'called done after its last task, one of which ran twice, one after the other',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['done', 'wk-1/0', 2],
      ['leave', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/0', 'n-2', 3],
      ['done', 'wk-1/0', 9],
      ['done', 'wk-1/1', 3],
      ['done', 'wk-1/2', 3],
      ['told', 'done', { sent: 3, at: 4 }],
      ['finish'],
    ],
    broken: [],
  },
  {
    name: 'a job that nobody submitted is not known',
    steps: [['unknown'], ['told', 'unknown', { sent: 1, at: 2 }]],
    broken: [],
  },
  {
    name: 'a job that nobody submitted is known',
    steps: [['unknown'], ['told', 'open', { sent: 1, at: 2 }]],
    broken: ['invented'],
  },
  { name: 'nothing was ever started', steps: [['submit'], ['finish']], broken: ['nothing_ran'] },
];

const CANCEL_WITHIN = 5;

for (const { name, steps, broken, overtaken = 0 } of cases) {
  test(`a history: ${name}`, () => {
    const history = new History(new Map([['crew', 4]]), CANCEL_WITHIN, () => 0);
    for (const step of steps) {
      if (step[0] === 'told') {
        const { sent, at, node = 'p', job = 'wk-1' } = step[2];
        history.recordAnswer({ job, node, sentAt: sent }, at, step[1]);
      } else if (step[0] === 'submit') {
        history.recordSubmission('wk-1', { team: 'crew', cpus: 2, tasks: 3 });
      } else if (step[0] === 'needs') {
        const work = { team: 'crew', cpus: 2, tasks: 1, dependencies: [step[2]] };
        history.recordSubmission(step[1], work);
      } else if (step[0] === 'sent') history.recordStartSent(step[1], step[2]);
      else if (step[0] === 'done') history.onTaskCompleted(step[1], step[2]);
      else if (step[0] === 'check') history.checkRunningTasks(step[1]);
      else if (step[0] === 'unknown') history.recordNeverSubmitted('wk-1');
      else if (step[0] === 'finish') history.checkAtEnd();
      else if (step[0] === 'cancel') history.recordCancelRequest('wk-1');
      else if (step[0] === 'start') history.onTaskStarted(step[1], step[2], step[3]);
      else history.onTaskTerminated(step[1], step[2]);
    }
    assert.deepEqual(
      history.violations.map(({ rule }) => rule),
      broken,
    );
    assert.equal(history.overtaken.length, overtaken);
  });
}
