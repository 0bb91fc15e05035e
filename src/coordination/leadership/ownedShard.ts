/** A shard that this node leads, and the jobs whose home it is. */
import type { JobRecord } from '../../storage/records.js';
import type { ShardLeadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import { FencingTokenBlock } from '../model/fencingTokenBlock.js';
import type { Bucket } from '../model/bucket.js';

/** A job whose home is a shard that this node leads. */
export interface HomeJob {
  id: string;
  record: JobRecord;
  revision: number;
  /** A write of its record is in flight. */
  isWriteInFlight: boolean;
  /**
   * A change of its record got no answer: others may have read it already, and told users that the job is over.
   * Until it is known, the store is asked.
   */
  isOutcomeUnknown?: boolean;
}

/** A shard that this node leads: its own, or one taken over from a peer. */
export interface OwnedShard {
  shard: Shard;
  /** The first of the leadership's fencing tokens: leaderships are compared by it. */
  fencingToken: number;
  revision: number;
  /** False once the leadership is lost: nothing is written or started for the shard any more. */
  isOwned: boolean;
  jobs: Map<string, HomeJob>;
  /** The shard's stored chunks, by their buckets' names. */
  buckets: Map<string, Bucket>;
  /** Until when starts of batch work are gathered, so that they do not use up the changes of users. */
  batchStartsDeferredUntil: number;
  /** Transactions in flight. */
  writesInFlight: number;
  fencingTokenAdvancedAt: number;
  /** Steady time until which a previous leader may still answer the shard's workers. */
  previousLeaderMayAnswerUntil: number;
  /** The fencing token of the takeover: a worker that has seen it executes no command of earlier leaders. */
  readonly fencingTokenAtTakeover: number;
}

/**
 * A shard that was just gained, without jobs and chunks. Times are steady; `previousLeaderUntil`: until when a previous
 * leader may answer its workers.
 */
export function createOwnedShard(
  shard: Shard,
  { fencingToken, revision }: { fencingToken: number; revision: number },
  now: number,
  previousLeaderUntil = now,
): OwnedShard {
  shard.fencingTokens = FencingTokenBlock.startingAt(fencingToken);
  return {
    shard,
    fencingToken,
    revision,
    isOwned: true,
    jobs: new Map(),
    buckets: new Map(),
    batchStartsDeferredUntil: 0,
    writesInFlight: 0,
    fencingTokenAdvancedAt: now,
    previousLeaderMayAnswerUntil: previousLeaderUntil,
    fencingTokenAtTakeover: fencingToken,
  };
}

/**
 * Gives the shard a block of higher fencing tokens and a new revision: commands and transactions of ours that are still in flight
 * are refused from then on. False where that was not possible just now.
 */
export async function advanceFencingToken(
  shardLeadership: Pick<ShardLeadership, 'advanceFencingToken'>,
  ownedShard: OwnedShard,
): Promise<boolean> {
  const leadership = await shardLeadership.advanceFencingToken(ownedShard.shard.label);
  if (leadership === null || !ownedShard.isOwned) return false;
  ownedShard.fencingToken = leadership.fencingToken;
  ownedShard.shard.fencingTokens = FencingTokenBlock.startingAt(leadership.fencingToken);
  ownedShard.revision = leadership.revision;
  ownedShard.shard.audit.note({
    event: 'fencing-token-advanced',
    shard: ownedShard.shard.label,
    fencingToken: leadership.fencingToken,
  });
  return true;
}
