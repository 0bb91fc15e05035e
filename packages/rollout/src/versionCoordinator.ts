/**
 * Advances the cluster's version according to the levels that its nodes publish. Only the holder of the leader lease acts,
 * and every change is conditional on the key of that lease, so that a former holder that resumes late changes nothing.
 */
import { rolloutKeys, type ClusterVersion } from './records.js';
import {
  applyChange,
  type ChangeOutcome,
  type Condition,
  type RecordCache,
  type RecordStore,
} from './store.js';
import {
  planVersion,
  type ClusterSnapshot,
  type Decision,
  type PlanOptions,
} from './versionPlan.js';

/** The lease whose holder may change the version. */
export interface LeaderLease {
  /** The key of the lease with its revision while this node holds it; null if this node does not hold it. */
  condition(): Condition | null;
  /** The fencing token, greater than that of every earlier holder. */
  readonly token: number;
}

/** Dependencies of a coordinator on its node. */
export interface CoordinatorOptions extends PlanOptions {
  barrierKey: string;
  /** Reads the store and returns the keys of records that are not in the form of the version's level. */
  findOutdatedRecords: (version: ClusterVersion) => Promise<string[]>;
  log: (line: string) => void;
}

/** The outcome of a step; for logs and tests. */
export type StepResult = Decision['kind'] | 'not-leader' | ChangeOutcome['kind'];

/** Plans and stores the next change of the version. It runs on every node and acts only on the lease holder. */
export class VersionCoordinator {
  private isBusy = false;

  constructor(
    private readonly store: RecordStore,
    private readonly cache: Pick<RecordCache, 'applyPut'>,
    private readonly lease: LeaderLease,
    private readonly snapshot: () => ClusterSnapshot,
    private readonly options: CoordinatorOptions,
  ) {}

  /** Executes one step; does nothing if another step is in progress. */
  async step(): Promise<StepResult> {
    if (this.isBusy) return 'none';
    this.isBusy = true;
    try {
      return await this.advance();
    } finally {
      this.isBusy = false;
    }
  }

  private async advance(): Promise<StepResult> {
    const lease = this.lease.condition();
    const snapshot = this.snapshot();
    // A version record with a greater token comes from a later holder: this node has lost the lease, even if unnoticed.
    if (lease === null || snapshot.version.token > this.lease.token) return 'not-leader';
    const decision = planVersion(snapshot, this.options);
    if (decision.kind === 'verify') return this.verify(lease, snapshot);
    if (decision.kind !== 'change') return decision.kind;
    const { change, transition } = decision;
    const version = { ...change.version, token: this.lease.token };
    const puts = [{ key: rolloutKeys.version, value: version as unknown }];
    const deletes: string[] = [];
    if (change.barrier === null) deletes.push(this.options.barrierKey);
    else if (change.barrier !== undefined) {
      puts.push({ key: this.options.barrierKey, value: change.barrier });
    }
    const outcome = await applyChange(this.store, this.cache, {
      conditions: [lease, ...change.conditions],
      puts,
      deletes,
    });
    if (outcome.kind === 'applied') this.options.log(describeChange(transition, version));
    return outcome.kind;
  }

  /** Verifies that no record in another form is left; starts another migration pass if there are some. */
  private async verify(lease: Condition, snapshot: ClusterSnapshot): Promise<StepResult> {
    const { version, versionCondition } = snapshot;
    const outdated = await this.options.findOutdatedRecords(version);
    const isClean = outdated.length === 0;
    if (!isClean) {
      this.options.log(
        `${outdated.length} record(s) are still in an old form, the first ${outdated[0] ?? ''}; starting another migration pass`,
      );
    }
    const next: ClusterVersion = isClean
      ? { ...version, verified: version.proposal, token: this.lease.token }
      : { ...version, walk: version.walk + 1, token: this.lease.token };
    const outcome = await applyChange(this.store, this.cache, {
      conditions: [lease, versionCondition],
      puts: [{ key: rolloutKeys.version, value: next }],
      deletes: [],
    });
    if (outcome.kind === 'applied' && isClean) {
      this.options.log(`verified: all records are in the form of level ${next.target}`);
    }
    return outcome.kind;
  }
}

function describeChange(transition: string, { level, target, proposal }: ClusterVersion): string {
  switch (transition) {
    case 'propose':
      return `level ${target} has been proposed to all nodes (proposal ${proposal})`;
    case 'withdraw':
      return `the proposal of the next level was withdrawn; the level stays ${level}`;
    case 'raise':
      return `the cluster level was raised to ${level}`;
    default:
      return `the cluster level was lowered to ${level}`;
  }
}
