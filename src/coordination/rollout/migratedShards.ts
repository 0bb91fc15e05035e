/**
 * The records of this node's parts, as a migration sees them. They are converted by the part's own writes: a record that
 * is stored again takes the form that the cluster's version asks for.
 */
import type { Condition, Conversion, MigratedShard } from '@barrowlb/rollout';
import { sleep, type Clock } from '../../base/clock.js';
import { keys, BUCKETS, JOBS, type JobRecord } from '../../storage/records.js';
import type { StoredForm } from '../../storage/recordFormat.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { StateClient } from '../../storage/stateClient.js';
import type { JobPersistence } from '../persistence/jobPersistence.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { AUTOSCALER_DUTY, type ShardLeadership } from '../leadership/shardLeadership.js';

/** What is needed of a node. */
export interface MigrationContext {
  clock: Clock;
  settings: { heartbeatInterval: number };
  shards: string[];
  ownedShards: ReadonlyMap<string, OwnedShard>;
  leadership: Pick<ShardLeadership, 'get' | 'isLeaseValid'>;
  stateCache: Pick<StateCache, 'get' | 'note'>;
  stateClient: Pick<StateClient, 'get' | 'transact' | 'keysOfForm' | 'unreadable'>;
  persistence: Pick<JobPersistence, 'rewrite'>;
}

/** How long a record's own write is waited for, as a ratio to the time between reports. */
const PATIENCE = 3;

/** Between two looks whether it was written, as a ratio to the time between reports. */
const LOOK = 1 / 10;

export class MigratedShards {
  constructor(
    private readonly node: MigrationContext,
    /** The form in which no record should be any more. */
    private readonly outdatedForm: () => StoredForm,
  ) {}

  /** Parts that this node may convert; whoever rents the machines has what belongs to no part. */
  owned(): MigratedShard[] {
    const { node } = this;
    const shards = [...node.ownedShards.keys()];
    if (node.leadership.get(AUTOSCALER_DUTY) !== undefined) shards.push(AUTOSCALER_DUTY);
    return shards.map((label) => ({
      label,
      leadership: () => this.leadership(label),
      outdated: (after, most) => this.outdated(label, after, most),
      convert: (key) => this.convert(label, key),
    }));
  }

  private leadership(shard: string): Condition | null {
    const leadership = this.node.leadership.get(shard);
    if (leadership === undefined || !this.node.leadership.isLeaseValid) return null;
    return { key: keys.owner(shard), revision: leadership.revision };
  }

  private outdated(shard: string, after: string, most: number): string[] {
    const { stateClient: state } = this.node;
    const all = [...state.keysOfForm(this.outdatedForm()), ...state.unreadable.keys()];
    return all
      .filter((key) => key > after && this.partOf(key) === shard)
      .sort()
      .slice(0, most);
  }

  /** Who converts a record: the owner of its part, else the lease holder. */
  private partOf(key: string): string {
    const part = key.startsWith(BUCKETS) ? key.split('/')[2] : this.homeOf(key);
    return part !== undefined && this.node.shards.includes(part) ? part : AUTOSCALER_DUTY;
  }

  private homeOf(key: string): string | undefined {
    if (!key.startsWith(JOBS)) return undefined;
    return (this.node.stateCache.get(key)?.value as JobRecord | undefined)?.homeShard;
  }

  private isOutdated(key: string): boolean {
    return this.node.stateClient.keysOfForm(this.outdatedForm()).includes(key);
  }

  private async convert(shard: string, key: string): Promise<Conversion> {
    const reason = this.node.stateClient.unreadable.get(key);
    if (reason !== undefined) return { kind: 'failed', reason };
    if (!this.isOutdated(key)) return { kind: 'needless' };
    const ownedShard = this.node.ownedShards.get(shard);
    if (ownedShard === undefined) return this.rewriteDirectly(shard, key);
    if (key.startsWith(BUCKETS)) return this.rewriteBucket(ownedShard, key);
    return this.rewriteJob(ownedShard, key);
  }

  /** Its chunks count as changed, so that the part stores it with its next change. */
  private async rewriteBucket(ownedShard: OwnedShard, key: string): Promise<Conversion> {
    const name = key.slice(keys.runs(ownedShard.shard.label).length);
    const bucket = ownedShard.buckets.get(name);
    if (bucket === undefined) return { kind: 'later' };
    const [chunk] = bucket.chunks;
    if (chunk === undefined) bucket.isDirty = true;
    else ownedShard.shard.noteChunkChanged(chunk, this.node.clock.now());
    return this.waitFor(key);
  }

  private async waitFor(key: string): Promise<Conversion> {
    const { clock, settings } = this.node;
    const deadline = clock.now() + settings.heartbeatInterval * PATIENCE;
    while (this.isOutdated(key)) {
      if (clock.now() >= deadline) return { kind: 'later' };
      await sleep(settings.heartbeatInterval * LOOK);
    }
    return { kind: 'converted' };
  }

  private async rewriteJob(ownedShard: OwnedShard, key: string): Promise<Conversion> {
    const job = ownedShard.jobs.get(key.slice(JOBS.length));
    // The job is over: nobody but a migration changes its record any more.
    if (job === undefined) return this.rewriteDirectly(ownedShard.shard.label, key);
    const isWritten = await this.node.persistence.rewrite(ownedShard, job);
    return isWritten ? { kind: 'converted' } : { kind: 'later' };
  }

  /** Stores what is stored once more, under the ownership that entitles to it. */
  private async rewriteDirectly(shard: string, key: string): Promise<Conversion> {
    const { stateClient: state, stateCache: replica } = this.node;
    const owner = this.leadership(shard);
    const item = await state.get(key);
    if (owner === null) return { kind: 'later' };
    if (item === null) return { kind: 'needless' };
    const { value, revision } = item;
    const when = [owner, { key, revision: revision }];
    const result = await state.transact({ conditions: when, puts: [{ key, value }], deletes: [] });
    if (result.kind === 'malformed') {
      return { kind: 'failed', reason: 'its conversion is beyond the limits of a transaction' };
    }
    if (result.kind !== 'applied') return { kind: 'later' };
    replica.note(key, value, result.revision);
    return { kind: 'converted' };
  }
}
