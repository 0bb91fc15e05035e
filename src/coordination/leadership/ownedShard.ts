/** A part that a node hosts, and the jobs whose home it is. */
import type { JobRecord } from '../../storage/records.js';
import type { ShardLeadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import type { Bucket } from '../persistence/bucket.js';

/** A job whose home is a part that we host. */
export interface HomeJob {
  id: string;
  record: JobRecord;
  stamp: number;
  /** A change of its record is on its way. */
  busy: boolean;
  /**
   * A change of its record got no answer: others may have read it already, and told users that the job is over.
   * Until it is known, the store is asked.
   */
  unsettled?: boolean;
}

/** A part that this node hosts: its own, or one adopted from a peer. */
export interface OwnedShard {
  part: Shard;
  token: number;
  stamp: number;
  /** False once the part is lost: nothing is written or started for it any more. */
  alive: boolean;
  jobs: Map<string, HomeJob>;
  /** The part's stored chunks, by their buckets' names. */
  buckets: Map<string, Bucket>;
  /** Until when starts of batch work are gathered, so that they do not use up the changes of users. */
  gatherUntil: number;
  /** Transactions on their way. */
  writing: number;
  raisedAt: number;
  /** Steady time until which a node that owned the part before may answer its workers. */
  previousOwnerUntil: number;
  /** The token with which we got it: a worker that has seen it takes nothing from earlier owners. */
  readonly gainedToken: number;
}

export function createOwnedShard(
  part: Shard,
  { token, stamp }: { token: number; stamp: number },
  now: number,
  previousOwnerUntil = now,
): OwnedShard {
  part.ownToken = token;
  return {
    part,
    token,
    stamp,
    alive: true,
    jobs: new Map(),
    buckets: new Map(),
    gatherUntil: 0,
    writing: 0,
    raisedAt: now,
    previousOwnerUntil,
    gainedToken: token,
  };
}

/**
 * Gives the part a higher token and a new stamp: orders and transactions of ours that are still on their way are refused
 * from then on. False where that was not possible just now.
 */
export async function advanceFencingToken(
  ownership: Pick<ShardLeadership, 'raise'>,
  host: OwnedShard,
): Promise<boolean> {
  const held = await ownership.raise(host.part.label);
  if (held === null || !host.alive) return false;
  host.token = held.token;
  host.part.ownToken = held.token;
  host.stamp = held.stamp;
  host.part.audit.note({ event: 'token-raised', part: host.part.label, token: held.token });
  return true;
}
