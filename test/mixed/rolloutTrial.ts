/**
 * Trial of a rollout from an earlier version to the current one with all features on, under faults: nodes are drained and
 * replaced one after another while users submit jobs. Every third seed rolls back when two of three nodes are replaced. Of
 * the other seeds, every second one restarts a node with the earlier build after the level has risen, then lowers the level.
 */
import type { RolloutStatus } from '@barrowlb/rollout';
import { rolloutPath } from '../../src/protocol/routes.js';
import { buildWithFeatures, pause, until, type Build } from '../support/cluster.js';
import { FEATURES, LARGE_JOB } from '../support/rolloutCluster.js';
import { FAULTS_WITHOUT_DUPLICATES, restart } from '../trials/faults.js';
import { Trial, type TrialResult } from '../trials/trial.js';

/** Seconds with the earlier version alone, between two replacements, and after the last one. */
const EARLIER_ONLY_S = 2;
const REPLACEMENT_INTERVAL_S = 1.5;
const REPLACED_S = 6;
/** Timeout of a drain while faults are injected, in seconds; a node that is not drained by then is restarted anyway. */
const DRAIN_TIMEOUT_S = 3;
/** Seconds within which the level must change once the faults are over. */
const LEVEL_TIMEOUT_S = 40;

/** The announced lower limits, so small that most records of the trial are stored in fragments. */
const NEXT_LIMITS_SETTINGS = 'value_kb = 2.0\ntxn_ops = 8';

export type RolloutKind = 'rolled back' | 'returned old' | 'upgraded';

export const rolloutKindOf = (seed: number): RolloutKind =>
  seed % 3 === 0 ? 'rolled back' : seed % 2 === 0 ? 'returned old' : 'upgraded';

export class RolloutTrial extends Trial {
  private readonly currentBuild = buildWithFeatures(FEATURES);

  constructor(
    private readonly kind: RolloutKind,
    seed: number,
    private readonly earlierBuild: Build,
  ) {
    super(seed, { nextStateLimits: NEXT_LIMITS_SETTINGS }, LARGE_JOB);
    for (const label of this.nodeLabels) this.cluster.builds.set(label, earlierBuild);
  }

  protected override async runScenario(): Promise<void> {
    const duration = EARLIER_ONLY_S + REPLACEMENT_INTERVAL_S * this.nodeLabels.length + REPLACED_S;
    const users = this.submitFor(duration, 0);
    await pause(EARLIER_ONLY_S);
    const faults = this.injectFaults(
      REPLACEMENT_INTERVAL_S * this.nodeLabels.length,
      FAULTS_WITHOUT_DUPLICATES,
    );
    const isRolledBack = this.kind === 'rolled back';
    const replaced = isRolledBack ? this.nodeLabels.slice(0, -1) : this.nodeLabels;
    for (const label of replaced) await this.replace(label, this.currentBuild);
    if (isRolledBack)
      for (const label of replaced.reverse()) await this.replace(label, this.earlierBuild);
    await faults;
    if (!isRolledBack) await this.changeLevels();
    await users;
  }

  private async replace(label: string, build: Build): Promise<void> {
    const drain = this.cluster.nodes.get(label)?.controller.drain as
      { begin(): void; readonly isDone: boolean } | undefined;
    drain?.begin();
    const deadline = performance.now() + DRAIN_TIMEOUT_S * 1000;
    while (drain?.isDone === false && performance.now() < deadline) await pause(0.05);
    this.cluster.builds.set(label, build);
    await restart(this.cluster, label, 0.1 + this.random() * 0.4);
    await pause(REPLACEMENT_INTERVAL_S);
  }

  private async changeLevels(): Promise<void> {
    await this.waitForLevel(3);
    if (this.kind !== 'returned old') return;
    const last = this.nodeLabels[this.nodeLabels.length - 1];
    this.cluster.builds.set(last, this.earlierBuild);
    await restart(this.cluster, last, 0.05);
    await pause(REPLACEMENT_INTERVAL_S * 2);
    this.cluster.builds.set(last, this.currentBuild);
    await restart(this.cluster, last, 0.05);
    const body = { to: 2, by: 'trial', confirm: true };
    await until('the lowering is accepted', async () => {
      const answer = await this.cluster.call('drone-0', 'POST', `${rolloutPath}/lower`, body);
      return answer.status === 200;
    });
    await this.waitForLevel(2);
  }

  private async waitForLevel(level: number): Promise<void> {
    await until(
      `level ${level}`,
      async () => {
        const { status, body } = await this.cluster.call('drone-0', 'GET', rolloutPath);
        const { version } = body as RolloutStatus;
        return status === 200 && version.level === level && version.verified === version.proposal;
      },
      LEVEL_TIMEOUT_S,
    );
  }
}

export const runRolloutTrial = (seed: number, earlierBuild: Build): Promise<TrialResult> =>
  new RolloutTrial(rolloutKindOf(seed), seed, earlierBuild).run();
