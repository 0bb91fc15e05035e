/** Each node's cache of the records in the state service. */
import { sleep, type Clock } from '../base/clock.js';
import { log, describeError } from '../base/log.js';
import type { KeyValueChange } from '../protocol/stateProtocol.js';
import { keys, type JobRecord } from './records.js';
import type { StateClient } from './stateClient.js';

/** Changes after some revision, complete up to `revision`. */
export interface ChangeLog {
  revision: number;
  changes: KeyValueChange[];
}

/** A cached record, with the revision of its last change. */
export interface CachedRecord {
  value: unknown;
  revision: number;
}

/**
 * A cache of all records under a prefix, slightly behind the state service. It serves lookups; a decision that needs the
 * current value reads it from the state service, or makes the revision a condition of a transaction.
 */
export class StateCache {
  /** Records by kind (`b/job/`, `b/run/`, …), so that iterating one kind skips the many records of finished jobs. */
  private readonly recordsByKind = new Map<string, Map<string, CachedRecord>>();
  private syncedRevision = -1;
  /**
   * Revisions of removals that are known here before the watch delivers them, by key. Until it has caught up, the watch
   * may still deliver earlier states of the record.
   */
  private readonly removalRevisions = new Map<string, number>();
  private isStopped = false;
  loaded = false;
  /** Monotonic time up to which all changes are known here. */
  syncedAt = -Infinity;

  constructor(
    private readonly client: Pick<StateClient, 'readRange' | 'readChanges'>,
    private readonly prefix: string,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly options: { hold: number; pause: number },
    private readonly onChange: (change: KeyValueChange) => void,
  ) {}

  /** Revision up to which the cache is complete. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** Returns a record by its key. */
  get(key: string): CachedRecord | undefined {
    return this.recordsByKind.get(kindOf(key))?.get(key);
  }

  /** Returns the records whose key begins with `prefix`, all of one kind. */
  *entriesWithPrefix(prefix: string): IterableIterator<[string, CachedRecord]> {
    const kind = kindOf(prefix);
    const records = this.recordsByKind.get(kind);
    if (records === undefined) return;
    if (kind === prefix) yield* records;
    else for (const entry of records) if (entry[0].startsWith(prefix)) yield entry;
  }

  private recordsOf(key: string): Map<string, CachedRecord> {
    const kind = kindOf(key);
    let records = this.recordsByKind.get(kind);
    if (records === undefined)
      this.recordsByKind.set(kind, (records = new Map<string, CachedRecord>()));
    return records;
  }

  /**
   * Applies a put that this node wrote or read itself, ahead of the watch. The cache is complete up to its revision: a
   * record that is not newer and not cached has been removed since, and the answer that holds it is outdated.
   */
  applyPut(key: string, value: unknown, revision: number): void {
    const records = this.recordsOf(key);
    const cached = records.get(key);
    if (
      revision <=
      Math.max(cached?.revision ?? this.syncedRevision, this.removalRevisions.get(key) ?? -1)
    )
      return;
    records.set(key, { value, revision });
    this.onChange({ key, value, revision, removed: false });
  }

  /** Applies a removal that this node wrote or read itself, ahead of the watch. */
  applyRemoval(key: string, revision: number): void {
    const records = this.recordsOf(key);
    const cached = records.get(key);
    if (cached === undefined || cached.revision > revision) return;
    records.delete(key);
    if (Number.isFinite(revision) && revision > this.syncedRevision)
      this.removalRevisions.set(key, revision);
    this.onChange({ key, value: null, revision, removed: true });
  }

  /**
   * Makes the cache complete up to a revision that this node has just written. It reads only the changes if possible:
   * reading all records again would take a second of a small processor's time after each restart.
   */
  async catchUp(revision: number): Promise<void> {
    if (this.syncedRevision >= 0) {
      const sentAt = this.clock.now();
      const changeLog = await this.client.readChanges(this.prefix, this.syncedRevision, 0);
      if (changeLog !== null && changeLog.revision >= revision) {
        this.applyChanges(changeLog, sentAt);
        return;
      }
    }
    await this.load();
  }

  /** Applies an answer with changes; a newer answer may already have been applied. */
  private applyChanges(changeLog: ChangeLog, sentAt: number): void {
    for (const change of changeLog.changes) {
      if (change.revision <= this.syncedRevision) continue;
      if (change.removed) this.applyRemoval(change.key, change.revision);
      else this.applyPut(change.key, change.value, change.revision);
    }
    this.advanceTo(changeLog.revision);
    this.syncedAt = Math.max(this.syncedAt, sentAt);
  }

  /** Notes that the cache is complete up to this revision. */
  private advanceTo(revision: number): void {
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    for (const [key, removalRevision] of this.removalRevisions) {
      if (removalRevision <= this.syncedRevision) this.removalRevisions.delete(key);
    }
  }

  /** Reads all records again. */
  async load(): Promise<void> {
    const sentAt = this.clock.now();
    const { items, revision } = await this.client.readRange(this.prefix);
    const present = new Set<string>();
    for (const item of items) {
      present.add(item.key);
      this.applyPut(item.key, item.value, item.revision);
    }
    for (const records of this.recordsByKind.values()) {
      for (const [key, stored] of [...records]) {
        if (!present.has(key) && stored.revision <= revision) this.applyRemoval(key, revision);
      }
    }
    // Another read, or the watch, may have advanced further meanwhile.
    this.advanceTo(revision);
    this.loaded = true;
    this.syncedAt = Math.max(this.syncedAt, sentAt);
  }

  /** Watches the state service until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.syncedRevision < 0) await this.load();
        const sentAt = this.clock.now();
        const changeLog = await this.client.readChanges(
          this.prefix,
          this.syncedRevision,
          this.options.hold,
        );
        if (changeLog === null) {
          this.syncedRevision = -1;
          continue;
        }
        this.applyChanges(changeLog, sentAt);
        // Watch calls count towards the request rate: a short pause batches changes.
        await sleep(this.options.pause);
      } catch (error) {
        log.debug(`watching the state service failed: ${describeError(error)}`);
        await sleep(this.options.pause * 4);
      }
    }
  }

  /** Stops the watch. */
  stop(): void {
    this.isStopped = true;
  }
}

/** Returns the first two segments of a key, with their slashes; a key without a second slash is its own kind. */
function kindOf(key: string): string {
  const end = key.indexOf('/', key.indexOf('/') + 1);
  return end < 0 ? key : key.slice(0, end + 1);
}

/** Returns the cached record of a job. It may be older than the stored one, except in a final state, which never changes. */
export function cachedJob(cache: Pick<StateCache, 'get'>, id: string): JobRecord | undefined {
  return cache.get(keys.job(id))?.value as JobRecord | undefined;
}
