/**
 * What users notice of a rollout and of a migration, on stand-ins: `npm run measure-rollout -- JOBS`. Three controllers in
 * one process, so that the figures are of the protocol's waits, not of processors.
 */
import { performance } from 'node:perf_hooks';
import { rolloutPath } from '../../src/protocol/routes.js';
import { buildWithFeatures, pause, submission, until } from '../support/cluster.js';
import { FEATURES, LABELS, LARGE_JOB, RolloutCluster } from '../support/rolloutCluster.js';

const REPETITIONS = 3;
const PROBE_S = 0.02;
/** How long a controller that is ended stays away. */
const AWAY_S = 0.5;
const build = buildWithFeatures(FEATURES);

/** Submits small jobs at whatever node is ready, one after the other, and notes when one was accepted. */
class Probe {
  readonly accepted: number[] = [];
  readonly latencies: number[] = [];
  private isOver = false;
  private count = 0;
  private readonly running: Promise<void>;

  constructor(
    private readonly rollout: RolloutCluster,
    private readonly series: string,
  ) {
    this.running = this.run();
  }

  private async run(): Promise<void> {
    while (!this.isOver) {
      const label = LABELS[this.count++ % LABELS.length];
      const began = performance.now();
      try {
        const ready = await this.rollout.cluster.call(label, 'GET', '/ready');
        if (ready.status === 200) await this.submit(label, began);
      } catch {
        // It is down: the next one.
      }
      await pause(PROBE_S);
    }
  }

  private async submit(label: string, began: number): Promise<void> {
    const id = `wk-${this.series}-${this.count}`;
    const body = submission(id, { Pieces: 1, Cores: 0.1, MemoryGb: 0.1 });
    const { status } = await this.rollout.cluster.call(label, 'POST', '/v1/jobs', body);
    if (status !== 201) return;
    this.accepted.push(performance.now());
    this.latencies.push(performance.now() - began);
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await this.running;
  }
}

const longestGap = (times: number[]): number =>
  Math.max(0, ...times.slice(1).map((time, i) => time - (times[i] ?? time))) / 1000;

const share = (sorted: number[], part: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;

const summary = (latencies: number[]): string => {
  const sorted = [...latencies].sort((a, b) => a - b);
  return `p50 ${share(sorted, 0.5).toFixed(1)} ms, p99 ${share(sorted, 0.99).toFixed(1)} ms of ${sorted.length}`;
};

async function measureReplacements(isDrained: boolean): Promise<void> {
  const answers: number[] = [];
  const starts: number[] = [];
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
      const probe = new Probe(rollout, `r${i}`);
      await pause(4);
      for (const label of LABELS) {
        const from = performance.now();
        if (isDrained) await rollout.drain(label);
        rollout.cluster.crash(label);
        await pause(AWAY_S);
        await rollout.restart(label, build);
        await pause(2);
        answers.push(longestGap(probe.accepted.filter((time) => time >= from)));
        starts.push(longestGap(started.filter((time) => time >= from)));
      }
      await probe.stop();
    } finally {
      await rollout.close();
    }
  }
  const told = (gaps: number[]): string =>
    `median ${share(
      [...gaps].sort((a, b) => a - b),
      0.5,
    ).toFixed(2)} s, most ${Math.max(...gaps).toFixed(2)} s`;
  console.log(`${isDrained ? 'with' : 'without'} drain, ${answers.length} controllers replaced:`);
  console.log(`  longest gap of accepted submissions: ${told(answers)}`);
  console.log(`  longest gap of starts: ${told(starts)}`);
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
    const quiet = new Probe(rollout, 'quiet');
    await pause(5);
    await quiet.stop();
    const { fragments } = rollout.recordCounts;
    const writes = cluster.state.writeCount;
    const began = performance.now();
    const probe = new Probe(rollout, 'busy');
    await cluster.call('drone-0', 'POST', `${rolloutPath}/finalize`, {});
    await rollout.waitForLevel(3, 'drone-0', 400);
    const seconds = (performance.now() - began) / 1000;
    await probe.stop();
    const { compressed } = rollout.recordCounts;
    const changes = cluster.state.writeCount - writes;
    console.log(
      `migration with ${jobs} jobs: ${fragments} fragments before, ${compressed} compressed records after`,
    );
    console.log(`  ${seconds.toFixed(1)} s, ${changes} changes of the store, the probe's included`);
    console.log(
      `  submissions before: ${summary(quiet.latencies)}; meanwhile: ${summary(probe.latencies)}`,
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
