/**
 * One randomized trial: controllers on stand-ins, two teams at their limits, users who query all nodes at the same time,
 * repeat submissions and cancel, and overlapping faults. All random draws depend on the seed alone, but the interleaving also
 * depends on how the host schedules the work: a seed repeats its faults, not every interleaving.
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
/** Seconds after the fault phase within which every job must reach its final state. */
const FINISH_TIMEOUT_S = 30;
const JOBS_PER_SECOND = 4;
/** Share of the jobs that are the first stage of a pipeline. */
const PIPELINE_SHARE = 0.25;

export interface TrialResult {
  seed: number;
  submittedCount: number;
  history: History;
  /** Accepted jobs for which no node reported a final state in time. */
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
    /** Fields of every submission besides those that are drawn. */
    extraFields: Record<string, unknown> = {},
  ) {
    this.random = seededRandom(seed);
    const runTimeRandom = seededRandom(seed + 1);
    this.cluster = new Cluster({
      nodes: NODE_COUNT,
      teams: TEAM_SETTINGS,
      workerLease: 4,
      stateWriteRate: 200,
      taskRunSeconds: () => 0.2 + runTimeRandom() * 1.5,
      ...options,
    });
    this.users = new TrialUsers(this.cluster, this.random, { extraFields: () => extraFields });
    this.arrivals = new JobArrivals(this.users, this.random, seed);
    this.cluster.cloud.capacity = MACHINES;
    this.cluster.cloud.taskObserver = this.users.history;
  }

  async run(): Promise<TrialResult> {
    try {
      await this.cluster.start();
      await this.runScenario();
      await this.arrivals.waitUntilFinished(FINISH_TIMEOUT_S);
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

  /** Submits jobs for `seconds`; `pipelineShare` of them are the first stage of a pipeline. */
  protected async submitFor(seconds: number, pipelineShare: number): Promise<void> {
    for (let job = 0; job < seconds * JOBS_PER_SECOND; job++) {
      this.arrivals.submitNext(() => this.random() < pipelineShare);
      await this.arrivals.pauseUntilNext(JOBS_PER_SECOND);
    }
  }

  /** Injects faults for `seconds`, waits until they are over, and boots the nodes that are still down. */
  protected async injectFaults(seconds: number, faults: readonly Fault[] = FAULTS): Promise<void> {
    const deadline = performance.now() + seconds * 1000;
    const running: Promise<void>[] = [];
    while (performance.now() < deadline) {
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
