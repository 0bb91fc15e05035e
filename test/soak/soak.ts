/** Runs the soak of one seed: simulated users, injected faults, and the checker's verdict. */
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

/** Share of the array jobs that are the first stage of a pipeline. */
const PIPELINE_SHARE = 0.2;

/** Share of the submissions at which a user also queries a job that is never submitted. */
const UNKNOWN_JOB_SHARE = 0.1;

/** Interval at which the checker examines the running tasks, in seconds. */
const CHECK_INTERVAL_S = 0.5;

/**
 * Longest interval between queries about a job, in seconds. Links and users share a process: if the query rate did not fall
 * with a job's age, a backlog of jobs would slow the links until no lease could be renewed, and would never shrink.
 */
const MAX_POLL_INTERVAL_S = 2;

/** Time that an answer needs to arrive, in seconds. */
const ANSWER_TRAVEL_S = 1.5;

export interface SoakResult {
  seed: number;
  jobs: number;
  accepted: number;
  starts: number;
  /** Violated rules, unexpected exits of processes, and log lines that report a failure. */
  failures: string[];
  unfinished: string[];
}

export interface SoakOptions {
  size: SoakSize;
  /** Folder for settings, plan and logs, with one subfolder per seed. */
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
  private readonly faultInjector: FaultInjector;
  private readonly folder: string;
  private startCount = 0;

  constructor(
    private readonly seed: number,
    { size, outputFolder, logLevel }: SoakOptions,
  ) {
    this.plan = drawPlan(seed, size);
    this.random = seededRandom(seed + 1);
    this.folder = join(outputFolder, String(seed));
    this.cluster = new SoakCluster(this.plan, this.folder, this.log, logLevel, (event) => {
      this.onTaskEvent(event);
    });
    this.users = new TrialUsers(this.cluster, this.random, {
      extraFields: (job) => submissionFieldsOf(job, this.plan.lease),
      taskCountOf: (job, drawn) => taskCountOf(job, drawn, this.plan.mostTasks),
      nodeCount: this.plan.nodes.length,
      maxTasks: this.plan.mostTasks,
      cancellationTimeout: this.plan.cancel + ANSWER_TRAVEL_S,
      cpuLimits: new Map(Object.entries(this.plan.limits)),
      clock: hostMonotonicSeconds,
      pollInterval: (seconds) => Math.min(MAX_POLL_INTERVAL_S, 0.25 + seconds / 20),
    });
    this.arrivals = new JobArrivals(this.users, this.random, this.seed);
    this.log.onStartSent = (task) => {
      this.users.history.recordStartSent(task, hostMonotonicSeconds());
    };
    this.faultInjector = new FaultInjector(
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
    }, CHECK_INTERVAL_S * 1000);
    try {
      await this.cluster.start();
      const faults = this.faultInjector.injectAll();
      await this.submitJobs();
      await faults;
      await this.arrivals.waitUntilFinished(this.plan.settle);
      // Without the flush, the event that a task ended could arrive after the final check, which would report it as missing.
      await this.cluster.fleet.request({ kind: 'flush' });
      return this.makeResult();
    } catch (error) {
      this.writeRecords([`could not be played: ${String(error)}`], []);
      throw error;
    } finally {
      clearInterval(checks);
      this.close();
      await this.arrivals.close();
    }
  }

  /** Stops everything that was started; also called when the soak is interrupted. */
  close(): void {
    this.users.isStopped = true;
    this.faultInjector.stop();
    this.cluster.close();
  }

  private onTaskEvent({ kind, task, machine, at }: TaskEvent): void {
    const { history } = this.users;
    this.log.add('fleet', `task ${kind} ${task} ${machine}`);
    if (kind === 'started') {
      this.startCount++;
      history.onTaskStarted(task, machine, at);
    } else if (kind === 'done') history.onTaskCompleted(task, at);
    else history.onTaskTerminated(task, machine);
  }

  private async submitJobs(): Promise<void> {
    const { faultSeconds, jobsPerSecond } = this.plan;
    const deadline = performance.now() + faultSeconds * 1000;
    while (performance.now() < deadline) {
      const id = this.arrivals.submitNext(
        (job) => kindOfJob(job) === 'array' && this.random() < PIPELINE_SHARE,
      );
      if (this.random() < UNKNOWN_JOB_SHARE) this.arrivals.queryUnknownJob(`wk-9${id.slice(3)}`);
      await this.arrivals.pauseUntilNext(jobsPerSecond);
    }
  }

  private makeResult(): SoakResult {
    const { history, unfinished, acceptedCount } = this.users;
    history.checkAtEnd();
    const failures = [
      ...history.violations.map(({ rule, detail }) => `${rule}: ${detail}`),
      ...this.cluster.unexpectedExits.map((exit) => `ended unasked: ${exit}`),
      ...this.log.failures.map((line) => `logged: ${line}`),
    ];
    if (failures.length > 0 || unfinished.length > 0) this.writeRecords(failures, unfinished);
    return {
      seed: this.seed,
      jobs: this.arrivals.submittedCount,
      accepted: acceptedCount,
      starts: this.startCount,
      failures,
      unfinished,
    };
  }

  private writeRecords(broken: string[], unfinished: string[]): void {
    mkdirSync(this.folder, { recursive: true });
    writeFileSync(join(this.folder, 'plan.json'), `${JSON.stringify(this.plan, null, 2)}\n`);
    writeFileSync(join(this.folder, 'merged.log'), this.log.merged);
    const verdict = { broken, unfinished };
    writeFileSync(join(this.folder, 'verdict.json'), `${JSON.stringify(verdict, null, 2)}\n`);
  }
}
