/**
 * Before a cancellation is stored, all nodes are told of it, and each that has chunks of the job ends them and
 * starts nothing more. The record alone would not do: a node that the state service refuses can't read it, goes
 * on answering its workers, and would keep cancelled tasks alive for longer than they may be (safety, C1).
 */
import { DRIFT, type Clock } from '../../base/clock.js';
import type { PreparedChunk } from '../../protocol/peerMessages.js';
import type { Settings } from '../../protocol/settings.js';
import { keys, type JobRecord, type LeaderRecord } from '../../storage/records.js';
import type { StateCache } from '../../storage/stateCache.js';
import type { Chunk } from '../shard/chunk.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

/** What is needed of a node. */
export interface CancellationContext {
  settings: Pick<Settings, 'report' | 'lease' | 'cancel'>;
  clock: Pick<Clock, 'now'>;
  ownedParts: ReadonlyMap<string, OwnedShard>;
  replica: Pick<StateCache, 'get' | 'syncedAt'>;
  peers: Pick<PeerRegistry, 'prepareCancel'>;
  /** The job waits for others: nothing of it was started, nor is there any chunk of it. */
  isHeld(job: string): boolean;
  requestRound(): void;
}

/** Seconds in which a cancellation that was announced is stored or given up: its user waits no longer. */
const STORED_WITHIN = 5;

export class CancellationPreparations {
  /** Jobs whose cancellation was announced, and when. */
  private readonly jobs = new Map<string, number>();

  constructor(private readonly node: CancellationContext) {}

  has(id: string): boolean {
    return this.jobs.has(id);
  }

  /** A chunk that has just come here. */
  apply(host: OwnedShard, chunk: Chunk): void {
    if (this.has(chunk.spec.id)) host.part.prepareCancel(chunk, this.node.clock.now());
  }

  /** Gives the chunks of a job that are here, end them, and can't be kept alive by anybody else. */
  prepare(id: string): PreparedChunk[] {
    const now = this.node.clock.now();
    this.jobs.set(id, now);
    const here: PreparedChunk[] = [];
    for (const host of this.node.ownedParts.values()) {
      for (const chunk of host.part.chunksOf(id)) {
        host.part.prepareCancel(chunk, now);
        // It may be at the part that it is on its way to.
        if (chunk.moving || chunk.leaving) continue;
        if (!this.isOurs(host, chunk, now)) continue;
        here.push({ index: chunk.index, part: host.part.label, token: host.token });
      }
    }
    this.node.requestRound();
    return here;
  }

  /** No earlier owner of the part answers the workers of its tasks for longer than a cancellation leaves. */
  private isOurs(host: OwnedShard, chunk: Chunk, now: number): boolean {
    const { cancel, lease, report } = this.node.settings;
    const allowance = Math.max(0, cancel - lease * (1 + 2 * DRIFT) - report);
    if (now >= host.previousOwnerUntil - allowance) return true;
    for (const entry of chunk.entries.values()) {
      const machine = host.part.machines.get(entry.machine);
      if (machine !== undefined && machine.seenToken < host.gainedToken) return false;
    }
    return true;
  }

  /** True once every open chunk of a job is known to be prepared for its cancellation by the owner of its part. */
  async prepareEverywhere(id: string, record: JobRecord): Promise<boolean> {
    const missing = new Set<number>();
    for (let k = 0; k < record.cut; k++) if (!record.finished.includes(k)) missing.add(k);
    const note = (found: PreparedChunk[]): boolean => {
      for (const { index, part, token } of found) {
        const owner = this.node.replica.get(keys.owner(part))?.value as LeaderRecord | undefined;
        // One that has lost the part and does not know it speaks for nobody.
        if (owner !== undefined && owner.token <= token) missing.delete(index);
      }
      return missing.size === 0;
    };
    const here = this.prepare(id);
    // Should it be released from now on, its chunks are made as prepared ones, by this node.
    if (this.node.isHeld(id) || note(here)) return true;
    return this.node.peers.prepareCancel(id, this.node.settings.report / 12, note);
  }

  /**
   * Work of a job that is still open after all could have been stored goes on. Only a node that has read the
   * records since can tell.
   */
  sweep(): void {
    const { ownedParts, replica } = this.node;
    for (const [id, at] of this.jobs) {
      if (replica.syncedAt <= at + STORED_WITHIN) continue;
      this.jobs.delete(id);
      const record = replica.get(keys.job(id))?.value as JobRecord | undefined;
      if (record?.state !== 'open') continue;
      for (const { part } of ownedParts.values()) {
        for (const chunk of part.chunksOf(id)) part.resume(chunk);
      }
    }
  }
}
