/** Simulated users: they submit, query all nodes at the same time, repeat requests, cancel, and build pipelines. */
import type { Random } from '../../src/base/random.js';
import type { Response } from '../../src/transport/httpClient.js';
import { pause, submission } from '../support/cluster.js';
import { History, type JobRequest, type ReportedState } from '../support/history.js';
import { NODE_COUNT } from './faults.js';

/** CPU limits of the teams, lower than the demand of their jobs. */
const CPU_LIMITS = new Map([
  ['crew', 12],
  ['guests', 6],
]);

/** The teams' section of the settings file. */
export const TEAM_SETTINGS = [...CPU_LIMITS]
  .map(([name, cpus]) => `[[settings.teams]]\nname = "${name}"\ncpus_max = ${cpus.toFixed(1)}`)
  .join('\n');

const CPUS_PER_TASK = 2;
/** Seconds after its submission at which a service is cancelled at the latest. */
const SERVICE_LIFETIME_S = 8;
const CANCELLED_SHARE = 0.25;
/** Share of the cancelled jobs that are cancelled soon after submission, and within how many seconds. */
const EARLY_CANCEL_SHARE = 0.6;
const EARLY_CANCEL_WITHIN_S = 1;
/** Number of rounds in a request burst; a burst queries all nodes right after a job is accepted or reaches a final state. */
const BURST_ROUNDS = 3;
/** Longest pause between a request burst and the cancellation that follows it, in seconds. */
const MAX_PAUSE_BEFORE_CANCEL_S = 0.5;
/** Pause between two rounds of a burst, in seconds. */
const BURST_ROUND_PAUSE_S = 0.003;
/** Maximum number of stages after the first job of a pipeline. */
const MAX_STAGES = 4;
/** Share of the pipelines whose last stage is submitted only when its dependencies have finished. */
const LATE_LAST_STAGE_SHARE = 0.2;
const CANCELLATION_TIMEOUT_S = 5 + 1;

/** The job state that an answer reports; null if it reports none and the request is to be repeated. */
function reportedState(response: Response): ReportedState | null {
  if (response.status === 404) return 'unknown';
  if (response.status === 400 || response.status === 422) return 'refused';
  if (response.status >= 300) return null;
  const { Status: status } = response.body as { Status?: string };
  return status === 'done' || status === 'cancelled' ? status : 'open';
}

/** Interface through which users send requests to the nodes. */
export interface ClientApi {
  call(node: string, method: string, path: string, body?: unknown): Promise<Response>;
}

export interface UserOptions {
  /** Number of tasks of a job, given the number drawn for it. */
  taskCountOf: (job: string, drawnTasks: number) => number;
  /** Fields of a submission besides those that are drawn for every job. */
  extraFields: (job: string) => Record<string, unknown>;
  nodeCount: number;
  /** Upper bound of the drawn number of tasks; the lower bound is 1. */
  maxTasks: number;
  /** Cancellation timeout promised to users plus the time that an answer needs to arrive, in seconds. */
  cancellationTimeout: number;
  cpuLimits: ReadonlyMap<string, number>;
  /** Current time in seconds, by the clock that the checker uses. */
  clock: () => number;
  /** Seconds between two rounds of queries about a job that was submitted `seconds` ago. */
  pollInterval: (seconds: number) => number;
  /** Share of the jobs with request bursts: queries at all nodes within milliseconds after each change of state. */
  closelyWatchedShare: number;
}

const DEFAULTS: UserOptions = {
  taskCountOf: (_, drawnTasks) => drawnTasks,
  extraFields: () => ({}),
  nodeCount: NODE_COUNT,
  maxTasks: 3,
  cancellationTimeout: CANCELLATION_TIMEOUT_S,
  cpuLimits: CPU_LIMITS,
  clock: () => performance.now() / 1000,
  pollInterval: () => 0.25,
  closelyWatchedShare: 0.5,
};

export class TrialUsers {
  readonly history: History;
  private readonly options: UserOptions;
  private readonly accepted = new Set<string>();
  private readonly finished = new Set<string>();
  /** Jobs whose user has requested their cancellation. */
  private readonly cancelRequested = new Set<string>();
  /** By job: sends a request burst to all nodes, when the job was just accepted or has reached a final state. */
  private readonly requestBursts = new Map<string, () => Promise<void>>();
  private readonly pendingBursts = new Set<Promise<void>>();
  /** When set, users send no further requests and answers are ignored. */
  isStopped = false;

