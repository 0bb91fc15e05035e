/** Makes a part from its stored records, and takes up records that come to it later. */
import type { Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import { keys, type JobRecord, type BucketRecord } from '../../storage/records.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { RecordFormat } from '../../storage/recordFormat.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import { createOwnedShard, type HomeJob, type OwnedShard } from './ownedShard.js';
import type { Leadership } from './shardLeadership.js';
import type { Shard } from '../shard/shard.js';
import { Bucket } from '../persistence/bucket.js';
import type { CancellationPreparations } from '../jobs/cancellationPreparations.js';

/** What is needed of a node. */
export interface ShardLoaderContext {
  clock: Clock;
  fleet: Pick<MachineInventory, 'of'>;
  replica: Pick<StateCache, 'get' | 'under' | 'noteRemoved'>;
  state: Pick<StateClient, 'get'>;
  cancelPreparations: Pick<CancellationPreparations, 'apply'>;
  commits: Pick<JobPersistence, 'acceptMissing'>;
  layout: RecordFormat;
  requestRound(): void;
}

export class ShardLoader {
  /** Stored buckets without a counterpart in memory, seen once. */
  private readonly unmatched = new Set<string>();

  constructor(private readonly node: ShardLoaderContext) {}

  /** `renewed`: steady time until which another node may answer the part's workers. */
  load(part: Shard, held: Leadership, renewed: number): OwnedShard {
    const { node } = this;
    const now = node.clock.now();
    const { label } = part;
    const host = createOwnedShard(part, held, now, renewed);
    for (const [name, record] of node.fleet.of(label)) part.addMachine(name, record, now, renewed);
    const prefix = keys.runs(label);
    // Of two records that hold a chunk the newer one counts: the other is about to be removed (safety, V5).
    const stored = [...node.replica.under(prefix)].sort(([, a], [, b]) => b.stamp - a.stamp);
    for (const [key, { value, stamp }] of stored) {
      this.loadBucket(host, key.slice(prefix.length), value as BucketRecord, stamp);
    }
    this.loadJobs(host);
    part.needs.seedArrivals(now);
    return host;
  }

  private loadJobs(host: OwnedShard): void {
    const prefix = keys.job('');
    for (const [key, { value, stamp }] of this.node.replica.under(prefix)) {
      const record = value as JobRecord;
      if (record.state !== 'open' || record.home !== host.part.label) continue;
      const id = key.slice(prefix.length);
      const job: HomeJob = { id, record, stamp, busy: false };
      host.jobs.set(id, job);
      this.node.commits.acceptMissing(host, job);
    }
  }

  /** Takes up one bucket of a part, but for chunks that are over and run nowhere; those go with its next change. */
  loadBucket(host: OwnedShard, name: string, value: BucketRecord, stamp: number): void {
    const { node } = this;
    const now = node.clock.now();
    const bucket = new Bucket(name, stamp, node.layout);
    host.buckets.set(name, bucket);
    for (const [id, record] of Object.entries(value.chunks)) {
      const index = Number(id.slice(id.lastIndexOf('/') + 1));
      const job = node.replica.get(keys.job(record.spec.id))?.value as JobRecord | undefined;
      const isOver = job?.state === 'done' || job?.finished.includes(index) === true;
      // What was started of it, perhaps once more, is on a machine until that is known to be over.
      if ((isOver && record.entries.length === 0) || host.part.chunks.has(id)) {
        bucket.stale = true;
        continue;
      }
      const chunk = host.part.loadChunk(index, record, host.token, now);
      bucket.add(chunk);
      node.cancelPreparations.apply(host, chunk);
      if (isOver || job?.state === 'cancelled') host.part.cancel(chunk, now);
    }
    if (bucket.chunks.size === 0) bucket.stale = true;
  }

  /**
   * A stored bucket has changed. Only what was just sent here is taken up: nothing of it can have been started
   * by this part's owners.
   */
  noteBucket(host: OwnedShard, name: string, value: BucketRecord, stamp: number): void {
    if (host.buckets.has(name)) return;
    const chunks = Object.values(value.chunks);
    if (!chunks.every((chunk) => chunk.moves > 0 && chunk.entries.length === 0)) return;
    this.loadBucket(host, name, value, stamp);
    this.node.requestRound();
  }

  /** Takes up stored buckets of an owned part that are not in memory: changes that the watch has missed. */
  adoptUnmatched(host: OwnedShard): void {
    const prefix = keys.runs(host.part.label);
    for (const [key] of this.node.replica.under(prefix)) {
      const name = key.slice(prefix.length);
      if (host.buckets.has(name)) this.unmatched.delete(key);
      else if (this.unmatched.has(key)) void this.adopt(host, key, name);
      else this.unmatched.add(key);
    }
  }

  private async adopt(host: OwnedShard, key: string, name: string): Promise<void> {
    const { node } = this;
    this.unmatched.delete(key);
    try {
      const item = await node.state.get(key);
      if (!host.alive || host.buckets.has(name)) return;
      if (item === null) {
        node.replica.noteRemoved(key, Infinity);
        return;
      }
      log.info(`taking up what ${key} holds`);
      this.loadBucket(host, name, item.value as BucketRecord, item.stamp);
      node.requestRound();
    } catch (error) {
      log.debug(`stored bucket: ${describe(error)}`);
    }
  }
}
