/** Users of a trial: they submit, ask at all nodes at once, repeat, cancel, and build pipelines. */
import type { Random } from '../../src/base/random.js';
import type { Response } from '../../src/transport/httpClient.js';
import { pause, submission } from '../support/cluster.js';
import { History, type JobRequest, type ReportedState } from '../support/history.js';
import { NODE_COUNT } from './faults.js';

/** Processors that the teams' tasks may use at once: below what the jobs ask for. */
const LIMITS = new Map([
  ['crew', 12],
  ['guests', 6],
]);

/** The teams as the settings have them. */
export const TEAM_SETTINGS = [...LIMITS]
  .map(([name, cpus]) => `[[settings.teams]]\nname = "${name}"\ncpus_max = ${cpus.toFixed(1)}`)
  .join('\n');

const CPUS_PER_TASK = 2;
/** Seconds after which a service is cancelled. */
const SERVICE_S = 8;
const CANCELLED_SHARE = 0.25;
/** Of the jobs that are cancelled, those that are cancelled soon after they were submitted, and within how many seconds. */
const CANCELLED_SOON_SHARE = 0.6;
const CANCELLED_SOON_S = 1;
/** How often everybody is asked right after a job was accepted or has ended. */
const CLOSE_LOOKS = 3;
/** Seconds between a look at all nodes and the cancellation that follows it, at the most. */
const LONGEST_PAUSE_BEFORE_CANCEL_S = 0.5;
/** The pause between two of these rounds, in seconds. */
const CLOSE_LOOK_PAUSE_S = 0.003;
/** How many stages follow the first job of a pipeline at the most. */
const MOST_STAGES = 4;
/** Pipelines whose last stage is submitted only when the others are over. */
const LATE_SHARE = 0.2;
const CANCEL_WITHIN_S = 5 + 1;

/** What an answer says; null: nothing, ask again. */
function toldBy(response: Response): ReportedState | null {
  if (response.status === 404) return 'unknown';
  if (response.status === 400 || response.status === 422) return 'refused';
  if (response.status >= 300) return null;
  const { Status: status } = response.body as { Status?: string };
  return status === 'done' || status === 'cancelled' ? status : 'open';
}

/** Where users ask. */
export interface ClientApi {
  call(node: string, method: string, path: string, body?: unknown): Promise<Response>;
}

export interface UserOptions {
  /** How many tasks a job has, by what was drawn for it. */
  taskCountOf: (job: string, drawn: number) => number;
  /** Fields that a submission has beside those that are drawn for all. */
  extraFields: (job: string) => Record<string, unknown>;
  nodeCount: number;
  /** A job has from one to this many tasks. */
  maxTasks: number;
  /** What the users are promised of cancellations, and time for an answer to arrive. */
  cancellationTimeout: number;
  cpuLimits: ReadonlyMap<string, number>;
  /** Seconds, by the clock that the checker goes by. */
  clock: () => number;
  /** Seconds between two rounds of questions about a job that was submitted so long ago. */
  pollInterval: (seconds: number) => number;
  /** Of the jobs, those that are looked at closely: at all nodes, within milliseconds after each change. */
  closelyWatchedShare: number;
}

const DEFAULTS: UserOptions = {
  taskCountOf: (_, drawn) => drawn,
  extraFields: () => ({}),
  nodeCount: NODE_COUNT,
  maxTasks: 3,
  cancellationTimeout: CANCEL_WITHIN_S,
  cpuLimits: LIMITS,
  clock: () => performance.now() / 1000,
  pollInterval: () => 0.25,
  closelyWatchedShare: 0.5,
};

export class TrialUsers {
  readonly history: History;
  private readonly options: UserOptions;
  private readonly accepted = new Set<string>();
  private readonly over = new Set<string>();
  /** Jobs whose users have asked to cancel them. */
  private readonly calledOff = new Set<string>();
  /** By job: asks everybody again, right after the job was accepted or has ended. */
  private readonly closeLooks = new Map<string, () => Promise<void>>();
  private readonly looking = new Set<Promise<void>>();
  /** Nothing is asked any more. */
  isStopped = false;

