/**
 * What users were told and what ran where, in the order in which it happened, and which rules that breaks. It knows
 * nothing of how the controllers work.
 *
 * It knows when a question was sent and when its answer arrived, not when the answer was given: PROTOCOL forbids to give an
 * older answer once a user has been told of a newer one. That is certain where the older one was asked for after the newer one
 * had arrived, be they answers to questions, repeated submissions or cancellations; it is a violation. Where it was asked for
 * before, it may have been given first: it is listed as overtaken. Two different final states are never right.
 */

/** What an answer says of a job; an answer that says nothing (503, none at all) is not recorded. */
export type ReportedState = 'unknown' | 'refused' | 'open' | 'done' | 'cancelled';

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

/** A request on its way. */
export interface JobRequest {
  job: string;
  node: string;
  sentAt: number;
}

interface Answer extends JobRequest {
  at: number;
  told: ReportedState;
}

interface SubmittedJob {
  team: string;
  cpus: number;
  /** How many tasks the job has, and which jobs it waits for. */
  tasks: number;
  dependencies?: readonly string[];
}

/** Seconds until a line of a controller's log is read. */
const LOG_TRAVEL_S = 1;

const isFinal = (told: ReportedState): boolean => told === 'done' || told === 'cancelled';

const jobOf = (task: string): string => task.slice(0, task.lastIndexOf('/'));

/** How far a job has come by an answer: known to nobody, accepted, over. */
const progressOf = (told: ReportedState): number => (isFinal(told) ? 2 : told === 'open' ? 1 : 0);

export class History {
  readonly violations: Violation[] = [];
  /** Older answers to questions that were on their way when the newer one was given: listed apart. */
  readonly overtaken: string[] = [];
  /** For each job the first answer of each kind: whatever contradicts a later one contradicts the first as well. */
  private readonly answers = new Map<string, Map<ReportedState, Answer>>();
  private readonly cancelAsked = new Set<string>();
  private readonly work = new Map<string, SubmittedJob>();
  /** Machines that each task is on. */
  private readonly machines = new Map<string, Set<string>>();
  private readonly used = new Map<string, number>();
  /** The most that each team has used at once. */
  readonly peakCpus = new Map<string, number>();

  /** `limits`: processors that each team's tasks may use at once. */
  /** Tasks of each job that have run to their end, and when they first did. */
  private readonly completed = new Map<string, Map<string, number>>();
  private hasStarted = false;
  private readonly neverSubmitted = new Set<string>();
  /** When a user was first told that a job is done. */
  private readonly doneAt = new Map<string, number>();
  /** Tasks that ran for too long after their job was cancelled: each is named once. */
  private readonly ranCancelled = new Set<string>();
  /** When a user was first told that a job is cancelled. */
  private readonly cancelledAt = new Map<string, number>();

  constructor(
    private readonly limits: ReadonlyMap<string, number>,
    /** Seconds within which what needs a cancelled job has to be cancelled too. */
    private readonly cancelWithin = Infinity,
    /** Seconds, on the same clock as the times of answers. */
    private readonly now: () => number = () => performance.now() / 1000,
  ) {}

  /** A job that nobody submits, and about which users ask all the same. */
  recordNeverSubmitted(job: string): void {
    this.neverSubmitted.add(job);
  }

  recordSubmission(job: string, work: SubmittedJob): void {
    this.work.set(job, work);
  }

  recordCancelRequest(job: string): void {
    this.cancelAsked.add(job);
  }

  recordAnswer(question: JobRequest, at: number, told: ReportedState): void {
    const answer: Answer = { ...question, at, told };
    const earlier = this.answers.get(question.job) ?? new Map<ReportedState, Answer>();
    this.answers.set(question.job, earlier);
    for (const before of earlier.values()) this.compare(before, answer);
    if (told === 'cancelled' && !this.cancelledAt.has(question.job)) {
      this.cancelledAt.set(question.job, at);
    }
    if (told === 'done' && !this.doneAt.has(question.job)) this.doneAt.set(question.job, at);
    if (this.neverSubmitted.has(question.job) && told !== 'unknown') {
      this.break('invented', `${question.job} was never submitted, and ${question.node} knows it`);
    }
    if (told === 'open') this.checkOrphaned(question, at);
    if (told === 'cancelled' && !this.mayBeCancelled(question.job)) {
      this.break('went_back', `${question.job} is called cancelled, and nobody has asked for that`);
    }
    if (!earlier.has(told)) earlier.set(told, answer);
  }

  /** The jobs that a job needs, directly or through others. */
  private needsOf(job: string): Set<string> {
    const found = new Set(this.work.get(job)?.dependencies);
    for (const need of found) {
      for (const further of this.work.get(need)?.dependencies ?? []) found.add(further);
    }
    return found;
  }

  private mayBeCancelled(job: string): boolean {
    return [job, ...this.needsOf(job)].some((any) => this.cancelAsked.has(any));
  }

