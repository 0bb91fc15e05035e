/**
 * One rollout from an earlier version to this one with all features on, under faults: nodes are drained and replaced one
 * after the other while users come. Every third seed goes back when two of three are replaced; of the others every second
 * one has a node return with the earlier build once the level has risen, and then the level lowered.
 */
import type { RolloutStatus } from '@barrowlb/rollout';
import { rolloutPath } from '../../src/protocol/routes.js';
import { buildWithFeatures, pause, until, type Build } from '../support/cluster.js';
import { FEATURES, LARGE_JOB } from '../support/rolloutCluster.js';
import { FAULTS_WITHOUT_DUPLICATES, restart } from '../trials/faults.js';
import { Trial, type TrialResult } from '../trials/trial.js';

/** Seconds with the earlier version alone, between two replacements, and afterwards. */
const OLD_S = 2;
const STEP_S = 1.5;
const NEW_S = 6;
/** How long a drain may take while faults are injected; a node that is not drained by then is ended all the same. */
const DRAIN_S = 3;
/** Until the level must have changed once the faults are over. */
const LEVEL_S = 40;

/** As in the coming limits: most records of the trial are stored in fragments. */
const NEXT_LIMITS = 'value_kb = 2.0\ntxn_ops = 8';

export type RolloutKind = 'rolled back' | 'returned old' | 'upgraded';

export const rolloutKindOf = (seed: number): RolloutKind =>
  seed % 3 === 0 ? 'rolled back' : seed % 2 === 0 ? 'returned old' : 'upgraded';

export class RolloutTrial extends Trial {
  private readonly present = buildWithFeatures(FEATURES);

  constructor(
    private readonly kind: RolloutKind,
    seed: number,
    private readonly earlier: Build,
  ) {
    super(seed, { nextStateLimits: NEXT_LIMITS }, LARGE_JOB);
    for (const label of this.nodeLabels) this.cluster.builds.set(label, earlier);
  }

  protected override async runScenario(): Promise<void> {
    const duration = OLD_S + STEP_S * this.nodeLabels.length + NEW_S;
    const users = this.submitFor(duration, 0);
    await pause(OLD_S);
    const faults = this.injectFaults(STEP_S * this.nodeLabels.length, FAULTS_WITHOUT_DUPLICATES);
    const isBack = this.kind === 'rolled back';
    const replaced = isBack ? this.nodeLabels.slice(0, -1) : this.nodeLabels;
    for (const label of replaced) await this.replace(label, this.present);
    if (isBack) for (const label of replaced.reverse()) await this.replace(label, this.earlier);
    await faults;
    if (!isBack) await this.changeLevels();
    await users;
  }

  private async replace(label: string, build: Build): Promise<void> {
    const drain = this.cluster.nodes.get(label)?.controller.drain as
      { begin(): void; readonly isDone: boolean } | undefined;
    drain?.begin();
    const deadline = performance.now() + DRAIN_S * 1000;
    while (drain?.isDone === false && performance.now() < deadline) await pause(0.05);
    this.cluster.builds.set(label, build);
    await restart(this.cluster, label, 0.1 + this.random() * 0.4);
    await pause(STEP_S);
  }

  private async changeLevels(): Promise<void> {
    await this.untilLevel(3);
    if (this.kind !== 'returned old') return;
    const last = this.nodeLabels[this.nodeLabels.length - 1];
    this.cluster.builds.set(last, this.earlier);
    await restart(this.cluster, last, 0.05);
    await pause(STEP_S * 2);
    this.cluster.builds.set(last, this.present);
    await restart(this.cluster, last, 0.05);
    const body = { to: 2, by: 'trial', confirm: true };
    await until('the lowering is accepted', async () => {
      const answer = await this.cluster.call('drone-0', 'POST', `${rolloutPath}/lower`, body);
      return answer.status === 200;
    });
    await this.untilLevel(2);
  }

  private async untilLevel(level: number): Promise<void> {
    await until(
      `level ${level}`,
      async () => {
        const { status, body } = await this.cluster.call('drone-0', 'GET', rolloutPath);
        const { version } = body as RolloutStatus;
        return status === 200 && version.level === level && version.verified === version.proposal;
      },
      LEVEL_S,
    );
  }
}

export const runRolloutTrial = (seed: number, earlier: Build): Promise<TrialResult> =>
  new RolloutTrial(rolloutKindOf(seed), seed, earlier).run();
