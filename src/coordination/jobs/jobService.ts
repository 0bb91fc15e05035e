/** What users ask: submissions, states, cancellations. Any node answers for any job. */
import {
  acceptedAnswer,
  idPattern,
  jobAnswer,
  parseJob,
  type JobSpec,
} from '../../protocol/job.js';
import { keys, type JobRecord } from '../../storage/records.js';
import type { Reply } from '../../transport/httpServer.js';
import { SubmissionWriter, type Submission } from './submissionWriter.js';
import { Chunk } from '../model/chunk.js';
import {
  chunkRanges,
  chunkSize,
  mayCreateChunk,
  zonesFor,
  type ChunkRange,
} from '../model/chunking.js';
import type { Controller } from '../controller/controller.js';
import { fromRelay, JobLookup, REQUEST_TIMEOUT_SECONDS } from './jobLookup.js';
import type { OwnedShard } from '../leadership/ownedShard.js';
import { satisfiesConstraints } from '../scheduling/placement.js';
import { fits } from '../model/resources.js';
import { checkDependencies, type DependencyCheck } from '../pipelines/dependencyAdmission.js';
import { limitOf } from '../quota/quotaShares.js';
import { unavailable } from './replies.js';

const isolatedReply = (): Reply =>
  unavailable('this node is cut off from the others and the state service', 2);

export class JobService {
  private readonly accepting = new Map<string, Promise<Reply>>();

  private readonly storing: SubmissionWriter;
  private readonly lookup: JobLookup;

  constructor(private readonly node: Controller) {
    this.lookup = new JobLookup(node);
    this.storing = new SubmissionWriter(node, (id) => this.known(id));
  }

  // ---- Submitting ----

  async submit(body: string, isRelayed: boolean): Promise<Reply> {
    const parsed = parseJob(body);
    if ('error' in parsed) return { status: 400, body: { error: parsed.error } };
    const { job } = parsed;
    const running = this.accepting.get(job.id);
    if (running !== undefined) return running;
    const { node } = this;
    if (node.isIsolated) return isolatedReply();
    if (!node.leadership.isLeaseValid) {
      if (!isRelayed) {
        const answer = await this.lookup.relayAny({ method: 'POST', target: '/v1/jobs', body });
        if (answer !== null) return answer;
      }
      return unavailable('no node can store the job now');
    }
    if (node.stateCache.get(keys.job(job.id)) !== undefined) return this.known(job.id);
    if (node.machineTypes.size === 0) return unavailable('machine types are not known yet');
    const ownedShard =
      node.ownedShards.get(node.settings.label) ?? [...node.ownedShards.values()][0];
    if (ownedShard === undefined && node.drain.isActive && !isRelayed) {
      const answer = await this.lookup.relayAny({ method: 'POST', target: '/v1/jobs', body });
      if (answer !== null) return answer;
    }
    if (ownedShard === undefined) return unavailable('this node is starting');
    // More waits for the state service than it can take in the time that a user waits.
    const delay = this.storing.delay;
    if (delay > REQUEST_TIMEOUT_SECONDS / 2) {
      return unavailable(
        'too many requests just now',
        Math.max(1, Math.ceil(delay - REQUEST_TIMEOUT_SECONDS / 4)),
      );
    }
    const promise = this.accept(ownedShard, job);
    this.accepting.set(job.id, promise);
    try {
      return await promise;
    } finally {
      this.accepting.delete(job.id);
    }
  }

  private async known(id: string): Promise<Reply> {
    const { view, isUnavailable } = await this.lookup.view(id, false);
    if (view === null)
      return unavailable(isUnavailable ? 'the state service is out of reach' : 'try again');
    return { status: 200, body: acceptedAnswer(id, view.status) };
  }

  /** Why a job can never run, or null. */
  private impossible(spec: JobSpec): string | null {
    const { node } = this;
    const team = node.settings.teams.find((t) => t.name === spec.team);
    if (team === undefined) return `unknown team ${spec.team}`;
    const limit = limitOf(team);
    const factor = spec.isService ? spec.taskCount : 1;
    if (spec.cpus * factor > limit.cpus || spec.gpus * factor > limit.gpus) {
      return `needs more than the limit of team ${spec.team}`;
    }
    if (
      spec.isGang &&
      (spec.cpus * spec.taskCount > limit.cpus || spec.gpus * spec.taskCount > limit.gpus)
    ) {
      return `all of the gang together need more than the limit of team ${spec.team}`;
    }
    // Its record holds an entry for each task that runs.
    if (
      spec.isGang &&
      spec.taskCount * node.recordFormat.sizes.task * 2 > node.recordFormat.capacity(1)
    ) {
      return 'a gang of this size cannot be recorded';
    }
    if (spec.zone !== null && !node.settings.zones.includes(spec.zone)) {
      return `unknown zone ${spec.zone}`;
    }
    return this.zones(spec).length > 0 ? null : 'a task fits no allowed machine type';
  }

