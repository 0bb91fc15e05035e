/**
 * Brings the records of jobs in line with what the parts know: chunks that are over, jobs that are
 * done, chunks that are cut or move. A transaction that got no answer is repeated under the same
 * conditions, so that at most one of the copies is ever applied.
 */
import { sleep, type Clock } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import type { Transaction } from '../../protocol/stateProtocol.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { ChunkIndex } from '../../storage/chunkIndex.js';
import { Chunk } from '../shard/chunk.js';
import { chunkRanges, mayCreateChunk, totalChunks } from '../shard/chunking.js';
import { missingChunks } from './missingChunks.js';
import type { HomeJob, OwnedShard } from '../leadership/ownedShard.js';
import {
  BucketWriter,
  type BucketWriterEvents,
  type BucketWriterOptions,
  type Copy,
  type Store,
} from './bucketWriter.js';

export interface JobPersistenceContext extends BucketWriterEvents {
  ownedParts: ReadonlyMap<string, OwnedShard>;
  /** The job is about to be cancelled. */
  isBeingCancelled(job: string): boolean;
  /** The job waits for others: it has no chunks before these are done. */
  isHeld(job: string): boolean;
  /** A stored record of chunks cannot be read: what it holds may run, though nobody knows of it. */
  readonly hasUnreadableChunks: boolean;
}

export class JobPersistence {
  private readonly bucketWriter: BucketWriter;

  constructor(
    private readonly client: Store,
    private readonly replica: Copy,
    private readonly buckets: Pick<ChunkIndex, 'entries'>,
    private readonly clock: Clock,
    private readonly host: JobPersistenceContext,
    private readonly options: BucketWriterOptions,
  ) {
    this.bucketWriter = new BucketWriter(client, replica, clock, host, options);
  }

  get write(): BucketWriter['write'] {
    return this.bucketWriter.write.bind(this.bucketWriter);
  }

  /** One pass over all owned parts; starts what is due and returns. */
  pass(): void {
    if (!this.host.valid()) return;
    for (const host of this.host.ownedParts.values()) {
      for (const chunk of [...host.part.settled]) this.settle(host, chunk);
      this.bucketWriter.pass(host);
    }
  }

  /** Looks at all jobs of the owned parts, in case a change was missed. */
  review(): void {
    if (!this.host.valid()) return;
    for (const [id, { part, record }] of this.buckets.entries()) {
      const { done, from, to, home: label } = record;
      if (done.length !== 2 || done[0] !== from || done[1] !== to) continue;
      const home = this.host.ownedParts.get(label);
      const job = home?.jobs.get(record.spec.id);
      if (home === undefined || job === undefined || this.host.ownedParts.has(part)) continue;
      void this.finish(home, job, Number(id.slice(id.lastIndexOf('/') + 1)));
    }
    for (const host of this.host.ownedParts.values()) {
      for (const job of host.jobs.values()) this.cutMore(host, job);
    }
  }

  private settle(host: OwnedShard, chunk: Chunk): void {
    if (chunk.cancelled) {
      // Its job's record says that it is cancelled, so nobody will ever start anything of it again.
      if (chunk.entries.size === 0) host.part.dropChunk(chunk);
      else host.part.settled.delete(chunk);
      return;
    }
    if (!chunk.accepted) return;
    const home = this.host.ownedParts.get(chunk.home);
    const job = home?.jobs.get(chunk.spec.id);
    if (home !== undefined && job !== undefined) {
      void this.finish(home, job, chunk.index).then((gone) => {
        if (gone) host.part.dropChunk(chunk);
      });
    } else if (chunk.stored < chunk.version) {
      // Its home is elsewhere and learns from the record that it is complete.
      host.part.dirty.add(chunk);
    }
  }

  /** Hands a chunk, of which nothing is on any machine, to another part. */
  async move(host: OwnedShard, chunk: Chunk, to: string): Promise<void> {
    if (chunk.home !== host.part.label) {
      await this.bucketWriter.move(host, chunk, to, { when: [], puts: [] });
      return;
    }
    const job = host.jobs.get(chunk.spec.id);
    if (job === undefined || job.busy) return;
    job.busy = true;
    try {
      const key = keys.job(job.id);
      const away = [...new Set([...job.record.away, chunk.index])];
      const value: JobRecord = { ...job.record, away };
      const when = [{ key, stamp: job.stamp }];
      const result = await this.bucketWriter.move(host, chunk, to, {
        when,
        puts: [{ key, value }],
      });
      if (result.kind === 'applied') this.applyJob(host, job, value, result.stamp);
      else if (result.kind === 'conflict') {
        await this.reread(host, job, job.unsettled === true);
      }
    } finally {
      job.busy = false;
    }
  }

  // ---- Jobs ----

  /** Notes a complete chunk in its job, and the job as done with the last one. True when stored. */
  private async finish(home: OwnedShard, job: HomeJob, index: number): Promise<boolean> {
    if (job.busy) return false;
    const { record } = job;
    if (record.state !== 'open' || record.finished.includes(index)) return true;
    job.busy = true;
    try {
      const finished = [...record.finished, index];
      const next: JobRecord =
        finished.length >= totalChunks(record)
          ? { ...record, spec: null, state: 'done', zones: [], finished: [], away: [] }
          : { ...record, finished, away: record.away.filter((k) => !finished.includes(k)) };
      await this.writeJob(home, job, next);
      // By the record: the change that a conflict was with may have been another one.
      return job.record.state !== 'open' || job.record.finished.includes(index);
    } catch (error) {
      log.debug(`finish: ${describe(error)}`);
      return false;
    } finally {
      job.busy = false;
    }
  }

