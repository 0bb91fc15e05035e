/** What operators may ask of the cluster's version. Each is one change of its record, refused with a reason. */
import { covers, type FeatureTable } from './levels.js';
import { rolloutKeys, type ClusterVersion } from './records.js';
import { applyChange, type Condition, type RecordCache, type RecordStore } from './store.js';

/** What an operator asks for. */
export type Operation =
  | { kind: 'hold'; by: string; reason: string }
  /** Ends a hold; with `by`, only that of its own. */
  | { kind: 'finalize'; by: string | null }
  | { kind: 'lower'; to: number; by: string; isConfirmed: boolean }
  /** Records that could not be converted are tried once more. */
  | { kind: 'retry' };

/** What came of it. */
export type OperationResult =
  | { kind: 'done'; version: ClusterVersion }
  | { kind: 'rejected'; reason: string }
  /** The record was changed meanwhile, or the store is out of reach: nothing is known to have changed. */
  | { kind: 'again'; reason: string };

type Planned = { version: ClusterVersion } | { reason: string };

/** The version as the operation leaves it. */
export function planOperation(
  version: ClusterVersion,
  operation: Operation,
  features: FeatureTable,
  wall: number,
): Planned {
  switch (operation.kind) {
    case 'hold':
      if (version.hold !== null && version.hold.by !== operation.by) {
        return { reason: `it is held by ${version.hold.by} already` };
      }
      return {
        version: { ...version, hold: { by: operation.by, reason: operation.reason, at: wall } },
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
      return planLower(version, operation, features, wall);
  }
}

function planLower(
  version: ClusterVersion,
  { to, by, isConfirmed }: Extract<Operation, { kind: 'lower' }>,
  features: FeatureTable,
  wall: number,
): Planned {
  if (version.phase !== 'steady') return { reason: `the level is ${version.phase} just now` };
  const range = { min: features.lowestLevel, max: version.level - 1 };
  if (!covers(range, to)) {
    return {
      reason: `the cluster is at level ${version.level}; it can be lowered to ${range.min} at least`,
    };
  }
  const undone = features.disabledByLowering(version.level, to);
  const lasting = undone.find(({ undo }) => undo === null);
  if (lasting !== undefined) {
    return { reason: `${lasting.name} (level ${lasting.level}) cannot be taken back` };
  }
  if (!isConfirmed) {
    const steps = undone.map(({ name, undo }) => `${name}: ${undo ?? ''}`).join('; ');
    return { reason: `this takes back ${steps}. Confirm to go on` };
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
      // Else the lease holder would raise it again at once.
      hold: { by, reason, at: wall },
    },
  };
}

/** The cluster's version as the operator's controller knows it. */
export interface OperationContext {
  version: ClusterVersion;
  versionCondition: Condition;
  /** Why the version's record cannot be believed. */
  damage: string | null;
}

/** Stores what an operator asks for. */
export async function operate(
  store: RecordStore,
  copy: Pick<RecordCache, 'note'>,
  cluster: OperationContext,
  operation: Operation,
  features: FeatureTable,
  wall: number,
): Promise<OperationResult> {
  if (cluster.damage !== null) return { kind: 'rejected', reason: cluster.damage };
  const planned = planOperation(cluster.version, operation, features, wall);
  if ('reason' in planned) return { kind: 'rejected', reason: planned.reason };
  const { version } = planned;
  const outcome = await applyChange(store, copy, {
    conditions: [cluster.versionCondition],
    puts: [{ key: rolloutKeys.version, value: version }],
    deletes: [],
  });
  if (outcome.kind === 'applied') return { kind: 'done', version };
  if (outcome.kind === 'conflict')
    return { kind: 'again', reason: 'the version has changed meanwhile' };
  return { kind: 'again', reason: 'the state service has not confirmed it; look at the status' };
}
