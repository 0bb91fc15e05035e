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
  /** Whether a write of the job's record is in flight. */
  isWriteInFlight: boolean;
  /**
   * Whether a write of the job's record got no answer. Other nodes may already have read its result and told users that
   * the job is over, so this node answers from the state service until the outcome is known.
   */
  isOutcomeUnknown?: boolean;
}

/** A shard that this node leads: its home shard, or one taken over from a peer. */
export interface OwnedShard {
  shard: Shard;
  /** First fencing token of the leadership; leaderships are compared by it. */
  fencingToken: number;
  revision: number;
  /** False once the leadership is lost; from then on nothing is written or started for the shard. */
  isOwned: boolean;
  jobs: Map<string, HomeJob>;
  /** The shard's buckets of stored chunks, by name. */
  buckets: Map<string, Bucket>;
  /** Until when starts of batch work are deferred and batched, to leave write capacity for users' requests. */
  batchStartsDeferredUntil: number;
  /** Number of transactions in flight. */
  writesInFlight: number;
  fencingTokenAdvancedAt: number;
  /** Monotonic time until which a previous leader may still answer the shard's workers. */
  previousLeaderMayAnswerUntil: number;
  /** Fencing token at the takeover; a worker that has seen it executes no commands of earlier leaders. */
  readonly fencingTokenAtTakeover: number;
}

/**
 * Creates the state of a shard whose leadership was just gained, without jobs and chunks. Times are monotonic; a previous
 * leader may answer the shard's workers until `previousLeaderMayAnswerUntil`.
 */
export function createOwnedShard(
  shard: Shard,
  { fencingToken, revision }: { fencingToken: number; revision: number },
  now: number,
  previousLeaderMayAnswerUntil = now,
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
    previousLeaderMayAnswerUntil,
    fencingTokenAtTakeover: fencingToken,
  };
}

/**
 * Assigns the shard a block of higher fencing tokens and a new revision. From then on workers and the state service refuse
 * this node's commands and transactions that are still in flight. Returns false if that is not possible now.
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
