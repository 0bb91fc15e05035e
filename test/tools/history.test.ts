/** Tests of the history checker: sequences of events with the violations that it must report. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { History, type Rule, type ReportedState } from '../support/history.js';

type Step =
  | ['answer', ReportedState, { sent: number; at: number; node?: string; job?: string }]
  | ['cancel']
  | ['submit']
  /** Submits a job of one task that depends on another job. */
  | ['submit dependent', string, string]
  | ['done', string, number?]
  | ['start', string, string, number?]
  /** A controller sends a start of the task. */
  | ['send start', string, number]
  /** Checks the running tasks. */
  | ['check running', number]
  /** The job is never submitted. */
  | ['never submit']
  /** The history is complete. */
  | ['finish']
  | ['terminate', string, string];

const cases: { name: string; steps: Step[]; violated: Rule[]; overtaken?: number }[] = [
  {
    name: 'queued, then done',
    steps: [
      ['answer', 'open', { sent: 1, at: 2 }],
      ['answer', 'done', { sent: 3, at: 4 }],
    ],
    violated: [],
  },
  {
    name: 'open after done at another node',
    steps: [
      ['answer', 'done', { sent: 1, at: 2 }],
      ['answer', 'open', { sent: 3, at: 4, node: 'q' }],
    ],
    violated: ['went_back'],
  },
  {
    name: 'open after done, but requested before done was received',
    steps: [
      ['answer', 'done', { sent: 1, at: 2 }],
      ['answer', 'open', { sent: 1.5, at: 4, node: 'q' }],
    ],
    violated: [],
    overtaken: 1,
  },
  {
    name: 'open in the answer to a repeated submission that was sent when the cancellation was confirmed',
    steps: [
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['answer', 'open', { sent: 2, at: 2.15, node: 'q' }],
    ],
    violated: ['went_back'],
  },
  {
    name: 'cancelled after done, although requested before that',
    steps: [
      ['cancel'],
      ['answer', 'done', { sent: 1, at: 2 }],
      ['answer', 'cancelled', { sent: 1.5, at: 4 }],
    ],
    violated: ['went_back'],
  },
  {
    name: 'cancelled without a cancellation request',
    steps: [['answer', 'cancelled', { sent: 1, at: 2 }]],
    violated: ['went_back'],
  },
  {
    name: 'unknown after accepted',
    steps: [
      ['answer', 'open', { sent: 1, at: 2 }],
      ['answer', 'unknown', { sent: 3, at: 4 }],
    ],
    violated: ['forgotten'],
  },
  {
    name: 'a repeated submission is refused',
    steps: [
      ['answer', 'open', { sent: 1, at: 2 }],
      ['answer', 'refused', { sent: 3, at: 4 }],
    ],
    violated: ['forgotten'],
  },
  {
    name: 'two tasks within the team limit',
    steps: [['submit'], ['start', 'wk-1/0', 'n-1'], ['start', 'wk-1/1', 'n-2']],
    violated: [],
  },
  {
    name: 'one task more than the team limit',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/1', 'n-1'],
      ['start', 'wk-1/2', 'n-2'],
    ],
    violated: ['quota'],
  },
  {
    name: 'a task within the limit after another one has terminated',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/1', 'n-1'],
      ['terminate', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/2', 'n-2'],
    ],
    violated: [],
  },
  {
    name: 'a task on two machines',
    steps: [['submit'], ['start', 'wk-1/0', 'n-1'], ['start', 'wk-1/0', 'n-2']],
    violated: ['ran_twice'],
  },
  {
    name: 'a job starts when the job it depends on is done',
    steps: [
      ['submit'],
      ['submit dependent', 'wk-2', 'wk-1'],
      ...[0, 1, 2].map((task): Step => ['done', `wk-1/${task}`]),
      ['start', 'wk-2/0', 'n-1'],
    ],
    violated: [],
  },
  {
    name: 'a job starts before the last task of the job it depends on is done',
    steps: [
      ['submit'],
      ['submit dependent', 'wk-2', 'wk-1'],
      ['done', 'wk-1/0'],
      ['done', 'wk-1/1'],
      ['done', 'wk-1/1'],
      ['start', 'wk-2/0', 'n-1'],
    ],
    violated: ['too_early'],
  },
  {
    name: 'cancelled in time with an indirect dependency',
    steps: [
      ['submit'],
      ['submit dependent', 'wk-2', 'wk-1'],
      ['submit dependent', 'wk-3', 'wk-2'],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['answer', 'open', { sent: 6, at: 7, job: 'wk-3' }],
      ['answer', 'cancelled', { sent: 8, at: 9, job: 'wk-3' }],
    ],
    violated: [],
  },
  {
    name: 'still open too long after an indirect dependency was cancelled',
    steps: [
      ['submit'],
      ['submit dependent', 'wk-2', 'wk-1'],
      ['submit dependent', 'wk-3', 'wk-2'],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['answer', 'open', { sent: 6, at: 7.1, job: 'wk-3' }],
    ],
    violated: ['orphaned'],
  },
  {
    name: 'cancelled, although only a job that depends on it was',
    steps: [
      ['submit'],
      ['submit dependent', 'wk-0', 'wk-1'],
      ['submit dependent', 'wk-1', 'wk-9'],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2, job: 'wk-9' }],
    ],
    violated: ['went_back'],
  },
  {
    name: 'a task runs for too long after its job was cancelled: reported once',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['check running', 7],
      ['check running', 7.1],
      ['check running', 8],
    ],
    violated: ['ran_cancelled'],
  },
  {
    name: 'a task terminates in time after its job was cancelled',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['terminate', 'wk-1/0', 'n-1'],
      ['check running', 8],
    ],
    violated: [],
  },
  {
    name: 'a task starts too long after its job was cancelled',
    steps: [
      ['submit'],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['start', 'wk-1/0', 'n-1', 7.5],
    ],
    violated: ['ran_cancelled'],
  },
  {
    name: 'a start is sent after its job was reported as cancelled',
    steps: [
      ['submit'],
      ['cancel'],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['send start', 'wk-1/0', 3.5],
    ],
    violated: ['started_cancelled'],
  },
  {
    name: 'a start that was sent before its job was reported as cancelled is executed after that',
    steps: [
      ['submit'],
      ['cancel'],
      ['send start', 'wk-1/0', 1.9],
      ['answer', 'cancelled', { sent: 1, at: 2 }],
      ['start', 'wk-1/0', 'n-1', 4],
      ['terminate', 'wk-1/0', 'n-1'],
      ['check running', 8],
    ],
    violated: [],
  },
  {
    name: 'reported as done before its last task is done',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['done', 'wk-1/0', 2],
      ['done', 'wk-1/1', 3],
      ['answer', 'done', { sent: 3, at: 4 }],
      ['done', 'wk-1/2', 5],
      ['finish'],
    ],
    violated: ['not_done'],
  },
  {
    name: 'reported as done after its last task, with one task that ran twice in succession',
    steps: [
      ['submit'],
      ['start', 'wk-1/0', 'n-1', 1],
      ['done', 'wk-1/0', 2],
      ['terminate', 'wk-1/0', 'n-1'],
      ['start', 'wk-1/0', 'n-2', 3],
      ['done', 'wk-1/0', 9],
      ['done', 'wk-1/1', 3],
      ['done', 'wk-1/2', 3],
      ['answer', 'done', { sent: 3, at: 4 }],
      ['finish'],
    ],
    violated: [],
  },
  {
    name: 'a job that was never submitted is unknown',
    steps: [['never submit'], ['answer', 'unknown', { sent: 1, at: 2 }]],
    violated: [],
  },
  {
    name: 'a job that was never submitted is reported as open',
    steps: [['never submit'], ['answer', 'open', { sent: 1, at: 2 }]],
    violated: ['invented'],
  },
  { name: 'no task was ever started', steps: [['submit'], ['finish']], violated: ['nothing_ran'] },
];

