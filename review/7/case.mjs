// The spot machine of an array is taken, and the array never runs again: no machine is rented that could hold it.
import process from 'node:process';
import { URL } from 'node:url';
import { runCase, sleep, until } from '../lib-2/cluster.mjs';
import { Deployment, jobOf, pantrack } from '../lib-2/deployment.mjs';
import { Record, now } from '../lib-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'port-of-spain';
const SMALL = 'tassa-small';
const LARGE = 'panyard-large';

/** Seconds that the job gets after its machine was taken, and seconds of them in which nothing may change any more. */
const PATIENCE_S = 70;
const QUIET_S = 30;

await runCase(async (closers) => {
  const record = new Record(new URL('record.txt', import.meta.url).pathname);
  const deployment = await Deployment.create(pantrack, record, closers, {
    // "At times machines are up within a second or two."
    bootSeconds: 2,
    machines: [
      ...[SMALL, SMALL, SMALL].map((type) => [type, ZONE, false]),
      [SMALL, ZONE, true],
      ...[LARGE, LARGE, LARGE].map((type) => [type, ZONE, false]),
    ],
  });
  const { fleet, nodes } = deployment;
  await deployment.startAll();
  await deployment.allServed();
  // The live calendar fills the small ordinary machines, and has room left on the large ones.
  for (let n = 0; n < 6; n++) {
    const service = jobOf(pantrack, 10 + n, {
      Jobclass: 'yard-calendar',
      Shape: 'daemon',
      Rank: 'prod',
      Cores: 4.0,
      MemoryGb: 4.2,
      Bundle: 'img-07',
      PullGb: 0.2,
    });
    await deployment.submit(nodes[n % 3].label, service);
    await sleep(1);
  }
  // An array that may use small machines only runs on the spot machine.
  const job = jobOf(pantrack, 412, {
    Jobclass: 'hall-sweep',
    Pieces: 2,
    Cores: 4.0,
    MemoryGb: 4.3,
    Flavours: [SMALL],
    Loaners: true,
    ExpectS: 15.0,
  });
  const spot = [...fleet.machines.values()].find(({ kind }) => kind.spot);
  await deployment.submit(spot.worker.servedBy, job);
  const start = await until(
    'the job runs',
    20,
    () => fleet.starts.find(({ piece }) => piece.startsWith(job.Uid)) ?? false,
  );
  await sleep(2);
  record.add('machines', {
    served: nodes.map(({ label }) =>
      deployment
        .servedBy(label)
        .map(({ name, kind, worker }) => [name, kind.type, kind.spot, worker.attempts.size]),
    ),
  });
  if (HAS_TROUBLE) fleet.remove(fleet.machines.get(start.machine), 'taken without notice');
  const takenAt = now();
  let polled = null;
  while (now() < takenAt + PATIENCE_S && polled?.Status !== 'done') {
    await sleep(5);
    polled = (await deployment.poll('drone-1', job.Uid)).body;
  }
  const again = fleet.starts.filter(({ piece, at }) => piece.startsWith(job.Uid) && at > takenAt);
  const lastChangeAt = Math.max(
    takenAt,
    ...fleet.starts.map(({ at }) => at),
    ...[...fleet.machines.values()].map(({ rentedAt }) => rentedAt),
  );
  const quietFor = now() - lastChangeAt;
  const isBroken = polled?.Status !== 'done' && again.length === 0 && quietFor >= QUIET_S;
  record.add('verdict', { again: again.length, quietFor, capacityLeft: fleet.capacity, isBroken });
  process.stdout.write(
    `started again ${again.length} times; ${quietFor.toFixed(0)} s without any start or rental; ` +
      `free at the cloud: ${JSON.stringify(fleet.capacity)}; the user is told: ${JSON.stringify(polled)}\n`,
  );
  if (polled?.Status !== 'done' && !isBroken) throw new Error('the job may still run');
  return isBroken;
});
