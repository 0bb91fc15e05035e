/** The command line interface, including invalid arguments. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Cluster, submission, until } from '../support/cluster.js';
import { runProgram } from '../support/commandLine.js';

test('invalid arguments and settings are reported in a single line', async () => {
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
        const ran = await runProgram(...args);
        assert.equal(ran.code, code, args.join(' '));
        assert.match(code === 0 ? ran.stdout : ran.stderr, message, args.join(' '));
      }),
    );
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('why and status show a running service', async () => {
  const cluster = new Cluster({ nodes: 1, taskRunSeconds: () => Infinity });
  try {
    await cluster.start();
    cluster.cloud.capacity = 0;
    await until('the job is accepted', async () => {
      const answer = await cluster.call('drone-0', 'POST', '/v1/jobs', submission('wk-000001'));
      return answer.status < 300;
    });
    const server = cluster.nodes.get('drone-0')?.address ?? '';
    const why = await runProgram('why', 'wk-000001', '--server', server);
    assert.match(
      why.stdout,
      /^wk-000001: queued, 0 done, 0 running\n3 task\(s\) .*wait for a machine/,
    );
    const none = await runProgram('why', 'wk-000002', '--server', server);
    assert.deepEqual([none.code, none.stderr], [1, 'barrowlb: there is no job wk-000002\n']);
    const status = await runProgram('status', '--server', server);
    assert.match(status.stdout, /^drone-0: served by the state service\npart drone-0: 0 machines/);
    assert.match(status.stdout, /queue: 1 open jobs, 0 tasks running, 3 waiting/);
  } finally {
    cluster.close();
  }
});

test('dependent jobs: `why` names the jobs waited for, and cancelling the first job cancels the others', async () => {
  const cluster = new Cluster({ nodes: 1, taskRunSeconds: () => Infinity });
  try {
    await cluster.start();
    const stages: [string, string[]][] = [
      ['wk-000001', []],
      ['wk-000002', ['wk-000001']],
      ['wk-000003', ['wk-000001', 'wk-000002']],
    ];
    for (const [id, WaitsOn] of stages) {
      await until(`${id} is accepted`, async () => {
        const body = submission(id, { WaitsOn });
        return (await cluster.call('drone-0', 'POST', '/v1/jobs', body)).status < 300;
      });
    }
    const server = cluster.nodes.get('drone-0')?.address ?? '';
    const why = async (id: string): Promise<string> =>
      (await runProgram('why', id, '--server', server)).stdout;
    const second = await why('wk-000002');
    assert.match(
      second,
      /^wk-000002: queued.*\nIt waits for 1 job\(s\) to be done first: wk-000001\./,
    );
    assert.match(await why('wk-000003'), /2 job\(s\) to be done first: wk-000001, wk-000002\./);
    await until('the first is cancelled', async () => {
      const path = '/v1/jobs/wk-000001/withdraw';
      return (await cluster.call('drone-0', 'POST', path)).status === 200;
    });
    await until('the last is cancelled too', async () => {
      return (await why('wk-000003')).startsWith('wk-000003: cancelled');
    });
  } finally {
    cluster.close();
  }
});
