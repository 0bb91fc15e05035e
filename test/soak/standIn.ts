/** Both ends of a stand-in process: the client in the main process and the request loop in the child process. */
import { fork, type ChildProcess } from 'node:child_process';
import type { StandInMessage, NumberedRequest, TaskEvent } from './messages.js';

/** Answers requests of the parent process, and exits when the parent disconnects. */
export function serveRequests<Request>(
  handle: (request: Request) => Promise<string | null> | string | null,
): void {
  process.on('message', (message) => {
    const { sequence, request } = message as NumberedRequest<Request>;
    void Promise.resolve(handle(request)).then((address) => {
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

/** Client of a stand-in that runs in a child process. */
export class StandInProcess<Request> {
  private readonly child: ChildProcess;
  private sequence = 0;
  private readonly pendingRequests = new Map<number, (address: string | null) => void>();
  private isClosing = false;
  private hasExited = false;

  constructor(
    module: string,
    argument: unknown,
    private readonly listener: {
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
        listener.onOutput(String(data));
      });
    }
    child.on('message', (message) => {
      this.receive(message as StandInMessage);
    });
    child.on('exit', () => {
      this.hasExited = true;
      if (!this.isClosing) listener.onUnexpectedExit();
      for (const resolve of this.pendingRequests.values()) resolve(null);
      this.pendingRequests.clear();
    });
    // Emitted for a request that was in flight when the process was killed.
    child.on('error', (error) => {
      listener.onOutput(`error ${error.message}`);
    });
  }

  /** Resolves with the answer, or null if the process has exited or exits before it answers. */
  request(request: Request): Promise<string | null> {
    if (this.isClosing || this.hasExited) return Promise.resolve(null);
    const sequence = ++this.sequence;
    return new Promise((resolve) => {
      this.pendingRequests.set(sequence, resolve);
      this.child.send({ sequence, request } satisfies NumberedRequest<Request>);
    });
  }

  close(): void {
    this.isClosing = true;
    this.child.kill('SIGKILL');
  }

  private receive(message: StandInMessage): void {
    if (message.kind === 'event') {
      this.listener.onEvent(message.event);
      return;
    }
    this.pendingRequests.get(message.sequence)?.(message.address);
    this.pendingRequests.delete(message.sequence);
  }
}
