/**
 * A worker as PROTOCOL describes it, without sockets or timers: tokens, sessions, attempts that stay in its reports until
 * they are reaped, and starts that are refused. Whoever drives it says when its tasks end and when its lease is over.
 */

export interface WorkerOrder {
  Verb: 'start' | 'halt' | 'reap';
  Piece: string;
  Try: number;
  WindDownS?: number;
}

export interface HeldAttempt {
  readonly task: string;
  readonly attemptNumber: number;
  state: 'running' | 'saving' | 'ended';
  cause: string | null;
}

/** What happens to tasks on the machine. */
export interface WorkerObserver {
  started(attempt: HeldAttempt): void;
  /** Seconds that it takes to save its checkpoint; 0: it saves none. */
  saveSeconds?(attempt: HeldAttempt): number;
  /** It saves its checkpoint and exits after that. */
  saving?(attempt: HeldAttempt, seconds: number): void;
  left(attempt: HeldAttempt): void;
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
  Orders: WorkerOrder[];
}

export class WorkerModel {
  session = 1;
  token = 0;
  /** Why it refuses all starts; null: it refuses those for which it has no room. */
  refusal: string | null = null;
  /** Seconds until the cloud takes the machine, or null. */
  warning: () => number | null = () => null;
  private tick = 0;
  private readonly held = new Map<string, HeldAttempt>();

  constructor(
    readonly description: WorkerDescription,
    private readonly observer: WorkerObserver,
    /** How many tasks it has room for. */
    private readonly room = Infinity,
    public reportOrder: ReportOrder = 'oldest first',
  ) {}

  /** Attempts that have not ended. */
  get running(): HeldAttempt[] {
    return [...this.held.values()].filter(({ state }) => state !== 'ended');
  }

  find(task: string, attempt: number): HeldAttempt | undefined {
    return this.held.get(keyOf(task, attempt));
  }

  report(): Record<string, unknown> {
    const { name, address, type, zone, spot } = this.description;
    const attempts = [...this.held.values()];
    if (this.reportOrder === 'newest first') attempts.reverse();
    return {
      Drone: name,
      Address: address,
      Flavour: type,
      Yard: zone,
      Loaners: spot,
      Shift: this.session,
      Tick: ++this.tick,
      Baton: this.token,
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
  command({ Baton, Shift, Orders }: CommandBody): { status: number; body: unknown } {
    if (Baton < this.token || Shift !== this.session) return { status: 409, body: this.report() };
    this.token = Baton;
    this.carryOut(Orders);
    return { status: 200, body: this.report() };
  }

  /** A 200 to a report that was sent in `session`; false where it has to be dropped. */
  answer(session: number, body: { Baton?: number; Orders?: WorkerOrder[] }): boolean {
    if (session !== this.session || body.Baton === undefined || body.Baton < this.token) {
      return false;
    }
    this.token = body.Baton;
    this.carryOut(body.Orders ?? []);
    return true;
  }

  /** Its lease is over: everything is killed and forgotten. */
  endSession(): void {
    for (const attempt of this.held.values()) this.end(attempt, 'killed');
    this.held.clear();
    this.session++;
  }

  end(attempt: HeldAttempt, cause: string): void {
    if (attempt.state === 'ended') return;
    attempt.state = 'ended';
    attempt.cause = cause;
    this.observer.left(attempt);
  }

  private carryOut(orders: WorkerOrder[]): void {
    for (const { Verb, Piece: task, Try: attempt, WindDownS = 0 } of orders) {
      const known = this.find(task, attempt);
      if (Verb === 'start') this.start(task, attempt, known);
      else if (known === undefined) continue;
      else if (Verb === 'halt') this.halt(known, WindDownS);
      else if (known.state === 'ended') this.held.delete(keyOf(task, attempt));
    }
  }

  /** A running task saves if it is given the time; every other one exits at once, also one that saves if it is given none. */
  private halt(attempt: HeldAttempt, windDown: number): void {
    const seconds = this.observer.saveSeconds?.(attempt) ?? 0;
    if (attempt.state === 'running' && seconds > 0 && windDown >= seconds) {
      attempt.state = 'saving';
      this.observer.saving?.(attempt, seconds);
    } else if (attempt.state !== 'saving' || windDown === 0) this.end(attempt, 'halted');
  }

  private start(task: string, attemptNumber: number, known: HeldAttempt | undefined): void {
    if (known !== undefined) return;
    const others = this.running;
    const isBusy = others.some((other) => other.task === task);
    const hasNoRoom = others.length >= this.room;
    const refusal = this.refusal ?? (isBusy ? 'busy' : hasNoRoom ? 'no_room' : null);
    const started: HeldAttempt = {
      task,
      attemptNumber: attemptNumber,
      state: refusal === null ? 'running' : 'ended',
      cause: refusal,
    };
    this.held.set(keyOf(task, attemptNumber), started);
    if (refusal === null) this.observer.started(started);
  }
}

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;
