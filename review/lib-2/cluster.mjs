// Starts the controllers with the command of the deploy file, as processes of their own, on loopback addresses.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { call } from './http.mjs';
import { now } from './record.mjs';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

export const sleep = (seconds) =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));

/** Resolves with the first value of `probe` that is not false; throws after `seconds`. */
export async function until(what, seconds, probe) {
  const end = now() + seconds;
  for (;;) {
    const value = await probe();
    if (value !== false) return value;
    if (now() > end) throw new Error(`${what}: not within ${seconds} s`);
    await sleep(0.1);
  }
}

/** Addresses of this run alone: no other process can take their ports. */
const NETWORK = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;

/** The command of deploy/service.toml: a program with its arguments. */
function runCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Ends what is still there of a cluster when the test ends, in whatever way: its controllers and its folder. */
function endWithProcess(cluster) {
  process.on('exit', () => {
    for (const child of cluster.children.values()) child.kill('SIGKILL');
    if (process.env.KEEP === undefined) rmSync(cluster.folder, { recursive: true, force: true });
  });
}

export class Cluster {
  constructor({ record, nodes, settings, stateOf, cloud, logLevel }) {
    Object.assign(this, { record, nodes, settings, stateOf, cloud, logLevel });
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.addresses = new Map();
    this.children = new Map();
    this.exits = [];
    endWithProcess(this);
  }

  /** Chooses the addresses and writes the settings files. `peerOf(a, b)`: where `a` reaches `b`, if not directly. */
  async prepare(peerOf = async (_, address) => address) {
    for (const [i, { label }] of this.nodes.entries()) {
      const host = `${NETWORK}.${1 + i}`;
      this.addresses.set(label, { client: `${host}:8080`, back: `${host}:8081` });
    }
    for (const { label, site } of this.nodes) {
      const peers = [];
      for (const other of this.nodes) {
        if (other.label === label) continue;
        const endpoint = await peerOf(
          `${label}>${other.label}`,
          this.addresses.get(other.label).back,
        );
        peers.push(
          `[[peers]]\nlabel = "${other.label}"\nsite = "${other.site}"\nendpoint = "${endpoint}"\n`,
        );
      }
      const { client, back } = this.addresses.get(label);
      const text =
        `label = "${label}"\nsite = "${site}"\nclient_listen = "${client}"\nback = "${back}"\n\n` +
        `${peers.join('\n')}\n[services]\ncloud = "${this.cloud}"\nstate = "${this.stateOf.get(label)}"\n\n` +
        this.settings;
      writeFileSync(path.join(this.folder, `${label}.toml`), text);
    }
  }

  /** An address for a link, which no other has. */
  linkAddress() {
    this.links = (this.links ?? 0) + 1;
    return `${NETWORK}.100:${9000 + this.links}`;
  }

  /** The addresses at which users and workers reach the controllers. */
  get clientAddresses() {
    return new Map([...this.addresses].map(([label, { client }]) => [label, client]));
  }

  start(label) {
    const [program, ...args] = runCommand();
    const file = path.join(this.folder, `${label}.toml`);
    const child = spawn(program === 'node' ? process.execPath : program, [...args, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.logLevel ?? 'info' },
    });
    const log = createWriteStream(path.join(this.folder, `${label}.log`), { flags: 'a' });
    child.stderr.pipe(log);
    this.children.set(label, child);
    this.record.add('controller-started', { label, pid: child.pid });
    child.on('exit', (code, signal) => {
      const wasKilled = child.isKilled === true;
      if (this.children.get(label) === child) this.children.delete(label);
      this.record.add('controller-ended', { label, code, signal, wasKilled });
      if (!wasKilled && this.isClosing !== true) this.exits.push({ label, code, signal });
    });
    return child;
  }

  /** Kills a controller with no signal that it could handle; resolves once it has ended. */
  kill(label) {
    const child = this.children.get(label);
    if (child === undefined) return Promise.resolve();
    child.isKilled = true;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    return ended;
  }

  /** Sends a signal, for instance to stop and continue a process. */
  signal(label, name) {
    this.record.add('signal', { label, name });
    this.children.get(label)?.kill(name);
  }

  ready(label, seconds = 30) {
    return until(`${label} is ready`, seconds, async () => {
      const { status } = await call(
        this.addresses.get(label).client,
        'GET',
        '/ready',
        undefined,
        1,
      );
      return status === 200;
    });
  }

  user(label, method, target, body, timeoutSeconds = 5) {
    return call(this.addresses.get(label).client, method, target, body, timeoutSeconds);
  }

  logOf(label) {
    try {
      return readFileSync(path.join(this.folder, `${label}.log`), 'utf8');
    } catch {
      return '';
    }
  }

  async close() {
    this.isClosing = true;
    await Promise.all([...this.children.keys()].map((label) => this.kill(label)));
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else this.record.add('kept', { folder: this.folder });
  }
}

/** The settings of a small deployment, as DEPLOY shows them. */
export function settingsText({
  zones,
  team,
  reportS,
  leaseS,
  cancelS,
  state,
  cloud,
  limits,
  objectives,
}) {
  const real = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));
  const goals = (objectives ?? [])
    .map(
      ({ kind, jobClass, withinS, share }) =>
        `[[settings.objectives]]\nkind = "${kind}"\nclass = "${jobClass}"\nwithin_s = ${real(withinS)}\nshare = ${real(share)}\n`,
    )
    .join('\n');
  return `[settings]
initial_size = 3
zones = [${zones.map((zone) => `"${zone}"`).join(', ')}]
skew_ms = 100.0

[[settings.teams]]
name = "${team}"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

${goals}
[settings.workers]
report_s = ${real(reportS)}
lease_s = ${real(leaseS)}
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = ${real(cancelS)}

[settings.state]
rps = ${real(state.rps)}
write_rps = ${real(state.writeRps)}
value_kb = ${real(state.valueBytes / 1024)}
txn_ops = ${state.txnOps}

[settings.cloud]
rps = ${real(cloud.rps)}
list_lag_s = ${real(cloud.listLagS)}

[settings.limits]
cores = ${real(limits.cores)}
ram_mb = ${real(limits.ramMb)}
fd_limit = ${limits.fdLimit}
`;
}

/** Runs a test; its result is the exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. */
export async function runCase(test) {
  let code = 2;
  const closers = [];
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
  const limit = setTimeout(() => process.exit(2), 118_000);
  try {
    code = (await test(closers)) ? 1 : 0;
  } catch (error) {
    process.stderr.write(`the case couldn't run: ${error.stack ?? error}\n`);
  }
  for (const close of closers.reverse()) await close();
  clearTimeout(limit);
  process.exit(code);
}
