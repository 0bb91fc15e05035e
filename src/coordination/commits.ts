/**
 * Brings the records in the state service in line with what the parts know. Every transaction is
 * conditional on the part's ownership key and on each record it changes; one that got no answer is
 * repeated under the same conditions, so that at most one of the copies is ever applied.
 */
import { sleep, type Clock } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import { TXN_BYTES, type Txn } from '../protocol/state.js';
import type { Urgency } from '../storage/budget.js';
import { keys, type ChunkRecord, type JobRecord } from '../storage/records.js';
import type { Replica } from '../storage/replica.js';
import type { StateClient, TxnResult } from '../storage/stateClient.js';
import { Chunk } from './chunk.js';
import { chunkRanges, mayCut, totalChunks } from './chunks.js';
import type { HomeJob, Hosted } from './hosted.js';

export interface CommitHost {
  hosted: ReadonlyMap<string, Hosted>;
  valid(): boolean;
  /** An ownership key was not as we thought. */
  doubt(part: string): Promise<void>;
  /** Chunks were stored: their starts may go out. */
  stored(host: Hosted, chunks: Chunk[]): void;
}

export interface CommitOptions {
  txnOps: number;
  /** Seconds that changes which nobody waits for are gathered. */
  linger: number;
  retry: number;
}

export class Commits {
  constructor(
    private readonly client: StateClient,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly host: CommitHost,
    private readonly options: CommitOptions,
  ) {}

  /** One pass over all hosted parts; starts what is due and returns. */
  pass(): void {
    if (!this.host.valid()) return;
    for (const host of this.host.hosted.values()) {
      this.flushDirty(host);
      for (const chunk of [...host.part.settled]) this.settle(host, chunk);
    }
  }

  /** Looks at all jobs of the hosted parts, in case a change was missed. */
  review(): void {
    if (!this.host.valid()) return;
    const runs = new Map<
      string,
      { part: string; index: number; record: ChunkRecord; stamp: number }[]
    >();
    for (const [key, { value, stamp }] of this.replica.under('b/run/')) {
      const [, , part = '', id = '', index = ''] = key.split('/');
      const list = runs.get(id) ?? [];
      runs.set(id, list);
      list.push({ part, index: Number(index), record: value as ChunkRecord, stamp });
    }
    for (const host of this.host.hosted.values()) {
      for (const job of host.jobs.values()) {
        for (const run of runs.get(job.id) ?? []) {
          if (!this.host.hosted.has(run.part)) this.finishRemote(host, job, run);
        }
        this.cutMore(host, job);
      }
    }
  }

  // ---- Chunks ----

  private flushDirty(host: Hosted): void {
    const now = this.clock.now();
    // Ends can wait while users and starts are queueing for the state service's changes: a crash
    // meanwhile loses nothing that the workers do not still report.
    const busy = this.client.writeDelay('later') > this.options.linger / 2;
    for (;;) {
      if (host.writing >= 3) return;
      const batch: Chunk[] = [];
      let bytes = 0;
      let urgent = false;
      for (const chunk of host.part.dirty) {
        if (chunk.flushing || chunk.dropped || chunk.stamp === 0) continue;
        const starts = this.hasStarts(chunk);
        const patience = this.options.linger * (busy ? 4 : 1);
        if (!starts && chunk.dirtySince !== null && now - chunk.dirtySince < patience) continue;
        const size = JSON.stringify(chunk.record()).length + 200;
        if (batch.length > 0 && bytes + size > TXN_BYTES) break;
        bytes += size;
        urgent ||= starts;
        batch.push(chunk);
        if (batch.length >= Math.max(1, this.options.txnOps - 1)) break;
      }
      if (batch.length === 0) return;
      void this.flush(host, batch, urgent ? 'urgent' : 'later');
    }
  }

  /** Placements go at once, since starts wait for them; ends may gather for a moment. */
  private hasStarts(chunk: Chunk): boolean {
    for (const entry of chunk.entries.values()) {
      if (entry.version > chunk.stored && entry.stop === null) return true;
    }
    return false;
  }

  private async flush(host: Hosted, batch: Chunk[], urgency: Urgency): Promise<void> {
    host.writing++;
    for (const chunk of batch) chunk.flushing = true;
    try {
      const alive = batch.filter((c) => !c.dropped);
      const versions = alive.map((c) => c.version);
      const puts = alive.map((c) => ({ key: this.runKey(host, c), value: c.record() }));
      for (const chunk of alive) chunk.dirtySince = null;
      const when = alive.map((c) => ({ key: this.runKey(host, c), stamp: c.stamp }));
      const result = await this.write(host, { when, puts, removes: [] }, urgency);
      if (result.kind === 'applied') {
        alive.forEach((chunk, i) => {
          chunk.stamp = result.stamp;
          chunk.stored = versions[i] ?? 0;
          this.replica.note(this.runKey(host, chunk), puts[i]?.value, result.stamp);
          if (chunk.version === chunk.stored) host.part.dirty.delete(chunk);
        });
        this.host.stored(host, alive);
      } else {
        for (const chunk of alive) chunk.dirtySince ??= this.clock.now();
        if (result.kind === 'conflict') await this.resolve(host, alive, result.failed);
        else await sleep(this.options.retry);
      }
    } catch (error) {
      log.debug(`store: ${describe(error)}`);
      await sleep(this.options.retry);
    } finally {
      for (const chunk of batch) chunk.flushing = false;
      host.writing--;
    }
  }

