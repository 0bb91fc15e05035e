// A service is accepted while its controller has few machines left, and some of its replicas never run.
import process from 'node:process';
import { URL } from 'node:url';
import { runCase, sleep } from '../lib-2/cluster.mjs';
import { Deployment, jobOf, putnik } from '../lib-2/deployment.mjs';
import { Record, now } from '../lib-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Seconds that the service gets to start its replicas, and seconds of them in which nothing may change any more. */
const PATIENCE_S = 65;
const QUIET_S = 30;

const mid = (zone, spot) => ['jadran-mid', zone, spot];

await runCase(async (closers) => {
  const record = new Record(new URL('record.txt', import.meta.url).pathname);
  const deployment = await Deployment.create(putnik, record, closers, {
    // "At times machines are up within a second or two."
    bootSeconds: 2,
    machines: [
      ...[mid('zagreb-core', false), mid('zagreb-core', false), mid('split-coast', false)],
      ...[mid('zagreb-core', true), mid('zagreb-core', true), mid('split-coast', true)],
    ],
  });
  const { fleet } = deployment;
  await deployment.startAll();
  await deployment.allServed();
  const spot = deployment.servedBy('drone-0').find(({ kind }) => kind.spot);
  if (spot === undefined) throw new Error('drone-0 serves no spot machine');
  if (HAS_TROUBLE) fleet.remove(spot, 'taken without notice');
  await sleep(15);

  const job = jobOf(putnik, 412, {
    Jobclass: 'counter-quote',
    Shape: 'daemon',
    Rank: 'prod',
    Pieces: 80,
    Cores: 2.0,
    MemoryGb: 6.9,
    Bundle: 'img-07',
    PullGb: 1.0,
  });
  await deployment.submit('drone-0', job);
  const acceptedAt = now();
  while (now() < acceptedAt + PATIENCE_S) {
    await sleep(5);
    await deployment.poll('drone-1', job.Uid);
  }
  const missing = deployment.neverStarted(job);
  const lastChangeAt = Math.max(
    acceptedAt,
    ...fleet.starts.map(({ at }) => at),
    ...[...fleet.machines.values()].map(({ rentedAt }) => rentedAt),
  );
  const quietFor = now() - lastChangeAt;
  const isBroken = missing.length > 0 && quietFor >= QUIET_S;
  record.add('verdict', {
    neverStarted: missing,
    quietFor,
    capacityLeft: fleet.capacity,
    isBroken,
  });
  process.stdout.write(
    `${missing.length} of ${job.Pieces} replicas never started, ${quietFor.toFixed(0)} s after the last start or rental\n`,
  );
  if (missing.length > 0 && !isBroken) throw new Error('the deployment is still busy');
  return isBroken;
});
