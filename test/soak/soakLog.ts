/** Merged log of all processes of one soak, in order of arrival, with times of the host's monotonic clock. */
import { hostMonotonicSeconds } from './messages.js';

interface LogLine {
  at: number;
  from: string;
  text: string;
}

/** Lines that report an unhandled error or a violated invariant. */
const FAILURE_LINE = /unhandled:|event=invariant-violated|^error loop:/;

/** The audit line for commands that a controller sends, and the start commands in it. */
const COMMANDS_SENT = /event=commands-sent .*commands=("[^"]*"|\S*)/;
const START_COMMAND = /start ([^#,]+)#/g;

export class SoakLog {
  private readonly lines: LogLine[] = [];
  /** Lines that make the soak fail. */
  readonly failures: string[] = [];

  /** Called for each task whose start command a controller sends. */
  onStartSent: ((task: string) => void) | null = null;

  add(from: string, text: string): void {
    this.lines.push({ at: hostMonotonicSeconds(), from, text });
    if (FAILURE_LINE.test(text)) this.failures.push(`${from}: ${text}`);
    const commands = COMMANDS_SENT.exec(text)?.[1] ?? '';
    for (const [, task = ''] of commands.matchAll(START_COMMAND)) this.onStartSent?.(task);
  }

  get merged(): string {
    return this.lines.map(({ at, from, text }) => `${at.toFixed(3)} ${from} ${text}\n`).join('');
  }
}
