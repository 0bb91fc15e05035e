/** What should become of the cluster's version: a pure function of the stored records. */
import { covers, type FeatureTable } from './levels.js';
import type { Barrier, ClusterVersion, Presence } from './records.js';
import type { Condition } from './store.js';

/** What is known of one node of the settings. */
export interface NodeView {
  label: string;
  /** Its record under its lease, with the record's revision; null: there is none, or a damaged one. */
  presence: { value: Presence; revision: number } | null;
  /** It has published a range of levels at some time. */
  hasPublished: boolean;
  /** The process that its messages come from; null: it has not been heard of lately. */
  observedProcess: string | null;
}

/** Who leads one shard, by its leader key. */
export interface OwnerView {
  shard: string;
  key: string;
  revision: number;
  owner: { node: string; process: string } | null;
}

/** How far the walk through the records has come. */
export interface MigrationView {
  /** Shards whose leaders have not finished the present walk. */
  unfinished: string[];
  /** Records that could not be converted. */
  quarantined: string[];
}

/** What the next change of the version is planned from. */
export interface ClusterSnapshot {
  version: ClusterVersion;
  /** Why the stored version cannot be believed; `version` is then the last that could be. */
  damage: string | null;
  versionCondition: Condition;
  nodes: NodeView[];
  owners: OwnerView[];
  migration: MigrationView;
}

/** Why the version cannot change; the names are part of `GET /v1/rollout`. */
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

/** Something that keeps the version from changing; `subject` is a node, a shard or a record. */
export interface Blocker {
  cause: BlockerCause;
  subject: string;
  detail: string;
}

/** A change of the version's record, and of the barrier where the level changes. */
export interface VersionChange {
  version: ClusterVersion;
  conditions: Condition[];
  /** Undefined: it stays; null: it goes. */
  barrier?: Barrier | null;
}

/** The next step of the coordinator. */
export type Decision =
  | { kind: 'none' }
  | { kind: 'wait'; blockers: Blocker[] }
  /** Nothing but the proof is missing that no record in an old form is left. */
  | { kind: 'verify' }
  | { kind: 'change'; what: 'propose' | 'withdraw' | 'raise' | 'lower'; change: VersionChange };

/** Keys of the store's conditions beside those of the nodes: the version's record and the lease's key. */
const FIXED_CONDITIONS = 2;

/** How many nodes fit the conditions of one transaction: a presence record and a leader key for each. */
export const maxNodesPerTransaction = (conditions: number): number =>
  Math.floor((conditions - FIXED_CONDITIONS) / 2);