const CANCELLATION_TIMEOUT_S = 5;

for (const { name, steps, violated, overtaken = 0 } of cases) {
  test(`history checker: ${name}`, () => {
    const history = new History(new Map([['crew', 4]]), CANCELLATION_TIMEOUT_S, () => 0);
    for (const step of steps) {
      if (step[0] === 'answer') {
        const { sent, at, node = 'p', job = 'wk-1' } = step[2];
        history.recordAnswer({ job, node, sentAt: sent }, at, step[1]);
      } else if (step[0] === 'submit') {
        history.recordSubmission('wk-1', { team: 'crew', cpus: 2, tasks: 3 });
      } else if (step[0] === 'submit dependent') {
        const submittedJob = { team: 'crew', cpus: 2, tasks: 1, dependencies: [step[2]] };
        history.recordSubmission(step[1], submittedJob);
      } else if (step[0] === 'send start') history.recordStartSent(step[1], step[2]);
      else if (step[0] === 'done') history.onTaskCompleted(step[1], step[2]);
      else if (step[0] === 'check running') history.checkRunningTasks(step[1]);
      else if (step[0] === 'never submit') history.recordNeverSubmitted('wk-1');
      else if (step[0] === 'finish') history.checkAtEnd();
      else if (step[0] === 'cancel') history.recordCancelRequest('wk-1');
      else if (step[0] === 'start') history.onTaskStarted(step[1], step[2], step[3]);
      else history.onTaskTerminated(step[1], step[2]);
    }
    assert.deepEqual(
      history.violations.map(({ rule }) => rule),
      violated,
    );
    assert.equal(history.overtaken.length, overtaken);
  });
}
