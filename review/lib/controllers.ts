/** Controllers: processes started with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { elapsed, sleep, CannotRun, type Recorder } from './record.js';

/** The sections of the settings that differ between the sites; TOML. */
export interface SiteSettings {
  zones: string[];
  /** Zone of each controller. */
  sites: string[];
  /** TOML from `[[settings.teams]]` to the end. */
  rest: string;
}

/** The settings of pantrack-rehearsals, as DEPLOY shows them. */
export const PANTRACK: SiteSettings = {
  zones: ['port-of-spain'],
  sites: ['port-of-spain', 'port-of-spain', 'port-of-spain'],
  rest: `
[[settings.teams]]
name = "bookings-crew"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[settings.objectives]]
kind = "finished"
class = "hall-sweep"
within_s = 60.0
share = 0.88

[[settings.objectives]]
kind = "finished"
class = "hall-sweep"
within_s = 150.0
share = 0.97

[[settings.objectives]]
kind = "wait"
class = "yard-calendar"
within_s = 1.0
share = 0.94

[settings.workers]
report_s = 3.0
lease_s = 34.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 64.0

[settings.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 32

[settings.cloud]
rps = 6.0
list_lag_s = 6.0

[settings.limits]
cores = 0.425
ram_mb = 306.0
fd_limit = 3000
`,
};

/** The machine types of pantrack-rehearsals (BRIEF). */
export const PANTRACK_FLAVOURS = [
  {
    ...{ Label: 'tassa-small', Cores: 4, Accelerators: 0, MemoryGb: 8, LocalGb: 30 },
    ...{ PullGbPerS: 1, Hourly: 0.2, SpotPrice: 0.08, BootS: 50, Yards: ['port-of-spain'] },
  },
  {
    ...{ Label: 'panyard-large', Cores: 32, Accelerators: 0, MemoryGb: 256, LocalGb: 70 },
    ...{ PullGbPerS: 1, Hourly: 1.97, SpotPrice: 0.77, BootS: 15, Yards: ['port-of-spain'] },
  },
];

/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 11_000;
const PORTS = 20_000;

/** A loopback address of this case alone, so that cases may run side by side. */
const HOST = `127.${10 + (process.pid % 200)}.${(process.pid >> 8) % 250}.1`;

const takenPorts = new Set<number>();

/** Whether nobody listens on the port. */
function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (takenPorts.has(port) || !(await isFree(port))) continue;
    takenPorts.add(port);
    return port;
  }
}

interface Node {
  label: string;
  site: string;
  client: string;
  back: string;
  file: string;
  log: string;
  process: ChildProcess | null;
  /** It was ended by the case. */
  isKilled: boolean;
}

/** The end of a process that the case did not end itself. */
export interface UnexpectedEnd {
  label: string;
  at: number;
  code: number | null;
  signal: string | null;
  lastWords: string;
}

/** The controllers of one deployment. */
export class Controllers {
  readonly nodes: Node[] = [];
  /** Ends of processes that nobody ended. */
  readonly ends: UnexpectedEnd[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'barrowlb-review-'));
  private readonly command: string[];
  private isClosed = false;

  constructor(
    private readonly settings: SiteSettings,
    private readonly record: Recorder,
  ) {
    const deploy = readFileSync('deploy/service.toml', 'utf8');
    const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
    if (run === undefined) throw new CannotRun('deploy/service.toml names no command');
    this.command = run.split(' ');
  }

  /** Writes the settings. `stateOf`: the address of the state service for a controller. */
  async prepare(cloud: string, stateOf: (label: string) => Promise<string>): Promise<void> {
    const { sites, zones, rest } = this.settings;
    for (const [i, site] of sites.entries()) {
      const label = `drone-${i}`;
      const client = `${HOST}:${await freePort()}`;
      const back = `${HOST}:${await freePort()}`;
      const file = join(this.folder, `${label}.toml`);
      const log = join(this.folder, `${label}.log`);
      this.nodes.push({ label, site, client, back, file, log, process: null, isKilled: false });
    }
    for (const node of this.nodes) {
      const peers = this.nodes
        .filter((other) => other !== node)
        .map(
          (p) => `[[peers]]\nlabel = "${p.label}"\nsite = "${p.site}"\nendpoint = "${p.back}"\n`,
        );
      const state = await stateOf(node.label);
      writeFileSync(
        node.file,
        `label = "${node.label}"\nsite = "${node.site}"\nclient_listen = "${node.client}"\n` +
          `back = "${node.back}"\n\n${peers.join('\n')}\n[services]\ncloud = "${cloud}"\n` +
          `state = "${state}"\n\n[settings]\ninitial_size = ${sites.length}\n` +
          `zones = ${JSON.stringify(zones)}\nskew_ms = 100.0\n${rest}`,
      );
    }
  }

  /** Addresses for users and workers, by label. */
  addresses(): Map<string, string> {
    return new Map(this.nodes.map(({ label, client }) => [label, client]));
  }

  /** Starts a controller. */
  start(label: string): void {
    const node = this.node(label);
    const [program = '', ...args] = this.command;
    const log = openSync(node.log, 'a');
    const child = spawn(program === 'node' ? process.execPath : program, [...args, node.file], {
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'error' },
    });
    closeSync(log);
    node.process = child;
    node.isKilled = false;
    this.record.note(`${label}: started`);
    child.on('exit', (code, signal) => {
      if (node.process === child) node.process = null;
      if (node.isKilled || this.isClosed) return;
      const lastWords = this.lastWords(node);
      this.ends.push({ label, at: elapsed(), code, signal, lastWords });
      this.record.note(`${label}: ended by itself, code ${code} signal ${signal}: ${lastWords}`);
      // The platform starts it again about 3 s after its end (BRIEF).
      void sleep(3).then(() => {
        if (!this.isClosed && node.process === null) this.start(label);
      });
    });
  }

  private lastWords(node: Node): string {
    const lines = readFileSync(node.log, 'utf8').split('\n');
    return lines.find((line) => line.includes('FATAL ERROR')) ?? lines.slice(-3).join(' ');
  }

  /** Starts all controllers. */
  startAll(): void {
    for (const { label } of this.nodes) this.start(label);
  }

  /** Kills a controller, as a crash does. */
  kill(label: string): void {
    const node = this.node(label);
    node.isKilled = true;
    node.process?.kill('SIGKILL');
    node.process = null;
    this.record.note(`${label}: killed`);
  }

  private node(label: string): Node {
    const node = this.nodes.find((candidate) => candidate.label === label);
    if (node === undefined) throw new CannotRun(`no controller ${label}`);
    return node;
  }

  /** Resident memory of a controller in MB; 0 if it does not run. */
  memoryMb(label: string): number {
    const pid = this.node(label).process?.pid;
    if (pid === undefined) return 0;
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  /** Ends all controllers and removes their files. */
  async close(): Promise<void> {
    this.isClosed = true;
    for (const { process: child } of this.nodes) child?.kill('SIGKILL');
    await sleep(0.3);
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`${this.folder}\n`);
  }
}
