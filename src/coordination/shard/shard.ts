/**
 * One part: its machines, its queue and what runs where. No I/O: reports come in, orders and changed
 * records go out, and the clock is passed in.
 */
import type { Random } from '../../base/random.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { rankOrder } from '../../protocol/job.js';
import type { ChunkRecord, MachineRecord } from '../../storage/records.js';
import { AttemptTermination } from '../reconciliation/attemptTermination.js';
import { AuditTrail, type Invariant } from '../audit/auditTrail.js';
import { compareByQueueOrder, Chunk, type Attempt } from './chunk.js';
import type { RunTimes } from '../scheduling/runTimes.js';
import { Machine, type Placement } from './machine.js';
import { DemandEstimator, type DemandOptions } from '../autoscaling/demandEstimator.js';
import { MachineLiveness } from '../reconciliation/machineLiveness.js';
import { HeartbeatReconciler } from '../reconciliation/heartbeatReconciler.js';
import { Scheduler } from '../scheduling/scheduler.js';
import { UnacknowledgedStart } from '../reconciliation/unacknowledgedStart.js';
import { UnknownAttempts } from '../reconciliation/unknownAttempts.js';
import { singleShardView, TeamUsage, type ClusterView } from '../quota/teamUsage.js';
import { WaitEstimates } from '../scheduling/waitEstimates.js';

export interface ShardOptions extends DemandOptions {
  lease: number;
  report: number;
  sample: number;
  zones: string[];
}

export class Shard {
  readonly machines = new Map<string, Machine>();
  readonly chunks = new Map<string, Chunk>();
  private readonly byJob = new Map<string, Set<Chunk>>();
  /** Chunks that changed and are not stored yet. */
  readonly dirty = new Set<Chunk>();
  /** Machines that should be sent orders now. */
  readonly pendingCommands = new Set<Machine>();
  /** Chunks whose tasks are all done or, cancelled, all over. */
  readonly settled = new Set<Chunk>();
  /** What should be rented for it, and what may be returned. */
  readonly needs: DemandEstimator;
  /** What teams' tasks use here. */
  readonly teams: TeamUsage;
  readonly estimates: WaitEstimates;
  readonly reports: HeartbeatReconciler;
  readonly liveness: MachineLiveness;
  readonly scheduler: Scheduler;
  readonly strangers = new UnknownAttempts();
  /** The token under which we own it. */
  ownToken = Infinity;
  /** Tasks whose start is held back, as noted in the audit trail. */
  private readonly heldBack = new Set<string>();

  constructor(
    readonly label: string,
    private readonly options: ShardOptions,
    private readonly types: () => Map<string, MachineType>,
    runTimes: RunTimes,
    random: Random,
    private readonly cluster: ClusterView = singleShardView,
    readonly audit: AuditTrail = new AuditTrail('', () => 0),
  ) {
    this.teams = new TeamUsage(cluster);
    this.estimates = new WaitEstimates(this, runTimes, options.report);
    this.reports = new HeartbeatReconciler(this, options, runTimes);
    this.liveness = new MachineLiveness(this, options);
    this.scheduler = new Scheduler(this, options, runTimes, random, cluster);
    this.needs = new DemandEstimator(this, options, types);
  }

  // ---- Machines ----

