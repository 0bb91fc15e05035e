/** Three controllers with users who submit jobs all the time; future limits so small that large jobs do not fit one record. */
import type { RolloutStatus } from '@barrowlb/rollout';
import { seededRandom } from '../../src/base/random.js';
import { rolloutPath } from '../../src/protocol/routes.js';
import { BARRIER_KEY } from '../../src/storage/records.js';
import { NODE_COUNT } from '../trials/faults.js';
import { TEAM_SETTINGS, TrialUsers } from '../trials/trialUsers.js';
import { Cluster, pause, currentBuild, until, type Build, type ClusterOptions } from './cluster.js';

export const FEATURES = ['rollout', 'compressed-records'];
export const LABELS = Array.from({ length: NODE_COUNT }, (_, index) => `drone-${index}`);

/** The longest name, of characters that take six bytes each in JSON. */
const LONGEST_NAME = '\u0001'.repeat(256);

/** Fields of a job whose names make its description larger than one record. */
export const LARGE_JOB = { Jobclass: LONGEST_NAME, Bundle: LONGEST_NAME };
const LIMITS = { valueBytes: 2048, txnOps: 8 };

export class RolloutCluster {
  readonly cluster: Cluster;
  readonly users: TrialUsers;
  private readonly userSessions: Promise<void>[] = [];
  private isSubmitting = true;
  private readonly random = seededRandom(5);
  private submittedCount = 0;

  constructor(build: Build = currentBuild, options: Partial<ClusterOptions> = {}) {
    const taskRandom = seededRandom(6);
    this.cluster = new Cluster({
      nodes: NODE_COUNT,
      teams: TEAM_SETTINGS,
      workerLease: 6,
      taskRunSeconds: () => 0.2 + taskRandom(),
      nextStateLimits: `value_kb = ${(LIMITS.valueBytes / 1024).toFixed(1)}\ntxn_ops = ${LIMITS.txnOps}`,
      ...options,
    });
    for (const label of LABELS) this.cluster.builds.set(label, build);
    this.users = new TrialUsers(this.cluster, this.random, { extraFields: () => LARGE_JOB });
    this.cluster.cloud.taskObserver = this.users.history;
  }

  async start(): Promise<void> {
    await this.cluster.start();
    await until('all lead their shards', () => LABELS.every((label) => this.leadsItsShard(label)));
  }

  /** Submits jobs until `finishJobs` or `close` is called. */
  async submitJobs(): Promise<void> {
    while (this.isSubmitting) {
      const id = `wk-${String(500_000 + this.submittedCount++)}`;
      this.userSessions.push(this.users.runUser(id));
      await pause(0.15 + this.random() * 0.2);
    }
  }

  /** Stops the submissions, and waits until all jobs have finished or are cancelled. */
  async finishJobs(): Promise<void> {
    this.isSubmitting = false;
    await until('all jobs are over', () => this.users.unfinished.length === 0, 30);
  }

  async close(): Promise<void> {
    this.isSubmitting = false;
    this.users.isStopped = true;
    this.cluster.close();
    await Promise.allSettled(this.userSessions);
  }

  /** Drains a node, stops it, and starts another build in its place. */
  async replace(label: string, build: Build): Promise<void> {
    await this.drain(label);
    await this.restart(label, build);
  }

  async drain(label: string): Promise<void> {
    const drain = this.cluster.nodes.get(label)?.controller.drain;
    drain?.begin();
    await until(`${label} is drained`, () => drain?.isDone === true);
  }

  async restart(label: string, build: Build): Promise<void> {
    const { cluster } = this;
    cluster.crash(label);
    cluster.builds.set(label, build);
    await cluster.boot(label);
    await until(`${label} has its shard back`, () => this.leadsItsShard(label));
  }

  leadsItsShard(label: string): boolean {
    return this.cluster.nodes.get(label)?.controller.ownedShards.has(label) === true;
  }

  async status(label = 'drone-0'): Promise<RolloutStatus> {
    const { status, body } = await this.cluster.call(label, 'GET', rolloutPath);
    if (status !== 200) throw new Error(`status ${status}`);
    return body as RolloutStatus;
  }

  /** Waits until the level is reached and no record is left in another form. */
  async waitForLevel(level: number, label = 'drone-0', seconds = 30): Promise<void> {
    await until(
      `level ${level} is verified`,
      async () => {
        const { version } = await this.status(label);
        return (
          version.level === level &&
          version.phase === 'steady' &&
          version.verified === version.proposal
        );
      },
      seconds,
    );
  }

  /** Counts stored records by form. */
  get recordCounts(): { fragments: number; compressed: number; hasBarrier: boolean } {
    const rows = [...this.cluster.state.rows.entries()];
    const isCompressed = (value: unknown): boolean => (value as { v?: number } | null)?.v === 3;
    return {
      fragments: rows.filter(([key]) => key.startsWith('b/piece/')).length,
      compressed: rows.filter(([, { value }]) => isCompressed(value)).length,
      hasBarrier: this.cluster.state.rows.has(BARRIER_KEY),
    };
  }
}
