/**
 * `npm run measure-rollout -- JOBS`: measures the effect of a rollout and of a record migration on users, on stand-ins. All
 * three controllers share one process, so the figures show the waits of the protocol, not processor time.
 */
import { performance } from 'node:perf_hooks';
import { rolloutPath } from '../../src/protocol/routes.js';
import { buildWithFeatures, pause, submission, until } from '../support/cluster.js';
import { FEATURES, LABELS, LARGE_JOB, RolloutCluster } from '../support/rolloutCluster.js';

const REPETITIONS = 3;
const PROBE_INTERVAL_S = 0.02;
/** Seconds between the end of a controller and its restart. */
const DOWNTIME_S = 0.5;
const build = buildWithFeatures(FEATURES);

/** Submits small jobs one after another to the nodes that are ready, and records when each was accepted and its latency. */
class SubmissionProbe {
  readonly accepted: number[] = [];
  readonly latencies: number[] = [];
  private isOver = false;
  private count = 0;
  private readonly running: Promise<void>;

  constructor(
    private readonly rollout: RolloutCluster,
    private readonly idPrefix: string,
  ) {
    this.running = this.run();
  }

  private async run(): Promise<void> {
    while (!this.isOver) {
      const label = LABELS[this.count++ % LABELS.length];
      const startedAt = performance.now();
      try {
        const ready = await this.rollout.cluster.call(label, 'GET', '/ready');
        if (ready.status === 200) await this.submit(label, startedAt);
      } catch {
        // The node is down; the next round tries the next node.
      }
      await pause(PROBE_INTERVAL_S);
    }
  }

  private async submit(label: string, startedAt: number): Promise<void> {
    const id = `wk-${this.idPrefix}-${this.count}`;
    const body = submission(id, { Pieces: 1, Cores: 0.1, MemoryGb: 0.1 });
    const { status } = await this.rollout.cluster.call(label, 'POST', '/v1/jobs', body);
    if (status !== 201) return;
    this.accepted.push(performance.now());
    this.latencies.push(performance.now() - startedAt);
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await this.running;
  }
}

const longestGap = (times: number[]): number =>
  Math.max(0, ...times.slice(1).map((time, i) => time - (times[i] ?? time))) / 1000;

const percentile = (sorted: number[], quantile: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN;

const summarizeLatencies = (latencies: number[]): string => {
  const sorted = [...latencies].sort((a, b) => a - b);
  return `p50 ${percentile(sorted, 0.5).toFixed(1)} ms, p99 ${percentile(sorted, 0.99).toFixed(1)} ms of ${sorted.length}`;
};

async function measureReplacements(isDrained: boolean): Promise<void> {
  const acceptanceGaps: number[] = [];
  const startGaps: number[] = [];
  for (let i = 0; i < REPETITIONS; i++) {
    const rollout = new RolloutCluster(build);
    const started: number[] = [];
    rollout.cluster.cloud.taskObserver = {
      onTaskStarted: () => started.push(performance.now()),
      onTaskTerminated: () => undefined,
      onTaskCompleted: () => undefined,
    };
    try {
      await rollout.start();
      await rollout.waitForLevel(3);
      const probe = new SubmissionProbe(rollout, `r${i}`);
      await pause(4);
      for (const label of LABELS) {
        const from = performance.now();
        if (isDrained) await rollout.drain(label);
        rollout.cluster.crash(label);
        await pause(DOWNTIME_S);
        await rollout.restart(label, build);
        await pause(2);
        acceptanceGaps.push(longestGap(probe.accepted.filter((time) => time >= from)));
        startGaps.push(longestGap(started.filter((time) => time >= from)));
      }
      await probe.stop();
    } finally {
      await rollout.close();
    }
  }
  const summarizeGaps = (gaps: number[]): string =>
    `median ${percentile(
      [...gaps].sort((a, b) => a - b),
      0.5,
    ).toFixed(2)} s, most ${Math.max(...gaps).toFixed(2)} s`;
  console.log(
    `${isDrained ? 'with' : 'without'} drain, ${acceptanceGaps.length} controllers replaced:`,
  );
  console.log(`  longest gap of accepted submissions: ${summarizeGaps(acceptanceGaps)}`);
  console.log(`  longest gap of starts: ${summarizeGaps(startGaps)}`);
}

async function measureMigration(jobs: number): Promise<void> {
  const rollout = new RolloutCluster(build, { stateWriteRate: 400 });
  const { cluster } = rollout;
  try {
    cluster.builds.set('drone-2', buildWithFeatures([]));
    cluster.cloud.capacity = 0;
    await rollout.start();
    const hold = { by: 'measurement', reason: 'jobs come first' };
    await until('the hold is stored', async () => {
      const { status } = await cluster.call('drone-0', 'POST', `${rolloutPath}/hold`, hold);
      return status === 200;
    });
    await rollout.restart('drone-2', build);
    let sent = 0;
    const submitter = async (): Promise<void> => {
      while (sent < jobs) {
        const id = `wk-m-${sent++}`;
        const body = submission(id, { ...LARGE_JOB, Pieces: 2 });
        await until(`${id} is accepted`, async () => {
          const { status } = await cluster.call(LABELS[sent % 3], 'POST', '/v1/jobs', body);
          return status === 201 || status === 200;
        });
      }
    };
    await Promise.all(Array.from({ length: 24 }, submitter));
    await pause(5);
    const probeBefore = new SubmissionProbe(rollout, 'quiet');
    await pause(5);
    await probeBefore.stop();
    const { fragments } = rollout.recordCounts;
    const writes = cluster.state.writeCount;
    const startedAt = performance.now();
    const probe = new SubmissionProbe(rollout, 'busy');
    await cluster.call('drone-0', 'POST', `${rolloutPath}/finalize`, {});
    await rollout.waitForLevel(3, 'drone-0', 400);
    const seconds = (performance.now() - startedAt) / 1000;
    await probe.stop();
    const { compressed } = rollout.recordCounts;
    const changes = cluster.state.writeCount - writes;
    console.log(
      `migration with ${jobs} jobs: ${fragments} fragments before, ${compressed} compressed records after`,
    );
    console.log(`  ${seconds.toFixed(1)} s, ${changes} changes of the store, the probe's included`);
    console.log(
      `  submissions before: ${summarizeLatencies(probeBefore.latencies)}; meanwhile: ${summarizeLatencies(probe.latencies)}`,
    );
  } finally {
    await rollout.close();
  }
}

const [jobs = 2000] = process.argv.slice(2).map(Number);
await measureReplacements(true);
await measureReplacements(false);
await measureMigration(jobs);
process.exit(0);
