/** Plans the next change of the cluster's version, as a pure function of the stored records. */
import { covers, type FeatureTable } from './levels.js';
import type { Barrier, ClusterVersion, Presence } from './records.js';
import type { Condition } from './store.js';

/** The view of one node of the settings. */
export interface NodeView {
  label: string;
  /** The node's presence record with its revision; null if it is missing or damaged. */
  presence: { value: Presence; revision: number } | null;
  /** Whether the node has ever published a range of levels. */
  hasPublished: boolean;
  /** The process that sends the node's messages; null if none arrived recently. */
  observedProcess: string | null;
}

/** The leader of one shard, according to its leader key. */
export interface OwnerView {
  shard: string;
  key: string;
  revision: number;
  owner: { node: string; process: string } | null;
}

/** The progress of the current migration pass. */
export interface MigrationView {
  /** Shards whose leaders have not finished the pass. */
  unfinished: string[];
  /** Records that could not be converted. */
  quarantined: string[];
}

/** The input for planning the next change of the version. */
export interface ClusterSnapshot {
  version: ClusterVersion;
  /** Why the version record is invalid, null if it is valid; `version` is the last valid one. */
  damage: string | null;
  versionCondition: Condition;
  nodes: NodeView[];
  owners: OwnerView[];
  migration: MigrationView;
}

/** The kinds of reasons why the version cannot change; the names are part of `GET /v1/rollout`. */
export type BlockerCause =
  | 'held'
  | 'away'
  | 'never-seen'
  | 'publishes-no-levels'
  | 'other-process'
  | 'cannot-read'
  | 'switched-off'
  | 'unanswered'
  | 'foreign-owner'
  | 'walking'
  | 'quarantined'
  | 'damaged';

/** A reason why the version cannot change; `subject` is a node, a shard, a record or the cluster. */
export interface Blocker {
  cause: BlockerCause;
  subject: string;
  detail: string;
}

/** A change of the version record, and of the barrier if the level changes. */
export interface VersionChange {
  version: ClusterVersion;
  conditions: Condition[];
  /** Undefined keeps the barrier, null deletes it. */
  barrier?: Barrier | null;
}

/** The next action of the coordinator. */
export type Decision =
  | { kind: 'none' }
  | { kind: 'wait'; blockers: Blocker[] }
  /** It remains to be verified that no record in another form is left. */
  | { kind: 'verify' }
  | {
      kind: 'change';
      transition: 'propose' | 'withdraw' | 'raise' | 'lower';
      change: VersionChange;
    };

/** Conditions of a transaction that do not depend on the number of nodes: the version record and the lease key. */
const FIXED_CONDITIONS = 2;

/** The number of nodes that a transaction with so many conditions can cover: a presence record and a leader key each. */
export const maxNodesPerTransaction = (conditions: number): number =>
  Math.floor((conditions - FIXED_CONDITIONS) / 2);

function nodeBlocker(node: NodeView, target: number, isRaise: boolean): Blocker | null {
  const blocker = (cause: BlockerCause, detail: string): Blocker => ({
    cause,
    subject: node.label,
    detail,
  });
  const { presence, observedProcess } = node;
  if (presence === null) {
    if (observedProcess !== null) {
      return blocker('publishes-no-levels', 'it serves with an older build, or with rollouts off');
    }
    if (!node.hasPublished) return blocker('never-seen', 'it has never published what it reads');
    return blocker('away', 'it is down, or cut off from the state service');
  }
  const { min, max, wants, process } = presence.value;
  if (observedProcess !== null && observedProcess !== process) {
    return blocker('other-process', 'its messages come from another process than its record');
  }
  if (!covers({ min, max }, target)) {
    return blocker('cannot-read', `it reads levels ${min} to ${max}, and the next is ${target}`);
  }
  if (isRaise && wants < target) {
    return blocker('switched-off', `its features file goes up to level ${wants}`);
  }
  return null;
}

const unansweredBlockers = ({ nodes, version }: ClusterSnapshot): Blocker[] =>
  nodes
    .filter(({ presence }) => presence !== null && presence.value.answer !== version.proposal)
    .map(({ label }) => ({
      cause: 'unanswered',
      subject: label,
      detail: `it has not answered proposal ${version.proposal} yet`,
    }));

/** Blockers for shards whose leader is not the process that published its node's levels. */
function foreignOwnerBlockers({ owners, nodes }: ClusterSnapshot): Blocker[] {
  const processes = new Map(nodes.map((node) => [node.label, node.presence?.value.process]));
  return owners
    .filter(({ owner }) => owner !== null && processes.get(owner.node) !== owner.process)
    .map(({ shard, owner }) => ({
      cause: 'foreign-owner',
      subject: shard,
      detail: `it is owned by a process of ${owner?.node ?? ''} that published no levels`,
    }));
}

function migrationBlockers({ migration }: ClusterSnapshot): Blocker[] {
  return [
    ...migration.unfinished.map((shard): Blocker => ({
      cause: 'walking',
      subject: shard,
      detail: 'its records are being converted',
    })),
    ...migration.quarantined.map((key): Blocker => ({
      cause: 'quarantined',
      subject: key,
      detail: 'this record could not be converted',
    })),
  ];
}

