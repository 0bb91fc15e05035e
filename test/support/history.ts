/**
 * Records in order what users were told and where tasks ran, and checks both against the rules of PROTOCOL, without knowledge of
 * how the controllers work.
 *
 * PROTOCOL forbids an older answer once a user was told a newer one. The history knows when a request was sent and when its
 * answer was received, not when the answer was given. An older answer is a violation if its request (a read, a repeated
 * submission or a cancellation) was sent after the newer answer was received. If its request was sent before, the answer may
 * have been given first, and is listed as overtaken. Two different final states of a job are always a violation.
 */

/** State of a job according to an answer; answers without a state (503, or none at all) are not recorded. */
export type ReportedState = 'unknown' | 'refused' | 'open' | 'done' | 'cancelled';

/** Rules that a history can violate, by the names that reports print. */
export type Rule =
  | 'went_back'
  | 'forgotten'
  | 'quota'
  | 'ran_twice'
  | 'too_early'
  | 'orphaned'
  | 'ran_cancelled'
  | 'started_cancelled'
  | 'not_done'
  | 'invented'
  | 'nothing_ran';

export interface Violation {
  rule: Rule;
  detail: string;
}

/** A request about a job that awaits its answer. */
export interface JobRequest {
  job: string;
  node: string;
  sentAt: number;
}

interface Answer extends JobRequest {
  at: number;
  state: ReportedState;
}

interface SubmittedJob {
  team: string;
  cpus: number;
  /** Number of tasks. */
  tasks: number;
  /** Jobs that must be done before this one starts. */
  dependencies?: readonly string[];
}

/** Longest time in seconds until a line of a controller's log is read. */
const MAX_LOG_DELAY_S = 1;

const isFinal = (state: ReportedState): boolean => state === 'done' || state === 'cancelled';

const jobOf = (task: string): string => task.slice(0, task.lastIndexOf('/'));

/** Progress of a job: 0 is unknown or refused, 1 accepted, 2 final. */
const progressOf = (state: ReportedState): number =>
  isFinal(state) ? 2 : state === 'open' ? 1 : 0;

export class History {
  readonly violations: Violation[] = [];
  /** Older answers to requests that were in flight when the newer answer was received: no violations. */
  readonly overtaken: string[] = [];
  /** The first answer with each state, by job: an answer that contradicts a later one contradicts the first as well. */
  private readonly answers = new Map<string, Map<ReportedState, Answer>>();
  private readonly cancelRequested = new Set<string>();
  private readonly jobs = new Map<string, SubmittedJob>();
  /** Machines that run a task at present, by task. */
  private readonly machinesByTask = new Map<string, Set<string>>();
  /** CPUs in use at present, by team. */
  private readonly cpusInUse = new Map<string, number>();
  /** The most CPUs that a team has used at once, by team. */
  readonly peakCpus = new Map<string, number>();

  /** When each task of a job first completed, by job and task. */
  private readonly completed = new Map<string, Map<string, number>>();
  private hasStarted = false;
  private readonly neverSubmitted = new Set<string>();
  /** When a user was first told that a job is done, by job. */
  private readonly doneAt = new Map<string, number>();
  /** Attempts that ran for too long after their job was cancelled; each is reported once. */
  private readonly ranCancelled = new Set<string>();
  /** When a user was first told that a job is cancelled, by job. */
  private readonly cancelledAt = new Map<string, number>();

  constructor(
    /** CPUs that a team's tasks may use at once, by team. */
    private readonly limits: ReadonlyMap<string, number>,
    /** Seconds after a cancellation within which dependent jobs are cancelled and all of their tasks terminate. */
    private readonly cancellationTimeout = Infinity,
    /** The clock of all times that are passed in, in seconds. */
    private readonly now: () => number = () => performance.now() / 1000,
  ) {}

  /** Records a job that users ask about although nobody submits it. */
  recordNeverSubmitted(job: string): void {
    this.neverSubmitted.add(job);
  }

  recordSubmission(id: string, job: SubmittedJob): void {
    this.jobs.set(id, job);
  }

  recordCancelRequest(job: string): void {
    this.cancelRequested.add(job);
  }

  recordAnswer(request: JobRequest, at: number, state: ReportedState): void {
    const answer: Answer = { ...request, at, state };
    const earlier = this.answers.get(request.job) ?? new Map<ReportedState, Answer>();
    this.answers.set(request.job, earlier);
    for (const previous of earlier.values()) this.compare(previous, answer);
    if (state === 'cancelled' && !this.cancelledAt.has(request.job)) {
      this.cancelledAt.set(request.job, at);
    }
    if (state === 'done' && !this.doneAt.has(request.job)) this.doneAt.set(request.job, at);
    if (this.neverSubmitted.has(request.job) && state !== 'unknown') {
      this.addViolation(
        'invented',
        `${request.job} was never submitted, and ${request.node} knows it`,
      );
    }
    if (state === 'open') this.checkOrphaned(request, at);
    if (state === 'cancelled' && !this.mayBeCancelled(request.job)) {
      this.addViolation(
        'went_back',
        `${request.job} is reported as cancelled without a cancellation request`,
      );
    }
    if (!earlier.has(state)) earlier.set(state, answer);
  }

  /** The jobs that a job depends on, directly or through others. */
  private dependenciesOf(job: string): Set<string> {
    const found = new Set(this.jobs.get(job)?.dependencies);
    for (const dependency of found) {
      for (const further of this.jobs.get(dependency)?.dependencies ?? []) found.add(further);
    }
    return found;
  }