  private checkOrphaned(question: JobRequest, at: number): void {
    for (const need of this.needsOf(question.job)) {
      const since = this.cancelledAt.get(need);
      if (since === undefined || at - since <= this.cancelWithin) continue;
      const detail = `${question.job} is open at ${question.node} ${(at - since).toFixed(1)} s after ${need} was cancelled`;
      this.break('orphaned', detail);
    }
  }

  /** `before` was given first. */
  private compare(before: Answer, after: Answer): void {
    const isOther = isFinal(before.told) && isFinal(after.told) && before.told !== after.told;
    if (!isOther && progressOf(after.told) >= progressOf(before.told)) return;
    const detail =
      `${after.job}: ${after.told} by ${after.node} (asked at ${after.sentAt.toFixed(3)}, answered at ` +
      `${after.at.toFixed(3)}) after ${before.told} by ${before.node} at ${before.at.toFixed(3)}`;
    if (!isOther && after.sentAt < before.at) this.overtaken.push(detail);
    else this.break(progressOf(after.told) === 0 ? 'forgotten' : 'went_back', detail);
  }

  /** A task is on a machine from now on. */
  onTaskStarted(task: string, machine: string, at = this.now()): void {
    this.hasStarted = true;
    this.checkCancelled(task, machine, at);
    const on = this.machines.get(task) ?? new Set<string>();
    this.machines.set(task, on);
    if (on.has(machine)) return;
    this.checkTooEarly(task);
    if (on.size > 0) this.break('ran_twice', `${task} on ${machine} and ${[...on].join(' ')}`);
    on.add(machine);
    this.use(task, 1);
  }

  private checkTooEarly(task: string): void {
    const job = jobOf(task);
    for (const need of this.work.get(job)?.dependencies ?? []) {
      const done = this.completed.get(need)?.size ?? 0;
      if (done < (this.work.get(need)?.tasks ?? 0)) {
        this.break('too_early', `${task} starts with ${done} tasks of ${need} done`);
      }
    }
  }

  /** It has run to its end. */
  onTaskCompleted(task: string, at = this.now()): void {
    const job = jobOf(task);
    const tasks = this.completed.get(job) ?? new Map<string, number>();
    this.completed.set(job, tasks);
    if (!tasks.has(task)) tasks.set(task, at);
  }

  /** Looks at everything that runs at this moment. */
  checkRunningTasks(at = this.now()): void {
    for (const [task, machines] of this.machines) {
      for (const machine of machines) this.checkCancelled(task, machine, at);
    }
  }

  /** What can only be told once all that happened is known. */
  checkAtEnd(): void {
    for (const [job, at] of this.doneAt) {
      const ended = [...(this.completed.get(job)?.values() ?? [])].filter((end) => end <= at);
      const tasks = this.work.get(job)?.tasks ?? 0;
      if (ended.length >= tasks) continue;
      this.break('not_done', `${job} is called done with ${ended.length} of ${tasks} tasks done`);
    }
    if (!this.hasStarted) this.break('nothing_ran', 'no task was started');
  }

  /**
   * A start has left a controller, as its log says. All leaders have stopped sending any before a cancellation is confirmed; what
   * left before may be carried out later.
   */
  recordStartSent(task: string, at = this.now()): void {
    const since = this.cancelledAt.get(jobOf(task));
    if (since === undefined || at - since <= LOG_TRAVEL_S) return;
    const late = (at - since).toFixed(1);
    this.break('started_cancelled', `${task} is sent ${late} s after its job was called cancelled`);
  }

  private checkCancelled(task: string, machine: string, at: number): void {
    const since = this.cancelledAt.get(jobOf(task));
    if (since === undefined || at - since <= this.cancelWithin) return;
    const key = `${task} on ${machine}`;
    if (this.ranCancelled.has(key)) return;
    this.ranCancelled.add(key);
    const late = (at - since).toFixed(1);
    this.break('ran_cancelled', `${key} ${late} s after its user was told that it is cancelled`);
  }

  /** It has exited, or the machine is gone. */
  onTaskTerminated(task: string, machine: string): void {
    if (this.machines.get(task)?.delete(machine) === true) this.use(task, -1);
  }

  private use(task: string, count: number): void {
    const work = this.work.get(jobOf(task));
    if (work === undefined) return;
    const { team, cpus } = work;
    const used = (this.used.get(team) ?? 0) + count * cpus;
    this.used.set(team, used);
    this.peakCpus.set(team, Math.max(used, this.peakCpus.get(team) ?? 0));
    const limit = this.limits.get(team) ?? Infinity;
    if (count > 0 && used > limit)
      this.break('quota', `${team} uses ${used} of ${limit} with ${task}`);
  }

  private break(rule: Rule, detail: string): void {
    this.violations.push({ rule, detail });
  }
}