/** Blockers for nodes that prevent the level from becoming `target`. */
export const nodeBlockers = (
  { nodes }: ClusterSnapshot,
  target: number,
  isRaise: boolean,
): Blocker[] => nodes.flatMap((node) => nodeBlocker(node, target, isRaise) ?? []);

/** Conditions on all records that the change of the level is based on, so that it fails if any of them has changed. */
const allConditions = (snapshot: ClusterSnapshot, presenceKey: (label: string) => string) => [
  snapshot.versionCondition,
  ...snapshot.nodes.map(({ label, presence }) => ({
    key: presenceKey(label),
    revision: presence?.revision ?? 0,
  })),
  ...snapshot.owners.map(({ key, revision }) => ({ key, revision })),
];

/** Parameters of the planning. */
export interface PlanOptions {
  features: FeatureTable;
  presenceKey: (label: string) => string;
  /** The lowest level at which the barrier keeps out builds without a cluster version. */
  barrierMinLevel: number;
}

/** Plans the next action from the stored state alone, so that any lease holder can continue. */
export function planVersion(snapshot: ClusterSnapshot, options: PlanOptions): Decision {
  const { phase } = snapshot.version;
  if (snapshot.damage !== null) {
    const blocker: Blocker = { cause: 'damaged', subject: 'cluster', detail: snapshot.damage };
    return { kind: 'wait', blockers: [blocker] };
  }
  if (phase === 'raising') return planRaise(snapshot, options);
  if (phase === 'lowering') return planLowering(snapshot, options);
  return planSteady(snapshot, options);
}

function planSteady(snapshot: ClusterSnapshot, options: PlanOptions): Decision {
  const { version } = snapshot;
  const next = options.features.features.find(({ level }) => level > version.level)?.level;
  // Before the first migration pass nothing has to be verified; later a level must be verified before the next one.
  const isVerified = version.walk === 0 || version.verified === version.proposal;
  if (!isVerified) return planVerification(snapshot, version.level);
  if (next === undefined) return { kind: 'none' };
  const blockers = nodeBlockers(snapshot, next, true);
  if (version.hold !== null) blockers.unshift(holdBlocker(version));
  if (blockers.length > 0) return { kind: 'wait', blockers };
  return propose(snapshot, { ...version, phase: 'raising', target: next }, 'propose');
}

const holdBlocker = ({ hold }: ClusterVersion): Blocker => ({
  cause: 'held',
  subject: 'cluster',
  detail: `held by ${hold?.by ?? ''}: ${hold?.reason ?? ''}`,
});

function propose(
  { version, versionCondition }: ClusterSnapshot,
  next: ClusterVersion,
  transition: 'propose' | 'withdraw',
): Decision {
  const proposal = version.proposal + 1;
  // The current level is verified, and neither a proposal nor its withdrawal changes records, so it stays verified.
  const change = {
    version: { ...next, proposal, verified: proposal },
    conditions: [versionCondition],
  };
  return { kind: 'change', transition, change };
}

function planRaise(snapshot: ClusterSnapshot, options: PlanOptions): Decision {
  const { version } = snapshot;
  const { target, level, proposal, walk } = version;
  const blockers = nodeBlockers(snapshot, target, true);
  const isUnreachable = blockers.some(
    ({ cause }) => cause === 'cannot-read' || cause === 'switched-off',
  );
  if (version.hold !== null || isUnreachable) {
    return propose(snapshot, { ...version, phase: 'steady', target: level }, 'withdraw');
  }
  const allBlockers = [
    ...blockers,
    ...unansweredBlockers(snapshot),
    ...foreignOwnerBlockers(snapshot),
  ];
  if (allBlockers.length > 0) return { kind: 'wait', blockers: allBlockers };
  const raised: ClusterVersion = {
    ...version,
    level: target,
    phase: 'steady',
    proposal: proposal + 1,
    walk: walk + 1,
    verified: 0,
  };
  return changeLevel('raise', snapshot, raised, options);
}

function planLowering(snapshot: ClusterSnapshot, options: PlanOptions): Decision {
  const { version } = snapshot;
  const verification = planVerification(snapshot, version.target);
  if (version.verified !== version.proposal) return verification;
  // The verification must still be valid: a node that joined since may not have answered the proposal.
  if (verification.kind === 'wait') return verification;
  const lowered: ClusterVersion = {
    ...version,
    level: version.target,
    phase: 'steady',
    proposal: version.proposal + 1,
    verified: version.proposal + 1,
  };
  return changeLevel('lower', snapshot, lowered, options);
}

/** Verification requires that every node is known to write the target form; otherwise records in another form may reappear. */
function planVerification(snapshot: ClusterSnapshot, level: number): Decision {
  const blockers = [
    ...nodeBlockers(snapshot, level, false),
    ...unansweredBlockers(snapshot),
    ...foreignOwnerBlockers(snapshot),
    ...migrationBlockers(snapshot),
  ];
  return blockers.length > 0 ? { kind: 'wait', blockers } : { kind: 'verify' };
}

function changeLevel(
  transition: 'raise' | 'lower',
  snapshot: ClusterSnapshot,
  version: ClusterVersion,
  { presenceKey, barrierMinLevel }: PlanOptions,
): Decision {
  const barrier = version.level >= barrierMinLevel ? { readers: version.level } : null;
  const conditions = allConditions(snapshot, presenceKey);
  return { kind: 'change', transition, change: { version, conditions, barrier } };
}