function blockerOfNode(node: NodeView, target: number, isRaise: boolean): Blocker | null {
  const blocker = (cause: BlockerCause, detail: string): Blocker => ({
    cause,
    subject: node.label,
    detail,
  });
  const { presence, observedProcess: heardProcess } = node;
  if (presence === null) {
    if (heardProcess !== null) {
      return blocker('publishes-no-levels', 'it serves with an older build, or with rollouts off');
    }
    if (!node.hasPublished) return blocker('never-seen', 'it has never published what it reads');
    return blocker('away', 'it is down, or cut off from the state service');
  }
  const { min, max, wants, process } = presence.value;
  if (heardProcess !== null && heardProcess !== process) {
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

const unanswered = ({ nodes, version }: ClusterSnapshot): Blocker[] =>
  nodes
    .filter(({ presence }) => presence !== null && presence.value.answer !== version.proposal)
    .map(({ label }) => ({
      cause: 'unanswered',
      subject: label,
      detail: `it has not answered proposal ${version.proposal} yet`,
    }));

/** Shards that are led by another process than the one that published its levels. */
function foreignOwners({ owners, nodes }: ClusterSnapshot): Blocker[] {
  const processes = new Map(nodes.map((node) => [node.label, node.presence?.value.process]));
  return owners
    .filter(({ owner }) => owner !== null && processes.get(owner.node) !== owner.process)
    .map(({ shard, owner }) => ({
      cause: 'foreign-owner',
      subject: shard,
      detail: `it is owned by a process of ${owner?.node ?? ''} that published no levels`,
    }));
}

function walkBlockers({ migration: walk }: ClusterSnapshot): Blocker[] {
  return [
    ...walk.unfinished.map((shard): Blocker => ({
      cause: 'walking',
      subject: shard,
      detail: 'its records are being converted',
    })),
    ...walk.quarantined.map((key): Blocker => ({
      cause: 'quarantined',
      subject: key,
      detail: 'this record could not be converted',
    })),
  ];
}

/** Nodes that keep the level from becoming `target`. */
export const nodeBlockers = (
  { nodes }: ClusterSnapshot,
  target: number,
  isRaise: boolean,
): Blocker[] => nodes.flatMap((node) => blockerOfNode(node, target, isRaise) ?? []);

/** Everything that the raise or the lowering rests on, so that it fails if any of it has changed. */
const allConditions = (snapshot: ClusterSnapshot, presenceKey: (label: string) => string) => [
  snapshot.versionCondition,
  ...snapshot.nodes.map(({ label, presence }) => ({
    key: presenceKey(label),
    revision: presence?.revision ?? 0,
  })),
  ...snapshot.owners.map(({ key, revision }) => ({ key, revision })),
];

/** What the plan depends on beside the stored records. */
export interface PlanOptions {
  features: FeatureTable;
  presenceKey: (label: string) => string;
  /** From this level on, builds that know of no cluster version are kept out by the barrier. */
  barrierMinLevel: number;
}

/** The next step; each is planned anew from what is stored, so that any lease holder can go on. */
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
  // Before the first walk there is nothing to be verified; after it, one level is finished before the next begins.
  const isVerified = version.walk === 0 || version.verified === version.proposal;
  if (!isVerified) return planVerification(snapshot, version.level);
  if (next === undefined) return { kind: 'none' };
  const blockers = nodeBlockers(snapshot, next, true);
  if (version.hold !== null) blockers.unshift(heldBy(version));
  if (blockers.length > 0) return { kind: 'wait', blockers };
  return propose(snapshot, { ...version, phase: 'raising', target: next }, 'propose');
}

const heldBy = ({ hold }: ClusterVersion): Blocker => ({
  cause: 'held',
  subject: 'cluster',
  detail: `held by ${hold?.by ?? ''}: ${hold?.reason ?? ''}`,
});

function propose(
  { version, versionCondition }: ClusterSnapshot,
  next: ClusterVersion,
  what: 'propose' | 'withdraw',
): Decision {
  const proposal = version.proposal + 1;
  // A proposal begins from a verified level, and changes no record; so does its withdrawal.
  const change = {
    version: { ...next, proposal, verified: proposal },
    conditions: [versionCondition],
  };
  return { kind: 'change', what, change };
}

function planRaise(snapshot: ClusterSnapshot, options: PlanOptions): Decision {
  const { version } = snapshot;
  const { target, level, proposal, walk } = version;
  const blockers = nodeBlockers(snapshot, target, true);
  const isImpossible = blockers.some(
    ({ cause }) => cause === 'cannot-read' || cause === 'switched-off',
  );
  if (version.hold !== null || isImpossible) {
    return propose(snapshot, { ...version, phase: 'steady', target: level }, 'withdraw');
  }
  const all = [...blockers, ...unanswered(snapshot), ...foreignOwners(snapshot)];
  if (all.length > 0) return { kind: 'wait', blockers: all };
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
  // What was verified has to hold still: a node that came since may not have answered.
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

/** Only while every node is known to write the wanted form can the absence of another be proven. */
function planVerification(snapshot: ClusterSnapshot, level: number): Decision {
  const blockers = [
    ...nodeBlockers(snapshot, level, false),
    ...unanswered(snapshot),
    ...foreignOwners(snapshot),
    ...walkBlockers(snapshot),
  ];
  return blockers.length > 0 ? { kind: 'wait', blockers } : { kind: 'verify' };
}

function changeLevel(
  what: 'raise' | 'lower',
  snapshot: ClusterSnapshot,
  version: ClusterVersion,
  { presenceKey, barrierMinLevel: barrierFrom }: PlanOptions,
): Decision {
  const barrier = version.level >= barrierFrom ? { readers: version.level } : null;
  const conditions = allConditions(snapshot, presenceKey);
  return { kind: 'change', what, change: { version, conditions, barrier } };
}
