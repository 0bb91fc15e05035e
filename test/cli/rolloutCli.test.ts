/** `barrowlb rollout` and `barrowlb drain`, including invalid arguments. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { VERSION } from '../../src/base/version.js';
import { rolloutKeys, type DriverRecord } from '@barrowlb/rollout';
import { buildWithFeatures, Cluster, currentBuild, until } from '../support/cluster.js';
import {
  standaloneSettings,
  runProgram,
  runUntilExit,
  type CommandResult,
} from '../support/commandLine.js';
import { EXIT_REFUSED } from '../../src/coordination/rollout/rolloutSetup.js';
import { BARRIER_KEY } from '../../src/storage/records.js';
import { StateStandIn } from '../support/state.js';
import { FEATURES, LABELS } from '../support/rolloutCluster.js';

const folder = mkdtempSync(join(tmpdir(), 'barrowlb-'));

after(() => {
  rmSync(folder, { recursive: true });
});

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

test('invalid files and arguments are reported in a single line', async () => {
  const config = file('settings.toml', standaloneSettings('drone-0'));
  const unknown = file('unknown.toml', '[features]\nrolout = true\n');
  const needs = file('needs.toml', '[features]\ncompressed-records = true\n');
  const duplicateLabel = file(
    'twice.properties',
    'rollout = x\norder = a, a\naddress.a = 127.0.0.1:1\nversion = 2\ncommand = true\n',
  );
  const unreachable = file(
    'alone.properties',
    'rollout = x\norder = a\naddress.a = 127.0.0.1:1\nversion = 2\ncommand = true\n',
  );
  const server = ['--server', '127.0.0.1:1'];
  const cases: [string[], RegExp][] = [
    [['--check', '--config', config, '--features', unknown], /did you mean "rollout"\?/],
    [['--check', '--config', config, '--features', needs], /needs rollout to be on/],
    [['rollout', 'start', '--plan', join(folder, 'none')], /cannot read .*none: ENOENT/],
    [['rollout', 'start', '--plan', duplicateLabel], /plan: order names a twice/],
    [['rollout', 'start', '--plan', unreachable], /no controller tells of rollouts/],
    [['rollout', 'pause', '--plan', unreachable], /there is no rollout/],
    [['rollout', 'status', ...server], /127\.0\.0\.1:1 cannot be reached/],
    [['rollout', 'hold', ...server, '--by', 'anna'], /required option '--reason/],
    [['drain'], /required option '--server/],
  ];
  const ran = await Promise.all(cases.map(([args]) => runProgram(...args)));
  cases.forEach(([args, message], i) => {
    assert.equal(ran[i].code, 1, args.join(' '));
    assert.match(ran[i].stderr, message, args.join(' '));
    assert.equal(ran[i].stderr.trim().split('\n').length, 1, args.join(' '));
  });
});

test('a controller with rollouts off exits with code 4 at a barrier, without having written anything', async () => {
  const state = new StateStandIn();
  try {
    const endpoint = await state.listenFor('drone-0');
    state.apply({ Then: [{ Put: BARRIER_KEY, Value: { readers: 3 } }] });
    const config = file('barrier.toml', standaloneSettings('drone-0', endpoint));
    const ended = await runUntilExit(['--config', config]);
    assert.equal(ended.code, EXIT_REFUSED, ended.stderr);
    assert.match(ended.stderr, /rollouts to be switched on/);
    assert.deepEqual([...state.rows.keys()], [BARRIER_KEY]);
  } finally {
    state.close();
  }
});

test('SIGTERM drains the controller if configured, and otherwise ends the process immediately', async () => {
  const config = file('sigterm.toml', standaloneSettings('drone-0'));
  const properties = file('sigterm.properties', 'drain.on.sigterm = 5\n');
  const terminate = (log: string, kill: (signal: NodeJS.Signals) => void): void => {
    if (log.includes('listens on') && !log.includes('draining')) kill('SIGTERM');
  };
  const [drained, ended] = await Promise.all([
    runUntilExit(['--config', config, '--properties', properties], terminate),
    runUntilExit(['--config', config], terminate),
  ]);
  assert.match(drained.stderr, /draining before the end/);
  assert.deepEqual([drained.code, drained.signal], [0, null]);
  assert.deepEqual([ended.code, ended.signal], [null, 'SIGTERM']);
});

test('hold, finalize, lower and drain work on a running cluster', async () => {
  const cluster = new Cluster({ nodes: 3, taskRunSeconds: () => 1 });
  for (const label of LABELS) cluster.builds.set(label, buildWithFeatures(FEATURES));
  // drone-2 starts without rollouts, so that the next level cannot be proposed before the hold is stored.
  cluster.builds.set('drone-2', currentBuild);
  try {
    await cluster.start();
    const server = ['--server', cluster.nodes.get('drone-0')?.address ?? ''];
    const rollout = (...args: string[]): Promise<CommandResult> =>
      runProgram('rollout', ...args, ...server);
    await until('the hold is taken', async () => {
      const held = await rollout('hold', '--by', 'anna', '--reason', 'one more day');
      return held.code === 0;
    });
    cluster.crash('drone-2');
    cluster.builds.set('drone-2', buildWithFeatures(FEATURES));
    await cluster.boot('drone-2');
    const status = await rollout('status');
    assert.match(status.stdout, /^level 2, steady\n {2}held by anna for \d+ s: one more day\n/);
    assert.match(
      status.stdout,
      /feature compressed-records \(level 3\): can be read, reversible\n/,
    );
    assert.equal((await rollout('finalize')).stdout, 'the hold has ended\n');
    await until('the level has risen', async () =>
      /feature compressed-records \(level 3\): migrated/.test((await rollout('status')).stdout),
    );
    const unconfirmed = await rollout('lower', '--to', '2', '--by', 'anna');
    assert.match(unconfirmed.stderr, /takes back compressed-records: .* Confirm to go on/);
    const lasting = await rollout('lower', '--to', '1', '--by', 'anna', '--yes');
    assert.match(lasting.stderr, /compact-records \(level 2\) cannot be taken back/);
    assert.equal((await rollout('lower', '--to', '2', '--by', 'anna', '--yes')).code, 0);
    await until('the level has fallen', async () =>
      /^level 2, steady\n {2}held by anna/.test((await rollout('status')).stdout),
    );
    assert.match((await runProgram('drain', ...server)).stdout, /is being drained/);
    const drain = cluster.nodes.get('drone-0')?.controller.drain;
    await until('it is drained', () => drain?.isDone === true);
    assert.match((await runProgram('drain', '--cancel', ...server)).stdout, /is back in service/);
  } finally {
    cluster.close();
  }
});

test('a rollout started from the command line replaces all controllers, and its status shows it', async () => {
  const cluster = new Cluster({ nodes: 3, taskRunSeconds: () => 1 });
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
        ...['rollout = restart', `order = ${LABELS.join(', ')}`, ...addresses],
        `version = ${VERSION}`,
        // The controllers run in this process, so the command does nothing; the watcher below restarts them.
        ...[`command = ${process.execPath} -e process.exit(0)`, 'soak = 0', 'permit.ttl = 2'],
      ].join('\n'),
    );
    const replaced: string[] = [];
    const watcher = setInterval(() => {
      for (const label of LABELS) {
        const record = cluster.state.rows.get(rolloutKeys.driver)?.value as
          DriverRecord | undefined;
        const isReplacing = record?.controllers[label]?.state === 'replacing';
        if (!isReplacing || replaced.includes(label)) continue;
        replaced.push(label);
        cluster.crash(label);
        void cluster.boot(label);
      }
    }, 50);
    const ran = await runProgram('rollout', 'start', '--plan', plan);
    clearInterval(watcher);
    assert.match(ran.stdout, /rollout restart: done: all controllers were replaced\n$/, ran.stderr);
    assert.deepEqual(replaced, LABELS);
    const status = await runProgram(
      'rollout',
      'status',
      '--server',
      cluster.nodes.get('drone-1')?.address ?? '',
    );
    assert.match(status.stdout, /rollout restart: done, driven by /);
  } finally {
    cluster.close();
  }
});
