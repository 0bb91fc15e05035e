/** The soak itself: what a seed draws, what its links do to bytes, which lines make it fail, and its command line. */
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

test('a seed draws the same plan each time, and other seeds draw others', () => {
  for (const size of ['ci', 'usual', 'large'] as const) {
    assert.deepEqual(drawPlan(7, size), drawPlan(7, size));
    assert.notDeepEqual(drawPlan(7, size).faults, drawPlan(8, size).faults);
  }
});

test('over some seeds every fault is drawn, and no more overlap than a cluster is meant to bear', () => {
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
      // Copies of answered messages come beside whatever else there is.
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

test('copies of answered messages are drawn for each seed', () => {
  const kindsOf = (seed: number, size: SoakSize): string[] =>
    drawPlan(seed, size).faults.map(({ fault }) => fault.kind);
  for (const seed of SEEDS) {
    assert.ok(kindsOf(seed, 'usual').includes('copies'), `seed ${seed}`);
    assert.ok(kindsOf(seed, 'ci').includes('copies'), `seed ${seed} in CI`);
  }
});

test('what a job is can be told from its id alone', () => {
  const kinds: [string, string][] = [
    ['wk-001000', 'array'],
    ['wk-001008', 'gang'],
    ['wk-001004', 'service'],
    ['wk-001009', 'service'],
    ['wk-001009-1', 'array'],
  ];
  for (const [job, kind] of kinds) assert.equal(kindOfJob(job), kind, job);
  assert.equal(runSecondsOf('wk-001009/0', 1, 5), Infinity);
  const time = runSecondsOf('wk-001000/0', 1, 5);
  assert.equal(time, runSecondsOf('wk-001000/0', 1, 5));
  assert.ok(time >= 0.2 && time <= 5.2);
  assert.equal(submissionFieldsOf('wk-001009')['Shape'], 'daemon');
});

test('a soak hears of starts that leave a controller', () => {
  const log = new SoakLog();
  const heard: string[] = [];
  log.onStartSent = (task) => heard.push(task);
  const line =
    'info audit at=1 node=drone-0 event=commands-sent shard=drone-0 route=command commands=';
  log.add('drone-0', `${line}"start wk-1/0#1,stop wk-2/0#1,start wk-1/12#3" leaseLeft=0.8`);
  log.add('drone-0', `${line}"acknowledge wk-3/0#1" leaseLeft=0.8`);
  assert.deepEqual(heard, ['wk-1/0', 'wk-1/12']);
});

test('lines that make a soak fail', () => {
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

interface Linked {
  got: string[];
  link: Link;
  address: net.TcpNetConnectOpts;
  close(): void;
}

/** A server that keeps what it is sent, and a link to it. */
async function linked(): Promise<Linked> {
  const got: string[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => got.push(String(data)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port: own } = server.address() as net.AddressInfo;
  const link = new Link(() => `127.0.0.1:${own}`);
  const [host, port] = (await link.listen()).split(':');
  return {
    got,
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

test('what a link holds is delivered in order at the end, also when its sender has given up', async () => {
  const { got, link, address, close } = await linked();
  const socket = await connect(address);
  socket.write('a');
  await until('the first arrives', () => got.join('') === 'a');
  link.set({ holdsForward: true });
  socket.write('b');
  socket.write('c');
  socket.end();
  // What was begun meanwhile and given up never arrives.
  const late = await connect(address);
  late.write('x');
  await new Promise((resolve) => setTimeout(resolve, 50));
  late.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(got.join(''), 'a');
  link.heal();
  await until('what was held arrives', () => got.join('') === 'abc');
  close();
});

test('a link that refuses new connections keeps those that are up, and accepts again at its address', async () => {
  const { got, link, address, close } = await linked();
  const socket = await connect(address);
  link.refuseNew();
  const refused = net.connect(address);
  await new Promise<void>((resolve) => refused.once('error', () => resolve()));
  socket.write('a');
  await until('the open one goes on', () => got.join('') === 'a');
  await link.acceptNew();
  (await connect(address)).write('b');
  await until('new ones come up', () => got.join('') === 'ab');
  link.set({ isRefusing: true });
  await until('a broken link drops what is open', () => socket.destroyed || !socket.writable);
  close();
});

test('a link passes over a port at which somebody else listens', async () => {
  const first = await linked();
  const server = net.createServer();
  const { host, port } = first.address;
  const taken = port + 1;
  await new Promise<void>((resolve) => server.listen({ host, port: taken }, resolve));
  const second = await linked();
  assert.notEqual(second.address.port, taken);
  (await connect(second.address)).destroy();
  for (const open of [first, second, server]) open.close();
});

test('the address of a link that refuses new connections stays its own', async () => {
  const { link, address, close } = await linked();
  const other = await linked();
  assert.notDeepEqual(other.address, address);
  link.refuseNew();
  // Where another process listens that asked for the same port on loopback.
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
  'a stand-in that has ended answers nothing, and keeps nobody waiting',
  { timeout: 20_000 },
  async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const module = join(folder, 'endsWhenAsked.mjs');
    writeFileSync(module, "process.on('message', () => process.exit(1));");
    let ends = 0;
    const standIn = new StandInProcess<string>(module, null, {
      onEvent: () => undefined,
      onOutput: () => undefined,
      onUnexpectedExit: () => ends++,
    });
    assert.equal(await standIn.request('first'), null);
    assert.equal(await standIn.request('second'), null);
    assert.equal(ends, 1);
    rmSync(folder, { recursive: true });
  },
);

const goodArguments: [string[], Partial<ReturnType<typeof parseArguments>>][] = [
  [['--seeds', '3'], { first: 3, last: 3, size: 'usual', jobs: 1 }],
  [['--seeds', '1..50', '--jobs', '4'], { first: 1, last: 50, jobs: 4 }],
  [['--seeds=2..4', '--size=large'], { first: 2, last: 4, size: 'large' }],
];
for (const [args, expected] of goodArguments) {
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
  test(`soak arguments refused: ${args.join(' ')}`, () => {
    assert.throws(() => parseArguments(args), UsageError);
  });
}

test('a bad argument ends the command with usage and exit code 2', () => {
  const program = join(import.meta.dirname, '../soak/main.js');
  const { status, stderr } = spawnSync(process.execPath, [program, '--seeds', 'x']);
  assert.equal(status, 2);
  assert.match(String(stderr), /usage: npm run soak/);
});
