/** The role of one node in a change of the version: publishes the levels that the node reads, and answers proposals. */
import { isDeepStrictEqual } from 'node:util';
import type { LevelRange } from './levels.js';
import { rolloutKeys, type ClusterVersion, type Member, type Presence } from './records.js';
import { applyChange, unchangedCondition, type RecordCache, type RecordStore } from './store.js';

/** The values that a node publishes, and its handler for a new version. */
export interface ParticipantOptions {
  label: string;
  /** Identifies this start of the process. */
  process: string;
  range: LevelRange;
  /** The highest level that this node's features enable. */
  wants: number;
  /** Puts the version into effect at this node before it answers the proposal; false if that is not complete yet. */
  applyVersion: (version: ClusterVersion) => Promise<boolean>;
}

/** The state of the node that a participant depends on. */
export interface ParticipantNode {
  /** The node's lease at the store; null if it has none. */
  readonly leaseId: number | null;
  readonly version: ClusterVersion;
}

/** Keeps the presence and member records of one node up to date with its levels and its latest answer. */
export class Participant {
  private isBusy = false;
  /** The lease that the presence record was last stored under. */
  private publishedLeaseId: number | null = null;
  private publishedPresence: Presence | null = null;

  constructor(
    private readonly store: RecordStore,
    private readonly cache: RecordCache,
    private readonly node: ParticipantNode,
    private readonly options: ParticipantOptions,
  ) {}

  /** Whether the presence record of this process is stored under its current lease. */
  get isPublished(): boolean {
    return this.publishedLeaseId !== null && this.publishedLeaseId === this.node.leaseId;
  }

  /** Stores the records if they are missing or outdated. */
  async reconcile(): Promise<void> {
    if (this.isBusy || this.node.leaseId === null) return;
    this.isBusy = true;
    try {
      await this.publish(this.node.leaseId);
    } finally {
      this.isBusy = false;
    }
  }

  private async publish(leaseId: number): Promise<void> {
    const { version } = this.node;
    const isAnswered = this.publishedPresence?.answer === version.proposal;
    if (isAnswered && this.publishedLeaseId === leaseId && this.isStored()) return;
    if (!isAnswered && !(await this.options.applyVersion(version))) return;
    const { label, process, range, wants } = this.options;
    const member: Member = { ...range, wants, process };
    const presence: Presence = { ...member, answer: version.proposal };
    const key = rolloutKeys.presence(label);
    const memberKey = rolloutKeys.member(label);
    const isNewMember = !isDeepStrictEqual(this.cache.get(memberKey)?.value, member);
    const outcome = await applyChange(this.store, this.cache, {
      conditions: [
        unchangedCondition(this.cache, key),
        ...(isNewMember ? [unchangedCondition(this.cache, memberKey)] : []),
      ],
      puts: [
        { key, value: presence, leaseId },
        ...(isNewMember ? [{ key: memberKey, value: member }] : []),
      ],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return;
    this.publishedLeaseId = leaseId;
    this.publishedPresence = presence;
  }

  /** Whether the cached record is the published one; a late transaction of an earlier process may have overwritten it. */
  private isStored(): boolean {
    return isDeepStrictEqual(
      this.cache.get(rolloutKeys.presence(this.options.label))?.value,
      this.publishedPresence,
    );
  }
}
