/** Collects the leaders' acknowledgements of one announced cancellation. */
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import { keys, type JobRecord, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import { CancellationEvidence, openChunkIndices } from '../persistence/cancellationEvidence.js';

/** Tracks which open chunks of a job are acknowledged as prepared for its cancellation, and under which leader records. */
export class CancellationAcknowledgements {
  private readonly open: ReadonlySet<number>;
  /** Acknowledged chunks, with the shard that holds each of them. */
  private readonly shardByChunk = new Map<number, string>();
  private readonly leaders = new Map<string, { fencingToken: number; revision: number }>();
  /** Acknowledgements under a fencing token that is newer than the cached leader record of the shard. */
  private deferred: PreparedChunk[] = [];

  /** `home`: the leadership of the home shard; its leader marks every chunk created while its leader record is unchanged. */
  constructor(
    record: JobRecord,
    home: { fencingToken: number; revision: number },
    private readonly stateCache: Pick<StateCache, 'get'>,
  ) {
    this.open = openChunkIndices(record);
    this.leaders.set(record.homeShard, home);
  }

  /** Adds the acknowledgements of one node; returns true once every open chunk is acknowledged. */
  add(prepared: readonly PreparedChunk[]): boolean {
    for (const chunk of prepared) this.addOne(chunk);
    return this.isComplete;
  }

  private addOne(prepared: PreparedChunk): void {
    const { index, shard, fencingToken } = prepared;
    const cached = this.stateCache.get(keys.leader(shard));
    const known = (cached?.value as LeaderRecord | undefined)?.fencingToken ?? -1;
    // The acknowledgement of a leader that has lost the shard without knowing it must not count.
    if (known > fencingToken) return;
    if (cached === undefined || known < fencingToken) {
      this.deferred.push(prepared);
      return;
    }
    this.shardByChunk.set(index, shard);
    this.leaders.set(shard, { fencingToken, revision: cached.revision });
  }

  /** Shards of deferred acknowledgements: their leader records have changed, and this node has to read them. */
  get shardsToRead(): string[] {
    return [...new Set(this.deferred.map(({ shard }) => shard))];
  }

  /** Adds the deferred acknowledgements again; returns true once every open chunk is acknowledged. */
  retryDeferred(): boolean {
    const { deferred } = this;
    this.deferred = [];
    return this.add(deferred);
  }

  /** Open chunks that no leader has acknowledged. */
  get missing(): number[] {
    return [...this.open].filter((index) => !this.shardByChunk.has(index));
  }

  private get isComplete(): boolean {
    return this.missing.length === 0;
  }

  /** The counted leaderships as `shard=token@revision`, separated by commas. */
  get description(): string {
    return [...this.leaders]
      .map(([shard, { fencingToken, revision }]) => `${shard}=${fencingToken}@${revision}`)
      .join(',');
  }

  /** The evidence on which the cancellation may be stored; null while an acknowledgement is missing. */
  get evidence(): CancellationEvidence | null {
    if (!this.isComplete) return null;
    return CancellationEvidence.acknowledged(
      new Set(this.shardByChunk.keys()),
      this.revisionByShard,
    );
  }

  /** The evidence for a job that is blocked on dependencies and therefore has no chunks. */
  get evidenceOfBlockedJob(): CancellationEvidence {
    return CancellationEvidence.ofBlockedJob(this.revisionByShard);
  }

  private get revisionByShard(): Map<string, number> {
    return new Map([...this.leaders].map(([shard, { revision }]) => [shard, revision]));
  }
}
