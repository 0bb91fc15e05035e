/** What changes of the stored records mean to this node: machines, jobs and chunks of its parts follow them. */
import type { Clock } from '../../base/clock.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { KeyValueChange } from '../../protocol/stateProtocol.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import type { MachineInventory } from '../../storage/machineInventory.js';
import type { NodeCapabilities } from '../../storage/nodeCapabilities.js';
import {
  BARRIER_KEY,
  keys,
  type BucketRecord,
  type MachineGroupRecord,
  type JobRecord,
  type NodeCapabilityRecord,
} from '../../storage/records.js';
import type { OwnedShard } from './ownedShard.js';
import type { ShardLoader } from './shardLoader.js';
import type { Pipelines } from '../pipelines/pipelines.js';

/** What is needed of a node. */
export interface RecordFollowerContext {
  clock: Pick<Clock, 'now'>;
  types: Map<string, MachineType>;
  fleet: MachineInventory;
  buckets: ChunkIndex;
  marks: NodeCapabilities;
  pipelines: Pick<Pipelines, 'note'>;
  /** Follows the records of staged upgrades. */
  noteRollout(change: KeyValueChange): void;
  ownedParts: ReadonlyMap<string, OwnedShard>;
  requestRound(): void;
}

export class RecordFollower {
  constructor(
    private readonly node: RecordFollowerContext,
    private readonly loader: Pick<ShardLoader, 'noteBucket'>,
  ) {}

  /** One record has changed in this node's copy. */
  follow(change: KeyValueChange): void {
    const { node } = this;
    const [, kind, name = '', bucket = ''] = change.key.split('/');
    if (kind === 'rollout' || change.key === BARRIER_KEY) {
      node.noteRollout(change);
      return;
    }
    if (change.removed && (change.key === keys.types || kind === 'job' || kind === 'node')) return;
    if (change.key === keys.types) this.onTypes(change.value as MachineType[]);
    else if (kind === 'fleet') this.onGroup(name, change);
    else if (kind === 'job') this.onJob(name, change.value as JobRecord);
    else if (kind === 'node') node.marks.note(name, change.value as NodeCapabilityRecord);
    else if (kind === 'run') this.onBucket(name, bucket, change);
  }

  private onTypes(types: MachineType[]): void {
    // Restarted while the cloud is down: what it told before will do.
    if (this.node.types.size === 0) this.node.types = new Map(types.map((t) => [t.name, t]));
  }

  private onBucket(part: string, bucket: string, change: KeyValueChange): void {
    const value = change.value as BucketRecord | null;
    this.node.buckets.note(part, bucket, value, change.stamp);
    const host = this.node.ownedParts.get(part);
    if (host !== undefined && value !== null) {
      this.loader.noteBucket(host, bucket, value, change.stamp);
    }
  }

  private onJob(id: string, record: JobRecord): void {
    const now = this.node.clock.now();
    this.node.pipelines.note(id, record);
    if (record.state === 'open' && record.finished.length === 0) return;
    for (const host of this.node.ownedParts.values()) {
      for (const chunk of host.part.chunksOf(id)) {
        if (record.state === 'cancelled') host.part.cancel(chunk, now);
        // Its home has counted it as over.
        else if (record.state === 'done' || record.finished.includes(chunk.index)) {
          host.part.overtake(chunk, now);
        }
      }
    }
    this.node.requestRound();
  }

  private onGroup(group: string, change: KeyValueChange): void {
    const now = this.node.clock.now();
    const { present, gone } = this.node.fleet.note(
      group,
      change.value as MachineGroupRecord | null,
    );
    for (const host of this.node.ownedParts.values()) {
      // The record goes only after the cloud has said that the machine is gone.
      for (const name of gone) host.part.removeMachine(name, now);
      for (const [name, record] of present) {
        if (record.part === host.part.label) host.part.addMachine(name, record, now);
      }
    }
    this.node.requestRound();
  }
}