  /** Zones in which a machine type exists that can hold a task; those with most room first. */
  private zones(spec: JobSpec): string[] {
    const { node } = this;
    const found = new Map<string, number>();
    for (const type of node.machineTypes.values()) {
      if (!fits(type, spec)) continue;
      for (const zone of type.zones) {
        const host = { type: type.name, zone, spot: false };
        if (satisfiesConstraints(spec, null, host)) found.set(zone, 0);
      }
    }
    for (const zone of found.keys()) found.set(zone, node.clusterTotals.serviceHeadroomIn(zone));
    // Where there is nothing to choose between zones, jobs take turns by their ids.
    const turn = [...spec.id].reduce((n, c) => (n * 31 + c.charCodeAt(0)) % 65521, 7);
    const zones = [...found.keys()].sort();
    const first = zones[turn % Math.max(1, zones.length)];
    return zones.sort(
      (a, b) =>
        (found.get(b) ?? 0) - (found.get(a) ?? 0) || Number(b === first) - Number(a === first),
    );
  }

  private async accept(homeShard: OwnedShard, spec: JobSpec): Promise<Reply> {
    const { node } = this;
    const reason = this.impossible(spec);
    // The transaction that stores a job fails if the job is known already, so the store is asked beforehand
    // only where there may be no transaction.
    if (reason !== null || !node.stateClient.isHealthy) {
      // A job may have been accepted before its retry reached us: that is never refused.
      const before = await this.lookup.stored(spec.id);
      if (before === undefined) return unavailable('the state service is out of reach');
      if (before !== null) return this.known(spec.id);
      if (reason !== null) return { status: 422, body: { error: reason } };
    }
    if (spec.dependencies.length === 0) return this.store(homeShard, spec, []);
    if (!node.nodeCapabilities.isUpgraded) return unavailable('the service is being upgraded', 2);
    const needs = await checkDependencies(spec, this.lookup);
    return this.acceptDependent(homeShard, spec, needs);
  }

  /** A job that names others, as they stand. */
  private async acceptDependent(
    homeShard: OwnedShard,
    spec: JobSpec,
    needs: DependencyCheck,
  ): Promise<Reply> {
    switch (needs.kind) {
      case 'unavailable':
        return unavailable('the state service is out of reach');
      case 'refused': {
        // It may have been accepted before its retry reached us: that is never refused.
        const before = await this.lookup.stored(spec.id);
        if (before === undefined) return unavailable('the state service is out of reach');
        if (before !== null) return this.known(spec.id);
        return { status: 422, body: { error: needs.reason } };
      }
      case 'cancelled': {
        // Accepted, and cancelled with the job that it names.
        const record: JobRecord = {
          ...this.recordFor(homeShard, spec),
          spec: null,
          state: 'cancelled',
        };
        return this.storing.submit(
          homeShard,
          { id: spec.id, record, first: [] },
          REQUEST_TIMEOUT_SECONDS,
        );
      }
      case 'open':
        // What is done already is done for good.
        return this.store(homeShard, { ...spec, dependencies: needs.pending }, needs.pending);
    }
  }

  private recordFor(homeShard: OwnedShard, spec: JobSpec): JobRecord {
    const { node } = this;
    const most = node.recordFormat.tasksFor(spec);
    return {
      spec,
      homeShard: homeShard.shard.label,
      state: 'open',
      taskCount: spec.taskCount,
      submittedAt: node.clock.wall(),
      chunkSize: chunkSize(spec, homeShard.shard.cpus, most, node.shards.length),
      zones: zonesFor(spec, this.zones(spec)),
      createdChunks: 0,
      doneChunks: [],
      migratedChunks: [],
    };
  }

