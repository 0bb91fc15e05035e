/** Runs the program in a child process, as a user does from a shell. */
import { execFile, spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('../../src/main.js', import.meta.url));

export interface CommandResult {
  code: number;
  stdout: string;
  stderr: string;
}

export const runProgram = (...args: string[]): Promise<CommandResult> =>
  new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr });
    });
  });

export interface ExitResult {
  code: number | null;
  signal: string | null;
  stderr: string;
}

/** Runs the program until it exits; `onLog` gets all that it has logged so far, and may send it a signal. */
export function runUntilExit(
  args: string[],
  onLog: (log: string, kill: (signal: NodeJS.Signals) => void) => void = () => undefined,
): Promise<ExitResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [program, ...args], { env: { LOG_LEVEL: 'info' } });
    let stderr = '';
    child.stderr.on('data', (data) => {
      stderr += String(data);
      onLog(stderr, (signal) => child.kill(signal));
    });
    child.on('exit', (code, signal) => {
      resolve({ code, signal, stderr });
    });
  });
}

/** Settings of a controller without peers, cloud or workers, and by default without a state service. */
export const standaloneSettings = (label: string, state = '127.0.0.1:1'): string => `
label = "${label}"
site = "a"
client_listen = "127.0.0.1:0"
back = "127.0.0.1:0"
[services]
cloud = "127.0.0.1:1"
state = "${state}"
[settings]
zones = ["a"]
teams = [{ name = "crew" }]
workers = { report_s = 3.0, lease_s = 30.0, cancel_s = 60.0 }
state = { rps = 100.0, write_rps = 50.0, value_kb = 16.0, txn_ops = 16 }
cloud = { rps = 6.0, list_lag_s = 6.0 }
limits = { cores = 0.1, ram_mb = 127.0, fd_limit = 1000 }
`;
