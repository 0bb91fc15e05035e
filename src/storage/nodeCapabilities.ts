/**
 * Which nodes can read the present record format. Each marks itself in the store, once; when all have, records are
 * written in that record format (safety, V2).
 */
import { describeError, log } from '../base/log.js';
import { keys, type NodeCapabilityRecord } from './records.js';
import { RECORD_FORMAT_VERSION, type RecordFormat } from './recordFormat.js';
import type { StateCache } from './stateCache.js';
import type { StateClient } from './stateClient.js';

/** Which nodes can read the present record format; all of them must before it is written (safety, V2). */
export class NodeCapabilities {
  private readonly unmarked: Set<string>;
  private isWriting = false;

  constructor(
    private readonly client: Pick<StateClient, 'transact'>,
    private readonly stateCache: Pick<StateCache, 'get' | 'note' | 'loaded'>,
    private readonly recordFormat: RecordFormat,
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
  update(label: string, record: NodeCapabilityRecord): void {
    if (record.recordFormat < RECORD_FORMAT_VERSION || !this.unmarked.delete(label)) return;
    if (!this.isUpgraded) return;
    this.recordFormat.useCompact();
    log.info('every node can read the present record format; it is used from now on');
  }

  /** Marks this node, unless the copy of the records shows that it is marked. */
  async publish(): Promise<void> {
    const key = keys.node(this.label);
    const stored = this.stateCache.get(key);
    const known = stored?.value as NodeCapabilityRecord | undefined;
    if (
      !this.stateCache.loaded ||
      this.isWriting ||
      (known?.recordFormat ?? 0) >= RECORD_FORMAT_VERSION
    )
      return;
    this.isWriting = true;
    try {
      const value: NodeCapabilityRecord = { recordFormat: RECORD_FORMAT_VERSION };
      const when = [{ key, revision: stored?.revision ?? 0 }];
      const result = await this.client.transact(
        { conditions: when, puts: [{ key, value }], deletes: [] },
        'urgent',
      );
      if (result.kind === 'applied') this.stateCache.note(key, value, result.revision);
    } catch (error) {
      log.debug(`mark of this node: ${describeError(error)}`);
    } finally {
      this.isWriting = false;
    }
  }
}
