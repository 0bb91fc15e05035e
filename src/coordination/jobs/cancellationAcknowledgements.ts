/** Collects what leaders acknowledge of one announced cancellation. */
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import { keys, type JobRecord, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import { CancellationEvidence, openChunkIndices } from '../persistence/cancellationEvidence.js';

/** What is missing of a cancellation's acknowledgements, and what they rest on. */
export class CancellationAcknowledgements {
  private readonly open: ReadonlySet<number>;
  /** Chunks that count, with the shard that they are at. */
  private readonly shardByChunk = new Map<number, string>();
  private readonly leaders = new Map<string, { fencingToken: number; revision: number }>();
  /** Acknowledgements under a fencing token that this node's copy does not show yet. */
  private early: PreparedChunk[] = [];

  /** `home` leads the home shard: it marks chunks that it creates from now on, while its leader record stays. */
  constructor(
    record: JobRecord,
    home: { fencingToken: number; revision: number },
    private readonly stateCache: Pick<StateCache, 'get'>,
  ) {
    this.open = openChunkIndices(record);
    this.leaders.set(record.homeShard, home);
  }

  /** Takes what a node has acknowledged; true once no open chunk is left. */
  add(prepared: readonly PreparedChunk[]): boolean {
    for (const chunk of prepared) this.takeOne(chunk);
    return this.isComplete;
  }

  private takeOne(prepared: PreparedChunk): void {
    const { index, shard, fencingToken } = prepared;
    const cached = this.stateCache.get(keys.leader(shard));
    const known = (cached?.value as LeaderRecord | undefined)?.fencingToken ?? -1;
    // A leader that has lost the shard and does not know it must not be counted.
    if (known > fencingToken) return;
    if (cached === undefined || known < fencingToken) {
      this.early.push(prepared);
      return;
    }
    this.shardByChunk.set(index, shard);
    this.leaders.set(shard, { fencingToken, revision: cached.revision });
  }

  /** Shards whose leader records this node should read, since they have changed. */
  get shardsToRead(): string[] {
    return [...new Set(this.early.map(({ shard }) => shard))];
  }

  /** Looks again at acknowledgements that were ahead of this node's copy; true once no open chunk is left. */
  retryDeferred(): boolean {
    const { early } = this;
    this.early = [];
    return this.add(early);
  }

  /** Open chunks that no leader has acknowledged. */
  get missing(): number[] {
    return [...this.open].filter((index) => !this.shardByChunk.has(index));
  }

  private get isComplete(): boolean {
    return this.missing.length === 0;
  }

  /** The leaderships that count, as `shard=token@revision`, separated by commas. */
  get description(): string {
    return [...this.leaders]
      .map(([shard, { fencingToken, revision }]) => `${shard}=${fencingToken}@${revision}`)
      .join(',');
  }

  /** What the cancellation may be stored on; null while a chunk is missing. */
  get evidence(): CancellationEvidence | null {
    if (!this.isComplete) return null;
    return CancellationEvidence.acknowledged(
      new Set(this.shardByChunk.keys()),
      this.revisionByShard,
    );
  }

  /** The same for a job that waits for others. */
  get evidenceOfBlockedJob(): CancellationEvidence {
    return CancellationEvidence.ofBlockedJob(this.revisionByShard);
  }

  private get revisionByShard(): Map<string, number> {
    return new Map([...this.leaders].map(([shard, { revision }]) => [shard, revision]));
  }
}
