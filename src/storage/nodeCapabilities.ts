/**
 * Tracks which nodes can read the current record format. Each node publishes its capability record once; when all nodes
 * have, records are written in that format (safety, V2).
 */
import { describeError, log } from '../base/log.js';
import { keys, type NodeCapabilityRecord } from './records.js';
import { RECORD_FORMAT_VERSION, type RecordFormat } from './recordFormat.js';
import type { StateCache } from './stateCache.js';
import type { StateClient } from './stateClient.js';

/** The nodes that can read the current record format; it is written only once all of them can (safety, V2). */
export class NodeCapabilities {
  private readonly pendingNodes: Set<string>;
  private isPublishing = false;

  constructor(
    private readonly client: Pick<StateClient, 'transact'>,
    private readonly stateCache: Pick<StateCache, 'get' | 'applyPut' | 'loaded'>,
    private readonly recordFormat: RecordFormat,
    private readonly label: string,
    /** Labels of all nodes in the settings. */
    labels: string[],
  ) {
    this.pendingNodes = new Set(labels);
  }

  /** Whether every node can read the current record format. */
  get isUpgraded(): boolean {
    return this.pendingNodes.size === 0;
  }

  /** Applies a node's capability record. */
  update(label: string, record: NodeCapabilityRecord): void {
    if (record.recordFormat < RECORD_FORMAT_VERSION || !this.pendingNodes.delete(label)) return;
    if (!this.isUpgraded) return;
    this.recordFormat.useCompact();
    log.info('all nodes can read the current record format; it is written from now on');
  }

  /** Publishes this node's capability record, unless the state cache shows that it is stored. */
  async publish(): Promise<void> {
    const key = keys.node(this.label);
    const stored = this.stateCache.get(key);
    const published = stored?.value as NodeCapabilityRecord | undefined;
    if (
      !this.stateCache.loaded ||
      this.isPublishing ||
      (published?.recordFormat ?? 0) >= RECORD_FORMAT_VERSION
    )
      return;
    this.isPublishing = true;
    try {
      const value: NodeCapabilityRecord = { recordFormat: RECORD_FORMAT_VERSION };
      const conditions = [{ key, revision: stored?.revision ?? 0 }];
      const result = await this.client.transact(
        { conditions, puts: [{ key, value }], deletes: [] },
        'urgent',
      );
      if (result.kind === 'applied') this.stateCache.applyPut(key, value, result.revision);
    } catch (error) {
      log.debug(`publishing this node's capabilities failed: ${describeError(error)}`);
    } finally {
      this.isPublishing = false;
    }
  }
}
