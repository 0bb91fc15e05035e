/** Duplicates of executed and answered starts: none starts a task once the worker has reaped the attempt. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission, until, type Cluster } from '../support/cluster.js';
import type { WorkerStandIn } from '../support/fleet.js';
import {
  submitUntilAccepted,
  serviceFields,
  waitForTakeover,
  withCluster,
} from '../support/users.js';

const JOB = 'wk-000801';
const TASK = `${JOB}/0`;

/** A service with one task, which runs until it is stopped; some cases override this. */
const replica = { ...serviceFields, Pieces: 1 };

const holder = (cluster: Cluster, task = TASK): WorkerStandIn | undefined =>
  [...cluster.cloud.workers.values()].find((worker) => worker.tasks.includes(task));

/** Ways in which the attempt on a worker terminates, so that its task runs elsewhere or not any more. */
interface Ending {
  name: string;
  job?: Record<string, unknown>;
  /** Whether the task runs on another machine when the duplicate is delivered. */
  isMoved: boolean;
  end: (cluster: Cluster, worker: WorkerStandIn) => Promise<void> | void;
}

const cancel = (cluster: Cluster): Promise<void> =>
  until('the cancellation is confirmed', async () => {
    const answer = await cluster.call('drone-1', 'POST', `/v1/jobs/${JOB}/withdraw`);
    return answer.status === 200;
  });

const endings: Ending[] = [
  {
    name: 'that failed',
    isMoved: true,
    end: (_, worker) => {
      // The next attempt has to start elsewhere.
      worker.refusalCause = 'no_room';
      worker.failTask(TASK);
    },
  },
  {
    name: 'of a task that was moved off a machine with a preemption notice',
    job: { Loaners: true },
    isMoved: true,
    end: (_, worker) => {
      worker.givePreemptionNotice(30);
    },
  },
  { name: 'of a task that was cancelled', isMoved: false, end: cancel },
  {
    name: 'of a task that is done',
    job: { Shape: 'sweep', Rank: 'normal', ExpectS: 1 },
    isMoved: false,
    end: () => undefined,
  },
];

/** Events between the end of the attempt and the delivery of the duplicate. */
const events: { name: string; play: (cluster: Cluster, worker: WorkerStandIn) => Promise<void> }[] =
  [
    { name: 'nothing else', play: () => Promise.resolve() },
    {
      name: 'its controller restarts within a second',
      play: async (cluster) => {
        cluster.crash('drone-0');
        await cluster.boot('drone-0');
      },
    },
    {
      name: 'another node leads its shard for a while',
      play: async (cluster) => {
        cluster.crash('drone-0');
        await waitForTakeover(cluster, 'drone-0');
        await cluster.boot('drone-0');
      },
    },
    {
      name: 'its machine hangs for less than a second',
      play: async (_, worker) => {
        worker.hanging = true;
        await new Promise((resolve) => setTimeout(resolve, 700));
        worker.hanging = false;
      },
    },
  ];

async function assertNotRepeated(cluster: Cluster, worker: WorkerStandIn): Promise<void> {
  await until('the worker has reaped the attempt', () => !worker.reportsAttempt(TASK, 1));
  const starts = cluster.cloud.startedTasks.length;
  const statuses = worker.deliverDuplicateStarts(TASK, 1);
  assert.ok(statuses.length > 0, 'its start was a direct command');
  assert.deepEqual(new Set(statuses), new Set([409]), 'the worker refuses each duplicate');
  assert.equal(cluster.cloud.startedTasks.length, starts);
}

for (const ending of endings) {
  for (const event of events) {
    test(`a duplicate start does not run again: ${ending.name}, and ${event.name}`, () =>
      withCluster(
        { nodes: 2, taskRunSeconds: () => (ending.job?.['Shape'] === 'sweep' ? 0.8 : Infinity) },
        async (cluster) => {
          await submitUntilAccepted(
            cluster,
            'drone-0',
            submission(JOB, { ...replica, ...ending.job }),
          );
          await until('it runs', () => holder(cluster) !== undefined);
          const worker = holder(cluster);
          assert.ok(worker);
          await ending.end(cluster, worker);
          await event.play(cluster, worker);
          if (ending.isMoved) {
            await until('it runs elsewhere', () => {
              const next = holder(cluster);
              return next !== undefined && next !== worker;
            });
          }
          await assertNotRepeated(cluster, worker);
        },
      ));
  }
}

for (const cause of ['no_room', 'busy', 'unknown']) {
  test(`a duplicate start does not run again: one that was refused with ${cause}`, () =>
    withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
      await submitUntilAccepted(
        cluster,
        'drone-0',
        submission('wk-000802', { ...serviceFields, Pieces: 1 }),
      );
      await until('a machine is up', () => holder(cluster, 'wk-000802/0') !== undefined);
      const workers = [...cluster.cloud.workers.values()];
      for (const worker of workers) worker.refusalCause = cause;
      await submitUntilAccepted(cluster, 'drone-0', submission(JOB, replica));
      const refusing = (): WorkerStandIn | undefined =>
        workers.find((worker) => worker.reportsAttempt(TASK, 1));
      await until('it is refused', () => refusing() !== undefined);
      const worker = refusing();
      assert.ok(worker);
      await until('the worker has reaped the attempt', () => !worker.reportsAttempt(TASK, 1));
      for (const other of workers) other.refusalCause = null;
      assert.deepEqual(new Set(worker.deliverDuplicateStarts(TASK, 1)), new Set([409]));
    }));
}
