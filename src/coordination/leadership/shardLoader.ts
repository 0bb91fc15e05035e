/** Loads a shard from its stored records, and takes up records that come to it later. */
import type { Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import { keys, type JobRecord, type BucketRecord } from '../../storage/records.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { createOwnedShard, type HomeJob, type OwnedShard } from './ownedShard.js';
import type { Leadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import { Bucket } from '../model/bucket.js';

/** Creates the chunks of jobs. */
export interface ChunkCreation {
  /** Creates those chunks of a home job that are not stored yet. */
  acceptMissing(ownedShard: OwnedShard, job: HomeJob): void;
}

/** What is needed of a node. */
export interface ShardLoaderContext {
  clock: Clock;
  inventory: Pick<MachineInventory, 'of' | 'get'>;
  stateCache: Pick<StateCache, 'get' | 'entriesWithPrefix' | 'noteRemoved'>;
  stateClient: Pick<StateClient, 'get'>;
  persistence: ChunkCreation;
  recordFormat: RecordFormat;
  requestSchedulingRound(): void;
}

/** Loads the shards that this node gains. */
export class ShardLoader {
  /** Stored buckets without a counterpart in memory, seen once. */
  private readonly unmatched = new Set<string>();

  constructor(private readonly node: ShardLoaderContext) {}

  /** `renewed`: steady time until which another node may answer the shard's workers. */
  load(shard: Shard, leadership: Leadership, renewed: number): OwnedShard {
    const { node } = this;
    const now = node.clock.now();
    const { label } = shard;
    const ownedShard = createOwnedShard(shard, leadership, now, renewed);
    const wall = node.clock.wall();
    for (const [name, record] of node.inventory.of(label))
      shard.addMachine(name, record, now, renewed, Math.max(0, wall - record.launchedAt));
    const prefix = keys.bucketsOf(label);
    // Of two records that hold a chunk the newer one counts: the other is about to be removed (safety, V5).
    const stored = [...node.stateCache.entriesWithPrefix(prefix)].sort(
      ([, a], [, b]) => b.revision - a.revision,
    );
    for (const [key, { value, revision }] of stored) {
      this.loadBucket(ownedShard, key.slice(prefix.length), value as BucketRecord, revision);
    }
    this.loadJobs(ownedShard);
    shard.demand.seedArrivals(now);
    return ownedShard;
  }

  private loadJobs(ownedShard: OwnedShard): void {
    const prefix = keys.job('');
    for (const [key, { value, revision }] of this.node.stateCache.entriesWithPrefix(prefix)) {
      const record = value as JobRecord;
      if (record.state !== 'open' || record.homeShard !== ownedShard.shard.label) continue;
      const id = key.slice(prefix.length);
      const job: HomeJob = { id, record, revision, isWriteInFlight: false };
      ownedShard.jobs.set(id, job);
      this.node.persistence.acceptMissing(ownedShard, job);
    }
  }

  /** Takes up one bucket of a shard, but for chunks that are over and run nowhere; those go with its next change. */
  loadBucket(ownedShard: OwnedShard, name: string, value: BucketRecord, revision: number): void {
    const { node } = this;
    const now = node.clock.now();
    this.keepReassigned(ownedShard, value, now);
    const bucket = new Bucket(name, revision, node.recordFormat);
    ownedShard.buckets.set(name, bucket);
    for (const [id, record] of Object.entries(value.chunks)) {
      const index = Number(id.slice(id.lastIndexOf('/') + 1));
      const job = cachedJob(node.stateCache, record.spec.id);
      const isOver = job?.state === 'done' || job?.doneChunks.includes(index) === true;
      // What was started of it, perhaps once more, is on a machine until that is known to be over.
      if ((isOver && record.attempts.length === 0) || ownedShard.shard.chunks.has(id)) {
        bucket.isDirty = true;
        continue;
      }
      const chunk = ownedShard.shard.loadChunk(index, record, ownedShard.fencingToken, now);
      bucket.add(chunk);
      if (isOver) ownedShard.shard.cancel(chunk, now);
    }
    if (bucket.chunks.size === 0) bucket.isDirty = true;
  }

  /** Machines that run attempts of the shard, though the records have put them into another: the attempts are not over for that. */
  private keepReassigned({ shard }: OwnedShard, { chunks }: BucketRecord, now: number): void {
    for (const { machine } of Object.values(chunks).flatMap(({ attempts }) => attempts)) {
      if (shard.machines.has(machine)) continue;
      const record = this.node.inventory.get(machine);
      if (record !== undefined) shard.addMachine(machine, record, now);
    }
  }

  /**
   * A stored bucket has changed. Only what was just sent here is taken up: nothing of it can have been started
   * by this shard's leaders.
   */
  noteBucket(ownedShard: OwnedShard, name: string, value: BucketRecord, revision: number): void {
    if (ownedShard.buckets.has(name)) return;
    const chunks = Object.values(value.chunks);
    if (!chunks.every((chunk) => chunk.migrationCount > 0 && chunk.attempts.length === 0)) return;
    this.loadBucket(ownedShard, name, value, revision);
    this.node.requestSchedulingRound();
  }

  /** Takes up stored buckets of an owned shard that are not in memory: changes that the watch has missed. */
  loadUnmatchedBuckets(ownedShard: OwnedShard): void {
    const prefix = keys.bucketsOf(ownedShard.shard.label);
    for (const [key] of this.node.stateCache.entriesWithPrefix(prefix)) {
      const name = key.slice(prefix.length);
      if (ownedShard.buckets.has(name)) this.unmatched.delete(key);
      else if (this.unmatched.has(key)) void this.adopt(ownedShard, key, name);
      else this.unmatched.add(key);
    }
  }

  private async adopt(ownedShard: OwnedShard, key: string, name: string): Promise<void> {
    const { node } = this;
    this.unmatched.delete(key);
    try {
      const item = await node.stateClient.get(key);
      if (!ownedShard.isOwned || ownedShard.buckets.has(name)) return;
      if (item === null) {
        node.stateCache.noteRemoved(key, Infinity);
        return;
      }
      log.info(`taking up what ${key} holds`);
      this.loadBucket(ownedShard, name, item.value as BucketRecord, item.revision);
      node.requestSchedulingRound();
    } catch (error) {
      log.debug(`stored bucket: ${describeError(error)}`);
    }
  }
}
