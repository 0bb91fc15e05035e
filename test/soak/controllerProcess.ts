/** Runs one controller in a child process, using the same entry point as the service. */
import { spawn, type ChildProcess } from 'node:child_process';
import { join, resolve } from 'node:path';

/** The compiled entry point of the controller, without the bundle and the startup snapshot. */
export const PROGRAM = resolve(import.meta.dirname, '../../src/main.js');
const CLOCK_SKEW_MODULE = join(import.meta.dirname, 'clockSkew.js');

export interface ControllerEvents {
  onLogLine(label: string, line: string): void;
  /** The process exited although `kill` was not called. */
  onUnexpectedExit(label: string, reason: string): void;
}

export class ControllerProcess {
  private runningChild: ChildProcess | null = null;
  /** Killed processes that have not exited yet. The kernel keeps their ports until they do, so the next start waits for them. */
  private readonly killedChildren = new Set<ChildProcess>();
  private shouldRun = false;

  constructor(
    readonly label: string,
    private readonly config: string,
    private readonly skewMs: number,
    private readonly logLevel: string,
    private readonly events: ControllerEvents,
  ) {}

  get isRunning(): boolean {
    return this.runningChild !== null;
  }

  start(): void {
    this.shouldRun = true;
    if (this.runningChild === null && this.killedChildren.size === 0) this.spawn();
  }

  private spawn(): void {
    const flags = ['--max-old-space-size=128', '--import', CLOCK_SKEW_MODULE];
    const child = spawn(process.execPath, [...flags, PROGRAM, '--config', this.config], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.logLevel, SOAK_SKEW_MS: String(this.skewMs) },
    });
    this.runningChild = child;
    let incompleteLine = '';
    child.stderr.on('data', (data) => {
      const lines = `${incompleteLine}${String(data)}`.split('\n');
      incompleteLine = lines.pop() ?? '';
      for (const line of lines) this.events.onLogLine(this.label, line);
    });
    child.on('exit', (code, signal) => {
      if (this.killedChildren.delete(child)) {
        if (this.shouldRun && this.runningChild === null && this.killedChildren.size === 0)
          this.spawn();
        return;
      }
      this.runningChild = null;
      this.events.onUnexpectedExit(this.label, signal ?? `exit code ${String(code)}`);
    });
  }

  /** Simulates a crash: SIGKILL, which the process cannot handle. */
  kill(): void {
    const { runningChild: child } = this;
    this.shouldRun = false;
    this.runningChild = null;
    if (child === null) return;
    this.killedChildren.add(child);
    child.kill('SIGKILL');
  }

  pause(): void {
    this.runningChild?.kill('SIGSTOP');
  }

  resume(): void {
    this.runningChild?.kill('SIGCONT');
  }
}
