/** The copy of the state service's records that each node keeps. */
import { sleep, type Clock } from '../base/clock.js';
import { log, describeError } from '../base/log.js';
import type { KeyValueChange } from '../protocol/stateProtocol.js';
import { keys, type JobRecord } from './records.js';
import type { StateClient } from './stateClient.js';

/** Changes after a revision, up to `epoch`. */
export interface ChangeLog {
  revision: number;
  changes: KeyValueChange[];
}

/** A record of the cache, with the revision of its last change. */
export interface CachedRecord {
  value: unknown;
  revision: number;
}

/**
 * A copy of all our records that follows the state service a little late. It is good for finding
 * things; what must be certain is read, or made a condition of a transaction.
 */
export class StateCache {
  /** By kind (`b/job/`, `b/run/`, …): final jobs are kept for good, and nobody should walk past them. */
  private readonly kinds = new Map<string, Map<string, CachedRecord>>();
  private syncedRevision = -1;
  /**
   * Removals that are known here ahead of the watch, by key: until it has caught up, its answers still tell of the
   * record as it was before.
   */
  private readonly removals = new Map<string, number>();
  private stopped = false;
  loaded = false;
  /** Steady time up to which all changes are known here. */
  syncedAt = -Infinity;

  constructor(
    private readonly client: Pick<StateClient, 'readRange' | 'readChanges'>,
    private readonly prefix: string,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly options: { hold: number; pause: number },
    private readonly changed: (change: KeyValueChange) => void,
  ) {}

  /** The revision up to which it holds everything. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** One record, by its key. */
  get(key: string): CachedRecord | undefined {
    return this.kinds.get(kindOf(key))?.get(key);
  }

  /** All of one kind, or those of it that begin with `prefix`. */
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
   * Notes a change that we made or read ourselves, ahead of the watch. The copy holds all up to its revision: what
   * it does not have of that time has been removed since, and the answer that tells of it was overtaken.
   */
  note(key: string, value: unknown, revision: number): void {
    const items = this.of(key);
    const known = items.get(key);
    if (revision <= Math.max(known?.revision ?? this.syncedRevision, this.removals.get(key) ?? -1))
      return;
    items.set(key, { value, revision });
    this.changed({ key, value, revision, removed: false });
  }

  /** Notes a removal that we made or read ourselves, ahead of the watch. */
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
   * Makes sure that the copy holds all that was stored up to a revision, for who has just written that.
   * Reading all records again would cost a second of a small processor's time after each restart.
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

  /** Takes up an answer with changes, which may have been overtaken by a newer one. */
  private follow(log: ChangeLog, sent: number): void {
    for (const change of log.changes) {
      if (change.revision <= this.syncedRevision) continue;
      if (change.removed) this.noteRemoved(change.key, change.revision);
      else this.note(change.key, change.value, change.revision);
    }
    this.reach(log.revision);
    this.syncedAt = Math.max(this.syncedAt, sent);
  }

  /** The copy holds all up to this revision. */
  private reach(revision: number): void {
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    for (const [key, revision] of this.removals) {
      if (revision <= this.syncedRevision) this.removals.delete(key);
    }
  }

  /** Reads all records anew. */
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
    // Another reading, or the watch, may have gone further meanwhile.
    this.reach(revision);
    this.loaded = true;
    this.syncedAt = Math.max(this.syncedAt, sent);
  }

  /** Follows the state service until `stop`. */
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
        // Watches count as requests: a short pause lets changes gather.
        await sleep(this.options.pause);
      } catch (error) {
        log.debug(`watch: ${describeError(error)}`);
        await sleep(this.options.pause * 4);
      }
    }
  }

  /** Ends following. */
  stop(): void {
    this.stopped = true;
  }
}

/** The first two segments of a key, with their slashes; a key without a second slash is its own kind. */
function kindOf(key: string): string {
  const end = key.indexOf('/', key.indexOf('/') + 1);
  return end < 0 ? key : key.slice(0, end + 1);
}

/** The copy of a job's record. It may be older than what is stored, but for a final state, which never changes. */
export function cachedJob(cache: Pick<StateCache, 'get'>, id: string): JobRecord | undefined {
  return cache.get(keys.job(id))?.value as JobRecord | undefined;
}
