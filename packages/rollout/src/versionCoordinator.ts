/**
 * Brings the cluster's version in line with what its nodes publish. Only the holder of a lease acts, and every change
 * is conditional on that lease's key, so that one that wakes late changes nothing.
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

/** The lease that entitles to change the version. */
export interface LeaderLease {
  /** Its key with the revision that it has while this node holds it; null: another node does, or none. */
  condition(): Condition | null;
  /** The fencing token, above that of every earlier holder. */
  readonly token: number;
}

/** What a coordinator needs of its node. */
export interface CoordinatorOptions extends PlanOptions {
  barrierKey: string;
  /** Reads the store and names records that are in a form which they should not have any more. */
  findOutdatedRecords: (version: ClusterVersion) => Promise<string[]>;
  log: (line: string) => void;
}

/** What a step came to; for logs and tests. */
export type StepResult = Decision['kind'] | 'not-leader' | ChangeOutcome['kind'];

/** Plans and stores the next change of the version; runs on every node, and acts on the lease holder alone. */
export class VersionCoordinator {
  private isBusy = false;

  constructor(
    private readonly store: RecordStore,
    private readonly copy: Pick<RecordCache, 'note'>,
    private readonly lease: LeaderLease,
    private readonly snapshot: () => ClusterSnapshot,
    private readonly options: CoordinatorOptions,
  ) {}

  /** One step; those that come while one is under way do nothing. */
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
    // A record by a later holder: this node's lease is over, whether it knows that or not.
    if (lease === null || snapshot.version.token > this.lease.token) return 'not-leader';
    const decision = planVersion(snapshot, this.options);
    if (decision.kind === 'verify') return this.verify(lease, snapshot);
    if (decision.kind !== 'change') return decision.kind;
    const { change, what } = decision;
    const version = { ...change.version, token: this.lease.token };
    const puts = [{ key: rolloutKeys.version, value: version as unknown }];
    const deletes: string[] = [];
    if (change.barrier === null) deletes.push(this.options.barrierKey);
    else if (change.barrier !== undefined) {
      puts.push({ key: this.options.barrierKey, value: change.barrier });
    }
    const outcome = await applyChange(this.store, this.copy, {
      conditions: [lease, ...change.conditions],
      puts,
      deletes,
    });
    if (outcome.kind === 'applied') this.options.log(describeChange(what, version));
    return outcome.kind;
  }

  /** Reads what is stored; records in an old form are walked through once more. */
  private async verify(lease: Condition, snapshot: ClusterSnapshot): Promise<StepResult> {
    const { version, versionCondition } = snapshot;
    const leftovers = await this.options.findOutdatedRecords(version);
    const isClean = leftovers.length === 0;
    if (!isClean) {
      this.options.log(
        `${leftovers.length} record(s) are still in an old form, the first ${leftovers[0] ?? ''}; walking again`,
      );
    }
    const next: ClusterVersion = isClean
      ? { ...version, verified: version.proposal, token: this.lease.token }
      : { ...version, walk: version.walk + 1, token: this.lease.token };
    const outcome = await applyChange(this.store, this.copy, {
      conditions: [lease, versionCondition],
      puts: [{ key: rolloutKeys.version, value: next }],
      deletes: [],
    });
    if (outcome.kind === 'applied' && isClean) {
      this.options.log(`no record in a form other than that of level ${next.target} is left`);
    }
    return outcome.kind;
  }
}

function describeChange(what: string, { level, target, proposal }: ClusterVersion): string {
  switch (what) {
    case 'propose':
      return `level ${target} is proposed to all nodes (proposal ${proposal})`;
    case 'withdraw':
      return `the proposal of the next level is withdrawn; the level stays ${level}`;
    case 'raise':
      return `the cluster is at level ${level} from now on`;
    default:
      return `the cluster is back at level ${level}`;
  }
}