  private mayBeCancelled(job: string): boolean {
    return [job, ...this.dependenciesOf(job)].some((any) => this.cancelRequested.has(any));
  }

  private checkOrphaned(request: JobRequest, at: number): void {
    for (const dependency of this.dependenciesOf(request.job)) {
      const since = this.cancelledAt.get(dependency);
      if (since === undefined || at - since <= this.cancellationTimeout) continue;
      const detail = `${request.job} is open at ${request.node} ${(at - since).toFixed(1)} s after ${dependency} was cancelled`;
      this.addViolation('orphaned', detail);
    }
  }

  /** Compares an answer with one that was received earlier. */
  private compare(before: Answer, after: Answer): void {
    const isContradiction =
      isFinal(before.state) && isFinal(after.state) && before.state !== after.state;
    if (!isContradiction && progressOf(after.state) >= progressOf(before.state)) return;
    const detail =
      `${after.job}: ${after.state} by ${after.node} (asked at ${after.sentAt.toFixed(3)}, answered at ` +
      `${after.at.toFixed(3)}) after ${before.state} by ${before.node} at ${before.at.toFixed(3)}`;
    if (!isContradiction && after.sentAt < before.at) this.overtaken.push(detail);
    else this.addViolation(progressOf(after.state) === 0 ? 'forgotten' : 'went_back', detail);
  }

  /** Records that a machine runs a task from now on. */
  onTaskStarted(task: string, machine: string, at = this.now()): void {
    this.hasStarted = true;
    this.checkCancelled(task, machine, at);
    const machines = this.machinesByTask.get(task) ?? new Set<string>();
    this.machinesByTask.set(task, machines);
    if (machines.has(machine)) return;
    this.checkTooEarly(task);
    if (machines.size > 0)
      this.addViolation('ran_twice', `${task} on ${machine} and ${[...machines].join(' ')}`);
    machines.add(machine);
    this.updateUsage(task, 1);
  }

  private checkTooEarly(task: string): void {
    const job = jobOf(task);
    for (const dependency of this.jobs.get(job)?.dependencies ?? []) {
      const done = this.completed.get(dependency)?.size ?? 0;
      if (done < (this.jobs.get(dependency)?.tasks ?? 0)) {
        this.addViolation('too_early', `${task} starts with ${done} tasks of ${dependency} done`);
      }
    }
  }

  /** Records that a task has completed its work. */
  onTaskCompleted(task: string, at = this.now()): void {
    const job = jobOf(task);
    const tasks = this.completed.get(job) ?? new Map<string, number>();
    this.completed.set(job, tasks);
    if (!tasks.has(task)) tasks.set(task, at);
  }

  /** Checks all tasks that run at present. */
  checkRunningTasks(at = this.now()): void {
    for (const [task, machines] of this.machinesByTask) {
      for (const machine of machines) this.checkCancelled(task, machine, at);
    }
  }

  /** Checks the rules that need the complete history. */
  checkAtEnd(): void {
    for (const [job, at] of this.doneAt) {
      const ended = [...(this.completed.get(job)?.values() ?? [])].filter((end) => end <= at);
      const tasks = this.jobs.get(job)?.tasks ?? 0;
      if (ended.length >= tasks) continue;
      this.addViolation(
        'not_done',
        `${job} is reported as done with ${ended.length} of ${tasks} tasks done`,
      );
    }
    if (!this.hasStarted) this.addViolation('nothing_ran', 'no task was started');
  }

  /**
   * Records that a controller has logged the sending of a start. All leaders stop sending starts of a job before its
   * cancellation is confirmed; a start that was sent before may be executed later.
   */
  recordStartSent(task: string, at = this.now()): void {
    const since = this.cancelledAt.get(jobOf(task));
    if (since === undefined || at - since <= MAX_LOG_DELAY_S) return;
    const late = (at - since).toFixed(1);
    this.addViolation(
      'started_cancelled',
      `${task} is sent ${late} s after its job was reported as cancelled`,
    );
  }

  private checkCancelled(task: string, machine: string, at: number): void {
    const since = this.cancelledAt.get(jobOf(task));
    if (since === undefined || at - since <= this.cancellationTimeout) return;
    const key = `${task} on ${machine}`;
    if (this.ranCancelled.has(key)) return;
    this.ranCancelled.add(key);
    const late = (at - since).toFixed(1);
    this.addViolation(
      'ran_cancelled',
      `${key} ${late} s after its user was told that it is cancelled`,
    );
  }

  /** Records that a task has exited, or that its machine is gone. */
  onTaskTerminated(task: string, machine: string): void {
    if (this.machinesByTask.get(task)?.delete(machine) === true) this.updateUsage(task, -1);
  }

  private updateUsage(task: string, change: number): void {
    const job = this.jobs.get(jobOf(task));
    if (job === undefined) return;
    const { team, cpus } = job;
    const used = (this.cpusInUse.get(team) ?? 0) + change * cpus;
    this.cpusInUse.set(team, used);
    this.peakCpus.set(team, Math.max(used, this.peakCpus.get(team) ?? 0));
    const limit = this.limits.get(team) ?? Infinity;
    if (change > 0 && used > limit)
      this.addViolation('quota', `${team} uses ${used} of ${limit} with ${task}`);
  }

  private addViolation(rule: Rule, detail: string): void {
    this.violations.push({ rule, detail });
  }
}
