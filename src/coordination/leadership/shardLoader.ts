/** Loads a shard from its stored records, and adds buckets that are stored for it later. */
import type { Clock } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import {
  keys,
  type BucketRecord,
  type ChunkRecord,
  type JobRecord,
} from '../../storage/records.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import { cachedJob, type StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import { createOwnedShard, type HomeJob, type OwnedShard } from './ownedShard.js';
import type { Leadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import { Bucket } from '../model/bucket.js';
import type { Chunk } from '../model/chunk.js';

/** Creates the chunks of jobs. */
export interface ChunkCreation {
  /** Creates the chunks of a home job that are not stored yet. */
  createMissingChunks(ownedShard: OwnedShard, job: HomeJob): void;
}

/** The parts of a node that loading a shard depends on. */
export interface ShardLoaderContext {
  clock: Clock;
  inventory: Pick<MachineInventory, 'machinesOf' | 'get'>;
  stateCache: Pick<StateCache, 'get' | 'entriesWithPrefix' | 'applyRemoval'>;
  stateClient: Pick<StateClient, 'get'>;
  persistence: ChunkCreation;
  recordFormat: RecordFormat;
  requestSchedulingRound(): void;
}

/** Loads shards whose leadership this node gains. */
export class ShardLoader {
  /** Keys of stored buckets that the previous check did not find in memory. */
  private readonly unmatchedKeys = new Set<string>();

  constructor(private readonly node: ShardLoaderContext) {}

  /** Loads a shard. A previous leader may answer its workers until `previousLeaderMayAnswerUntil`, in monotonic time. */
  load(shard: Shard, leadership: Leadership, previousLeaderMayAnswerUntil: number): OwnedShard {
    const { node } = this;
    const now = node.clock.now();
    const { label } = shard;
    const ownedShard = createOwnedShard(shard, leadership, now, previousLeaderMayAnswerUntil);
    const wall = node.clock.wall();
    for (const [name, record] of node.inventory.machinesOf(label))
      shard.addMachine(
        name,
        record,
        now,
        previousLeaderMayAnswerUntil,
        Math.max(0, wall - record.launchedAt),
      );
    const prefix = keys.bucketsOf(label);
    // If two records hold the same chunk, the newer one counts: the older one is about to be removed (safety, V5).
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
      this.node.persistence.createMissingChunks(ownedShard, job);
    }
  }

  /** Loads one bucket of a shard, except chunks that are over and run nowhere; its next write drops those. */
  loadBucket(ownedShard: OwnedShard, name: string, value: BucketRecord, revision: number): void {
    const { node } = this;
    const now = node.clock.now();
    this.addReassignedMachines(ownedShard, value, now);
    const bucket = new Bucket(name, revision, node.recordFormat);
    ownedShard.buckets.set(name, bucket);
    for (const [id, record] of Object.entries(value.chunks)) {
      const index = Number(id.slice(id.lastIndexOf('/') + 1));
      const job = cachedJob(node.stateCache, record.spec.id);
      const isOver = job?.state === 'done' || job?.doneChunks.includes(index) === true;
      // Attempts of a chunk that is over count as running until they are known to have terminated.
      if (isOver && record.attempts.length === 0) {
        bucket.isDirty = true;
        continue;
      }
      const present = ownedShard.shard.chunks.get(id);
      if (present !== undefined && !this.replaceIfOutdated(ownedShard, present, record)) {
        bucket.noteOutdatedCopy(present);
        continue;
      }
      const chunk = ownedShard.shard.loadChunk(index, record, ownedShard.fencingToken, now);
      bucket.add(chunk);
      if (isOver) ownedShard.shard.cancel(chunk, now);
    }
    if (bucket.chunks.size === 0) bucket.isDirty = true;
  }

  /**
   * Removes the chunk in memory if the record shows that it has migrated more often: it has left and come back, although the
   * transaction that moved it away got no answer. Nothing of it was started since: its bucket can't have been written (safety,
   * T24). Returns false if the record holds an older copy.
   */
  private replaceIfOutdated(
    { shard }: OwnedShard,
    present: Chunk,
    { migrationCount }: ChunkRecord,
  ): boolean {
    if (migrationCount <= present.migrationCount) return false;
    log.info(
      `chunk ${present.id} is back in shard ${shard.label}: its unanswered migration was applied`,
    );
    shard.migrateAway(present, this.node.clock.now());
    return true;
  }

  /** Adds machines that run attempts of the shard but are recorded in another shard: the attempts may still run. */
  private addReassignedMachines(
    { shard }: OwnedShard,
    { chunks }: BucketRecord,
    now: number,
  ): void {
    for (const { machine } of Object.values(chunks).flatMap(({ attempts }) => attempts)) {
      if (shard.machines.has(machine)) continue;
      const record = this.node.inventory.get(machine);
      if (record !== undefined) shard.addMachine(machine, record, now);
    }
  }

  /**
   * Called when a stored bucket has changed. It loads only buckets of chunks that were just migrated here: no leader of
   * this shard can have started any task of those.
   */
  onBucketChange(
    ownedShard: OwnedShard,
    name: string,
    value: BucketRecord,
    revision: number,
  ): void {
    if (ownedShard.buckets.has(name)) return;
    const chunks = Object.values(value.chunks);
    if (!chunks.every((chunk) => chunk.migrationCount > 0 && chunk.attempts.length === 0)) return;
    this.loadBucket(ownedShard, name, value, revision);
    this.node.requestSchedulingRound();
  }

  /** Loads stored buckets of an owned shard that two successive checks did not find in memory: the watch missed them. */
  loadUnmatchedBuckets(ownedShard: OwnedShard): void {
    const prefix = keys.bucketsOf(ownedShard.shard.label);
    for (const [key] of this.node.stateCache.entriesWithPrefix(prefix)) {
      const name = key.slice(prefix.length);
      if (ownedShard.buckets.has(name)) this.unmatchedKeys.delete(key);
      else if (this.unmatchedKeys.has(key)) void this.loadUnmatchedBucket(ownedShard, key, name);
      else this.unmatchedKeys.add(key);
    }
  }

  private async loadUnmatchedBucket(
    ownedShard: OwnedShard,
    key: string,
    name: string,
  ): Promise<void> {
    const { node } = this;
    this.unmatchedKeys.delete(key);
    try {
      const item = await node.stateClient.get(key);
      if (!ownedShard.isOwned || ownedShard.buckets.has(name)) return;
      if (item === null) {
        node.stateCache.applyRemoval(key, Infinity);
        return;
      }
      log.info(`loading stored bucket ${key}, which the watch missed`);
      this.loadBucket(ownedShard, name, item.value as BucketRecord, item.revision);
      node.requestSchedulingRound();
    } catch (error) {
      log.debug(`reading a stored bucket failed: ${describeError(error)}`);
    }
  }
}