  /** `renewed`: until when another owner may have renewed the worker's lease. */
  addMachine(name: string, record: MachineRecord, now: number, renewed = now): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) {
      known.learn(record);
      return known;
    }
    const mayStart = (task: string, at: number): boolean => this.mayStart(task, at);
    const machine = new Machine(name, record, this.types, now, mayStart);
    machine.renewed = renewed;
    this.machines.set(name, machine);
    this.estimates.invalidate();
    return machine;
  }

  /** The machine is known to be gone, and everything on it. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    this.strangers.forget(machine);
    this.estimates.invalidate();
    this.pendingCommands.delete(machine);
    const over = AttemptTermination.byRemoval(now);
    for (const placed of [...machine.entries.values()]) this.release(machine, placed, over, now);
  }

  /** Not while another attempt of the task runs on a machine of the part: then what we know is wrong, and it waits. */
  private mayStart(task: string, now: number): boolean {
    const holder = this.strangers.holderOf(
      task,
      (machine) => AttemptTermination.byLease(machine, this.options, now) === null,
    );
    if (holder === null) {
      this.heldBack.delete(task);
      return true;
    }
    if (!this.heldBack.has(task)) {
      this.heldBack.add(task);
      this.noteBroken('start-beside-live-attempt', `${task} runs on ${holder.name} as well`);
    }
    return false;
  }

  noteBroken(invariant: Invariant, detail: string): void {
    this.audit.note({ event: 'invariant-broken', invariant, part: this.label, detail });
  }

  /** The chunks of a job that are here; any of them may be at other parts. */
  chunksOf(job: string): Chunk[] {
    return [...(this.byJob.get(job) ?? [])];
  }

  stop(machine: Machine, entry: Attempt, wind: number): void {
    if (entry.stop !== null) return;
    entry.stop = { wind, sentAt: null };
    this.pendingCommands.add(machine);
  }

  /** Ends an entry whose attempt is over. */
  release(
    machine: Machine,
    { chunk, entry }: Placement,
    over: AttemptTermination,
    now: number,
  ): void {
    this.audit.note({
      event: 'attempt-over',
      part: this.label,
      task: chunk.taskName(entry.task),
      attempt: entry.attempt,
      machine: machine.name,
      rule: over.rule,
      evidenceAge: now - over.evidenceAt,
    });
    // A worker forgets what it has shown us only by our reap, or with its session; an adopter's reap has a higher token.
    const isDeposed = machine.seenToken > this.ownToken;
    if (over.rule === 'absent' && !entry.isAdopted && !isDeposed) {
      this.noteBroken('attempt-vanished', `${chunk.taskName(entry.task)} at ${machine.name}`);
    }
    if (chunk.entries.delete(entry.task) && !chunk.dropped) this.teams.add(chunk.spec, -1);
    machine.drop(chunk.taskName(entry.task));
    if (machine.entries.size === 0) machine.idleSince = now;
    this.changed(chunk, now);
    // One of a gang is over before its time: the others can do nothing without it, and start anew with it.
    if (!chunk.spec.gang || chunk.unwanted || chunk.done.has(entry.task)) return;
    for (const other of chunk.entries.values()) {
      const { checkpoint, save } = chunk.spec;
      const on = this.machines.get(other.machine);
      if (on !== undefined) this.stop(on, other, checkpoint > 0 ? save : 0);
    }
  }

  /** Something of the chunk has changed that has to be stored. */
  changed(chunk: Chunk, now: number): void {
    chunk.touch(now);
    if (chunk.complete || (chunk.cancelled && chunk.entries.size === 0)) this.settled.add(chunk);
    else this.dirty.add(chunk);
  }

  /** One line for the log. */
  summary(now: number): string {
    const machines = [...this.machines.values()];
    const free = machines.filter((m) => m.usable(now)).reduce((n, m) => n + m.free.cpus, 0);
    const silent = machines
      .flatMap((m) => (m.up ? [] : [m.name]))
      .slice(0, 5)
      .join(' ');
    const count = (test: (m: Machine) => boolean): number => machines.filter(test).length;
    return (
      `part ${this.label}: ${machines.length} machines, ${count((m) => !m.up)} not up (${silent}), ` +
      `${count((m) => m.leaving)} leaving, ${count((m) => m.goneBy !== null)} noticed, ` +
      `${count((m) => m.shunnedUntil > now)} shunned, ${free} CPUs free, ${this.waiting} tasks wait`
    );
  }

  // ---- Chunks ----

  addChunk(chunk: Chunk, now: number): void {
    const replaced = this.chunks.get(chunk.id);
    this.chunks.set(chunk.id, chunk);
    const { id: job } = chunk.spec;
    const ofJob = this.byJob.get(job) ?? new Set<Chunk>();
    if (replaced !== undefined) ofJob.delete(replaced);
    this.byJob.set(job, ofJob.add(chunk));
    chunk.rank = this.rankOf(chunk);
    this.needs.noteArrival(chunk, 1, now);
    if (chunk.complete) this.settled.add(chunk);
  }

  /** Jobs that need it have come, or are over. */
  rerank(job: string): void {
    for (const chunk of this.chunksOf(job)) chunk.rank = this.rankOf(chunk);
  }

  private rankOf({ spec }: Chunk): number {
    return Math.max(rankOrder[spec.rank], this.cluster.inheritedRank(spec.id));
  }

  /** Takes in a chunk whose job is stored, and which is not yet itself. */
  accept(chunk: Chunk, now: number): void {
    chunk.accepted = true;
    this.addChunk(chunk, now);
    this.dirty.add(chunk);
    chunk.dirtySince ??= now;
  }

  /** Takes up a stored chunk, with all that its last owner may have started. */
  loadChunk(index: number, record: ChunkRecord, token: number, now: number): Chunk {
    const chunk = Chunk.load(index, record, now);
    for (const e of record.entries) {
      const machine = this.machines.get(e.machine);
      // Its machine's record is deleted only after the machine is gone.
      if (machine === undefined) continue;
      const entry: Attempt = {
        ...e,
        version: 0,
        seen: false,
        isAdopted: true,
        state: 'fetching',
        placedAt: now,
        runningSince: null,
        // Whatever the last owner sent is settled once the worker has seen our token.
        doubt: new UnacknowledgedStart(token - 1),
        sentInAnswer: false,
        stop: null,
      };
      chunk.entries.set(e.task, entry);
      this.teams.add(chunk.spec, 1);
      machine.put({ chunk, entry });
      this.estimates.invalidate();
    }
    if (chunk.entries.size < record.entries.length) this.dirty.add(chunk);
    this.addChunk(chunk, now);
    return chunk;
  }

  /** It goes to another part, and so does the work that had arrived with it. */
  sendAway(chunk: Chunk, now: number): void {
    this.needs.noteArrival(chunk, -1, now);
    this.dropChunk(chunk);
  }

  dropChunk(chunk: Chunk): void {
    if (!chunk.dropped) this.teams.add(chunk.spec, -chunk.entries.size);
    chunk.dropped = true;
    chunk.bucket?.remove(chunk);
    this.chunks.delete(chunk.id);
    const ofJob = this.byJob.get(chunk.spec.id);
    if (ofJob?.delete(chunk) === true && ofJob.size === 0) this.byJob.delete(chunk.spec.id);
    this.dirty.delete(chunk);
    this.settled.delete(chunk);
    for (const entry of chunk.entries.values()) {
      this.machines.get(entry.machine)?.drop(chunk.taskName(entry.task));
    }
  }

  /**
   * Its home has counted it as over. An adopter may have taken it up from a record that did not say so
   * yet; what it has started of it meanwhile is of no use.
   */
  overtake(chunk: Chunk, now: number): void {
    if (chunk.complete || chunk.entries.size === 0) this.dropChunk(chunk);
    else this.cancel(chunk, now);
  }

  cancel(chunk: Chunk, now: number): void {
    if (chunk.cancelled) return;
    chunk.cancelled = true;
    this.endAll(chunk, now);
    this.changed(chunk, now);
  }

  /**
   * Its user has asked to cancel it, and that is about to be stored: nothing of it starts or runs from now
   * on. This must not wait for the record, which may be stored where this node can't read it any more.
   */
  prepareCancel(chunk: Chunk, now: number): void {
    if (chunk.cancelPreparedAt === null && !chunk.cancelled) this.endAll(chunk, now);
    chunk.cancelPreparedAt = now;
  }

  /** The cancellation did not come about. */
  resume(chunk: Chunk): void {
    chunk.cancelPreparedAt = null;
  }

  private endAll(chunk: Chunk, now: number): void {
    for (const entry of [...chunk.entries.values()]) {
      const machine = this.machines.get(entry.machine);
      if (machine === undefined) continue;
      this.stop(machine, entry, 0);
      entry.stop = { wind: 0, sentAt: null };
      const over = AttemptTermination.asNeverSent(machine, entry, now);
      if (over !== null) this.release(machine, { chunk, entry }, over, now);
    }
  }

  // ---- Decisions ----

  /** What waits, in the order in which it is looked at. */
  queue(): Chunk[] {
    const waiting = [...this.chunks.values()].filter((c) => c.pending > 0);
    const entitled = new Set(waiting.filter((c) => this.teams.isEntitled(c.spec)));
    return waiting.sort(
      (a, b) =>
        b.rank - a.rank ||
        Number(entitled.has(b)) - Number(entitled.has(a)) ||
        compareByQueueOrder(a, b),
    );
  }

  get waiting(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pending;
    return count;
  }

  get utilisation(): number {
    let all = 0;
    let used = 0;
    for (const machine of this.machines.values()) {
      if (!machine.up) continue;
      all += machine.size.cpus;
      used += machine.taken;
    }
    return all === 0 ? 1 : used / all;
  }

  get cpus(): number {
    let all = 0;
    for (const machine of this.machines.values()) all += machine.size.cpus;
    return all;
  }
}