  constructor(
    private readonly cluster: ClientApi,
    private readonly random: Random,
    options: Partial<UserOptions> = {},
  ) {
    this.options = { ...DEFAULTS, ...options };
    const { cancellationTimeout, clock } = this.options;
    this.history = new History(this.options.cpuLimits, cancellationTimeout, clock);
  }

  /** Number of accepted jobs, with the later stages of pipelines. */
  get acceptedCount(): number {
    return this.accepted.size;
  }

  /** Accepted jobs for which no node has reported a final state. */
  get unfinished(): string[] {
    return [...this.accepted].filter((id) => !this.finished.has(id));
  }

  private get nodes(): string[] {
    return Array.from({ length: this.options.nodeCount }, (_, index) => this.nodeAt(index));
  }

  private nodeAt(index: number): string {
    return `drone-${index % this.options.nodeCount}`;
  }

  private async sendRequest(
    id: string,
    node: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<ReportedState | null> {
    const request: JobRequest = { job: id, node, sentAt: this.options.clock() };
    try {
      const reported = reportedState(await this.cluster.call(node, method, path, body));
      if (reported === null || this.isStopped) return null;
      this.history.recordAnswer(request, this.options.clock(), reported);
      this.recordProgress(id, reported);
      return reported;
    } catch {
      return null;
    }
  }

  private recordProgress(id: string, reported: ReportedState): void {
    const isEnd = (reported === 'done' || reported === 'cancelled') && !this.finished.has(id);
    const isAcceptance = reported === 'open' && !this.accepted.has(id);
    if (reported === 'open') this.accepted.add(id);
    if (isEnd) this.finished.add(id);
    if (isEnd || isAcceptance) this.trackBurst(this.requestBursts.get(id)?.());
  }

  private trackBurst(burst: Promise<void> | undefined): void {
    if (burst === undefined) return;
    this.pendingBursts.add(burst);
    void burst.finally(() => this.pendingBursts.delete(burst));
  }

  /** Queries the job and repeats its submission (and cancellation, if it was cancelled) at all nodes at the same time. */
  private async sendBurst(id: string, body: unknown, hasCancelled: () => boolean): Promise<void> {
    const requests: Promise<unknown>[] = [];
    for (let round = 0; round < BURST_ROUNDS && !this.isStopped; round++) {
      for (const node of this.nodes) {
        requests.push(this.sendRequest(id, node, 'GET', `/v1/jobs/${id}`));
        requests.push(this.sendRequest(id, node, 'POST', '/v1/jobs', body));
        if (hasCancelled())
          requests.push(this.sendRequest(id, node, 'POST', `/v1/jobs/${id}/withdraw`));
      }
      await pause(BURST_ROUND_PAUSE_S);
    }
    await Promise.all(requests);
  }

  /** Submits a job, perhaps cancels it, and queries it until it ends; each step at several nodes within milliseconds. */
  async runUser(id: string, dependencies: string[] = []): Promise<void> {
    const draw = this.random();
    const team = draw < 0.6 ? 'crew' : 'guests';
    const drawnTasks = 1 + Math.floor(this.random() * this.options.maxTasks);
    const tasks = this.options.taskCountOf(id, drawnTasks);
    const drawnCancelDelay = this.random() < CANCELLED_SHARE ? this.drawCancelDelay() : Infinity;
    const first = Math.floor(this.random() * this.options.nodeCount);
    const work = { Owner: team, Pieces: tasks, Cores: CPUS_PER_TASK };
    const extra = this.options.extraFields(id);
    // A service ends only when its user cancels it.
    const isService = extra['Shape'] === 'daemon';
    const cancelAfter = isService
      ? Math.min(drawnCancelDelay, SERVICE_LIFETIME_S)
      : drawnCancelDelay;
    const body = submission(id, {
      ...extra,
      ...(dependencies.length === 0 ? work : { ...work, WaitsOn: dependencies }),
    });
    if (this.random() < this.options.closelyWatchedShare) {
      this.requestBursts.set(id, () =>
        this.sendBurst(id, body, () => this.cancelRequested.has(id)),
      );
    }
    const startedAt = performance.now();
    this.history.recordSubmission(id, {
      team,
      cpus: CPUS_PER_TASK,
      tasks,
      dependencies,
    });
    for (let index = first; !this.isStopped && !this.finished.has(id); index++) {
      const seconds = (performance.now() - startedAt) / 1000;
      const node = this.nodeAt(index);
      if (!this.accepted.has(id)) await this.sendRequest(id, node, 'POST', '/v1/jobs', body);
      else if (seconds > cancelAfter || this.cancelRequested.has(id)) {
        await this.startBurstBeforeCancel(id, cancelAfter);
        await this.requestCancel(id, node);
      }
      await this.queryAllNodes(id, body);
      await pause(this.options.pollInterval(seconds));
    }
    for (let again = 0; again < 3 && !this.isStopped; again++) {
      await this.queryAllNodes(id, body);
      await pause(0.5);
    }
    this.requestBursts.delete(id);
    await Promise.all(this.pendingBursts);
  }

  private async requestCancel(id: string, node: string): Promise<void> {
    this.history.recordCancelRequest(id);
    this.cancelRequested.add(id);
    await this.sendRequest(id, node, 'POST', `/v1/jobs/${id}/withdraw`);
  }

  /** Makes users cancel the latest `count` unfinished jobs now, each at a random node; users repeat it until it is confirmed. */
  cancelNow(count: number): void {
    const open = this.unfinished.filter((id) => !this.cancelRequested.has(id));
    for (const id of open.slice(-count)) {
      void this.requestCancel(id, this.nodeAt(Math.floor(this.random() * this.options.nodeCount)));
    }
  }

  /** Starts a burst whose requests may still be in flight when the cancellation is confirmed. */
  private async startBurstBeforeCancel(id: string, cancelAfter: number): Promise<void> {
    const burst = this.requestBursts.get(id);
    if (burst === undefined) return;
    this.trackBurst(burst());
    await pause(Number.isFinite(cancelAfter) ? cancelAfter % MAX_PAUSE_BEFORE_CANCEL_S : 0);
  }

  /** Draws the delay between submission and cancellation, in seconds. */
  private drawCancelDelay(): number {
    return this.random() * (this.random() < EARLY_CANCEL_SHARE ? EARLY_CANCEL_WITHIN_S : 4);
  }

  /** Queries every node about a job that is never submitted. */
  async queryUnknownJob(id: string): Promise<void> {
    this.history.recordNeverSubmitted(id);
    await Promise.all(
      this.nodes.map((node) => this.sendRequest(id, node, 'GET', `/v1/jobs/${id}`)),
    );
  }

  /** Runs a pipeline: each stage is submitted by a user of its own once its dependencies are accepted. */
  async runPipeline(first: string): Promise<void> {
    const stages = 1 + Math.floor(this.random() * MAX_STAGES);
    const isLate = this.random() < LATE_LAST_STAGE_SHARE;
    const submitted = [first];
    const users = [this.runUser(first)];
    for (let stage = 1; stage <= stages && !this.isStopped; stage++) {
      const dependencies = submitted.filter(
        (_, i) => i === submitted.length - 1 || this.random() < 0.3,
      );
      const allowsSubmission = (dependency: string): boolean =>
        this.finished.has(dependency) ||
        (this.accepted.has(dependency) && !(isLate && stage === stages));
      while (!this.isStopped && !dependencies.every(allowsSubmission)) await pause(0.05);
      const id = `${first}-${stage}`;
      submitted.push(id);
      users.push(this.runUser(id, dependencies));
    }
    await Promise.all(users);
  }

  private async queryAllNodes(id: string, body: unknown): Promise<void> {
    const questions = this.nodes.map((node) => this.sendRequest(id, node, 'GET', `/v1/jobs/${id}`));
    const repeated = this.accepted.has(id)
      ? [this.sendRequest(id, this.nodeAt(id.charCodeAt(id.length - 1)), 'POST', '/v1/jobs', body)]
      : [];
    await Promise.all([...questions, ...repeated]);
  }
}
