/** Applies changes of the stored records to the machines, jobs and chunks of the shards that this node leads. */
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

/** Receives changes of job records. */
export interface JobFollower {
  /** Called when a job's record has changed. */
  applyJobRecord(id: string, record: JobRecord): void;
}

/** The parts of a node that changed records are applied to. */
export interface RecordFollowerContext {
  clock: Clock;
  machineTypes: Map<string, MachineType>;
  inventory: MachineInventory;
  chunkIndex: ChunkIndex;
  nodeCapabilities: NodeCapabilities;
  pipelines: JobFollower;
  /** Called when a record of a rollout has changed. */
  applyRolloutChange(change: KeyValueChange): void;
  ownedShards: ReadonlyMap<string, OwnedShard>;
  requestSchedulingRound(): void;
}

/** Applies the changes that the state cache delivers. */
export class RecordFollower {
  constructor(
    private readonly node: RecordFollowerContext,
    private readonly loader: Pick<ShardLoader, 'onBucketChange'>,
  ) {}

  /** Applies one changed record. */
  follow(change: KeyValueChange): void {
    const { node } = this;
    const [, kind, name = '', bucket = ''] = change.key.split('/');
    if (kind === 'rollout' || change.key === BARRIER_KEY) {
      node.applyRolloutChange(change);
      return;
    }
    if (change.removed && (change.key === keys.machineTypes || kind === 'job' || kind === 'node'))
      return;
    if (change.key === keys.machineTypes) this.applyMachineTypes(change.value as MachineType[]);
    else if (kind === 'fleet') this.applyMachineGroup(name, change);
    else if (kind === 'job') this.applyJob(name, change.value as JobRecord);
    else if (kind === 'node')
      node.nodeCapabilities.update(name, change.value as NodeCapabilityRecord);
    else if (kind === 'run') this.applyBucket(name, bucket, change);
  }

  private applyMachineTypes(machineTypes: MachineType[]): void {
    // If this node restarted while the cloud API is unavailable, the stored machine types are used.
    if (this.node.machineTypes.size === 0)
      this.node.machineTypes = new Map(machineTypes.map((type) => [type.name, type]));
  }

  private applyBucket(shard: string, bucket: string, change: KeyValueChange): void {
    const value = change.value as BucketRecord | null;
    this.node.chunkIndex.update(shard, bucket, value, change.revision);
    const ownedShard = this.node.ownedShards.get(shard);
    if (ownedShard !== undefined && value !== null) {
      this.loader.onBucketChange(ownedShard, bucket, value, change.revision);
    }
  }

  private applyJob(id: string, record: JobRecord): void {
    const now = this.node.clock.now();
    this.node.pipelines.applyJobRecord(id, record);
    if (record.state === 'open' && record.doneChunks.length === 0) return;
    for (const ownedShard of this.node.ownedShards.values()) {
      for (const chunk of ownedShard.shard.chunksOf(id)) {
        if (record.state === 'cancelled') ownedShard.shard.cancel(chunk, now);
        // The home shard has recorded the chunk as done.
        else if (record.state === 'done' || record.doneChunks.includes(chunk.index)) {
          ownedShard.shard.discardFinishedChunk(chunk, now);
        }
      }
    }
    this.node.requestSchedulingRound();
  }

  private applyMachineGroup(group: string, change: KeyValueChange): void {
    const now = this.node.clock.now();
    const wall = this.node.clock.wall();
    const { present, gone } = this.node.inventory.update(
      group,
      change.value as MachineGroupRecord | null,
    );
    for (const ownedShard of this.node.ownedShards.values()) {
      // The last record that names a machine is removed only after the cloud has confirmed that the machine is gone.
      for (const name of gone) ownedShard.shard.removeMachine(name, now);
      for (const [name, record] of present) {
        const { shard } = ownedShard;
        // A machine that was reassigned to another shard stays in this one until its attempts here have terminated.
        if (record.shard !== shard.label && !shard.machines.has(name)) continue;
        shard.addMachine(name, record, now, now, Math.max(0, wall - record.launchedAt));
      }
    }
    this.node.requestSchedulingRound();
  }
}