  /** Stores a job's record as it is, so that it takes the form that is written now. True when stored. */
  async rewrite(home: OwnedShard, job: HomeJob): Promise<boolean> {
    if (job.busy || job.record.state !== 'open') return false;
    job.busy = true;
    try {
      return await this.writeJob(home, job, job.record);
    } finally {
      job.busy = false;
    }
  }

  /** Stores a job's new record; in memory it changes only after that. */
  private async writeJob(home: OwnedShard, job: HomeJob, next: JobRecord): Promise<boolean> {
    const key = keys.job(job.id);
    const when = [{ key, stamp: job.stamp }];
    const txn: Transaction = { when, puts: [{ key, value: next }], removes: [] };
    await this.client.turn(1, 'urgent');
    const wasUnsettled = job.unsettled === true;
    // From now on others may read a final state and tell users of it, before its answer gets here.
    if (next.state !== 'open') job.unsettled = true;
    const result = await this.write(home, txn, 'granted');
    if (result.kind === 'applied') {
      this.applyJob(home, job, next, result.stamp);
      return true;
    }
    if (result.kind === 'conflict') {
      // Somebody has changed the record, or an earlier copy of ours did: others may know more than this node.
      job.unsettled = true;
      await this.host.verifyOwner(home.part.label);
      return this.reread(home, job, wasUnsettled);
    }
    job.unsettled = wasUnsettled || result.kind === 'unknown';
    await sleep(this.options.retry);
    return false;
  }

  /** True when the stored record was not as we thought, and is now. */
  private async reread(home: OwnedShard, job: HomeJob, wasUnsettled: boolean): Promise<boolean> {
    const item = await this.client.get(keys.job(job.id));
    if (!home.alive || item === null) return false;
    if (item.stamp === job.stamp) {
      job.unsettled = wasUnsettled;
      return false;
    }
    this.applyJob(home, job, item.value as JobRecord, item.stamp);
    this.acceptMissing(home, job);
    return true;
  }

  /**
   * Takes up the chunks of a home job that are neither here nor stored: nothing of them was started. So it is where a
   * part is loaded, where a change that cut a chunk got no answer, and where a job no longer waits for others.
   */
  acceptMissing(home: OwnedShard, job: HomeJob): void {
    if (!home.alive || this.host.isHeld(job.id) || this.host.hasUnreadableChunks) return;
    const now = this.clock.now();
    const isReleased = (job.record.spec?.waitsOn.length ?? 0) > 0;
    for (const chunk of missingChunks(job.id, job.record, home.part.chunks, now)) {
      chunk.isNewlyReleased = isReleased;
      home.part.accept(chunk, now);
      if (this.host.isBeingCancelled(job.id)) home.part.prepareCancel(chunk, now);
    }
  }

  private applyJob(home: OwnedShard, job: HomeJob, record: JobRecord, stamp: number): void {
    job.record = record;
    job.stamp = stamp;
    job.unsettled = false;
    if (record.state !== 'open') home.jobs.delete(job.id);
    this.replica.note(keys.job(job.id), record, stamp);
  }

  /** Stores a cancellation. Gives the job's state afterwards, or null when it isn't known. */
  async cancel(
    home: OwnedShard,
    job: HomeJob,
    deadline: number,
  ): Promise<JobRecord['state'] | null> {
    while (this.clock.now() < deadline && home.alive && this.host.valid()) {
      if (job.record.state !== 'open') return job.record.state;
      if (job.busy) {
        await sleep(this.options.retry / 4);
        continue;
      }
      job.busy = true;
      try {
        const over = { spec: null, state: 'cancelled' as const, finished: [], away: [] };
        await this.writeJob(home, job, { ...job.record, ...over });
      } catch (error) {
        log.debug(`cancel: ${describe(error)}`);
      } finally {
        job.busy = false;
      }
    }
    return job.record.state === 'open' ? null : job.record.state;
  }

  /** Large jobs are cut step by step, so that no part holds more of them than it can run. */
  private cutMore(home: OwnedShard, job: HomeJob): void {
    const { record } = job;
    if (job.busy || record.spec === null || record.state !== 'open') return;
    if (this.host.isHeld(job.id)) return;
    const open = record.cut - record.finished.length;
    if (open >= 4 || record.cut >= totalChunks(record) || !mayCreateChunk(record, record.cut))
      return;
    if (this.host.isBeingCancelled(job.id)) return;
    const next = chunkRanges(record.spec.tasks, record.size, record.zones)[record.cut];
    if (next === undefined) return;
    const spec = record.spec;
    const { label } = home.part;
    const { at, cut } = record;
    const now = this.clock.now();
    const chunk = new Chunk(spec, cut, label, at, next.from, next.to, next.zone, now);
    void this.addCut(home, job, chunk);
  }

  private async addCut(home: OwnedShard, job: HomeJob, chunk: Chunk): Promise<void> {
    job.busy = true;
    try {
      const next = { ...job.record, cut: job.record.cut + 1 };
      if (!(await this.writeJob(home, job, next))) return;
      const isCut = job.record.state === 'open' && job.record.cut === next.cut;
      if (!isCut || !home.alive || home.part.chunks.has(chunk.id)) return;
      home.part.accept(chunk, this.clock.now());
    } catch (error) {
      log.debug(`cut: ${describe(error)}`);
    } finally {
      job.busy = false;
    }
  }
}
