/** Tests of the soak test itself: its plans, links, logs, stand-in processes and command line. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { parseArguments, UsageError } from '../soak/commandLine.js';
import { submissionFieldsOf, kindOfJob, runSecondsOf } from '../soak/jobKinds.js';
import { drawPlan, durationOf, type SoakSize } from '../soak/plan.js';
import { SoakLog } from '../soak/soakLog.js';
import { StandInProcess } from '../soak/standIn.js';
import { until } from '../support/cluster.js';
import { Link } from '../support/link.js';

const SEEDS = Array.from({ length: 60 }, (_, index) => index + 1);

test('a seed determines its plan, and other seeds give other plans', () => {
  for (const size of ['ci', 'usual', 'large'] as const) {
    assert.deepEqual(drawPlan(7, size), drawPlan(7, size));
    assert.notDeepEqual(drawPlan(7, size).faults, drawPlan(8, size).faults);
  }
});

test('some seeds draw every fault, and no more faults overlap than a cluster must tolerate', () => {
  const kinds = new Set<string>();
  const flags = new Set<string>();
  for (const seed of SEEDS) {
    const { faults, nodes, faultSeconds, skewMs } = drawPlan(seed, 'usual');
    assert.ok(nodes.length >= 3 && nodes.length <= 5);
    assert.ok(Object.values(skewMs).every((skew) => Math.abs(skew) <= 100));
    for (const { at, fault } of faults) {
      kinds.add(fault.kind);
      if (fault.kind === 'machines') flags.add(fault.flag);
      assert.ok(at >= 2 && at <= faultSeconds);
      // Duplicates of answered messages may overlap with any number of other faults.
      if (fault.kind === 'copies') continue;
      const others = faults.filter(
        (s) => s.fault.kind !== 'copies' && s.at < at && s.at + durationOf(s.fault) > at,
      );
      assert.ok(others.length <= 3, `seed ${seed}: ${others.length} others at ${at}`);
    }
  }
  assert.equal(kinds.size, 20);
  assert.equal(flags.size, 5);
});

test('every seed draws duplicates of answered messages', () => {
  const kindsOf = (seed: number, size: SoakSize): string[] =>
    drawPlan(seed, size).faults.map(({ fault }) => fault.kind);
  for (const seed of SEEDS) {
    assert.ok(kindsOf(seed, 'usual').includes('copies'), `seed ${seed}`);
    assert.ok(kindsOf(seed, 'ci').includes('copies'), `seed ${seed} in CI`);
  }
});

test('the id of a job determines its kind', () => {
  const kinds: [string, string][] = [
    ['wk-001000', 'array'],
    ['wk-001008', 'gang'],
    ['wk-001004', 'service'],
    ['wk-001009', 'service'],
    ['wk-001009-1', 'array'],
  ];
  for (const [job, kind] of kinds) assert.equal(kindOfJob(job), kind, job);
  assert.equal(runSecondsOf('wk-001009/0', 1, 5), Infinity);
  const seconds = runSecondsOf('wk-001000/0', 1, 5);
  assert.equal(seconds, runSecondsOf('wk-001000/0', 1, 5));
  assert.ok(seconds >= 0.2 && seconds <= 5.2);
  assert.equal(submissionFieldsOf('wk-001009')['Shape'], 'daemon');
});

test('the soak log reports starts that a controller sends', () => {
  const log = new SoakLog();
  const sentStarts: string[] = [];
  log.onStartSent = (task) => sentStarts.push(task);
  const line =
    'info audit at=1 node=drone-0 event=commands-sent shard=drone-0 route=command commands=';
  log.add('drone-0', `${line}"start wk-1/0#1,stop wk-2/0#1,start wk-1/12#3" leaseLeft=0.8`);
  log.add('drone-0', `${line}"acknowledge wk-3/0#1" leaseLeft=0.8`);
  assert.deepEqual(sentStarts, ['wk-1/0', 'wk-1/12']);
});

test('log lines that make a soak fail', () => {
  for (const [line, fails] of [
    ['error unhandled: x is not a function', true],
    ['error audit at=1 node=drone-0 event=invariant-violated invariant=attempt-vanished', true],
    ['error loop: TypeError', true],
    ['info shard drone-0: leadership lost', false],
  ] as const) {
    const log = new SoakLog();
    log.add('drone-0', line);
    assert.equal(log.failures.length, fails ? 1 : 0, line);
    assert.match(log.merged, /^\d+\.\d{3} drone-0 /);
  }
});

/** A server behind a link, with the data that it has received. */
interface LinkedServer {
  received: string[];
  link: Link;
  address: net.TcpNetConnectOpts;
  close(): void;
}

