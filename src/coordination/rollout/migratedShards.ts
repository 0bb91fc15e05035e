/**
 * The records of this node's parts, as a migration sees them. They are converted by the part's own writes: a record that
 * is stored again takes the form that the cluster's version asks for.
 */
import type { Condition, Conversion, MigratedPart } from '@barrowlb/rollout';
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
  settings: { report: number };
  parts: string[];
  ownedParts: ReadonlyMap<string, OwnedShard>;
  ownership: Pick<ShardLeadership, 'get' | 'valid'>;
  replica: Pick<StateCache, 'get' | 'note'>;
  state: Pick<StateClient, 'get' | 'txn' | 'keysOfForm' | 'unreadable'>;
  commits: Pick<JobPersistence, 'rewrite'>;
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
  owned(): MigratedPart[] {
    const { node } = this;
    const parts = [...node.ownedParts.keys()];
    if (node.ownership.get(AUTOSCALER_DUTY) !== undefined) parts.push(AUTOSCALER_DUTY);
    return parts.map((label) => ({
      label,
      ownership: () => this.ownership(label),
      outdated: (after, most) => this.outdated(label, after, most),
      convert: (key) => this.convert(label, key),
    }));
  }

  private ownership(part: string): Condition | null {
    const held = this.node.ownership.get(part);
    if (held === undefined || !this.node.ownership.valid) return null;
    return { key: keys.owner(part), stamp: held.stamp };
  }

  private outdated(part: string, after: string, most: number): string[] {
    const { state } = this.node;
    const all = [...state.keysOfForm(this.outdatedForm()), ...state.unreadable.keys()];
    return all
      .filter((key) => key > after && this.partOf(key) === part)
      .sort()
      .slice(0, most);
  }

  /** Who converts a record: the owner of its part, else the lease holder. */
  private partOf(key: string): string {
    const part = key.startsWith(BUCKETS) ? key.split('/')[2] : this.homeOf(key);
    return part !== undefined && this.node.parts.includes(part) ? part : AUTOSCALER_DUTY;
  }

  private homeOf(key: string): string | undefined {
    if (!key.startsWith(JOBS)) return undefined;
    return (this.node.replica.get(key)?.value as JobRecord | undefined)?.home;
  }

  private isOutdated(key: string): boolean {
    return this.node.state.keysOfForm(this.outdatedForm()).includes(key);
  }

  private async convert(part: string, key: string): Promise<Conversion> {
    const reason = this.node.state.unreadable.get(key);
    if (reason !== undefined) return { kind: 'failed', reason };
    if (!this.isOutdated(key)) return { kind: 'needless' };
    const host = this.node.ownedParts.get(part);
    if (host === undefined) return this.rewriteDirectly(part, key);
    if (key.startsWith(BUCKETS)) return this.rewriteBucket(host, key);
    return this.rewriteJob(host, key);
  }

  /** Its chunks count as changed, so that the part stores it with its next change. */
  private async rewriteBucket(host: OwnedShard, key: string): Promise<Conversion> {
    const name = key.slice(keys.runs(host.part.label).length);
    const bucket = host.buckets.get(name);
    if (bucket === undefined) return { kind: 'later' };
    const [chunk] = bucket.chunks;
    if (chunk === undefined) bucket.stale = true;
    else host.part.changed(chunk, this.node.clock.now());
    return this.waitFor(key);
  }

  private async waitFor(key: string): Promise<Conversion> {
    const { clock, settings } = this.node;
    const deadline = clock.now() + settings.report * PATIENCE;
    while (this.isOutdated(key)) {
      if (clock.now() >= deadline) return { kind: 'later' };
      await sleep(settings.report * LOOK);
    }
    return { kind: 'converted' };
  }

  private async rewriteJob(host: OwnedShard, key: string): Promise<Conversion> {
    const job = host.jobs.get(key.slice(JOBS.length));
    // The job is over: nobody but a migration changes its record any more.
    if (job === undefined) return this.rewriteDirectly(host.part.label, key);
    const isWritten = await this.node.commits.rewrite(host, job);
    return isWritten ? { kind: 'converted' } : { kind: 'later' };
  }

  /** Stores what is stored once more, under the ownership that entitles to it. */
  private async rewriteDirectly(part: string, key: string): Promise<Conversion> {
    const { state, replica } = this.node;
    const owner = this.ownership(part);
    const item = await state.get(key);
    if (owner === null) return { kind: 'later' };
    if (item === null) return { kind: 'needless' };
    const { value, stamp } = item;
    const when = [owner, { key, stamp }];
    const result = await state.txn({ when, puts: [{ key, value }], removes: [] });
    if (result.kind === 'malformed') {
      return { kind: 'failed', reason: 'its conversion is beyond the limits of a transaction' };
    }
    if (result.kind !== 'applied') return { kind: 'later' };
    replica.note(key, value, result.stamp);
    return { kind: 'converted' };
  }
}
