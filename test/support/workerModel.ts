/**
 * A worker as PROTOCOL describes it, without sockets or timers: tokens, sessions, attempts that stay in its reports until
 * they are reaped, and starts that are refused. Whoever drives it says when its tasks end and when its lease is over.
 */

export interface WorkerCommand {
  Verb: 'start' | 'halt' | 'reap';
  Piece: string;
  Try: number;
  WindDownS?: number;
}

export interface WorkerAttempt {
  readonly task: string;
  readonly attemptNumber: number;
  state: 'running' | 'saving' | 'ended';
  cause: string | null;
}

/** What happens to tasks on the machine. */
export interface WorkerObserver {
  onStarted(attempt: WorkerAttempt): void;
  /** Seconds that it takes to save its checkpoint; 0: it saves none. */
  checkpointSeconds?(attempt: WorkerAttempt): number;
  /** It saves its checkpoint and exits after that. */
  onCheckpoint?(attempt: WorkerAttempt, seconds: number): void;
  onTerminated(attempt: WorkerAttempt): void;
}

export interface WorkerDescription {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** In which order the attempts stand in its reports: PROTOCOL names none. */
export type ReportOrder = 'oldest first' | 'newest first';

export interface CommandBody {
  Baton: number;
  Shift: number;
  Orders: WorkerCommand[];
}

export class WorkerModel {
  agentEpoch = 1;
  highestFencingToken = 0;
  /** Why it refuses all starts; null: it refuses those for which it has no room. */
  refusalCause: string | null = null;
  /** Seconds until the cloud takes the machine, or null. */
  warning: () => number | null = () => null;
  private tick = 0;
  private readonly held = new Map<string, WorkerAttempt>();

  constructor(
    readonly description: WorkerDescription,
    private readonly observer: WorkerObserver,
    /** How many tasks it has room for. */
    private readonly room = Infinity,
    public reportOrder: ReportOrder = 'oldest first',
  ) {}

  /** Attempts that have not ended. */
  get running(): WorkerAttempt[] {
    return [...this.held.values()].filter(({ state }) => state !== 'ended');
  }

  find(task: string, attempt: number): WorkerAttempt | undefined {
    return this.held.get(keyOf(task, attempt));
  }

  heartbeat(): Record<string, unknown> {
    const { name, address, type, zone, spot } = this.description;
    const attempts = [...this.held.values()];
    if (this.reportOrder === 'newest first') attempts.reverse();
    return {
      Drone: name,
      Address: address,
      Flavour: type,
      Yard: zone,
      Loaners: spot,
      Shift: this.agentEpoch,
      Tick: ++this.tick,
      Baton: this.highestFencingToken,
      WarningS: this.warning(),
      Pieces: attempts.map(({ task, attemptNumber: attempt, state, cause }) => ({
        Piece: task,
        Try: attempt,
        Status: state,
        Cause: cause,
      })),
    };
  }

  /** A request to its address. */
  handleCommand({ Baton, Shift, Orders }: CommandBody): { status: number; body: unknown } {
    if (Baton < this.highestFencingToken || Shift !== this.agentEpoch)
      return { status: 409, body: this.heartbeat() };
    this.highestFencingToken = Baton;
    this.carryOut(Orders);
    return { status: 200, body: this.heartbeat() };
  }

  /** A 200 to a report that was sent in `session`; false where it has to be dropped. */
  handleAnswer(session: number, body: { Baton?: number; Orders?: WorkerCommand[] }): boolean {
    if (
      session !== this.agentEpoch ||
      body.Baton === undefined ||
      body.Baton < this.highestFencingToken
    ) {
      return false;
    }
    this.highestFencingToken = body.Baton;
    this.carryOut(body.Orders ?? []);
    return true;
  }

  /** Its lease is over: everything is killed and forgotten. */
  expireLease(): void {
    for (const attempt of this.held.values()) this.terminate(attempt, 'killed');
    this.held.clear();
    this.agentEpoch++;
  }

  terminate(attempt: WorkerAttempt, cause: string): void {
    if (attempt.state === 'ended') return;
    attempt.state = 'ended';
    attempt.cause = cause;
    this.observer.onTerminated(attempt);
  }

  private carryOut(orders: WorkerCommand[]): void {
    for (const { Verb, Piece: task, Try: attempt, WindDownS = 0 } of orders) {
      const known = this.find(task, attempt);
      if (Verb === 'start') this.start(task, attempt, known);
      else if (known === undefined) continue;
      else if (Verb === 'halt') this.halt(known, WindDownS);
      else if (known.state === 'ended') this.held.delete(keyOf(task, attempt));
    }
  }

  /** A running task saves if it is given the time; every other one exits at once, also one that saves if it is given none. */
  private halt(attempt: WorkerAttempt, windDown: number): void {
    const seconds = this.observer.checkpointSeconds?.(attempt) ?? 0;
    if (attempt.state === 'running' && seconds > 0 && windDown >= seconds) {
      attempt.state = 'saving';
      this.observer.onCheckpoint?.(attempt, seconds);
    } else if (attempt.state !== 'saving' || windDown === 0) this.terminate(attempt, 'halted');
  }

  private start(task: string, attemptNumber: number, known: WorkerAttempt | undefined): void {
    if (known !== undefined) return;
    const others = this.running;
    const isBusy = others.some((other) => other.task === task);
    const hasNoRoom = others.length >= this.room;
    const refusal = this.refusalCause ?? (isBusy ? 'busy' : hasNoRoom ? 'no_room' : null);
    const started: WorkerAttempt = {
      task,
      attemptNumber: attemptNumber,
      state: refusal === null ? 'running' : 'ended',
      cause: refusal,
    };
    this.held.set(keyOf(task, attemptNumber), started);
    if (refusal === null) this.observer.onStarted(started);
  }
}

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;
