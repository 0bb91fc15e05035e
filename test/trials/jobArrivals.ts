/** Jobs that arrive one after the other, each with a user of its own; trials and soaks have them in common. */
import type { Random } from '../../src/base/random.js';
import { pause } from '../support/cluster.js';
import type { TrialUsers } from './trialUsers.js';

/** Numbers of jobs that one seed may use. */
const JOBS_PER_SEED = 1000;

export class JobArrivals {
  private readonly userSessions: Promise<void>[] = [];
  private count = 0;

  constructor(
    private readonly users: TrialUsers,
    private readonly random: Random,
    private readonly seed: number,
  ) {}

  /** How many jobs have arrived; the later stages of pipelines are not counted. */
  get submittedCount(): number {
    return this.count;
  }

  /** Submits the next job, as the first of a pipeline or by itself; its id. */
  submitNext(beginsPipeline: (id: string) => boolean): string {
    const id = `wk-${String(this.seed * JOBS_PER_SEED + this.count++).padStart(6, '0')}`;
    const session = beginsPipeline(id) ? this.users.runPipeline(id) : this.users.runUser(id);
    this.userSessions.push(session);
    return id;
  }

  /** Asks for a job that nobody submits. */
  queryUnknownJob(id: string): void {
    this.userSessions.push(this.users.queryUnknownJob(id));
  }

  /** Pauses until the next job, for half to one and a half times the mean. */
  async pauseUntilNext(jobsPerSecond: number): Promise<void> {
    await pause((0.5 + this.random()) / jobsPerSecond);
  }

  /** Waits until all accepted jobs are over, for so many seconds at the most. */
  async waitUntilFinished(seconds: number): Promise<void> {
    const deadline = performance.now() + seconds * 1000;
    while (performance.now() < deadline && this.users.unfinished.length > 0) await pause(0.2);
  }

  /** Resolves when no user asks any more; the users have been told to stop by then. */
  async close(): Promise<void> {
    await Promise.allSettled(this.userSessions);
  }
}