  /** Stores a job, with the chunks that go to peers; one that waits for others has none yet. */
  private async store(homeShard: OwnedShard, spec: JobSpec, waitsFor: string[]): Promise<Reply> {
    const { node } = this;
    const record = this.recordFor(homeShard, spec);
    const ranges = chunkRanges(spec.taskCount, record.chunkSize, record.zones);
    const { txnOps, stateWriteRate } = node.settings;
    const most = Math.min(4, txnOps - 2, Math.floor(stateWriteRate / 4));
    const atOnce = ranges.slice(0, Math.max(2, most)).filter((_, k) => mayCreateChunk(record, k));
    record.createdChunks = atOnce.length;
    const key = keys.job(spec.id);
    if (
      node.recordFormat.isCompact &&
      node.recordFormat.bytes(key, record) > node.recordFormat.capacity(1)
    ) {
      return { status: 400, body: { error: 'the description is too large to be stored' } };
    }
    const isLarge = node.recordFormat.operations(key, record) > 1;
    // A record in pieces leaves no room in its transaction for chunks of peers.
    const first =
      waitsFor.length > 0 || isLarge
        ? []
        : await this.place(homeShard, spec, record.submittedAt, atOnce);
    record.migratedChunks = first.flatMap((f, k) => (f.shard === homeShard.shard.label ? [] : [k]));
    return this.storing.submit(homeShard, { id: spec.id, record, first }, REQUEST_TIMEOUT_SECONDS);
  }

  /** Chooses a part for each of the first chunks. */
  private place(
    homeShard: OwnedShard,
    spec: JobSpec,
    at: number,
    atOnce: ChunkRange[],
  ): Promise<Submission['first']> {
    const { node } = this;
    const now = node.clock.now();
    const { label } = homeShard.shard;
    // Most chunks of a job are of one size, and the same question has the same answer: it is asked once.
    const choices = new Map<string, Promise<string>>();
    const choose = (zone: string | null, count: number): Promise<string> => {
      const question = `${zone ?? '*'} ${count}`;
      const choice = choices.get(question) ?? node.migration.choose(homeShard, spec, zone, count);
      choices.set(question, choice);
      return choice;
    };
    return Promise.all(
      atOnce.map(async (range, index) => {
        const { firstTask, endTask, zone } = range;
        const shard = await choose(zone ?? spec.zone, endTask - firstTask);
        const chunk = new Chunk(spec, index, label, at, firstTask, endTask, zone, now);
        if (shard !== label) chunk.migrationCount = 1;
        return { shard, chunk };
      }),
    );
  }

  async read(id: string, isRelayed: boolean): Promise<Reply> {
    if (!idPattern.test(id)) return { status: 404, body: { error: 'no such job' } };
    const { view, isUnavailable, relay } = await this.lookup.view(id, !isRelayed);
    if (relay !== undefined) return relay;
    if (view !== null) return { status: 200, body: jobAnswer(id, view) };
    if (isUnavailable) return unavailable('the state service is out of reach');
    return { status: 404, body: { error: 'no such job' } };
  }

  // ---- Cancelling ----

  async cancel(id: string, isRelayed: boolean): Promise<Reply> {
    const { node } = this;
    if (!idPattern.test(id)) return { status: 404, body: { error: 'no such job' } };
    let record: JobRecord | null | undefined = this.lookup.copyOf(id);
    if (record && record.state !== 'open') return over(id, record.state);
    if (node.isIsolated) return isolatedReply();
    if (record === undefined) record = await this.lookup.stored(id);
    if (record === null) return { status: 404, body: { error: 'no such job' } };
    if (record !== undefined && record.state !== 'open') return over(id, record.state);
    const request = { method: 'POST', target: `/v1/jobs/${id}/withdraw`, body: '' };
    if (record === undefined) {
      return (
        (isRelayed ? null : await this.lookup.relayAny(request)) ?? unavailable('out of reach')
      );
    }
    const ownedShard = node.ownedShards.get(record.homeShard);
    const job = ownedShard?.jobs.get(id);
    if (ownedShard !== undefined && job !== undefined && node.leadership.isLeaseValid) {
      // Else a node that can't read the record would keep tasks of the job alive, or start some.
      if (
        job.record.state === 'open' &&
        !(await node.cancellationPreparations.prepareEverywhere(id, job.record))
      ) {
        return unavailable('a node that may run tasks of the job cannot be asked just now', 2);
      }
      const state = await node.persistence.cancel(
        ownedShard,
        job,
        node.clock.now() + REQUEST_TIMEOUT_SECONDS,
      );
      if (state !== null && state !== 'open') return over(id, state);
      return unavailable('the cancellation could not be stored');
    }
    const owner = node.leaderOf(record.homeShard);
    if (!isRelayed && owner !== null && owner !== node.settings.label) {
      const answer = await node.peers.relay(owner, request, 4.2);
      if (answer !== null) return fromRelay(answer);
    }
    return unavailable('the job has no owner just now');
  }
}

const over = (id: string, state: 'done' | 'cancelled'): Reply => ({
  status: 200,
  body: acceptedAnswer(id, state),
});
