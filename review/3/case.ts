/** A large array of small tasks is cancelled: are all of its tasks gone in time? */
import { Deployment } from '../lib/deployment.js';
import { CannotRun, elapsed, hasTrouble, runCase, sleep, waitFor } from '../lib/record.js';
import { sweepOf } from '../lib/users.js';

/** Tasks of the array: PROTOCOL allows 100,000. A worker's report of 1,040 tasks is still below 64 KiB. */
const PIECES = hasTrouble ? 1040 : 400;
/** CPUs of a task: fewer tasks take as much together. */
const CORES = hasTrouble ? 0.02 : 0.05;

/** `cancel_s` of the settings, and a second for the measurement. */
const CANCEL_S = 64;
const MARGIN_S = 1;

const deployment = new Deployment();

await runCase(
  'review/3/record.txt',
  async (record) => {
    const { fleet, users } = await deployment.start(record, { small: 0, large: 0 });
    // By then each controller has stored which record format it reads, and chunks have their full size.
    await sleep(5);
    const job = 'wk-000001';
    // One type, so that the tasks come to one machine.
    const array = sweepOf(job, { Pieces: PIECES, Cores: CORES, MemoryGb: 0.05 });
    await deployment.accept({ ...array, Flavours: ['panyard-large'] }, 600);
    const isRunning = await waitFor(() => fleet.onMachines(job) === PIECES, 45, 0.5);
    record.note(`${fleet.onMachines(job)} tasks are on machines`);
    await users.poll(job);
    if (!isRunning) throw new CannotRun('the tasks do not run');
    // Some reports, so that the cancellation meets a settled array.
    await sleep(3);
    const answer = await users.withdraw(job, 10);
    if (answer !== 'cancelled') throw new CannotRun('the job was not cancelled');
    const toldAt = elapsed();
    while (elapsed() < toldAt + CANCEL_S + MARGIN_S && fleet.onMachines(job) > 0) {
      await sleep(2);
      record.note(`${fleet.onMachines(job)} tasks are on machines`);
    }
    const left = fleet.onMachines(job);
    if (left === 0) return;
    const after = (elapsed() - toldAt).toFixed(1);
    record.breaks('ran_cancelled', `${left} tasks are on machines ${after} s after the answer`);
  },
  () => deployment.close(),
);
