/** The two ends of a stand-in process: the one that asks, and the loop that answers. */
import { fork, type ChildProcess } from 'node:child_process';
import type { StandInMessage, NumberedRequest, TaskEvent } from './messages.js';

/** Answers requests until the process that asks has ended. */
export function serveRequests<Request>(
  carryOut: (request: Request) => Promise<string | null> | string | null,
): void {
  process.on('message', (message) => {
    const { sequence, request } = message as NumberedRequest<Request>;
    void Promise.resolve(carryOut(request)).then((address) => {
      send({ kind: 'reply', sequence, address });
    });
  });
  process.on('disconnect', () => {
    process.exit(0);
  });
}

export function send(message: StandInMessage): void {
  if (process.connected) process.send?.(message);
}

/** A stand-in that runs in a process of its own. */
export class StandInProcess<Request> {
  private readonly child: ChildProcess;
  private sequence = 0;
  private readonly waiting = new Map<number, (address: string | null) => void>();
  private isClosing = false;
  private hasEnded = false;

  constructor(
    module: string,
    argument: unknown,
    private readonly heard: {
      onEvent(event: TaskEvent): void;
      onOutput(text: string): void;
      onUnexpectedExit(): void;
    },
  ) {
    const child = fork(module, [JSON.stringify(argument)], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    this.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (data) => {
        heard.onOutput(String(data));
      });
    }
    child.on('message', (message) => {
      this.take(message as StandInMessage);
    });
    child.on('exit', () => {
      this.hasEnded = true;
      if (!this.isClosing) heard.onUnexpectedExit();
      for (const resolve of this.waiting.values()) resolve(null);
      this.waiting.clear();
    });
    // Told of a request that was on its way when the process was ended.
    child.on('error', (error) => {
      heard.onOutput(`error ${error.message}`);
    });
  }

  /** The answer; null where the process has ended, or ends before it answers. */
  request(request: Request): Promise<string | null> {
    if (this.isClosing || this.hasEnded) return Promise.resolve(null);
    const sequence = ++this.sequence;
    return new Promise((resolve) => {
      this.waiting.set(sequence, resolve);
      this.child.send({ sequence, request } satisfies NumberedRequest<Request>);
    });
  }

  close(): void {
    this.isClosing = true;
    this.child.kill('SIGKILL');
  }

  private take(message: StandInMessage): void {
    if (message.kind === 'event') {
      this.heard.onEvent(message.event);
      return;
    }
    this.waiting.get(message.sequence)?.(message.address);
    this.waiting.delete(message.sequence);
  }
}
