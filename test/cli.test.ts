/** The command line as a new user would try it, wrong arguments included. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Cluster, submission, until } from './support/cluster.js';

const program = fileURLToPath(new URL('../src/main.js', import.meta.url));

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

test('wrong arguments and bad settings end with one clear line', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'barrowlb-'));
  const bad = join(folder, 'bad.toml');
  const properties = join(folder, 'bad.properties');
  writeFileSync(bad, 'label = "drone-0"\n');
  writeFileSync(properties, 'migration.factor = much\n');
  const cases: [string[], number, RegExp][] = [
    [['--version'], 0, /^\d+\.\d+\.\d+\n$/],
    [['--help'], 0, /Usage: barrowlb[^]*why[^]*status/],
    [[], 1, /^barrowlb: nothing to do: give --config FILE, or see --help\n$/],
    [['--config', join(folder, 'none.toml')], 1, /^barrowlb: cannot read .*none\.toml: ENOENT\n$/],
    [['--check', '--config', bad], 1, /^barrowlb: settings: site: .*\n$/],
    [['--colour'], 1, /unknown option '--colour'/],
    [['why', '--server', '127.0.0.1:1'], 1, /missing required argument 'job'/],
    [['why', 'wk-1'], 1, /required option '--server/],
    [['why', 'wk-1', '--server', 'nowhere'], 1, /^barrowlb: --server: "nowhere" is not/],
    [['status', '--server', '127.0.0.1:1'], 1, /^barrowlb: 127\.0\.0\.1:1 cannot be reached: /],
  ];
  try {
    await Promise.all(
      cases.map(async ([args, code, message]) => {
        const ran = await run(...args);
        assert.equal(ran.code, code, args.join(' '));
        assert.match(code === 0 ? ran.out : ran.err, message, args.join(' '));
      }),
    );
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('why and status show a running service', async () => {
  const cluster = new Cluster({ nodes: 1, runs: () => Infinity });
  try {
    await cluster.start();
    cluster.cloud.capacity = 0;
    await until('the job is accepted', async () => {
      const answer = await cluster.call('drone-0', 'POST', '/v1/jobs', submission('wk-000001'));
      return answer.status < 300;
    });
    const server = cluster.nodes.get('drone-0')?.address ?? '';
    const why = await run('why', 'wk-000001', '--server', server);
    assert.match(
      why.out,
      /^wk-000001: queued, 0 done, 0 running\n3 task\(s\) .*wait for a machine/,
    );
    const none = await run('why', 'wk-000002', '--server', server);
    assert.deepEqual([none.code, none.err], [1, 'barrowlb: there is no job wk-000002\n']);
    const status = await run('status', '--server', server);
    assert.match(status.out, /^drone-0: served by the state service\npart drone-0: 0 machines/);
    assert.match(status.out, /queue: 1 open jobs, 0 tasks running, 3 waiting/);
  } finally {
    cluster.close();
  }
});
