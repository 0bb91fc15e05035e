/** Finds out how a job stands: from this node's copy, its owner, the store or any peer that can tell. */
import type { JobStatus, JobView } from '../../protocol/job.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { Reply } from '../../transport/httpServer.js';
import type { Chunk } from '../model/chunk.js';
import { chunkRanges } from '../model/chunking.js';
import type { Controller } from '../controller/controller.js';
import { waitReason } from './waitReasons.js';

/** Seconds in which a user is answered; PROTOCOL has them give up after five. */
export const REQUEST_TIMEOUT_SECONDS = 4;

/** A user's request, as it is passed on to a peer. */
export interface UserRequest {
  method: string;
  target: string;
  body: string;
}

/** What could be found out of a job; `relay` is a peer's answer to the user. */
export interface FoundView {
  view: JobView | null;
  /** Nobody who can tell was in reach. */
  isUnavailable: boolean;
  relay?: Reply;
}

const found = (view: JobView): FoundView => ({
  view,
  isUnavailable: false,
});

export class JobLookup {
  constructor(private readonly node: Controller) {}

  /** This node's copy of a job's record. */
  copyOf(id: string): JobRecord | undefined {
    return this.node.stateCache.get(keys.job(id))?.value as JobRecord | undefined;
  }

  /**
   * The stored record; null when there is none, undefined when that can't be told. An answer may be overtaken by
   * the watch: by then this node may have told users of what is newer.
   */
  async stored(id: string): Promise<JobRecord | null | undefined> {
    try {
      const item = await this.node.stateClient.get(keys.job(id));
      if (item !== null) this.node.stateCache.note(item.key, item.value, item.revision);
      return this.copyOf(id) ?? ((item?.value ?? null) as JobRecord | null);
    } catch {
      return undefined;
    }
  }

  /** What users are told of a job: how it ended, if this node has heard of that by the time that it answers. */
  async view(id: string, mayRelay: boolean): Promise<FoundView> {
    const answer = await this.lookUp(id, mayRelay);
    const copy = this.copyOf(id);
    if (copy !== undefined && copy.state !== 'open') return found(final(copy));
    // It may have been cancelled with a job that it needs, and this node have missed that (safety, P4).
    if (answer.view !== null && !this.node.pipelines.mayCallOpen(id)) {
      return { view: null, isUnavailable: true };
    }
    return answer;
  }

  /**
   * A final state never changes, so any copy of it will do. All else comes from the owner of the
   * job's home part, whose word is the latest while its ownership is valid, or from the store.
   */
  private async lookUp(id: string, mayRelay: boolean): Promise<FoundView> {
    const { node } = this;
    const copy = this.copyOf(id);
    if (copy !== undefined && copy.state !== 'open') return found(final(copy));
    if (copy !== undefined && node.leadership.isLeaseValid) {
      const ownedShard = node.ownedShards.get(copy.homeShard);
      const job = ownedShard?.jobs.get(id);
      if (job !== undefined && job.isUncertain !== true) return found(this.describe(job.record));
    }
    if (copy !== undefined && mayRelay) {
      const owner = node.leaderOf(copy.homeShard);
      if (owner !== null && owner !== node.settings.label) {
        const request = { method: 'GET', target: `/v1/jobs/${id}`, body: '' };
        const answer = await node.peers.relay(owner, request, 0.6);
        if (answer?.status === 200) {
          const relay = { status: 200, body: JSON.parse(answer.body) as unknown };
          return { view: null, isUnavailable: false, relay };
        }
      }
    }
    // Nobody could be asked, and a user waits two seconds only.
    if (node.isIsolated) return { view: null, isUnavailable: true };
    const record = await this.stored(id);
    if (record === null) return { view: null, isUnavailable: false };
    if (record !== undefined) {
      return found(record.state === 'open' ? this.describe(record) : final(record));
    }
    if (mayRelay) {
      const request = { method: 'GET', target: `/v1/jobs/${id}`, body: '' };
      const relay = await this.relayAny(request, REQUEST_TIMEOUT_SECONDS / 5);
      if (relay !== null && (relay.status === 200 || relay.status === 404)) {
        return { view: null, isUnavailable: false, relay };
      }
    }
    return { view: null, isUnavailable: true };
  }

  /** An open job, its counts gathered from wherever its chunks are. */
  private describe(record: JobRecord): JobView {
    const { node } = this;
    const { spec } = record;
    if (spec === null) return final(record);
    const ranges = chunkRanges(spec.taskCount, record.chunkSize, record.zones);
    let done = 0;
    let running = 0;
    const chunks: Chunk[] = [];
    for (let k = 0; k < record.createdChunks; k++) {
      const range = ranges[k];
      if (range === undefined) continue;
      if (record.doneChunks.includes(k)) {
        done += range.endTask - range.firstTask;
        continue;
      }
      const id = `${spec.id}/${k}`;
      const local = [...node.ownedShards.values()]
        .map((h) => h.shard.chunks.get(id))
        .find((c) => c !== undefined);
      const stored = node.chunkIndex.find(id)?.record;
      if (local !== undefined) {
        done += local.doneTasks.size;
        running += local.runningCount;
        chunks.push(local);
      } else if (stored !== undefined) {
        for (let i = 0; i + 1 < stored.doneTasks.length; i += 2) {
          done += (stored.doneTasks[i + 1] ?? 0) - (stored.doneTasks[i] ?? 0);
        }
        running += stored.attempts.length;
      }
    }
    // Done is said only once it is stored: the last tasks may be over already.
    const reason = done + running >= spec.taskCount ? null : waitReason(node, record, chunks);
    return { status: running > 0 ? 'running' : 'queued', done, running, reason };
  }

  /** Asks nodes that the state service serves, one after the other, while the user still waits. */
  async relayAny(request: UserRequest, patience = REQUEST_TIMEOUT_SECONDS): Promise<Reply | null> {
    const { clock, peers } = this.node;
    const deadline = clock.now() + patience;
    const labels = peers.served();
    for (const [i, label] of labels.entries()) {
      // A silent peer must leave time for the next.
      const left = (deadline - clock.now()) / Math.min(2, labels.length - i);
      if (left <= 0) break;
      const answer = await peers.relay(label, request, left);
      if (answer !== null && answer.status !== 503) return fromRelay(answer);
    }
    return null;
  }
}

function final(record: JobRecord): JobView {
  const status: JobStatus = record.state === 'cancelled' ? 'cancelled' : 'done';
  const done = status === 'done' ? record.taskCount : 0;
  return { status, done, running: 0, reason: null };
}

export function fromRelay(answer: {
  status: number;
  body: string;
  retryAfter: number | null;
}): Reply {
  const body = JSON.parse(answer.body) as unknown;
  const { status, retryAfter } = answer;
  return retryAfter === null ? { status, body } : { status, body, retryAfter };
}
