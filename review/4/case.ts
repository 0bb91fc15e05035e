/** Jobs with long lists of machine types: do they run, and do the other users' jobs? */
import { Deployment } from '../lib/deployment.js';
import { hasTrouble, runCase, sleep, waitFor } from '../lib/record.js';
import { sweepOf } from '../lib/users.js';

/** Names in `Flavours`: the submission has 58.9 KB, or half of it. PROTOCOL allows 64 KiB. */
const TYPES = hasTrouble ? 3241 : 1620;
const LONG_JOBS = 9;
const ORDINARY_JOBS = 9;

/** Seconds after its submission within which an ordinary job must be done: its tasks run for 2 s, and machines are idle. */
const DONE_WITHIN_S = 50;

const flavours = [
  'panyard-large',
  ...Array.from({ length: TYPES }, (_, i) => `yard-type-${String(i).padStart(5, '0')}`),
];

const deployment = new Deployment();

await runCase(
  'review/4/record.txt',
  async (record) => {
    const { state, fleet, users } = await deployment.start(record, { small: 0, large: 6 });
    await sleep(10);
    const longJobs = Array.from({ length: LONG_JOBS }, (_, i) => `wk-00010${i}`);
    const ordinaryJobs = Array.from({ length: ORDINARY_JOBS }, (_, i) => `wk-00020${i}`);
    const started = (job: string): number =>
      [...fleet.holders.keys()].filter((piece) => piece.startsWith(`${job}/`)).length;
    const isDone = (job: string, tasks: number): boolean =>
      Array.from({ length: tasks }, (_, i) => `${job}/${i}`).every((p) => fleet.completed.has(p));

    for (const job of longJobs) {
      const submission = { ...sweepOf(job, { Pieces: 8, Cores: 0.1 }), Flavours: flavours };
      await deployment.accept(submission, 2);
    }
    await sleep(5);
    for (const job of ordinaryJobs)
      await deployment.accept(sweepOf(job, { Pieces: 4, Cores: 1 }), 2);
    await waitFor(
      () => ordinaryJobs.every((job) => isDone(job, 4)) && longJobs.every((job) => isDone(job, 8)),
      DONE_WITHIN_S,
      1,
    );
    for (const job of [...longJobs, ...ordinaryJobs]) {
      record.note(`${job}: ${started(job)} tasks were started`);
      await users.poll(job);
    }
    record.note(`transactions that the state service refused as malformed: ${state.malformed}`);
    const stuckOrdinary = ordinaryJobs.filter((job) => started(job) === 0).length;
    const stuckLong = longJobs.filter((job) => started(job) === 0).length;
    if (stuckOrdinary + stuckLong === 0) return;
    record.breaks(
      'An accepted job must run',
      `no task was started of ${stuckLong} of ${LONG_JOBS} long and ` +
        `${stuckOrdinary} of ${ORDINARY_JOBS} ordinary jobs after ${DONE_WITHIN_S} s`,
    );
  },
  () => deployment.close(),
);
