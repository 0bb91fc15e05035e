/** `barrowlb rollout` and `barrowlb drain` as a new user would try them, wrong arguments included. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { rolloutKeys, type DriverRecord } from '@barrowlb/rollout';
import { buildWithFeatures, Cluster, presentBuild, until } from './support/cluster.js';
import { FEATURES, LABELS } from './support/rolloutCluster.js';

const program = fileURLToPath(new URL('../src/main.js', import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'barrowlb-'));

after(() => {
  rmSync(folder, { recursive: true });
});

interface Ran {
  code: number;
  out: string;
  err: string;
}

const run = (...args: string[]): Promise<Ran> =>
  new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, out, err) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, out, err });
    });
  });

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const settings = (label: string): string => `
label = "${label}"
site = "a"
client_listen = "127.0.0.1:0"
back = "127.0.0.1:0"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[settings]
zones = ["a"]
teams = [{ name = "crew" }]
workers = { report_s = 3.0, lease_s = 30.0, cancel_s = 60.0 }
state = { rps = 100.0, write_rps = 50.0, value_kb = 16.0, txn_ops = 16 }
cloud = { rps = 6.0, list_lag_s = 6.0 }
limits = { cores = 0.1, ram_mb = 127.0, fd_limit = 1000 }
`;

test('faulty files and arguments end with one clear line', async () => {
  const config = file('settings.toml', settings('drone-0'));
  const unknown = file('unknown.toml', '[features]\nrolout = true\n');
  const needs = file('needs.toml', '[features]\ncompressed-records = true\n');
  const twice = file(
    'twice.properties',
    'rollout = x\norder = a, a\naddress.a = 127.0.0.1:1\nversion = 2\ncommand = true\n',
  );
  const alone = file(
    'alone.properties',
    'rollout = x\norder = a\naddress.a = 127.0.0.1:1\nversion = 2\ncommand = true\n',
  );
  const server = ['--server', '127.0.0.1:1'];
  const cases: [string[], RegExp][] = [
    [['--check', '--config', config, '--features', unknown], /did you mean "rollout"\?/],
    [['--check', '--config', config, '--features', needs], /needs rollout to be on/],
    [['rollout', 'start', '--plan', join(folder, 'none')], /cannot read .*none: ENOENT/],
    [['rollout', 'start', '--plan', twice], /plan: order names a twice/],
    [['rollout', 'start', '--plan', alone], /no controller tells of rollouts/],
    [['rollout', 'pause', '--plan', alone], /there is no rollout/],
    [['rollout', 'status', ...server], /127\.0\.0\.1:1 cannot be reached/],
    [['rollout', 'hold', ...server, '--by', 'anna'], /required option '--reason/],
    [['drain'], /required option '--server/],
  ];
  const ran = await Promise.all(cases.map(([args]) => run(...args)));
  cases.forEach(([args, message], i) => {
    assert.equal(ran[i].code, 1, args.join(' '));
    assert.match(ran[i].err, message, args.join(' '));
    assert.equal(ran[i].err.trim().split('\n').length, 1, args.join(' '));
  });
});

test('an operator holds, finalises, lowers and drains a running cluster', async () => {
  const cluster = new Cluster({ nodes: 3, runs: () => 1 });
  for (const label of LABELS) cluster.builds.set(label, buildWithFeatures(FEATURES));
  // Without it nobody can propose the next level, so that the hold comes first.
  cluster.builds.set('drone-2', presentBuild);
  try {
    await cluster.start();
    const server = ['--server', cluster.nodes.get('drone-0')?.address ?? ''];
    const rollout = (...args: string[]): Promise<Ran> => run('rollout', ...args, ...server);
    await until('the hold is taken', async () => {
      const held = await rollout('hold', '--by', 'anna', '--reason', 'one more day');
      return held.code === 0;
    });
    cluster.crash('drone-2');
    cluster.builds.set('drone-2', buildWithFeatures(FEATURES));
    await cluster.boot('drone-2');
    const status = await rollout('status');
    assert.match(status.out, /^level 2, steady\n {2}held by anna for \d+ s: one more day\n/);
    assert.match(status.out, /feature compressed-records \(level 3\): can be read, reversible\n/);
    assert.equal((await rollout('finalize')).out, 'the hold has ended\n');
    await until('the level has risen', async () =>
      /feature compressed-records \(level 3\): migrated/.test((await rollout('status')).out),
    );
    const unconfirmed = await rollout('lower', '--to', '2', '--by', 'anna');
    assert.match(unconfirmed.err, /takes back compressed-records: .* Confirm to go on/);
    const lasting = await rollout('lower', '--to', '1', '--by', 'anna', '--yes');
    assert.match(lasting.err, /compact-records \(level 2\) cannot be taken back/);
    assert.equal((await rollout('lower', '--to', '2', '--by', 'anna', '--yes')).code, 0);
    await until('the level has fallen', async () =>
      /^level 2, steady\n {2}held by anna/.test((await rollout('status')).out),
    );
    assert.match((await run('drain', ...server)).out, /is being drained/);
    const drain = cluster.nodes.get('drone-0')?.controller.drain;
    await until('it is drained', () => drain?.isDone === true);
    assert.match((await run('drain', '--cancel', ...server)).out, /is back in service/);
  } finally {
    cluster.close();
  }
});

test('a rollout of whole controllers is driven from the command line, and its record says so', async () => {
  const cluster = new Cluster({ nodes: 3, runs: () => 1 });
  for (const label of LABELS) cluster.builds.set(label, buildWithFeatures(FEATURES));
  try {
    await cluster.start();
    const addresses = LABELS.map(
      (label) => `address.${label} = ${cluster.nodes.get(label)?.address ?? ''}`,
    );
    await until('all are ready', async () => {
      const ready = await Promise.all(LABELS.map((label) => cluster.call(label, 'GET', '/ready')));
      return ready.every(({ status }) => status === 200);
    });
    const plan = file(
      'plan.properties',
      [
        ...['rollout = restart', `order = ${LABELS.join(', ')}`, ...addresses, 'version = 0.4.0'],
        // The controllers are in this process: the command only says whose turn it is.
        ...[`command = ${process.execPath} -e process.exit(0)`, 'soak = 0', 'permit.ttl = 2'],
      ].join('\n'),
    );
    const replaced: string[] = [];
    const watch = setInterval(() => {
      for (const label of LABELS) {
        const record = cluster.state.rows.get(rolloutKeys.driver)?.value as
          DriverRecord | undefined;
        const isItsTurn = record?.controllers[label]?.state === 'replacing';
        if (!isItsTurn || replaced.includes(label)) continue;
        replaced.push(label);
        cluster.crash(label);
        void cluster.boot(label);
      }
    }, 50);
    const ran = await run('rollout', 'start', '--plan', plan);
    clearInterval(watch);
    assert.match(ran.out, /rollout restart: done: all controllers were replaced\n$/, ran.err);
    assert.deepEqual(replaced, LABELS);
    const status = await run(
      'rollout',
      'status',
      '--server',
      cluster.nodes.get('drone-1')?.address ?? '',
    );
    assert.match(status.out, /rollout restart: done, driven by /);
  } finally {
    cluster.close();
  }
});
