/** A part that a node hosts, and the jobs whose home it is. */
import type { JobRecord } from '../../storage/records.js';
import type { ShardLeadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import type { Bucket } from '../persistence/bucket.js';

/** A job whose home is a part that we host. */
export interface HomeJob {
  id: string;
  record: JobRecord;
  revision: number;
  /** A change of its record is on its way. */
  isWriteInFlight: boolean;
  /**
   * A change of its record got no answer: others may have read it already, and told users that the job is over.
   * Until it is known, the store is asked.
   */
  isUncertain?: boolean;
}

/** A part that this node hosts: its own, or one adopted from a peer. */
export interface OwnedShard {
  shard: Shard;
  fencingToken: number;
  revision: number;
  /** False once the part is lost: nothing is written or started for it any more. */
  isOwned: boolean;
  jobs: Map<string, HomeJob>;
  /** The part's stored chunks, by their buckets' names. */
  buckets: Map<string, Bucket>;
  /** Until when starts of batch work are gathered, so that they do not use up the changes of users. */
  batchStartsUntil: number;
  /** Transactions on their way. */
  writesInFlight: number;
  fencingTokenAdvancedAt: number;
  /** Steady time until which a node that owned the part before may answer its workers. */
  previousLeaderUntil: number;
  /** The token with which we got it: a worker that has seen it takes nothing from earlier owners. */
  readonly fencingTokenAtTakeover: number;
}

export function createOwnedShard(
  shard: Shard,
  { fencingToken, revision }: { fencingToken: number; revision: number },
  now: number,
  previousOwnerUntil = now,
): OwnedShard {
  shard.fencingToken = fencingToken;
  return {
    shard,
    fencingToken,
    revision,
    isOwned: true,
    jobs: new Map(),
    buckets: new Map(),
    batchStartsUntil: 0,
    writesInFlight: 0,
    fencingTokenAdvancedAt: now,
    previousLeaderUntil: previousOwnerUntil,
    fencingTokenAtTakeover: fencingToken,
  };
}

/**
 * Gives the part a higher token and a new revision: orders and transactions of ours that are still on their way are refused
 * from then on. False where that was not possible just now.
 */
export async function advanceFencingToken(
  ownership: Pick<ShardLeadership, 'advanceFencingToken'>,
  ownedShard: OwnedShard,
): Promise<boolean> {
  const leadership = await ownership.advanceFencingToken(ownedShard.shard.label);
  if (leadership === null || !ownedShard.isOwned) return false;
  ownedShard.fencingToken = leadership.fencingToken;
  ownedShard.shard.fencingToken = leadership.fencingToken;
  ownedShard.revision = leadership.revision;
  ownedShard.shard.audit.note({
    event: 'fencing-token-advanced',
    shard: ownedShard.shard.label,
    fencingToken: leadership.fencingToken,
  });
  return true;
}
