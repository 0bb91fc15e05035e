import { sleep } from '../base/clock.js';
import { log, describe } from '../base/log.js';
import type { Change } from '../protocol/state.js';
import type { StateClient } from './stateClient.js';

export interface Stored {
  value: unknown;
  stamp: number;
}

/**
 * A copy of all our records that follows the state service a little late. It is good for finding
 * things; what must be certain is read, or made a condition of a transaction.
 */
export class Replica {
  private readonly items = new Map<string, Stored>();
  private epoch = -1;
  private stopped = false;
  loaded = false;

  constructor(
    private readonly client: StateClient,
    private readonly prefix: string,
    private readonly options: { hold: number; pause: number },
    private readonly changed: (change: Change) => void,
  ) {}

  get(key: string): Stored | undefined {
    return this.items.get(key);
  }

  *under(prefix: string): IterableIterator<[string, Stored]> {
    for (const entry of this.items) if (entry[0].startsWith(prefix)) yield entry;
  }

  /** Notes a change that we made or read ourselves, ahead of the watch. */
  note(key: string, value: unknown, stamp: number): void {
    const known = this.items.get(key);
    if (known !== undefined && known.stamp >= stamp) return;
    this.items.set(key, { value, stamp });
    this.changed({ key, value, stamp, removed: false });
  }

  noteRemoved(key: string, stamp: number): void {
    const known = this.items.get(key);
    if (known === undefined || known.stamp > stamp) return;
    this.items.delete(key);
    this.changed({ key, value: null, stamp, removed: true });
  }

  async load(): Promise<void> {
    const { items, epoch } = await this.client.range(this.prefix);
    const present = new Set<string>();
    for (const item of items) {
      present.add(item.key);
      this.note(item.key, item.value, item.stamp);
    }
    for (const [key, stored] of [...this.items]) {
      if (!present.has(key) && stored.stamp <= epoch) this.noteRemoved(key, epoch);
    }
    this.epoch = epoch;
    this.loaded = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.epoch < 0) await this.load();
        const log = await this.client.changes(this.prefix, this.epoch, this.options.hold);
        if (log === null) {
          this.epoch = -1;
          continue;
        }
        for (const change of log.changes) {
          if (change.removed) this.noteRemoved(change.key, change.stamp);
          else this.note(change.key, change.value, change.stamp);
        }
        this.epoch = Math.max(this.epoch, log.epoch);
        // Watches count as requests: a short pause lets changes gather.
        await sleep(this.options.pause);
      } catch (error) {
        log.debug(`watch: ${describe(error)}`);
        await sleep(this.options.pause * 4);
      }
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
