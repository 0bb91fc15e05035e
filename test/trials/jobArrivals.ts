/** Submits jobs one after another, each by a user of its own. Used by trials and soaks. */
import type { Random } from '../../src/base/random.js';
import { pause } from '../support/cluster.js';
import type { TrialUsers } from './trialUsers.js';

/** Range of job numbers reserved for each seed. */
const JOBS_PER_SEED = 1000;

export class JobArrivals {
  private readonly userSessions: Promise<void>[] = [];
  private jobCount = 0;

  constructor(
    private readonly users: TrialUsers,
    private readonly random: Random,
    private readonly seed: number,
  ) {}

  /** Number of submitted jobs, without the later stages of pipelines. */
  get submittedCount(): number {
    return this.jobCount;
  }

  /** Submits the next job, alone or as the first stage of a pipeline, and returns its id. */
  submitNext(beginsPipeline: (id: string) => boolean): string {
    const id = `wk-${String(this.seed * JOBS_PER_SEED + this.jobCount++).padStart(6, '0')}`;
    const session = beginsPipeline(id) ? this.users.runPipeline(id) : this.users.runUser(id);
    this.userSessions.push(session);
    return id;
  }

  /** Queries a job that is never submitted. */
  queryUnknownJob(id: string): void {
    this.userSessions.push(this.users.queryUnknownJob(id));
  }

  /** Pauses between two submissions, for 0.5 to 1.5 times the mean interval. */
  async pauseUntilNext(jobsPerSecond: number): Promise<void> {
    await pause((0.5 + this.random()) / jobsPerSecond);
  }

  /** Waits until all accepted jobs have reached a final state, for at most `seconds`. */
  async waitUntilFinished(seconds: number): Promise<void> {
    const deadline = performance.now() + seconds * 1000;
    while (performance.now() < deadline && this.users.unfinished.length > 0) await pause(0.2);
  }

  /** Resolves when all users have stopped; set `isStopped` of the users before. */
  async close(): Promise<void> {
    await Promise.allSettled(this.userSessions);
  }
}
