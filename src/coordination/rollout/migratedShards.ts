/**
 * Exposes the records of this node's shards to the migrator. The regular writes of a shard convert them: a record that is
 * written again takes the form that the cluster's version requires.
 */
import type { Condition, Conversion, MigratedShard } from '@barrowlb/rollout';
import { sleep } from '../../base/clock.js';
import { keys, BUCKET_PREFIX, JOB_PREFIX, type JobRecord } from '../../storage/records.js';
import type { StoredForm } from '../../storage/recordFormat.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { AUTOSCALER_ROLE } from '../leadership/shardLeadership.js';
import type { MigrationContext } from './rolloutContext.js';

/** Timeout of the wait for a shard to rewrite a bucket, in heartbeat intervals. */
const WRITE_TIMEOUT_INTERVALS = 3;

/** Interval between two checks whether the record was rewritten, in heartbeat intervals. */
const WRITE_POLL_INTERVALS = 1 / 10;

/** Provides the shards that this node leads to the migrator. */
export class MigratedShards {
  constructor(
    private readonly node: MigrationContext,
    /** The form that records must be converted from. */
    private readonly outdatedForm: () => StoredForm,
  ) {}

  /** The shards that this node may convert; the autoscaler's leader converts the records that belong to no shard. */
  owned(): MigratedShard[] {
    const { node } = this;
    const shards = [...node.ownedShards.keys()];
    if (node.leadership.get(AUTOSCALER_ROLE) !== undefined) shards.push(AUTOSCALER_ROLE);
    return shards.map((label) => ({
      label,
      leadership: () => this.leadership(label),
      outdatedKeys: (after, most) => this.outdatedKeys(label, after, most),
      convert: (key) => this.convert(label, key),
    }));
  }

  private leadership(shard: string): Condition | null {
    const leadership = this.node.leadership.get(shard);
    if (leadership === undefined || !this.node.leadership.isLeaseValid) return null;
    return { key: keys.leader(shard), revision: leadership.revision };
  }

  private outdatedKeys(shard: string, after: string, most: number): string[] {
    const { stateClient } = this.node;
    const all = [...stateClient.keysOfForm(this.outdatedForm()), ...stateClient.unreadable.keys()];
    return all
      .filter((key) => key > after && this.shardOf(key) === shard)
      .sort()
      .slice(0, most);
  }

  /** The shard whose leader converts the record; the autoscaler role for a record of no shard. */
  private shardOf(key: string): string {
    const shard = key.startsWith(BUCKET_PREFIX) ? key.split('/')[2] : this.homeShardOf(key);
    return shard !== undefined && this.node.shards.includes(shard) ? shard : AUTOSCALER_ROLE;
  }

  private homeShardOf(key: string): string | undefined {
    if (!key.startsWith(JOB_PREFIX)) return undefined;
    return (this.node.stateCache.get(key)?.value as JobRecord | undefined)?.homeShard;
  }

  private isOutdated(key: string): boolean {
    return this.node.stateClient.keysOfForm(this.outdatedForm()).includes(key);
  }

  private async convert(shard: string, key: string): Promise<Conversion> {
    const reason = this.node.stateClient.unreadable.get(key);
    if (reason !== undefined) return { kind: 'failed', reason };
    if (!this.isOutdated(key)) return { kind: 'not-needed' };
    const ownedShard = this.node.ownedShards.get(shard);
    if (ownedShard === undefined) return this.rewriteDirectly(shard, key);
    if (key.startsWith(BUCKET_PREFIX)) return this.rewriteBucket(ownedShard, key);
    return this.rewriteJob(ownedShard, key);
  }

  /** Marks the bucket as changed, so that the shard writes it again. */
  private async rewriteBucket(ownedShard: OwnedShard, key: string): Promise<Conversion> {
    const name = key.slice(keys.bucketsOf(ownedShard.shard.label).length);
    const bucket = ownedShard.buckets.get(name);
    if (bucket === undefined) return { kind: 'deferred' };
    const [chunk] = bucket.chunks;
    if (chunk === undefined) bucket.isDirty = true;
    else ownedShard.shard.noteChunkChanged(chunk, this.node.clock.now());
    return this.awaitRewrite(key);
  }

  private async awaitRewrite(key: string): Promise<Conversion> {
    const { clock, settings } = this.node;
    const deadline = clock.now() + settings.heartbeatInterval * WRITE_TIMEOUT_INTERVALS;
    while (this.isOutdated(key)) {
      if (clock.now() >= deadline) return { kind: 'deferred' };
      await sleep(settings.heartbeatInterval * WRITE_POLL_INTERVALS);
    }
    return { kind: 'converted' };
  }

  private async rewriteJob(ownedShard: OwnedShard, key: string): Promise<Conversion> {
    const job = ownedShard.jobs.get(key.slice(JOB_PREFIX.length));
    // A job that is not in memory is finished; only the migration still writes its record.
    if (job === undefined) return this.rewriteDirectly(ownedShard.shard.label, key);
    const isWritten = await this.node.persistence.rewrite(ownedShard, job);
    return isWritten ? { kind: 'converted' } : { kind: 'deferred' };
  }

  /** Writes the stored value again, on condition of the leader key of the shard. */
  private async rewriteDirectly(shard: string, key: string): Promise<Conversion> {
    const { stateClient, stateCache } = this.node;
    const leadership = this.leadership(shard);
    const item = await stateClient.get(key);
    if (leadership === null) return { kind: 'deferred' };
    if (item === null) return { kind: 'not-needed' };
    const { value, revision } = item;
    const result = await stateClient.transact({
      conditions: [leadership, { key, revision }],
      puts: [{ key, value }],
      deletes: [],
    });
    if (result.kind === 'malformed') {
      return { kind: 'failed', reason: 'its conversion is beyond the limits of a transaction' };
    }
    if (result.kind !== 'applied') return { kind: 'deferred' };
    stateCache.applyPut(key, value, result.revision);
    return { kind: 'converted' };
  }
}
