/** The startup snapshot that the deploy file builds and starts controllers from. */
import assert from 'node:assert/strict';
import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { buildSync } from 'esbuild';
import { standaloneSettings } from '../support/commandLine.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));
const compiledMain = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'barrowlb-'));
const bundle = join(folder, 'barrowlb.cjs');
const snapshot = join(folder, 'barrowlb.blob');
const settingsFile = join(folder, 'settings.toml');

const heapFlags = (command: string): string[] => command.match(/--max-[a-z-]+=\d+/g) ?? [];

const { scripts } = JSON.parse(readFileSync(join(root, 'package.json'), 'utf8')) as {
  scripts: Record<string, string>;
};
const deployFile = readFileSync(join(root, 'deploy/service.toml'), 'utf8');
const runLine = /^run = "(.*)"$/m.exec(deployFile)?.[1] ?? '';

before(() => {
  buildSync({ entryPoints: [compiledMain], bundle: true, platform: 'node', outfile: bundle });
  const flags = heapFlags(scripts['snapshot'] ?? '');
  const build = [...flags, '--snapshot-blob', snapshot, '--build-snapshot', bundle];
  execFileSync(process.execPath, build, { env: { LOG_LEVEL: 'error' }, stdio: 'pipe' });
  writeFileSync(settingsFile, standaloneSettings('drone-0'));
});

after(() => {
  rmSync(folder, { recursive: true });
});

test('the deploy file starts from the snapshot with the heap flags of its build', () => {
  // V8 rejects a snapshot that was built with different heap flags, and no controller would start.
  assert.deepEqual(heapFlags(runLine), heapFlags(scripts['snapshot'] ?? ''));
  assert.equal(heapFlags(runLine).length, 2);
  const blob = /--snapshot-blob (\S+)/.exec(scripts['snapshot'] ?? '')?.[1];
  assert.ok(blob !== undefined && runLine.includes(`--snapshot-blob ${blob} `));
});

const command = (...args: string[]): string[] => [
  ...heapFlags(runLine),
  '--snapshot-blob',
  snapshot,
  compiledMain,
  ...args,
];

test('arguments and settings are read at startup, not when the snapshot is built', () => {
  const checked = execFileSync(
    process.execPath,
    command('--check', '--config', settingsFile),
  ).toString();
  assert.equal(checked, 'settings are sound: drone-0 in a\n');
});

test('the log level is read at startup, and the controller listens', async () => {
  const controller = spawn(process.execPath, command('--config', settingsFile), {
    env: { LOG_LEVEL: 'info' },
  });
  try {
    let output = '';
    for await (const data of controller.stderr) {
      output += String(data);
      if (output.includes('\n')) break;
    }
    assert.match(output, /^info barrowlb \d+\.\d+\.\d+ listens on 127\.0\.0\.1:0 as drone-0\n/);
  } finally {
    controller.kill('SIGKILL');
  }
});
