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
  private readonly kinds = new Map<string, Map<string, CachedRecord>>();
  private syncedRevision = -1;
  /**
   * Revisions of removals that are known here before the watch delivers them, by key. Until it has caught up, the watch
   * may still deliver earlier states of the record.
   */
  private readonly removals = new Map<string, number>();
  private stopped = false;
  loaded = false;
  /** Monotonic time up to which all changes are known here. */
  syncedAt = -Infinity;

  constructor(
    private readonly client: Pick<StateClient, 'readRange' | 'readChanges'>,
    private readonly prefix: string,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly options: { hold: number; pause: number },
    private readonly changed: (change: KeyValueChange) => void,
  ) {}

  /** Revision up to which the cache is complete. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** Returns a record by its key. */
  get(key: string): CachedRecord | undefined {
    return this.kinds.get(kindOf(key))?.get(key);
  }

  /** Returns the records whose key begins with `prefix`, all of one kind. */
  *entriesWithPrefix(prefix: string): IterableIterator<[string, CachedRecord]> {
    const kind = kindOf(prefix);
    const items = this.kinds.get(kind);
    if (items === undefined) return;
    if (kind === prefix) yield* items;
    else for (const entry of items) if (entry[0].startsWith(prefix)) yield entry;
  }

  private of(key: string): Map<string, CachedRecord> {
    const kind = kindOf(key);
    let items = this.kinds.get(kind);
    if (items === undefined) this.kinds.set(kind, (items = new Map<string, CachedRecord>()));
    return items;
  }

  /**
   * Applies a put that this node wrote or read itself, ahead of the watch. The cache is complete up to its revision: a
   * record that is not newer and not cached has been removed since, and the answer that holds it is outdated.
   */
  note(key: string, value: unknown, revision: number): void {
    const items = this.of(key);
    const known = items.get(key);
    if (revision <= Math.max(known?.revision ?? this.syncedRevision, this.removals.get(key) ?? -1))
      return;
    items.set(key, { value, revision });
    this.changed({ key, value, revision, removed: false });
  }

  /** Applies a removal that this node wrote or read itself, ahead of the watch. */
  noteRemoved(key: string, revision: number): void {
    const items = this.of(key);
    const known = items.get(key);
    if (known === undefined || known.revision > revision) return;
    items.delete(key);
    if (Number.isFinite(revision) && revision > this.syncedRevision)
      this.removals.set(key, revision);
    this.changed({ key, value: null, revision, removed: true });
  }

  /**
   * Makes the cache complete up to a revision that this node has just written. It reads only the changes if possible:
   * reading all records again would take a second of a small processor's time after each restart.
   */
  async catchUp(revision: number): Promise<void> {
    if (this.syncedRevision >= 0) {
      const sent = this.clock.now();
      const log = await this.client.readChanges(this.prefix, this.syncedRevision, 0);
      if (log !== null && log.revision >= revision) {
        this.follow(log, sent);
        return;
      }
    }
    await this.load();
  }

  /** Applies an answer with changes; a newer answer may already have been applied. */
  private follow(log: ChangeLog, sent: number): void {
    for (const change of log.changes) {
      if (change.revision <= this.syncedRevision) continue;
      if (change.removed) this.noteRemoved(change.key, change.revision);
      else this.note(change.key, change.value, change.revision);
    }
    this.reach(log.revision);
    this.syncedAt = Math.max(this.syncedAt, sent);
  }

  /** Notes that the cache is complete up to this revision. */
  private reach(revision: number): void {
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    for (const [key, revision] of this.removals) {
      if (revision <= this.syncedRevision) this.removals.delete(key);
    }
  }

  /** Reads all records again. */
  async load(): Promise<void> {
    const sent = this.clock.now();
    const { items, revision } = await this.client.readRange(this.prefix);
    const present = new Set<string>();
    for (const item of items) {
      present.add(item.key);
      this.note(item.key, item.value, item.revision);
    }
    for (const items of this.kinds.values()) {
      for (const [key, stored] of [...items]) {
        if (!present.has(key) && stored.revision <= revision) this.noteRemoved(key, revision);
      }
    }
    // Another read, or the watch, may have advanced further meanwhile.
    this.reach(revision);
    this.loaded = true;
    this.syncedAt = Math.max(this.syncedAt, sent);
  }

  /** Watches the state service until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.syncedRevision < 0) await this.load();
        const sent = this.clock.now();
        const changes = await this.client.readChanges(
          this.prefix,
          this.syncedRevision,
          this.options.hold,
        );
        if (changes === null) {
          this.syncedRevision = -1;
          continue;
        }
        this.follow(changes, sent);
        // Watch calls count towards the request rate: a short pause batches changes.
        await sleep(this.options.pause);
      } catch (error) {
        log.debug(`watch: ${describeError(error)}`);
        await sleep(this.options.pause * 4);
      }
    }
  }

  /** Stops the watch. */
  stop(): void {
    this.stopped = true;
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
