/** Plays one seed: users, faults, and what the checker says of it. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { seededRandom, type Random } from '../../src/base/random.js';
import { JobArrivals } from '../trials/jobArrivals.js';
import { TrialUsers } from '../trials/trialUsers.js';
import { submissionFieldsOf, kindOfJob, taskCountOf } from './jobKinds.js';
import { hostMonotonicSeconds, type TaskEvent } from './messages.js';
import { drawPlan, type SoakPlan, type SoakSize } from './plan.js';
import { SoakCluster } from './soakCluster.js';
import { SoakLog } from './soakLog.js';
import { FaultInjector } from './faultInjection.js';

/** Of the jobs that may begin one, those that are the first of a pipeline. */
const PIPELINE_SHARE = 0.2;

/** Of the jobs, those at which somebody also asks for one that nobody submits. */
const UNKNOWN_SHARE = 0.1;

/** How often the checker looks at what runs, in seconds. */
const CHECK_S = 0.5;

/**
 * The longest pause between questions about a job, in seconds. Links and users share a process: were all questions asked as
 * often as at first, a backlog of jobs would slow the links until no lease could be renewed, and never go away.
 */
const MOST_PAUSE_S = 2;

/** Time for an answer to arrive, in seconds. */
const ANSWER_S = 1.5;

export interface SoakResult {
  seed: number;
  jobs: number;
  accepted: number;
  starts: number;
  /** Broken rules, processes that ended, lines that must not be logged. */
  failures: string[];
  unfinished: string[];
}

export interface SoakOptions {
  size: SoakSize;
  /** Where settings, plan and logs are kept. */
  outputFolder: string;
  logLevel: string;
}

export class Soak {
  private readonly plan: SoakPlan;
  private readonly log = new SoakLog();
  private readonly random: Random;
  private readonly cluster: SoakCluster;
  private readonly users: TrialUsers;
  private readonly arrivals: JobArrivals;
  private readonly faults: FaultInjector;
  private readonly folder: string;
  private starts = 0;

  constructor(
    private readonly seed: number,
    { size, outputFolder: folder, logLevel }: SoakOptions,
  ) {
    this.plan = drawPlan(seed, size);
    this.random = seededRandom(seed + 1);
    this.folder = join(folder, String(seed));
    this.cluster = new SoakCluster(this.plan, this.folder, this.log, logLevel, (event) => {
      this.hear(event);
    });
    this.users = new TrialUsers(this.cluster, this.random, {
      extraFields: (job) => submissionFieldsOf(job, this.plan.lease),
      taskCountOf: (job, drawn) => taskCountOf(job, drawn, this.plan.mostTasks),
      nodeCount: this.plan.nodes.length,
      maxTasks: this.plan.mostTasks,
      cancellationTimeout: this.plan.cancel + ANSWER_S,
      cpuLimits: new Map(Object.entries(this.plan.limits)),
      clock: hostMonotonicSeconds,
      pollInterval: (seconds) => Math.min(MOST_PAUSE_S, 0.25 + seconds / 20),
    });
    this.arrivals = new JobArrivals(this.users, this.random, this.seed);
    this.log.onStartSent = (task) => {
      this.users.history.recordStartSent(task, hostMonotonicSeconds());
    };
    this.faults = new FaultInjector(
      this.cluster,
      this.plan,
      (text) => {
        this.log.add('soak', text);
      },
      (jobs) => {
        this.users.cancelNow(jobs);
      },
    );
  }

  async run(): Promise<SoakResult> {
    const checks = setInterval(() => {
      this.users.history.checkRunningTasks(hostMonotonicSeconds());
    }, CHECK_S * 1000);
    try {
      await this.cluster.start();
      const faults = this.faults.injectAll();
      await this.submit();
      await faults;
      await this.arrivals.waitUntilFinished(this.plan.settle);
      // Else a task's end may be told only after it was missed.
      await this.cluster.fleet.request({ kind: 'flush' });
      return this.result();
    } catch (error) {
      this.keep([`could not be played: ${String(error)}`], []);
      throw error;
    } finally {
      clearInterval(checks);
      this.close();
      await this.arrivals.close();
    }
  }

  /** Ends everything that was started; also when the soak is given up. */
  close(): void {
    this.users.isStopped = true;
    this.faults.stop();
    this.cluster.close();
  }

  private hear({ kind, task, machine, at }: TaskEvent): void {
    const { history } = this.users;
    this.log.add('fleet', `task ${kind} ${task} ${machine}`);
    if (kind === 'started') {
      this.starts++;
      history.onTaskStarted(task, machine, at);
    } else if (kind === 'done') history.onTaskCompleted(task, at);
    else history.onTaskTerminated(task, machine);
  }

  private async submit(): Promise<void> {
    const { faultSeconds, jobsPerSecond } = this.plan;
    const ends = performance.now() + faultSeconds * 1000;
    while (performance.now() < ends) {
      const id = this.arrivals.submitNext(
        (job) => kindOfJob(job) === 'array' && this.random() < PIPELINE_SHARE,
      );
      if (this.random() < UNKNOWN_SHARE) this.arrivals.queryUnknownJob(`wk-9${id.slice(3)}`);
      await this.arrivals.pauseUntilNext(jobsPerSecond);
    }
  }

  private result(): SoakResult {
    const { history, unfinished, acceptedCount } = this.users;
    history.checkAtEnd();
    const broken = [
      ...history.violations.map(({ rule, detail }) => `${rule}: ${detail}`),
      ...this.cluster.unexpectedExits.map((how) => `ended unasked: ${how}`),
      ...this.log.failures.map((line) => `logged: ${line}`),
    ];
    if (broken.length > 0 || unfinished.length > 0) this.keep(broken, unfinished);
    return {
      seed: this.seed,
      jobs: this.arrivals.submittedCount,
      accepted: acceptedCount,
      starts: this.starts,
      failures: broken,
      unfinished,
    };
  }

  private keep(broken: string[], unfinished: string[]): void {
    mkdirSync(this.folder, { recursive: true });
    writeFileSync(join(this.folder, 'plan.json'), `${JSON.stringify(this.plan, null, 2)}\n`);
    writeFileSync(join(this.folder, 'merged.log'), this.log.merged);
    const verdict = { broken, unfinished };
    writeFileSync(join(this.folder, 'verdict.json'), `${JSON.stringify(verdict, null, 2)}\n`);
  }
}
