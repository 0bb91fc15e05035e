/** The lines of all processes of one soak, in the order in which they came, by the machine's clock. */
import { hostMonotonicSeconds } from './messages.js';

interface Line {
  at: number;
  from: string;
  text: string;
}

/** What a line must not say: the process has met something that nobody handled. */
const FAILURES = /unhandled:|event=invariant-violated|^error loop:/;

/** The line of commands that leave a controller, and the starts among them. */
const COMMANDS_SENT = /event=commands-sent .*commands=("[^"]*"|\S*)/;
const START = /start ([^#,]+)#/g;

export class SoakLog {
  private readonly lines: Line[] = [];
  /** Lines that make a soak fail. */
  readonly failures: string[] = [];

  /** Told of each task whose start leaves a controller. */
  onStartSent: ((task: string) => void) | null = null;

  add(from: string, text: string): void {
    this.lines.push({ at: hostMonotonicSeconds(), from, text });
    if (FAILURES.test(text)) this.failures.push(`${from}: ${text}`);
    const commands = COMMANDS_SENT.exec(text)?.[1] ?? '';
    for (const [, task = ''] of commands.matchAll(START)) this.onStartSent?.(task);
  }

  get merged(): string {
    return this.lines.map(({ at, from, text }) => `${at.toFixed(3)} ${from} ${text}\n`).join('');
  }
}
