/**
 * Stored leader records. A leader record is attached to the leader's lease. All fencing tokens come from one counter, so
 * a new leadership always has higher tokens than every earlier one. Each leadership is assigned a block of tokens; its
 * record names the first of them.
 */
import { sleep, type Clock } from '../../base/clock.js';
import type { KeyValue } from '../../protocol/stateProtocol.js';
import { keys, type FencingTokenRecord, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient, TransactionResult } from '../../storage/stateClient.js';
import { FencingTokenBlock } from '../model/fencingTokenBlock.js';
import { lastLeadersAfterHandOver, previousLeaders } from './lastLeaders.js';
import type { StateLease } from './stateLease.js';

/** Attempts to remove the leader record of a shard that is handed over. */
const MAX_REMOVAL_ATTEMPTS = 5;

/** This node's leadership of one shard. */
export interface Leadership {
  /** First fencing token of the block that the leadership was assigned. */
  fencingToken: number;
  /** Revision of the leader record. */
  revision: number;
  /**
   * Wall-clock time at which another node most recently lost the shard without handing it over; that node may still
   * answer the shard's workers until its grace period ends. 0 if there is none. The value survives a restart of this node.
   */
  previousLeaderLostAt: number;
}

/** Identity and lease settings of the node that writes leader records. */
export interface LeaderRecordsOptions {
  label: string;
  process: string;
  /** Duration of the lease at the state service, in seconds. */
  leaseTtl: number;
  /** Seconds after the expiry of its lease for which a node may still answer workers. */
  leaderGracePeriod: number;
}

/** Writes and removes leader records, each in one transaction with the fencing token counter. */
export class LeaderRecords {
  constructor(
    private readonly client: Pick<StateClient, 'get' | 'transact'>,
    private readonly stateCache: Pick<StateCache, 'applyPut' | 'applyRemoval'>,
    private readonly clock: Pick<Clock, 'wall'>,
    private readonly lease: Pick<StateLease, 'id'>,
    private readonly options: LeaderRecordsOptions,
  ) {}

  /**
   * Makes this node the leader with the next fencing token, if `mayWrite` accepts the stored record and its revision (0
   * if there is no record). Returns null if the record could not be written now.
   */
  async write(
    shard: string,
    mayWrite: (leader: LeaderRecord | null, revision: number) => boolean,
  ): Promise<Leadership | null> {
    const key = keys.leader(shard);
    const counter = await this.client.get(keys.fencingTokens);
    const before = await this.client.get(key);
    const leader = (before?.value ?? null) as LeaderRecord | null;
    const beforeRevision = before?.revision ?? 0;
    const leaseId = this.lease.id;
    if (!mayWrite(leader, beforeRevision) || leaseId === null) {
      if (before !== null) this.stateCache.applyPut(key, before.value, before.revision);
      return null;
    }
    const { label: node, process } = this.options;
    const { tokens, fencingToken, previousLeaderLostAt } = this.advance(counter, shard);
    const record: LeaderRecord = { node, fencingToken, process };
    const result = await this.client.transact(
      {
        conditions: [
          { key: keys.fencingTokens, revision: counter?.revision ?? 0 },
          { key, revision: beforeRevision },
        ],
        puts: [
          { key: keys.fencingTokens, value: tokens },
          { key, value: record, leaseId },
        ],
        deletes: [],
      },
      'ownership',
    );
    const revision = await this.writtenRevision(key, record, result);
    if (revision === null) return null;
    this.stateCache.applyPut(key, record, revision);
    return { fencingToken, revision, previousLeaderLostAt };
  }

  /**
   * Removes this node's record, so that the shard's home node can claim the shard or, with `isForAnyPeer`, whichever peer
   * claims it first.
   */
  async remove(
    shard: string,
    { fencingToken, revision }: Leadership,
    isForAnyPeer: () => boolean,
  ): Promise<void> {
    const key = keys.leader(shard);
    for (let attempt = 0; attempt < MAX_REMOVAL_ATTEMPTS; attempt++) {
      const counter = await this.client.get(keys.fencingTokens);
      const tokens = (counter?.value ?? { lastToken: fencingToken }) as FencingTokenRecord;
      const lastLeaders = lastLeadersAfterHandOver(tokens.lastLeaders, shard, isForAnyPeer());
      const value: FencingTokenRecord = { ...tokens, lastLeaders };
      const result = await this.client.transact(
        {
          conditions: [
            { key, revision },
            { key: keys.fencingTokens, revision: counter?.revision ?? 0 },
          ],
          puts: [{ key: keys.fencingTokens, value }],
          deletes: [key],
        },
        'ownership',
      );
      if (result.kind === 'applied') this.stateCache.applyRemoval(key, result.revision);
      if (result.kind === 'applied') return;
      if (result.kind === 'conflict' && result.failed.includes(key)) return;
      await sleep(this.options.leaseTtl / 10);
    }
  }

  /** Returns the record of the fencing token counter as it is after this node has become the shard's leader. */
  private advance(
    counter: KeyValue | null,
    shard: string,
  ): { tokens: FencingTokenRecord; fencingToken: number; previousLeaderLostAt: number } {
    const { label: node, leaderGracePeriod } = this.options;
    const before = (counter?.value ?? { lastToken: 0 }) as FencingTokenRecord;
    const lostAtByNode = previousLeaders(
      before.lastLeaders?.[shard],
      node,
      this.clock.wall(),
      leaderGracePeriod,
    );
    const lastLeaders = { ...before.lastLeaders, [shard]: { node, lostAtByNode } };
    const { first, last } = FencingTokenBlock.startingAt(before.lastToken + 1);
    return {
      tokens: { lastToken: last, lastLeaders },
      fencingToken: first,
      previousLeaderLostAt: Math.max(0, ...Object.values(lostAtByNode)),
    };
  }

  /** Returns the revision at which the record was written, or null if it was not written. */
  private async writtenRevision(
    key: string,
    { fencingToken, process }: LeaderRecord,
    result: TransactionResult,
  ): Promise<number | null> {
    if (result.kind === 'applied') return result.revision === 0 ? null : result.revision;
    if (result.kind !== 'unknown' && result.kind !== 'conflict') return null;
    // The transaction may have been applied although it was answered with a conflict or not at all.
    const stored = await this.client.get(key);
    const leader = stored?.value as LeaderRecord | undefined;
    const isOurs = leader?.fencingToken === fencingToken && leader.process === process;
    return stored !== null && isOurs ? stored.revision : null;
  }
}