  constructor(
    private readonly cluster: ClientApi,
    private readonly random: Random,
    options: Partial<UserOptions> = {},
  ) {
    this.options = { ...DEFAULTS, ...options };
    const { cancellationTimeout: cancelWithin, clock } = this.options;
    this.history = new History(this.options.cpuLimits, cancelWithin, clock);
  }

  /** How many jobs were accepted. */
  get acceptedCount(): number {
    return this.accepted.size;
  }

  /** Accepted jobs of which no final state was told. */
  get unfinished(): string[] {
    return [...this.accepted].filter((id) => !this.over.has(id));
  }

  private get nodes(): string[] {
    return Array.from({ length: this.options.nodeCount }, (_, index) => this.nodeAt(index));
  }

  private nodeAt(index: number): string {
    return `drone-${index % this.options.nodeCount}`;
  }

  private async ask(
    id: string,
    node: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<ReportedState | null> {
    const question: JobRequest = { job: id, node, sentAt: this.options.clock() };
    try {
      const told = toldBy(await this.cluster.call(node, method, path, body));
      if (told === null || this.isStopped) return null;
      this.history.recordAnswer(question, this.options.clock(), told);
      this.noteProgress(id, told);
      return told;
    } catch {
      return null;
    }
  }

  private noteProgress(id: string, told: ReportedState): void {
    const isEnd = (told === 'done' || told === 'cancelled') && !this.over.has(id);
    const isAcceptance = told === 'open' && !this.accepted.has(id);
    if (told === 'open') this.accepted.add(id);
    if (isEnd) this.over.add(id);
    if (isEnd || isAcceptance) this.keepLooking(this.closeLooks.get(id)?.());
  }

  private keepLooking(look: Promise<void> | undefined): void {
    if (look === undefined) return;
    this.looking.add(look);
    void look.finally(() => this.looking.delete(look));
  }

  /** Asks, repeats the submission and, where the user has cancelled, the cancellation, at all nodes at once. */
  private async lookClosely(id: string, body: unknown, hasCancelled: () => boolean): Promise<void> {
    const rounds: Promise<unknown>[] = [];
    for (let round = 0; round < CLOSE_LOOKS && !this.isStopped; round++) {
      for (const node of this.nodes) {
        rounds.push(this.ask(id, node, 'GET', `/v1/jobs/${id}`));
        rounds.push(this.ask(id, node, 'POST', '/v1/jobs', body));
        if (hasCancelled()) rounds.push(this.ask(id, node, 'POST', `/v1/jobs/${id}/withdraw`));
      }
      await pause(CLOSE_LOOK_PAUSE_S);
    }
    await Promise.all(rounds);
  }

  /** Submits, perhaps cancels, and asks until the job is over; each step at several nodes within milliseconds. */
  async runUser(id: string, waitsOn: string[] = []): Promise<void> {
    const draw = this.random();
    const team = draw < 0.6 ? 'crew' : 'guests';
    const drawnTasks = 1 + Math.floor(this.random() * this.options.maxTasks);
    const tasks = this.options.taskCountOf(id, drawnTasks);
    const drawn = this.random() < CANCELLED_SHARE ? this.drawCancellation() : Infinity;
    const first = Math.floor(this.random() * this.options.nodeCount);
    const work = { Owner: team, Pieces: tasks, Cores: CPUS_PER_TASK };
    const extra = this.options.extraFields(id);
    // A service ends when its user cancels it.
    const isService = extra['Shape'] === 'daemon';
    const cancelAfter = isService ? Math.min(drawn, SERVICE_S) : drawn;
    const body = submission(id, {
      ...extra,
      ...(waitsOn.length === 0 ? work : { ...work, WaitsOn: waitsOn }),
    });
    if (this.random() < this.options.closelyWatchedShare) {
      this.closeLooks.set(id, () => this.lookClosely(id, body, () => this.calledOff.has(id)));
    }
    const began = performance.now();
    this.history.recordSubmission(id, { team, cpus: CPUS_PER_TASK, tasks, dependencies: waitsOn });
    for (let turn = first; !this.isStopped && !this.over.has(id); turn++) {
      const seconds = (performance.now() - began) / 1000;
      const node = this.nodeAt(turn);
      if (!this.accepted.has(id)) await this.ask(id, node, 'POST', '/v1/jobs', body);
      else if (seconds > cancelAfter || this.calledOff.has(id)) {
        await this.lookBeforeCancelling(id, cancelAfter);
        await this.callOff(id, node);
      }
      await this.askEverywhere(id, body);
      await pause(this.options.pollInterval(seconds));
    }
    for (let again = 0; again < 3 && !this.isStopped; again++) {
      await this.askEverywhere(id, body);
      await pause(0.5);
    }
    this.closeLooks.delete(id);
    await Promise.all(this.looking);
  }

  private async callOff(id: string, node: string): Promise<void> {
    this.history.recordCancelRequest(id);
    this.calledOff.add(id);
    await this.ask(id, node, 'POST', `/v1/jobs/${id}/withdraw`);
  }

  /** Has users cancel so many accepted jobs now, each at a node of its own choice; they go on until it is confirmed. */
  cancelNow(count: number): void {
    const open = this.unfinished.filter((id) => !this.calledOff.has(id));
    for (const id of open.slice(-count)) {
      void this.callOff(id, this.nodeAt(Math.floor(this.random() * this.options.nodeCount)));
    }
  }

  /** What is asked now may still be on its way when the cancellation is confirmed. */
  private async lookBeforeCancelling(id: string, cancelAfter: number): Promise<void> {
    const look = this.closeLooks.get(id);
    if (look === undefined) return;
    this.keepLooking(look());
    await pause(Number.isFinite(cancelAfter) ? cancelAfter % LONGEST_PAUSE_BEFORE_CANCEL_S : 0);
  }

  /** Seconds until a user who cancels does so. */
  private drawCancellation(): number {
    return this.random() * (this.random() < CANCELLED_SOON_SHARE ? CANCELLED_SOON_S : 4);
  }

  /** Asks at every node about a job that nobody submits. */
  async queryUnknownJob(id: string): Promise<void> {
    this.history.recordNeverSubmitted(id);
    await Promise.all(this.nodes.map((node) => this.ask(id, node, 'GET', `/v1/jobs/${id}`)));
  }

  /** Jobs that need others, each submitted once those are accepted, by a user of its own. */
  async runPipeline(first: string): Promise<void> {
    const stages = 1 + Math.floor(this.random() * MOST_STAGES);
    const isLate = this.random() < LATE_SHARE;
    const submitted = [first];
    const users = [this.runUser(first)];
    for (let stage = 1; stage <= stages && !this.isStopped; stage++) {
      const needs = submitted.filter((_, i) => i === submitted.length - 1 || this.random() < 0.3);
      const mayGoOn = (need: string): boolean =>
        this.over.has(need) || (this.accepted.has(need) && !(isLate && stage === stages));
      while (!this.isStopped && !needs.every(mayGoOn)) await pause(0.05);
      const id = `${first}-${stage}`;
      submitted.push(id);
      users.push(this.runUser(id, needs));
    }
    await Promise.all(users);
  }

  private async askEverywhere(id: string, body: unknown): Promise<void> {
    const questions = this.nodes.map((node) => this.ask(id, node, 'GET', `/v1/jobs/${id}`));
    const repeated = this.accepted.has(id)
      ? [this.ask(id, this.nodeAt(id.charCodeAt(id.length - 1)), 'POST', '/v1/jobs', body)]
      : [];
    await Promise.all([...questions, ...repeated]);
  }
}
