/** One node's part in it: publishes what the node reads and writes, and answers proposals. */
import { isDeepStrictEqual } from 'node:util';
import type { LevelRange } from './levels.js';
import { rolloutKeys, type ClusterVersion, type Member, type Presence } from './records.js';
import { applyChange, unchangedCondition, type RecordCache, type RecordStore } from './store.js';

/** What a node publishes, and how it complies. */
export interface ParticipantOptions {
  label: string;
  /** Sets this start of the process apart from every other. */
  process: string;
  range: LevelRange;
  /** The highest level that this node is switched to. */
  wants: number;
  /** Makes this node do as the version says, before it answers; false: not done yet. */
  applyVersion: (version: ClusterVersion) => Promise<boolean>;
}

/** What a participant needs to know of its node. */
export interface ParticipantNode {
  /** The node's lease at the store; null while it has none. */
  readonly leaseId: number | null;
  readonly version: ClusterVersion;
}

/** Keeps the presence and member records of one node in line with what it reads and has answered. */
export class Participant {
  private isBusy = false;
  /** The lease that the presence record was written under. */
  private writtenUnder: number | null = null;
  private answered: Presence | null = null;

  constructor(
    private readonly store: RecordStore,
    private readonly copy: RecordCache,
    private readonly node: ParticipantNode,
    private readonly options: ParticipantOptions,
  ) {}

  /** Whether this process's record is stored under its present lease. */
  get isPublished(): boolean {
    return this.writtenUnder !== null && this.writtenUnder === this.node.leaseId;
  }

  /** Stores what is not stored yet. */
  async reconcile(): Promise<void> {
    if (this.isBusy || this.node.leaseId === null) return;
    this.isBusy = true;
    try {
      await this.publish(this.node.leaseId);
    } finally {
      this.isBusy = false;
    }
  }

  private async publish(hold: number): Promise<void> {
    const { version } = this.node;
    const isAnswered = this.answered?.answer === version.proposal;
    if (isAnswered && this.writtenUnder === hold && this.isStored()) return;
    if (!isAnswered && !(await this.options.applyVersion(version))) return;
    const { label, process, range, wants } = this.options;
    const member: Member = { ...range, wants, process };
    const presence: Presence = { ...member, answer: version.proposal };
    const key = rolloutKeys.presence(label);
    const memberKey = rolloutKeys.member(label);
    const isNewMember = !isDeepStrictEqual(this.copy.get(memberKey)?.value, member);
    const outcome = await applyChange(this.store, this.copy, {
      conditions: [
        unchangedCondition(this.copy, key),
        ...(isNewMember ? [unchangedCondition(this.copy, memberKey)] : []),
      ],
      puts: [
        { key, value: presence, leaseId: hold },
        ...(isNewMember ? [{ key: memberKey, value: member }] : []),
      ],
      deletes: [],
    });
    if (outcome.kind !== 'applied') return;
    this.writtenUnder = hold;
    this.answered = presence;
  }

  /** It may have been overwritten, by a late transaction of an earlier process. */
  private isStored(): boolean {
    return isDeepStrictEqual(
      this.copy.get(rolloutKeys.presence(this.options.label))?.value,
      this.answered,
    );
  }
}
