/**
 * A worker as PROTOCOL describes it, without sockets or timers: fencing tokens, agent epochs, terminated attempts that stay in
 * its heartbeats until they are reaped, and refused starts. Its caller decides when tasks terminate and when the lease expires.
 */

/** A command in its wire form. */
export interface WorkerCommand {
  Verb: 'start' | 'halt' | 'reap';
  Piece: string;
  Try: number;
  WindDownS?: number;
}

/** An attempt that the worker reports. */
export interface WorkerAttempt {
  readonly task: string;
  readonly attemptNumber: number;
  state: 'running' | 'saving' | 'ended';
  cause: string | null;
}

/** Observes the attempts on the machine. */
export interface WorkerObserver {
  onStarted(attempt: WorkerAttempt): void;
  /** Seconds that the attempt takes to save its checkpoint; 0: it saves none. */
  checkpointSeconds?(attempt: WorkerAttempt): number;
  /** The attempt saves its checkpoint, and exits once that is done. */
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

/** The order of attempts in heartbeats, which PROTOCOL leaves open. */
export type ReportOrder = 'oldest first' | 'newest first';

/** The body of a direct command in its wire form. */
export interface CommandBody {
  Baton: number;
  Shift: number;
  Orders: WorkerCommand[];
}

export class WorkerModel {
  agentEpoch = 1;
  highestFencingToken = 0;
  /** The cause with which it refuses all starts; null: it refuses only those beyond its capacity. */
  refusalCause: string | null = null;
  /** Seconds until the cloud reclaims the machine; null: no preemption was announced. */
  warning: () => number | null = () => null;
  private heartbeatSequence = 0;
  private readonly attempts = new Map<string, WorkerAttempt>();

  constructor(
    readonly description: WorkerDescription,
    private readonly observer: WorkerObserver,
    /** How many tasks it can run at once. */
    private readonly capacity = Infinity,
    public reportOrder: ReportOrder = 'oldest first',
  ) {}

  /** Attempts that have not terminated. */
  get running(): WorkerAttempt[] {
    return [...this.attempts.values()].filter(({ state }) => state !== 'ended');
  }

  find(task: string, attemptNumber: number): WorkerAttempt | undefined {
    return this.attempts.get(keyOf(task, attemptNumber));
  }

  /** The body of its next heartbeat. */
  heartbeat(): Record<string, unknown> {
    const { name, address, type, zone, spot } = this.description;
    const attempts = [...this.attempts.values()];
    if (this.reportOrder === 'newest first') attempts.reverse();
    return {
      Drone: name,
      Address: address,
      Flavour: type,
      Yard: zone,
      Loaners: spot,
      Shift: this.agentEpoch,
      Tick: ++this.heartbeatSequence,
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

  /** Handles a command that was sent to its address directly. */
  handleCommand({ Baton, Shift, Orders }: CommandBody): { status: number; body: unknown } {
    if (Baton < this.highestFencingToken || Shift !== this.agentEpoch)
      return { status: 409, body: this.heartbeat() };
    this.highestFencingToken = Baton;
    this.execute(Orders);
    return { status: 200, body: this.heartbeat() };
  }

  /** Handles an answer 200 to a heartbeat of this agent epoch; false: the answer is outdated and was dropped. */
  handleAnswer(agentEpoch: number, body: { Baton?: number; Orders?: WorkerCommand[] }): boolean {
    if (
      agentEpoch !== this.agentEpoch ||
      body.Baton === undefined ||
      body.Baton < this.highestFencingToken
    ) {
      return false;
    }
    this.highestFencingToken = body.Baton;
    this.execute(body.Orders ?? []);
    return true;
  }

  /** Kills and forgets all attempts, and begins a new agent epoch. */
  expireLease(): void {
    for (const attempt of this.attempts.values()) this.terminate(attempt, 'killed');
    this.attempts.clear();
    this.agentEpoch++;
  }

  terminate(attempt: WorkerAttempt, cause: string): void {
    if (attempt.state === 'ended') return;
    attempt.state = 'ended';
    attempt.cause = cause;
    this.observer.onTerminated(attempt);
  }

  private execute(commands: WorkerCommand[]): void {
    for (const { Verb, Piece: task, Try: attempt, WindDownS = 0 } of commands) {
      const known = this.find(task, attempt);
      if (Verb === 'start') this.start(task, attempt, known);
      else if (known === undefined) continue;
      else if (Verb === 'halt') this.halt(known, WindDownS);
      else if (known.state === 'ended') this.attempts.delete(keyOf(task, attempt));
    }
  }

  /**
   * A running task saves its checkpoint if the grace period is long enough; any other one exits at once, as does a saving one
   * without a grace period.
   */
  private halt(attempt: WorkerAttempt, gracePeriod: number): void {
    const seconds = this.observer.checkpointSeconds?.(attempt) ?? 0;
    if (attempt.state === 'running' && seconds > 0 && gracePeriod >= seconds) {
      attempt.state = 'saving';
      this.observer.onCheckpoint?.(attempt, seconds);
    } else if (attempt.state !== 'saving' || gracePeriod === 0) this.terminate(attempt, 'halted');
  }

  private start(task: string, attemptNumber: number, known: WorkerAttempt | undefined): void {
    if (known !== undefined) return;
    const running = this.running;
    const isBusy = running.some((attempt) => attempt.task === task);
    const isFull = running.length >= this.capacity;
    const refusal = this.refusalCause ?? (isBusy ? 'busy' : isFull ? 'no_room' : null);
    const started: WorkerAttempt = {
      task,
      attemptNumber,
      state: refusal === null ? 'running' : 'ended',
      cause: refusal,
    };
    this.attempts.set(keyOf(task, attemptNumber), started);
    if (refusal === null) this.observer.onStarted(started);
  }
}

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;
