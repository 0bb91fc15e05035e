// A spot machine is taken without notice, and a machine of another type boots at the address that became free.
import process from 'node:process';
import { URL } from 'node:url';
import { runCase, sleep, until } from '../lib-2/cluster.mjs';
import { Deployment, jobOf, pantrack } from '../lib-2/deployment.mjs';
import { Record, now } from '../lib-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'port-of-spain';
const SMALL = 'tassa-small';
const LARGE = 'panyard-large';

const sweep = (number, fields) =>
  jobOf(pantrack, number, {
    Jobclass: 'hall-sweep',
    Cores: 2.0,
    MemoryGb: 2.0,
    Loaners: true,
    ExpectS: 60.0,
    ...fields,
  });

await runCase(async (closers) => {
  const record = new Record(new URL('record.txt', import.meta.url).pathname);
  // The network of the cloud: a machine gets the lowest free address when it comes up.
  const net = `127.${1 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  const deployment = await Deployment.create(pantrack, record, closers, {
    addresses: Array.from({ length: 48 }, (_, i) => `${net}.${100 + i}:9000`),
    machines: [false, false, false, true, true, true].map((spot) => [SMALL, ZONE, spot]),
  });
  const { fleet, nodes, accepted } = deployment;
  await deployment.startAll();
  await deployment.allServed();
  const startOf = (number) => {
    const id = `wk-${String(number).padStart(6, '0')}`;
    return fleet.starts.find(({ piece }) => piece === `${id}/0`) ?? false;
  };

  // Each controller's spot machine gets a task, and keeps room for another one.
  for (const [i, { label }] of nodes.entries()) {
    await deployment.submit(label, sweep(100 + i, { Flavours: [SMALL] }));
  }
  await until('the first tasks run', 30, () => [100, 101, 102].every((n) => startOf(n) !== false));
  // Another job needs a larger machine.
  await deployment.submit('drone-0', sweep(200, { Cores: 16.0, MemoryGb: 64.0, ExpectS: 30.0 }));
  const large = await until(
    'a large machine is rented',
    30,
    () => [...fleet.machines.values()].find(({ kind }) => kind.type === LARGE) ?? false,
  );
  await sleep(large.upDueAt - now() - 1);
  const taken = fleet.machines.get(startOf(100).machine);
  if (HAS_TROUBLE) fleet.remove(taken, 'taken without notice');
  await until('the large machine is up', 10, () => large.upAt < Infinity);
  record.add('addresses', { taken: taken.address, large: large.address });
  await sleep(0.5);
  // The usual work goes on.
  for (let n = 0; n < 6; n++) {
    await deployment.submit(`drone-${n % 3}`, sweep(300 + n, { Flavours: [SMALL], ExpectS: 10.0 }));
    await sleep(1);
  }
  await sleep(25);

  const wrong = fleet.starts.filter(({ piece, kind }) => {
    const { job } = accepted.get(piece.slice(0, piece.lastIndexOf('/')));
    return job.Flavours !== null && !job.Flavours.includes(kind.type);
  });
  for (const { key, machine, kind } of wrong) {
    record.add('wrong_place', { attempt: key, machine, type: kind.type });
  }
  const halted = record.events.filter(
    ({ kind, attempt, why }) =>
      kind === 'task-left' && why === 'halted' && attempt.startsWith('wk-000200/'),
  ).length;
  record.add('verdict', { started: fleet.starts.length, wrongPlace: wrong.length, halted });
  process.stdout.write(
    `${wrong.length} of ${fleet.starts.length} starts at a wrong place; the task of wk-000200 was halted ${halted} times\n`,
  );
  return wrong.length > 0;
});
