/** Makes a part from its stored records, and takes up records that come to it later. */
import type { Clock } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import { keys, type JobRecord, type ShelfRecord } from '../storage/records.js';
import type { Fleet } from '../storage/fleet.js';
import type { Replica } from '../storage/replica.js';
import type { StateClient } from '../storage/stateClient.js';
import { Chunk } from './chunk.js';
import { chunkRanges } from './chunks.js';
import { hosting, type Hosted } from './hosted.js';
import type { Held } from './ownership.js';
import type { Part } from './part.js';
import { Shelf } from './shelf.js';
import type { Withholding } from './withholding.js';

/** What is needed of a node. */
export interface LoadingNode {
  clock: Clock;
  fleet: Pick<Fleet, 'of'>;
  replica: Pick<Replica, 'get' | 'under' | 'noteRemoved'>;
  state: Pick<StateClient, 'get'>;
  withholding: Pick<Withholding, 'apply'>;
  kick(): void;
}

export class PartLoader {
  /** Stored shelves without a counterpart in memory, seen once. */
  private readonly unmatched = new Set<string>();

  constructor(private readonly node: LoadingNode) {}

  /** `renewed`: steady time until which another node may answer the part's workers. */
  load(part: Part, held: Held, renewed: number): Hosted {
    const { node } = this;
    const now = node.clock.now();
    const { label } = part;
    const host = hosting(part, held, now, renewed);
    for (const [name, record] of node.fleet.of(label)) part.addMachine(name, record, now, renewed);
    const prefix = keys.runs(label);
    for (const [key, { value, stamp }] of node.replica.under(prefix)) {
      this.loadShelf(host, key.slice(prefix.length), value as ShelfRecord, stamp);
    }
    this.loadJobs(host);
    part.needs.seedArrivals(now);
    return host;
  }

  private loadJobs(host: Hosted): void {
    const prefix = keys.job('');
    for (const [key, { value, stamp }] of this.node.replica.under(prefix)) {
      const record = value as JobRecord;
      if (record.state !== 'open' || record.home !== host.part.label) continue;
      const id = key.slice(prefix.length);
      host.jobs.set(id, { id, record, stamp, busy: false });
      this.loadUnstored(host, record);
    }
  }

  /** Takes up one shelf of a part, but for chunks that are over; those go with its next change. */
  loadShelf(host: Hosted, name: string, value: ShelfRecord, stamp: number): void {
    const { node } = this;
    const now = node.clock.now();
    const shelf = new Shelf(name, stamp);
    host.shelves.set(name, shelf);
    for (const [id, record] of Object.entries(value.chunks)) {
      const index = Number(id.slice(id.lastIndexOf('/') + 1));
      const job = node.replica.get(keys.job(record.spec.id))?.value as JobRecord | undefined;
      const isOver = job?.state === 'done' || job?.finished.includes(index) === true;
      if (isOver || host.part.chunks.has(id)) {
        shelf.stale = true;
        continue;
      }
      const chunk = host.part.loadChunk(index, record, host.token, now);
      shelf.add(chunk);
      node.withholding.apply(host, chunk);
      if (job?.state === 'cancelled') host.part.cancel(chunk, now);
    }
    if (shelf.chunks.size === 0) shelf.stale = true;
  }

  /** Chunks of a home job that nobody has stored yet: nothing of them was started. */
  private loadUnstored(host: Hosted, record: JobRecord): void {
    const { spec, size, zones, cut, finished, away, at, home } = record;
    if (spec === null) return;
    const now = this.node.clock.now();
    const ranges = chunkRanges(spec.tasks, size, zones);
    for (let k = 0; k < cut; k++) {
      const range = ranges[k];
      const isElsewhere = finished.includes(k) || away.includes(k);
      if (range === undefined || isElsewhere || host.part.chunks.has(`${spec.id}/${k}`)) continue;
      const { from, to, zone } = range;
      const chunk = new Chunk(spec, k, home, at, from, to, zone, now);
      host.part.accept(chunk, now);
      this.node.withholding.apply(host, chunk);
    }
  }

  /**
   * A stored shelf has changed. Only what was just sent here is taken up: nothing of it can have been started
   * by this part's owners.
   */
  noteShelf(host: Hosted, name: string, value: ShelfRecord, stamp: number): void {
    if (host.shelves.has(name)) return;
    const chunks = Object.values(value.chunks);
    if (!chunks.every((chunk) => chunk.moves > 0 && chunk.entries.length === 0)) return;
    this.loadShelf(host, name, value, stamp);
    this.node.kick();
  }

  /** Takes up stored shelves of an owned part that are not in memory: changes that the watch has missed. */
  adoptUnmatched(host: Hosted): void {
    const prefix = keys.runs(host.part.label);
    for (const [key] of this.node.replica.under(prefix)) {
      const name = key.slice(prefix.length);
      if (host.shelves.has(name)) this.unmatched.delete(key);
      else if (this.unmatched.has(key)) void this.adopt(host, key, name);
      else this.unmatched.add(key);
    }
  }

  private async adopt(host: Hosted, key: string, name: string): Promise<void> {
    const { node } = this;
    this.unmatched.delete(key);
    try {
      const item = await node.state.get(key);
      if (!host.alive || host.shelves.has(name)) return;
      if (item === null) {
        node.replica.noteRemoved(key, Infinity);
        return;
      }
      log.info(`taking up what ${key} holds`);
      this.loadShelf(host, name, item.value as ShelfRecord, item.stamp);
      node.kick();
    } catch (error) {
      log.debug(`stored shelf: ${describe(error)}`);
    }
  }
}
