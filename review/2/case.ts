/** A waiting job's move gets no answer and is carried out a little later, and the job moves back: does it still run? */
import { Deployment } from '../lib/deployment.js';
import { CannotRun, elapsed, hasTrouble, runCase, sleep, waitFor } from '../lib/record.js';
import type { Transaction } from '../lib/state.js';
import { sweepOf } from '../lib/users.js';

/** Seconds after which the state service carries out the move that it does not answer. */
const LATE_S = 1.5;

/** Seconds after the end of the first job, which makes room, within which the waiting job must be done; it runs for 2 s. */
const DONE_WITHIN_S = 35;

const deployment = new Deployment();

await runCase(
  'review/2/record.txt',
  async (record) => {
    // A stock of two machines, one for each of two controllers, with and without the disruption.
    const machines = { small: 0, large: 2, capacity: 2 };
    const { state, fleet, users } = await deployment.start(record, machines);
    await sleep(12);

    let moves = 0;
    state.loses = (label, transaction: Transaction): boolean => {
      const { Then = [] } = transaction;
      const keys = Then.flatMap(({ Put, Remove }) => Put ?? Remove ?? []);
      const buckets = keys.filter((key) => key.startsWith('b/run/'));
      const leaves = buckets.some((key) => key.startsWith(`b/run/${label}/`));
      const arrives = buckets.some((key) => !key.startsWith(`b/run/${label}/`));
      if (!leaves || !arrives) return false;
      const isLost = hasTrouble && ++moves === 1;
      if (!hasTrouble) moves++;
      record.note(`${label} moves: ${keys.join(' ')}${isLost ? ', not answered' : ''}`);
      if (isLost) {
        setTimeout(() => {
          record.note(`carried out late: ${state.applyLate(transaction)}`);
        }, LATE_S * 1000);
      }
      return isLost;
    };

    // Two jobs take one machine each. Both are expected to run for 100 s; the second ends at once.
    const expected = { ExpectS: 100, Jobclass: 'rate-refresh' };
    const first = 'wk-000001';
    const second = 'wk-000002';
    const waiting = 'wk-000003';
    const service = 'wk-000004';
    await deployment.accept(
      { ...sweepOf(first, { Pieces: 1, Cores: 30 }), ...expected },
      48,
      'drone-0',
    );
    await deployment.accept(
      { ...sweepOf(second, { Pieces: 1, Cores: 30 }), ...expected },
      6,
      'drone-1',
    );
    const areRunning = await waitFor(
      () => fleet.onMachines(first) === 1 && fleet.onMachines(second) === 1,
      10,
    );
    if (!areRunning) throw new CannotRun('the first two jobs do not run');
    const startedAt = elapsed();
    await deployment.accept(sweepOf(waiting, { Pieces: 1, Cores: 20 }), 2, 'drone-0');
    if (!(await waitFor(() => moves > 0, 30, 0.05))) throw new CannotRun('the job does not move');
    // A service takes the room that the job was to move to.
    const daemon = { Shape: 'daemon', Rank: 'prod', ExpectS: 0, Loaners: false } as const;
    await deployment.accept(
      { ...sweepOf(service, { Pieces: 1, Cores: 30 }), ...daemon, Jobclass: 'yard-calendar' },
      Infinity,
      'drone-1',
    );
    const until = startedAt + 48 + DONE_WITHIN_S;
    while (elapsed() < until) {
      await sleep(2);
      const answer = await users.poll(waiting);
      if (answer?.state === 'done') return;
    }
    const room = fleet.onMachines(first) === 0;
    record.breaks(
      'An accepted job must run',
      `${waiting} is not done ${DONE_WITHIN_S} s after its controller's machine became free (${room})`,
    );
    const answer = await users.withdraw(waiting, 10);
    record.note(`withdrawn: ${answer}`);
  },
  () => deployment.close(),
);