/** Starts a server that records received data, and a link to it. */
async function startLinkedServer(): Promise<LinkedServer> {
  const received: string[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => received.push(String(data)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port: serverPort } = server.address() as net.AddressInfo;
  const link = new Link(() => `127.0.0.1:${serverPort}`);
  const [host, port] = (await link.listen()).split(':');
  return {
    received,
    link,
    address: { host, port: Number(port) },
    close: () => {
      link.close();
      server.close();
    },
  };
}

const connect = async (address: net.TcpNetConnectOpts): Promise<net.Socket> => {
  const socket = net.connect(address);
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve).once('error', reject);
  });
  socket.on('error', () => undefined);
  return socket;
};

test('a link delivers held bytes in order after the cut, even if their sender has closed the connection', async () => {
  const { received, link, address, close } = await startLinkedServer();
  const socket = await connect(address);
  socket.write('a');
  await until('the first byte is received', () => received.join('') === 'a');
  link.set({ holdsForward: true });
  socket.write('b');
  socket.write('c');
  socket.end();
  // A connection that is opened and closed during the cut never reaches the server.
  const abandoned = await connect(address);
  abandoned.write('x');
  await new Promise((resolve) => setTimeout(resolve, 50));
  abandoned.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(received.join(''), 'a');
  link.heal();
  await until('the held bytes are received', () => received.join('') === 'abc');
  close();
});

test('a link that refuses new connections keeps open ones, and later accepts again at its address', async () => {
  const { received, link, address, close } = await startLinkedServer();
  const socket = await connect(address);
  link.refuseNew();
  const refused = net.connect(address);
  await new Promise<void>((resolve) => refused.once('error', () => resolve()));
  socket.write('a');
  await until('the open connection delivers data', () => received.join('') === 'a');
  await link.acceptNew();
  (await connect(address)).write('b');
  await until('a new connection delivers data', () => received.join('') === 'ab');
  link.set({ isRefusing: true });
  await until(
    'a refusing link closes open connections',
    () => socket.destroyed || !socket.writable,
  );
  close();
});

test('a link skips a port at which another listener is open', async () => {
  const first = await startLinkedServer();
  const server = net.createServer();
  const { host, port } = first.address;
  const taken = port + 1;
  await new Promise<void>((resolve) => server.listen({ host, port: taken }, resolve));
  const second = await startLinkedServer();
  assert.notEqual(second.address.port, taken);
  (await connect(second.address)).destroy();
  for (const resource of [first, second, server]) resource.close();
});

test('a link that refuses new connections keeps its address', async () => {
  const { link, address, close } = await startLinkedServer();
  const other = await startLinkedServer();
  assert.notDeepEqual(other.address, address);
  link.refuseNew();
  // Another process may listen at the same port of 127.0.0.1.
  const server = net.createServer();
  const { port } = address;
  await new Promise<void>((resolve) => server.listen({ host: '127.0.0.1', port }, resolve));
  await link.acceptNew();
  (await connect(address)).destroy();
  close();
  other.close();
  server.close();
});

test(
  'requests to a stand-in process that has ended get no answer and do not wait',
  { timeout: 20_000 },
  async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const module = join(folder, 'exitsWhenAsked.mjs');
    writeFileSync(module, "process.on('message', () => process.exit(1));");
    let endCount = 0;
    const standIn = new StandInProcess<string>(module, null, {
      onEvent: () => undefined,
      onOutput: () => undefined,
      onUnexpectedExit: () => endCount++,
    });
    assert.equal(await standIn.request('first'), null);
    assert.equal(await standIn.request('second'), null);
    assert.equal(endCount, 1);
    rmSync(folder, { recursive: true });
  },
);

const validArguments: [string[], Partial<ReturnType<typeof parseArguments>>][] = [
  [['--seeds', '3'], { first: 3, last: 3, size: 'usual', jobs: 1 }],
  [['--seeds', '1..50', '--jobs', '4'], { first: 1, last: 50, jobs: 4 }],
  [['--seeds=2..4', '--size=large'], { first: 2, last: 4, size: 'large' }],
];
for (const [args, expected] of validArguments) {
  test(`soak arguments: ${args.join(' ')}`, () => {
    const parsed = parseArguments(args);
    assert.deepEqual({ ...parsed, ...expected }, parsed);
  });
}

for (const args of [
  [],
  ['--seeds', 'all'],
  ['--seeds', '9..2'],
  ['--seeds', '1..99999'],
  ['--seeds', '1', '--jobs', '0'],
  ['--seeds', '1', '--jobs', '9'],
  ['--seeds', '1', '--size', 'huge'],
  ['--seeds', '1', '--log', 'all'],
  ['--seeds', '1', '--sed', '2'],
  ['1..3'],
]) {
  test(`invalid soak arguments: ${args.join(' ')}`, () => {
    assert.throws(() => parseArguments(args), UsageError);
  });
}

test('an invalid argument makes the command print its usage and exit with code 2', () => {
  const program = join(import.meta.dirname, '../soak/main.js');
  const { status, stderr } = spawnSync(process.execPath, [program, '--seeds', 'x']);
  assert.equal(status, 2);
  assert.match(String(stderr), /usage: npm run soak/);
});
