/**
 * One randomised trial: a few controllers on stand-ins, two teams at their limits, users who ask at all nodes at once,
 * repeat submissions and cancel, and faults that overlap. What is drawn depends on the seed alone; what happens also
 * depends on how the machine schedules the processes, so that a seed repeats its faults but not every interleaving.
 */
import { seededRandom, type Random } from '../../src/base/random.js';
import { Cluster, pause, type ClusterOptions } from '../support/cluster.js';
import type { History } from '../support/history.js';
import { FAULTS, NODE_COUNT, type Fault } from './faults.js';
import { JobArrivals } from './jobArrivals.js';
import { TEAM_SETTINGS, TrialUsers } from './trialUsers.js';

const MACHINES = 24;
/** Seconds in which faults are injected. */
const FAULT_PHASE_S = 12;
/** Seconds after that in which every job must reach its final state. */
const SETTLE_S = 30;
const JOBS_PER_S = 4;
/** Of the jobs, those that are the first of a pipeline. */
const PIPELINE_SHARE = 0.25;

export interface TrialResult {
  seed: number;
  submittedCount: number;
  history: History;
  /** Accepted jobs of which no final state was told in time. */
  unfinished: string[];
}

export class Trial {
  protected readonly random: Random;
  protected readonly cluster: Cluster;
  protected readonly users: TrialUsers;
  private readonly arrivals: JobArrivals;

  constructor(
    private readonly seed: number,
    options: Partial<ClusterOptions> = {},
    /** Fields that all submissions have beside those that are drawn. */
    extra: Record<string, unknown> = {},
  ) {
    this.random = seededRandom(seed);
    const lengths = seededRandom(seed + 1);
    this.cluster = new Cluster({
      nodes: NODE_COUNT,
      teams: TEAM_SETTINGS,
      workerLease: 4,
      stateWriteRate: 200,
      taskRunSeconds: () => 0.2 + lengths() * 1.5,
      ...options,
    });
    this.users = new TrialUsers(this.cluster, this.random, { extraFields: () => extra });
    this.arrivals = new JobArrivals(this.users, this.random, seed);
    this.cluster.cloud.capacity = MACHINES;
    this.cluster.cloud.taskObserver = this.users.history;
  }

  async run(): Promise<TrialResult> {
    try {
      await this.cluster.start();
      await this.runScenario();
      await this.arrivals.waitUntilFinished(SETTLE_S);
      const { unfinished, history } = this.users;
      return { seed: this.seed, submittedCount: this.arrivals.submittedCount, history, unfinished };
    } finally {
      this.users.isStopped = true;
      this.cluster.close();
      await this.arrivals.close();
    }
  }

  protected async runScenario(): Promise<void> {
    const faults = this.injectFaults(FAULT_PHASE_S);
    await this.submitFor(FAULT_PHASE_S, PIPELINE_SHARE);
    await faults;
  }

  /** Users come for a while; of their jobs so many are the first of a pipeline. */
  protected async submitFor(seconds: number, pipelineShare: number): Promise<void> {
    for (let job = 0; job < seconds * JOBS_PER_S; job++) {
      this.arrivals.submitNext(() => this.random() < pipelineShare);
      await this.arrivals.pauseUntilNext(JOBS_PER_S);
    }
  }

  /** Faults for a while, and their end. */
  protected async injectFaults(seconds: number, faults: readonly Fault[] = FAULTS): Promise<void> {
    const ends = performance.now() + seconds * 1000;
    const running: Promise<void>[] = [];
    while (performance.now() < ends) {
      const fault = faults[Math.floor(this.random() * faults.length)];
      const duration = 0.2 + this.random() * 3;
      if (fault !== undefined) running.push(fault(this.cluster, this.random, duration));
      await pause(0.3 + this.random() * 1.5);
    }
    await Promise.all(running);
    this.cluster.state.withholds = null;
    for (const label of this.nodeLabels) {
      if (!this.cluster.nodes.has(label)) await this.cluster.boot(label);
    }
  }

  protected get nodeLabels(): string[] {
    return Array.from({ length: NODE_COUNT }, (_, index) => `drone-${index}`);
  }
}

export const runTrial = (seed: number): Promise<TrialResult> => new Trial(seed).run();