  private runKey(host: Hosted, chunk: Chunk): string {
    return keys.run(host.part.label, chunk.spec.id, chunk.index);
  }

  /** A copy of ours that got no answer may have been applied: take the stamp it left. */
  private async resolve(host: Hosted, chunks: Chunk[], failed: string[]): Promise<void> {
    await this.host.doubt(host.part.label);
    if (!host.alive) return;
    for (const chunk of chunks) {
      const key = this.runKey(host, chunk);
      if (!failed.includes(key) || chunk.dropped) continue;
      const item = await this.client.get(key);
      if (item === null) {
        // Only the job's home removes it, when it is complete; the job is over.
        host.part.dropChunk(chunk);
      } else {
        chunk.stamp = item.stamp;
        host.part.dirty.add(chunk);
      }
    }
  }

  private settle(host: Hosted, chunk: Chunk): void {
    if (chunk.flushing || chunk.stamp === 0) return;
    if (chunk.cancelled) {
      if (chunk.entries.size === 0) void this.removeCancelled(host, chunk);
      else host.part.settled.delete(chunk);
      return;
    }
    const home = this.host.hosted.get(chunk.home);
    const job = home?.jobs.get(chunk.spec.id);
    if (home !== undefined && job !== undefined) {
      void this.finishLocal(host, chunk, home, job);
    } else if (chunk.stored < chunk.version) {
      // Its home is elsewhere and learns from the record that it is complete.
      void this.flush(host, [chunk], 'urgent');
    }
  }

  private async removeCancelled(host: Hosted, chunk: Chunk): Promise<void> {
    const key = this.runKey(host, chunk);
    chunk.flushing = true;
    host.writing++;
    try {
      const when = [{ key, stamp: chunk.stamp }];
      const result = await this.write(host, { when, puts: [], removes: [key] });
      if (result.kind === 'applied') {
        this.replica.noteRemoved(key, result.stamp);
        host.part.dropChunk(chunk);
      } else if (result.kind === 'conflict') await this.resolve(host, [chunk], result.failed);
      else await sleep(this.options.retry);
    } catch (error) {
      log.debug(`store: ${describe(error)}`);
    } finally {
      chunk.flushing = false;
      host.writing--;
    }
  }

  /** Hands a chunk, of which nothing is on any machine, to another part. */
  async move(host: Hosted, chunk: Chunk, to: string): Promise<void> {
    const from = this.runKey(host, chunk);
    const key = keys.run(to, chunk.spec.id, chunk.index);
    const owner = this.replica.get(keys.owner(to));
    if (owner === undefined) return;
    const value: ChunkRecord = { ...chunk.record(), moves: chunk.moves + 1 };
    chunk.flushing = true;
    host.writing++;
    try {
      const result = await this.write(host, {
        when: [
          { key: from, stamp: chunk.stamp },
          { key: keys.owner(to), stamp: owner.stamp },
          { key, stamp: 0 },
        ],
        puts: [{ key, value }],
        removes: [from],
      });
      if (result.kind === 'applied') {
        host.part.sendAway(chunk, this.clock.now());
        this.replica.noteRemoved(from, result.stamp);
        this.replica.note(key, value, result.stamp);
      }
      // Without an answer it may be applied late: then our next write of the chunk fails on its
      // stamp, before anything of it can have been started here.
      if (result.kind === 'conflict') await this.resolve(host, [chunk], result.failed);
    } finally {
      chunk.flushing = false;
      host.writing--;
    }
  }

  private async finishLocal(host: Hosted, chunk: Chunk, home: Hosted, job: HomeJob): Promise<void> {
    if (job.busy) return;
    const key = this.runKey(host, chunk);
    chunk.flushing = true;
    host.writing++;
    try {
      const gone = await this.finish(home, job, chunk.index, key, chunk.stamp, host);
      if (gone) host.part.dropChunk(chunk);
    } finally {
      chunk.flushing = false;
      host.writing--;
    }
  }

  private finishRemote(
    home: Hosted,
    job: HomeJob,
    run: { part: string; index: number; record: ChunkRecord; stamp: number },
  ): void {
    const { done, from, to, home: label } = run.record;
    const complete = done.length === 2 && done[0] === from && done[1] === to;
    if (!complete || job.busy || label !== home.part.label) return;
    void this.finish(home, job, run.index, keys.run(run.part, job.id, run.index), run.stamp, null);
  }

  // ---- Jobs ----

