/**
 * Which nodes can read the present layout of records. Each marks itself in the store, once; when all have, records are
 * written in that layout (safety, V2).
 */
import { describe, log } from '../base/log.js';
import { keys, type NodeRecord } from './records.js';
import { LAYOUT, type RecordLayout } from './recordFormat.js';
import type { Replica } from './stateCache.js';
import type { StateClient } from './stateClient.js';

export class NodeMarks {
  private readonly unmarked: Set<string>;
  private isWriting = false;

  constructor(
    private readonly client: Pick<StateClient, 'txn'>,
    private readonly replica: Pick<Replica, 'get' | 'note' | 'loaded'>,
    private readonly layout: RecordLayout,
    private readonly label: string,
    /** All nodes of the settings. */
    labels: string[],
  ) {
    this.unmarked = new Set(labels);
  }

  /** Every node has the present version, or a later one. */
  get isUpgraded(): boolean {
    return this.unmarked.size === 0;
  }

  /** Follows the marks in the copy of the records. */
  note(label: string, record: NodeRecord): void {
    if (record.layout < LAYOUT || !this.unmarked.delete(label)) return;
    if (!this.isUpgraded) return;
    this.layout.useCompact();
    log.info('every node can read the present layout of records; it is used from now on');
  }

  /** Marks this node, unless the copy of the records shows that it is marked. */
  async ensure(): Promise<void> {
    const key = keys.node(this.label);
    const stored = this.replica.get(key);
    const known = stored?.value as NodeRecord | undefined;
    if (!this.replica.loaded || this.isWriting || (known?.layout ?? 0) >= LAYOUT) return;
    this.isWriting = true;
    try {
      const value: NodeRecord = { layout: LAYOUT };
      const when = [{ key, stamp: stored?.stamp ?? 0 }];
      const result = await this.client.txn({ when, puts: [{ key, value }], removes: [] }, 'urgent');
      if (result.kind === 'applied') this.replica.note(key, value, result.stamp);
    } catch (error) {
      log.debug(`mark of this node: ${describe(error)}`);
    } finally {
      this.isWriting = false;
    }
  }
}
