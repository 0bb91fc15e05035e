/** Operations of operators on the cluster's version. Each is one change of its record, or is rejected with a reason. */
import { covers, type FeatureTable } from './levels.js';
import { rolloutKeys, type ClusterVersion } from './records.js';
import { applyChange, type Condition, type RecordCache, type RecordStore } from './store.js';

/** A request of an operator. */
export type Operation =
  | { kind: 'hold'; by: string; reason: string }
  /** Ends the hold; with `by`, only a hold that was placed under that name. */
  | { kind: 'finalize'; by: string | null }
  | { kind: 'lower'; to: number; by: string; isConfirmed: boolean }
  /** Starts another migration pass, which tries to convert the quarantined records again. */
  | { kind: 'retry' };

/** The outcome of an operation. */
export type OperationResult =
  | { kind: 'done'; version: ClusterVersion }
  | { kind: 'rejected'; reason: string }
  /** A concurrent change of the record, or no confirmation from the store: the operation can be retried. */
  | { kind: 'retriable'; reason: string };

type OperationPlan = { version: ClusterVersion } | { reason: string };

/** The version after the operation, or the reason why it is rejected. */
export function planOperation(
  version: ClusterVersion,
  operation: Operation,
  features: FeatureTable,
  wallTime: number,
): OperationPlan {
  switch (operation.kind) {
    case 'hold':
      if (version.hold !== null && version.hold.by !== operation.by) {
        return { reason: `it is held by ${version.hold.by} already` };
      }
      return {
        version: { ...version, hold: { by: operation.by, reason: operation.reason, at: wallTime } },
      };
    case 'finalize':
      if (version.hold === null) return { reason: 'nothing holds the cluster back' };
      if (operation.by !== null && operation.by !== version.hold.by) {
        return { reason: `it is held by ${version.hold.by}` };
      }
      return { version: { ...version, hold: null } };
    case 'retry':
      return { version: { ...version, walk: version.walk + 1, verified: 0 } };
    case 'lower':
      return planLower(version, operation, features, wallTime);
  }
}

function planLower(
  version: ClusterVersion,
  { to, by, isConfirmed }: Extract<Operation, { kind: 'lower' }>,
  features: FeatureTable,
  wallTime: number,
): OperationPlan {
  if (version.phase !== 'steady') return { reason: `the level is ${version.phase} just now` };
  const range = { min: features.lowestLevel, max: version.level - 1 };
  if (!covers(range, to)) {
    return {
      reason: `the cluster is at level ${version.level}; it can be lowered to ${range.min} at least`,
    };
  }
  const disabled = features.disabledByLowering(version.level, to);
  const irreversible = disabled.find(({ undo }) => undo === null);
  if (irreversible !== undefined) {
    return { reason: `${irreversible.name} (level ${irreversible.level}) cannot be taken back` };
  }
  if (!isConfirmed) {
    const reversals = disabled.map(({ name, undo }) => `${name}: ${undo ?? ''}`).join('; ');
    return { reason: `this takes back ${reversals}. Confirm to go on` };
  }
  const reason = `lowered to level ${to}`;
  return {
    version: {
      ...version,
      phase: 'lowering',
      target: to,
      proposal: version.proposal + 1,
      walk: version.walk + 1,
      verified: 0,
      // Without the hold the lease holder would raise the level again immediately.
      hold: { by, reason, at: wallTime },
    },
  };
}

/** The version that an operation is based on. */
export interface OperationContext {
  version: ClusterVersion;
  versionCondition: Condition;
  /** Why the version record is invalid; null if it is valid. */
  damage: string | null;
}

/** Plans an operation and stores the resulting version. */
export async function operate(
  store: RecordStore,
  cache: Pick<RecordCache, 'applyPut'>,
  cluster: OperationContext,
  operation: Operation,
  features: FeatureTable,
  wallTime: number,
): Promise<OperationResult> {
  if (cluster.damage !== null) return { kind: 'rejected', reason: cluster.damage };
  const planned = planOperation(cluster.version, operation, features, wallTime);
  if ('reason' in planned) return { kind: 'rejected', reason: planned.reason };
  const { version } = planned;
  const outcome = await applyChange(store, cache, {
    conditions: [cluster.versionCondition],
    puts: [{ key: rolloutKeys.version, value: version }],
    deletes: [],
  });
  if (outcome.kind === 'applied') return { kind: 'done', version };
  if (outcome.kind === 'conflict')
    return { kind: 'retriable', reason: 'the version has changed meanwhile' };
  return {
    kind: 'retriable',
    reason: 'the state service has not confirmed it; look at the status',
  };
}