  /** Notes a complete chunk in its job, and the job as done with the last one. True when stored. */
  private async finish(
    home: Hosted,
    job: HomeJob,
    index: number,
    runKey: string,
    runStamp: number,
    runner: Hosted | null,
  ): Promise<boolean> {
    job.busy = true;
    try {
      const { record } = job;
      const finished = record.finished.includes(index)
        ? record.finished
        : [...record.finished, index];
      const all = totalChunks(record);
      const next: JobRecord =
        finished.length >= all
          ? { ...record, spec: null, state: 'done', zones: [], finished: [] }
          : { ...record, finished };
      const when = [{ key: runKey, stamp: runStamp }];
      if (runner !== null && runner !== home) {
        when.push({ key: keys.owner(runner.part.label), stamp: runner.stamp });
      }
      const result = await this.writeJob(home, job, next, when, [], [runKey]);
      return result;
    } finally {
      job.busy = false;
    }
  }

  /** Stores a job's new record; in memory it changes only after that. */
  private async writeJob(
    home: Hosted,
    job: HomeJob,
    next: JobRecord,
    when: Txn['when'],
    puts: Txn['puts'],
    removes: string[],
  ): Promise<boolean> {
    const key = keys.job(job.id);
    const result = await this.write(
      home,
      {
        when: [{ key, stamp: job.stamp }, ...when],
        puts: [{ key, value: next }, ...puts],
        removes,
      },
      'urgent',
    );
    if (result.kind === 'applied') {
      this.applyJob(home, job, next, result.stamp);
      for (const put of puts) this.replica.note(put.key, put.value, result.stamp);
      for (const removed of removes) this.replica.noteRemoved(removed, result.stamp);
      return true;
    }
    if (result.kind === 'conflict') {
      await this.host.doubt(home.part.label);
      const item = await this.client.get(key);
      if (!home.alive || item === null || item.stamp === job.stamp) return false;
      // An earlier copy of ours was applied after all.
      this.applyJob(home, job, item.value as JobRecord, item.stamp);
      for (const removed of removes) {
        if ((await this.client.get(removed)) !== null) return false;
      }
      return true;
    }
    await sleep(this.options.retry);
    return false;
  }

  private applyJob(home: Hosted, job: HomeJob, record: JobRecord, stamp: number): void {
    job.record = record;
    job.stamp = stamp;
    if (record.state !== 'open') home.jobs.delete(job.id);
    this.replica.note(keys.job(job.id), record, stamp);
  }

  /** Stores a cancellation. Gives the job's state afterwards, or null when it isn't known. */
  async cancel(home: Hosted, job: HomeJob, deadline: number): Promise<JobRecord['state'] | null> {
    while (this.clock.now() < deadline && home.alive && this.host.valid()) {
      if (job.record.state !== 'open') return job.record.state;
      if (job.busy) {
        await sleep(this.options.retry / 4);
        continue;
      }
      job.busy = true;
      try {
        const next: JobRecord = { ...job.record, spec: null, state: 'cancelled', finished: [] };
        await this.writeJob(home, job, next, [], [], []);
      } catch (error) {
        log.debug(`cancel: ${describe(error)}`);
      } finally {
        job.busy = false;
      }
    }
    return job.record.state === 'open' ? null : job.record.state;
  }

  /** Large jobs are cut step by step, so that no part holds more of them than it can run. */
  private cutMore(home: Hosted, job: HomeJob): void {
    const { record } = job;
    if (job.busy || record.spec === null || record.state !== 'open') return;
    const ranges = chunkRanges(record.spec.tasks, record.size, record.zones);
    if (record.cut >= ranges.length) return;
    const open = record.cut - record.finished.length;
    const next = ranges[record.cut];
    if (open >= 4 || next === undefined) return;
    if (!mayCut(record, record.cut)) return;
    const spec = record.spec;
    const { label } = home.part;
    const { at, cut } = record;
    const now = this.clock.now();
    const chunk = new Chunk(spec, cut, label, at, next.from, next.to, next.zone, now);
    void this.addCut(home, job, chunk);
  }

  private async addCut(home: Hosted, job: HomeJob, chunk: Chunk): Promise<void> {
    job.busy = true;
    try {
      const key = this.runKey(home, chunk);
      const version = chunk.version;
      const value = chunk.record();
      const next = { ...job.record, cut: job.record.cut + 1 };
      if (await this.writeJob(home, job, next, [{ key, stamp: 0 }], [{ key, value }], [])) {
        chunk.stamp = job.stamp;
        chunk.stored = version;
        if (job.record.state === 'open' && home.alive) home.part.addChunk(chunk, this.clock.now());
      }
    } catch (error) {
      log.debug(`cut: ${describe(error)}`);
    } finally {
      job.busy = false;
    }
  }

  /** Every write of a part goes through here: under its ownership, and only while that is valid. */
  async write(host: Hosted, txn: Txn, urgency: Urgency = 'later'): Promise<TxnResult> {
    if (!host.alive || !this.host.valid()) return { kind: 'refused' };
    const owner = { key: keys.owner(host.part.label), stamp: host.stamp };
    return this.client.txn({ ...txn, when: [owner, ...txn.when] }, urgency);
  }
}
